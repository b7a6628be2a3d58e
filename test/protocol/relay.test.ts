import { createContext } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { PeerNetwork, PROTOCOL_VERSION, RelayError, RelayRefusal, RelayStream } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { Client } from "undici";
import { WebSocket, WebSocketServer } from "ws";
import { encode } from "../../packages/protocol/src/codec.ts";
import { createProof } from "../../packages/protocol/src/handshake.ts";
import {
    connectDirectly,
    HOST,
    KEY,
    OPEN_TIMEOUT_MS,
    readStream,
    type RelayFixture,
    startRelay,
} from "./relayfixtures.ts";

const LARGE_BYTES = 3_000_000;
/** More than the kernel buffers of two connections on loopback take. */
const FLOOD_BYTES = 64_000_000;
const largeBody = Buffer.alloc(LARGE_BYTES, "0123456789abcdef");

// Guards against bytes that are lost, doubled or cut at the end when they pass through a peer.
test("a tunnel passes large bytes on in both directions", async (t) => {
    const { open } = await startRelay(t, { onServerConnection: (socket) => void socket.pipe(socket) });
    const stream = await open();
    const outcome = readStream(stream);
    stream.end(largeBody);
    const { bytes, isRegularEnd } = await outcome;
    t.true(isRegularEnd);
    t.true(bytes.equals(largeBody));
    t.is(stream.bytesRead, LARGE_BYTES);
    t.is(stream.bytesWritten, LARGE_BYTES);
});

/** Sends a request with undici over a tunnel. Resolves to the body, rejects if the response isn't whole. */
const requestThrough = async (t: ExecutionContext, { open, request }: RelayFixture): Promise<string> => {
    const client = new Client(`http://${request.address}`, {
        connect: (_options, callback) =>
            void open().then(
                (stream) => callback(null, stream as unknown as Socket),
                (error: Error) => callback(error, null),
            ),
    });
    t.teardown(() => client.destroy());
    const response = await client.request({ method: "POST", path: "/", body: "question" });
    return await response.body.text();
};

const HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

// Guards against a stream that an HTTP client can't use as its socket.
test("an HTTP client gets a whole response without a length through a tunnel", async (t) => {
    const fixture = await startRelay(t, {
        onServerConnection: (socket) => {
            socket.once("data", () => socket.end(`${HEAD_WITHOUT_LENGTH}answer`));
        },
    });
    t.is(await requestThrough(t, fixture), "answer");
});

// Guards against a response without a length that looks complete although the server's connection was reset.
test("an HTTP client gets an error when the server resets the relay's connection", async (t) => {
    const fixture = await startRelay(t, {
        onServerConnection: (socket) => {
            socket.once(
                "data",
                () => socket.write(`${HEAD_WITHOUT_LENGTH}ans`, () => socket.resetAndDestroy()),
            );
        },
    });
    await t.throwsAsync(requestThrough(t, fixture));
});

// Guards against a response without a length that looks complete although the relay ended before the server.
test("an HTTP client gets an error when the relay stops in the middle of a response", async (t) => {
    const fixture = await startRelay(t, {
        onServerConnection: (socket) => {
            socket.once("data", () => socket.write(`${HEAD_WITHOUT_LENGTH}ans`));
        },
    });
    const answer = requestThrough(t, fixture);
    await waitFor("the request", () => fixture.serverSockets[0]?.bytesWritten);
    await fixture.relay.close();
    await t.throwsAsync(answer);
});

// Guards against a reset that the requesting daemon takes for a regular end.
test("a reset of the server's connection is an error, a regular end is none", async (t) => {
    const { open, serverSockets } = await startRelay(t);
    const reset = await open();
    const resetOutcome = readStream(reset);
    await waitFor("a connection", () => serverSockets[0]);
    serverSockets[0]?.write("part", () => serverSockets[0]?.resetAndDestroy());
    const { isRegularEnd, error } = await resetOutcome;
    t.false(isRegularEnd);
    t.truthy(error);
    const ended = await open();
    const endedOutcome = readStream(ended);
    await waitFor("a connection", () => serverSockets[1]);
    serverSockets[1]?.end("whole");
    t.deepEqual(await endedOutcome, { bytes: Buffer.from("whole"), isRegularEnd: true, error: undefined });
});

// Guards against a server that goes on with an answer that nobody waits for.
test("the server's connection closes when the requesting daemon destroys the stream", async (t) => {
    const { open, serverSockets } = await startRelay(t);
    const stream = await open();
    await waitFor("a connection", () => serverSockets[0]);
    const ended = once(serverSockets[0] as Socket, "end");
    serverSockets[0]?.resume();
    stream.destroy();
    await ended;
    t.pass();
});

// Guards against a relay that doesn't notice the end of the requesting daemon's stream while the server reads nothing.
test("the server's connection closes although the server has stopped reading", async (t) => {
    const { open, serverSockets } = await startRelay(t);
    const stream = await open();
    stream.write(Buffer.alloc(FLOOD_BYTES));
    await waitFor("a connection", () => serverSockets[0]);
    const socket = serverSockets[0] as Socket;
    socket.pause();
    const written = { bytes: -1 };
    await waitFor("back-pressure", () => {
        const isStuck = stream.writableLength > 0 && socket.bytesRead === written.bytes;
        written.bytes = socket.bytesRead;
        return isStuck || undefined;
    });
    stream.destroy();
    // A write fails once the relay has closed the connection.
    await waitFor("the close", () => {
        socket.write("x");
        return socket.destroyed || undefined;
    });
    t.pass();
});

/** Makes the server send without end to a stream that nobody reads. Resolves when no more bytes are taken. */
const flood = async (socket: Socket): Promise<number> => {
    const chunk = Buffer.alloc(1_000_000);
    let isBlocked = false;
    for (let sentBytes = 0; sentBytes < FLOOD_BYTES && !isBlocked; sentBytes += chunk.length) {
        isBlocked = await Promise.race([
            new Promise<boolean>((resolve) => socket.write(chunk, () => resolve(false))),
            new Promise<boolean>((resolve) => setTimeout(resolve, 1_000, true)),
        ]);
    }
    return socket.bytesWritten - socket.writableLength;
};

// Guards against a relay whose memory grows with the answers of slow readers, and streams that wait for one another.
test("a stream that nobody reads holds few bytes at the relay and delays no other stream", async (t) => {
    const { open, serverSockets } = await startRelay(t);
    const slow = await open();
    slow.pause();
    await waitFor("a connection", () => serverSockets[0]);
    const sentBytes = await flood(serverSockets[0] as Socket);
    t.true(sentBytes < FLOOD_BYTES);
    const other = await open();
    const outcome = readStream(other);
    await waitFor("a connection", () => serverSockets[1]);
    serverSockets[1]?.end("other");
    t.is((await outcome).bytes.toString(), "other");
    t.true(slow.readableLength + slow.writableLength < 1_000_000);
});

// Guards against a refusal whose reason the requesting daemon doesn't learn.
test("a refusal rejects with its reason", async (t) => {
    const refuse = (): Promise<never> =>
        Promise.reject(new RelayError(RelayRefusal.Held, "the server pauses"));
    const { open } = await startRelay(t, { handler: refuse });
    const error = await t.throwsAsync(open(), { instanceOf: RelayError });
    t.is(error?.refusal, RelayRefusal.Held);
    t.is(error?.message, "the server pauses");
});

// Guards against connections to servers that stay open after the requesting daemon has given up.
test("a connection that opens after the requesting daemon has given up is closed", async (t) => {
    const opening = { isAsked: false, release: (): void => undefined };
    const gate = new Promise<void>((resolve) => opening.release = resolve);
    const { requester, open, serverSockets } = await startRelay(t, {
        handler: async (target, from) => {
            opening.isAsked = true;
            await gate;
            return await connectDirectly(target, from);
        },
    });
    const rejected = t.throwsAsync(open(), { instanceOf: RelayError });
    await waitFor("the request", () => opening.isAsked || undefined);
    await requester.close();
    t.is((await rejected)?.refusal, RelayRefusal.PeerUnreachable);
    opening.release();
    await waitFor("a connection", () => serverSockets[0]);
    const socket = serverSockets[0] as Socket;
    socket.resume();
    await waitFor("the close", () => socket.readableEnded || undefined);
    t.pass();
});

// Guards against waiting without limit for a peer that accepts connections and says nothing.
test("a silent peer is unreachable after the limit", async (t) => {
    const server = createServer(() => undefined).listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => server.close());
    const port = (server.address() as { port: number; }).port;
    const network = new PeerNetwork({
        context: createContext({ daemonId: "a", zone: "z" }),
        listen: { host: HOST, port: 0 },
        addresses: [{ daemonId: "silent", zone: "z", host: HOST, port }],
        key: KEY,
    });
    const request = { serverId: "s", address: `${HOST}:1` };
    const error = await t.throwsAsync(network.openRelay("silent", request, 100), { instanceOf: RelayError });
    t.is(error?.refusal, RelayRefusal.PeerUnreachable);
    const unknown = await t.throwsAsync(network.openRelay("x", request, OPEN_TIMEOUT_MS), {
        instanceOf: RelayError,
    });
    t.is(unknown?.refusal, RelayRefusal.PeerUnreachable);
});

const PING_INTERVAL_MS = 30;
/** More pings than may remain unanswered. */
const PING_COUNT = 12;

/** Connects a stream to a WebSocket that stands in for the peer. */
const startStreamPeer = async (
    t: ExecutionContext,
    answersPings: boolean,
): Promise<{ stream: RelayStream; peer: WebSocket; }> => {
    const server = new WebSocketServer({ host: HOST, port: 0, autoPong: answersPings });
    t.teardown(() => server.close());
    await once(server, "listening");
    const accepted = once(server, "connection");
    const socket = new WebSocket(`ws://${HOST}:${(server.address() as { port: number; }).port}`);
    t.teardown(() => socket.terminate());
    await once(socket, "open");
    const [peer] = await accepted as [WebSocket];
    t.teardown(() => peer.terminate());
    return { stream: new RelayStream(socket, PING_INTERVAL_MS), peer };
};

// Guards against a stream that hangs for ever because the peer's host has vanished without a reset.
test("a stream fails when its peer falls silent", async (t) => {
    const { stream } = await startStreamPeer(t, false);
    const { isRegularEnd, error } = await readStream(stream);
    t.false(isRegularEnd);
    t.is(error?.message, "the peer is silent");
});

// Guards against the end of streams whose servers are silent for a while.
test("a stream stays open while its peer answers pings", async (t) => {
    const { stream, peer } = await startStreamPeer(t, true);
    const pings = { count: 0 };
    peer.on("ping", () => pings.count += 1);
    await waitFor("pings for longer than the limit", () => pings.count > PING_COUNT || undefined);
    t.false(stream.destroyed);
});

// Guards against the end of streams whose peers have slow readers: they don't read pings.
test("a stream stays open while its peer reads nothing", async (t) => {
    const { stream, peer } = await startStreamPeer(t, true);
    peer.pause();
    const pings = { count: 0 };
    const timer = setInterval(() => {
        peer.ping();
        pings.count += 1;
    }, PING_INTERVAL_MS / 2);
    t.teardown(() => clearInterval(timer));
    await waitFor("pings for longer than the limit", () => pings.count > PING_COUNT || undefined);
    t.false(stream.destroyed);
});

const forgedHellos: Record<string, (nonce: Uint8Array) => object> = {
    "another server than the proof covers": (nonce) => ({
        proof: createProof(KEY, nonce, {
            daemonId: "b",
            targetId: "relay",
            relay: { serverId: "s", address: `${HOST}:1` },
        }),
    }),
    "a proof without the request": (nonce) => ({
        proof: createProof(KEY, nonce, { daemonId: "b", targetId: "relay" }),
    }),
    "a wrong key": (nonce) => ({ proof: createProof("other", nonce, { daemonId: "b", targetId: "relay" }) }),
    "no proof": () => ({ proof: new Uint8Array() }),
    "a request without an address": () => ({ relay: { serverId: "s" }, proof: new Uint8Array(32) }),
};

for (const [title, forge] of Object.entries(forgedHellos)) {
    // Guards against relaying for a process that doesn't know the shared key, or to a server that its peer didn't ask for.
    test(`a relay closes a connection whose hello has ${title}`, async (t) => {
        const { relayPort, request, serverSockets } = await startRelay(t);
        const socket = new WebSocket(`ws://${HOST}:${relayPort}`);
        t.teardown(() => socket.terminate());
        const [nonce] = await once(socket, "message") as [Buffer];
        const hello = { protocolVersion: PROTOCOL_VERSION, daemonId: "b", zone: "z", targetId: "relay" };
        socket.send(encode({ ...hello, relay: request, ...forge(nonce) }));
        await once(socket, "close");
        t.is(serverSockets.length, 0);
    });
}
