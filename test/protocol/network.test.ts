import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { PeerNetwork, PeerUnreachableError, PROTOCOL_VERSION } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import { WebSocket } from "ws";
import { encode, FrameEncoder } from "../../packages/protocol/src/codec.ts";
import { createProof } from "../../packages/protocol/src/handshake.ts";

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

/** Waits for the nonce, and returns a socket that has proved the key as daemon `b`. */
const connectAsPeer = async (t: ExecutionContext, port: number): Promise<WebSocket> => {
    const socket = new WebSocket(`ws://${HOST}:${port}`);
    t.teardown(() => socket.terminate());
    const [nonce] = await once(socket, "message") as [Buffer];
    socket.send(encode({
        protocolVersion: PROTOCOL_VERSION,
        daemonId: "b",
        zone: "z",
        targetId: "a",
        proof: createProof("key", nonce, { daemonId: "b", targetId: "a" }),
    }));
    return socket;
};

const at = { wallMs: 1, counter: 0 };
/** Frames that no daemon of this version sends. */
const oddFrames: Record<string, unknown> = {
    "nothing in it": undefined,
    "a number in it": 5,
    "no time": { kind: "notice", type: "usage.share", body: { usage: [] } },
    "an infinite time": {
        kind: "notice",
        type: "usage.share",
        at: { wallMs: Infinity, counter: 0 },
        body: {},
    },
    "a notice without a body": { kind: "notice", type: "usage.share", at },
    "an unknown notice": { kind: "notice", type: "usage.other", at, body: 1 },
    "an unknown call": { kind: "call", callId: 1, type: "usage.other", at, body: 1 },
    "a call without a body": { kind: "call", callId: 1, type: "usage.exchange", at },
    "the result of no call": { kind: "result", callId: 9, at, body: 1 },
    "an unknown kind": { kind: "other", at },
};

for (const [title, frame] of Object.entries(oddFrames)) {
    // Guards against a frame of a peer that ends the process, which the test runner reports as an uncaught exception.
    test(`a daemon serves its peers after a frame with ${title}`, async (t) => {
        const [port = 0, otherPort = 0] = await freePorts(2);
        const start = async (daemonId: string, ownPort: number): Promise<PeerNetwork> => {
            const network = new PeerNetwork({
                context: createContext({ daemonId, zone: "z" }),
                listen: { host: HOST, port: ownPort },
                addresses: [{ daemonId: "a", zone: "z", host: HOST, port }],
                key: "key",
            });
            await network.start();
            t.teardown(() => network.close());
            return network;
        };
        const network = await start("a", port);
        network.handle("usage.exchange", ({ usage }) => ({ others: [...usage] }));
        network.handleNotice("usage.share", ({ usage }) => void usage.length);
        const socket = await connectAsPeer(t, port);
        for (const bytes of [new FrameEncoder().encode(frame), Buffer.from([0xc1, 0xff]), Buffer.alloc(0)]) {
            socket.send(bytes);
        }
        await once(socket, "close");
        const other = await start("c", otherPort);
        t.deepEqual(await other.call("a", "usage.exchange", { usage: [] }), { others: [] });
    });
}
