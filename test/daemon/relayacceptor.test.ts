import { createContext } from "@greengage/base";
import { RelayAcceptor, type RelayAcceptorOptions } from "@greengage/daemon";
import { waitFor } from "@greengage/faults";
import { RelayError, RelayRefusal } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type Socket } from "node:net";
import { readStream, startRelay } from "../protocol/relayfixtures.ts";

const startAcceptor = (
    t: ExecutionContext,
    options: Partial<RelayAcceptorOptions> = {},
): RelayAcceptor => {
    const acceptor = new RelayAcceptor({
        context: createContext({ daemonId: "relay", zone: "z" }),
        refuse: () => undefined,
        lagMs: () => 0,
        ...options,
    });
    acceptor.start();
    t.teardown(() => acceptor.close());
    return acceptor;
};

const NEVER = new Promise<never>(() => undefined);
const request = { serverId: "s", address: "127.0.0.1:1" };

const refusedWith = async (
    t: ExecutionContext,
    acceptor: RelayAcceptor,
): Promise<RelayRefusal | undefined> => {
    const error = await t.throwsAsync(acceptor.open(request, "requester"), { instanceOf: RelayError });
    return error?.refusal;
};

for (const refusal of [RelayRefusal.UnknownServer, RelayRefusal.Held]) {
    // Guards against requests to servers that this daemon may not send any to, on behalf of a peer.
    test(`a relay refuses a connection for the reason ${refusal}`, async (t) => {
        const acceptor = startAcceptor(t, { refuse: () => refusal, connect: () => NEVER });
        t.is(await refusedWith(t, acceptor), refusal);
        t.is(acceptor.relayedCount, 0);
    });
}

// Guards against a relay that passes a server's failure off as its own, so that the server isn't suspected.
test("a relay refuses a connection that its server doesn't accept", async (t) => {
    const acceptor = startAcceptor(t);
    t.is(await refusedWith(t, acceptor), RelayRefusal.ServerUnreachable);
    t.is(acceptor.relayedCount, 0);
});

// Guards against a relay that runs out of descriptors or memory for its peers.
test("a relay refuses connections beyond its limit, counting those that are opening", async (t) => {
    const acceptor = startAcceptor(t, { maxConnections: 2, connect: () => NEVER });
    void acceptor.open(request, "requester");
    void acceptor.open(request, "requester");
    t.is(acceptor.relayedCount, 2);
    t.is(await refusedWith(t, acceptor), RelayRefusal.Overloaded);
});

// Guards against delays of a daemon's own callers by the traffic of its peers.
test("a relay refuses connections while its event loop is late", async (t) => {
    const acceptor = startAcceptor(t, { lagMs: () => 1_000, connect: () => NEVER });
    t.is(await refusedWith(t, acceptor), RelayRefusal.Overloaded);
});

// Guards against answers that end with the relay although it had time to pass them on.
test("a relay that drains refuses new connections and keeps the open ones", async (t) => {
    const acceptor = startAcceptor(t);
    const { open, serverSockets } = await startRelay(t, { handler: (...args) => acceptor.open(...args) });
    const stream = await open();
    const outcome = readStream(stream);
    acceptor.drain();
    t.false(acceptor.mayRelay);
    const error = await t.throwsAsync(open(), { instanceOf: RelayError });
    t.is(error?.refusal, RelayRefusal.Draining);
    let isIdle = false;
    const idle = acceptor.waitUntilIdle(60_000).then(() => isIdle = true);
    await waitFor("a connection", () => serverSockets[0]);
    t.is(acceptor.relayedCount, 1);
    t.false(isIdle);
    serverSockets[0]?.end("answer");
    const { bytes, isRegularEnd } = await outcome;
    t.is(bytes.toString(), "answer");
    t.true(isRegularEnd);
    stream.destroy();
    await idle;
    t.is(acceptor.relayedCount, 0);
});

// Guards against an answer that looks complete because its relay's grace period has ended.
test("a relay that closes ends its connections as failed", async (t) => {
    const acceptor = startAcceptor(t);
    const { open, serverSockets } = await startRelay(t, { handler: (...args) => acceptor.open(...args) });
    const outcome = readStream(await open());
    await waitFor("a connection", () => serverSockets[0]);
    const serverSocket = serverSockets[0] as Socket;
    serverSocket.resume();
    const closed = once(serverSocket, "end");
    await acceptor.close();
    const { isRegularEnd, error } = await outcome;
    t.false(isRegularEnd);
    t.truthy(error);
    await closed;
});
