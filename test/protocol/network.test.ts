import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { PeerNetwork, PeerUnreachableError } from "@greengage/protocol";
import test from "ava";
import { createServer } from "node:net";

const HOST = "127.0.0.1";
/** Well below the connection timeout of one second. */
const CALL_TIMEOUT_MS = 50;
const MAX_CALL_DURATION_MS = 500;

// Guards against calls that ignore their own timeout while connecting: with a frozen control daemon, callers' requests
// waited a whole second for placement.
test("a call times out while its connection is being established", async (t) => {
    const [port = 0] = await freePorts(1);
    const silentServer = createServer(() => undefined);
    await new Promise<void>((resolve) => silentServer.listen(0, HOST, resolve));
    const address = silentServer.address();
    const silentPort = typeof address === "object" && address !== null ? address.port : 0;
    const network = new PeerNetwork({
        context: createContext({ daemonId: "a", zone: "z" }),
        listen: { host: HOST, port },
        addresses: [{ daemonId: "frozen", zone: "z", host: HOST, port: silentPort }],
        key: "key",
    });
    await network.start();
    t.teardown(async () => {
        await network.close();
        silentServer.close();
    });
    const startedAtMs = performance.now();
    const request = { usage: [] };
    await t.throwsAsync(network.call("frozen", "usage.exchange", request, { timeoutMs: CALL_TIMEOUT_MS }), {
        instanceOf: PeerUnreachableError,
    });
    t.true(performance.now() - startedAtMs < MAX_CALL_DURATION_MS);
});
