import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { PeerNetwork, PeerUnreachableError } from "@greengage/protocol";
import test from "ava";
import { createServer } from "node:net";

const HOST = "127.0.0.1";
/** Well below the limit for opening a connection, which is a second. */
const CALL_TIMEOUT_MS = 50;
const LIMIT_MS = 500;

// Guards against calls that wait for the connection to a frozen daemon: requests of callers waited a second for a place.
test("a call ends in its time while the connection is being opened", async (t) => {
    const [port = 0] = await freePorts(1);
    const silent = createServer(() => undefined);
    await new Promise<void>((resolve) => silent.listen(0, HOST, resolve));
    const address = silent.address();
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
        silent.close();
    });
    const startedAtMs = performance.now();
    const request = { usage: [] };
    await t.throwsAsync(network.call("frozen", "usage.exchange", request, { timeoutMs: CALL_TIMEOUT_MS }), {
        instanceOf: PeerUnreachableError,
    });
    t.true(performance.now() - startedAtMs < LIMIT_MS);
});
