import { ConnectionProbeResult, probeConnection } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";

const TIMEOUT_MS = 2_000;

const startListener = async (
    t: ExecutionContext,
    onConnection: (socket: Socket) => void,
): Promise<string> => {
    const server = createServer(onConnection);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => void server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test("a process that keeps connections open counts as down", async (t) => {
    const address = await startListener(t, (socket) => socket.on("error", () => undefined));
    t.is(await probeConnection(address, TIMEOUT_MS), ConnectionProbeResult.Open);
});

test("a port without a process counts as up", async (t) => {
    const [port = 0] = await freePorts(1);
    t.is(await probeConnection(`127.0.0.1:${port}`, TIMEOUT_MS), ConnectionProbeResult.Refused);
});

const { Closed, Reset } = ConnectionProbeResult;

const closings: Record<string, { close: (socket: Socket) => void; result: ConnectionProbeResult; }> = {
    ends: { close: (socket) => void socket.end(), result: Closed },
    resets: { close: (socket) => void socket.resetAndDestroy(), result: Reset },
};

for (const [name, { close, result }] of Object.entries(closings)) {
    test(`a relay that ${name} connections because its target is down counts as up`, async (t) => {
        t.is(
            await probeConnection(await startListener(t, close), TIMEOUT_MS),
            result,
        );
    });
}
