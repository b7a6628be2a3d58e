import { type ConnectionHistory, type InterruptedRequest, ServerConnections, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { createServer, type RequestListener, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";

const GET = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const LARGE_BODY_BYTES = 32 * 1024 * 1024;
const CLOSE_LIMIT_MS = 5_000;

interface Client {
    socket: Socket;
    received: () => string;
    closed: Promise<void>;
}

interface Fixture {
    connections: ServerConnections;
    interrupted: InterruptedRequest[];
    idleClosed: ConnectionHistory[];
    /** Begins to connect. */
    connectClient: () => Client;
    /** Connects, and waits until the server has accepted the connection. */
    open: () => Promise<Client>;
}

const startServer = async (t: ExecutionContext, onRequest: RequestListener): Promise<Fixture> => {
    const interrupted: InterruptedRequest[] = [];
    const idleClosed: ConnectionHistory[] = [];
    const server = createServer();
    const connections = new ServerConnections(server, onRequest, {
        onInterrupted: (request) => interrupted.push(request),
        onIdleClosed: (connection) => idleClosed.push(connection),
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        void connections.stopListening();
        connections.closeAll();
    });
    const { port } = server.address() as AddressInfo;
    const connectClient = (): Client => {
        const socket = connect({ host: "127.0.0.1", port });
        let text = "";
        socket.on("data", (chunk) => {
            text += chunk.toString("latin1");
        });
        socket.on("error", () => undefined);
        const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
        t.teardown(() => socket.destroy());
        return { socket, received: () => text, closed };
    };
    const open = async (): Promise<Client> => {
        const openBefore = connections.counts().open;
        const client = connectClient();
        await waitFor(
            "an accepted connection",
            async () => connections.counts().open > openBefore ? true : undefined,
        );
        return client;
    };
    return { connections, interrupted, idleClosed, connectClient, open };
};

const waitForReading = (connections: ServerConnections, count: number): Promise<boolean> =>
    waitFor(
        `${count} connections being read`,
        async () => connections.counts().reading === count ? true : undefined,
    );

// Guards against a later request on a connection that was overlooked because it never had one.
test("a connection on which nothing was sent is closed as idle", async (t) => {
    const { connections, interrupted, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    t.deepEqual(connections.counts(), { open: 1, reading: 0, answering: 0 });
    connections.closeIdle();
    await client.closed;
    t.is(client.received(), "");
    t.deepEqual(interrupted, []);
});

test("an incomplete request head is not closed as idle", async (t) => {
    const { connections, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    client.socket.write(GET.slice(0, 10));
    await waitForReading(connections, 1);
    connections.closeAfterResponses();
    connections.closeIdle();
    client.socket.write(GET.slice(10));
    await client.closed;
    t.regex(client.received(), /^HTTP\/1\.1 200 OK\r\n[^]*connection: close\r\n[^]*ok/i);
});

// Guards against requests that a busy process has not read yet when it closes idle connections.
test("a request that has arrived but has not been read is answered", async (t) => {
    const { connections, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    connections.closeAfterResponses();
    client.socket.write(GET);
    t.true(await connections.closeWhenIdle(CLOSE_LIMIT_MS));
    await client.closed;
    t.regex(client.received(), /200 OK[^]*ok/);
});

// Guards against requests of clients that connect in the instant in which the listener closes.
test("a client that has connected but has not been accepted is answered when the listener closes", async (t) => {
    const { connections, connectClient } = await startServer(t, (_, response) => response.end("ok"));
    const client = connectClient();
    // After this tick the kernel has opened the connection, and the server hasn't accepted it yet.
    await new Promise<void>((resolve) => process.nextTick(resolve));
    connections.closeAfterResponses();
    await connections.stopListening();
    client.socket.write(GET);
    t.true(await connections.closeWhenIdle(CLOSE_LIMIT_MS));
    await client.closed;
    t.regex(client.received(), /^HTTP\/1\.1 200 /);
});

test("a client that connects shortly before the close is answered", async (t) => {
    const { connections, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    const unused = await open();
    connections.closeAfterResponses();
    await connections.stopListening();
    const closing = connections.closeWhenIdle(CLOSE_LIMIT_MS);
    await sleep(100);
    client.socket.write(GET);
    t.true(await closing, "connections that stay unused are closed");
    await Promise.all([client, unused].map(({ closed }) => closed));
    t.regex(client.received(), /^HTTP\/1\.1 200 /);
    t.is(unused.received(), "");
});

test("an incomplete request head is rejected once, and its rest is not handled", async (t) => {
    let handled = 0;
    const { connections, interrupted, open } = await startServer(t, (_, response) => {
        handled += 1;
        response.end("ok");
    });
    const client = await open();
    client.socket.write(GET.slice(0, 10));
    await waitForReading(connections, 1);
    const rejection = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    connections.rejectIncompleteHeads(rejection);
    client.socket.write(GET.slice(10));
    connections.rejectIncompleteHeads(rejection);
    await client.closed;
    t.is(client.received(), rejection);
    t.is(handled, 0);
    t.deepEqual(interrupted, []);
});

// Guards against clients that keep a connection busy and so are never found idle, and against requests that are read and dropped.
test("a request behind a response that has begun is answered, and the connection closes after it", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, interrupted, open } = await startServer(t, (_, response) => {
        responses.push(response);
        response.write("part");
    });
    const client = await open();
    client.socket.write(GET);
    await waitFor("a response head", async () => client.received().includes("part") ? true : undefined);
    connections.closeAfterResponses();
    client.socket.write(GET);
    await waitFor("a second request", async () => responses.length === 2 ? true : undefined);
    client.socket.write(GET);
    await waitFor("a discarded request", async () => interrupted.length === 1 ? true : undefined);
    responses.forEach((response) => response.end("rest"));
    await client.closed;
    const [, first = "", second = ""] = client.received().split("HTTP/1.1 200 OK");
    t.notRegex(first, /connection: close/i);
    t.regex(first, /rest/);
    t.regex(second, /connection: close\r\n[^]*rest/i);
    t.is(responses.length, 2, "a request behind the announcement of the close is not handled");
});

test("a request behind one without a response is answered", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, open } = await startServer(t, (_, response) => responses.push(response));
    connections.closeAfterResponses();
    const client = await open();
    client.socket.write(GET);
    await waitFor("a request", async () => responses.length === 1 ? true : undefined);
    client.socket.write(GET);
    await waitFor("a second request", async () => responses.length === 2 ? true : undefined);
    responses.forEach((response) => response.end("ok"));
    await client.closed;
    t.is(client.received().match(/HTTP\/1\.1 200/g)?.length, 2);
    t.regex(client.received(), /connection: keep-alive[^]*ok[^]*connection: close[^]*ok$/i);
});

// Guards against requests that a busy process has not read yet at the end of a response that announced no close.
test("a request that has arrived at the end of a response is answered", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, open } = await startServer(t, (_, response) => {
        responses.push(response);
        response.write("part");
    });
    const client = await open();
    client.socket.write(GET);
    await waitFor("a response head", async () => client.received().includes("part") ? true : undefined);
    connections.closeAfterResponses();
    const [first] = responses;
    first?.once("close", () => client.socket.write(GET));
    first?.end("rest");
    await waitFor(
        "a second request",
        async () => responses.length === 2 || client.socket.destroyed ? true : undefined,
    );
    responses[1]?.end("rest");
    await client.closed;
    t.is(client.received().match(/HTTP\/1\.1 200/g)?.length, 2);
    t.is(client.received().match(/connection: close/gi)?.length, 1);
});

test("pipelined requests that were read before the close are all answered", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, open } = await startServer(t, (_, response) => responses.push(response));
    const client = await open();
    client.socket.write(GET + GET);
    await waitFor("two requests", async () => responses.length === 2 ? true : undefined);
    connections.closeAfterResponses();
    responses.forEach((response) => response.end("ok"));
    await client.closed;
    t.is(client.received().match(/HTTP\/1\.1 200/g)?.length, 2);
    t.is(client.received().match(/connection: close/gi)?.length, 1);
});

// Guards against requests that end without a trace, as no handler has seen them.
test("a request that follows the announcement of the close is reported as discarded", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, interrupted, open } = await startServer(t, (_, response) => {
        responses.push(response);
        response.write("part");
    });
    connections.closeAfterResponses();
    const client = await open();
    client.socket.write(GET);
    await waitFor("a response head", async () => client.received().includes("part") ? true : undefined);
    client.socket.write("GET /second HTTP/1.1\r\nhost: a\r\n\r\n");
    await waitFor("a discarded request", async () => interrupted.length === 1 ? true : undefined);
    responses[0]?.end("rest");
    await client.closed;
    t.regex(client.received(), /rest/);
    const [{ progress, request, connection } = {}] = interrupted;
    t.is(progress, "discarded");
    t.is(request?.url, "/second");
    t.is(connection?.requestCount, 1);
});

test("a connection that is closed without an announcement is reported with what it has carried", async (t) => {
    const { connections, idleClosed, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    const { localAddress, localPort } = client.socket;
    client.socket.write(GET);
    await waitFor("a response", async () => client.received().includes("ok") ? true : undefined);
    connections.closeAfterResponses();
    connections.closeIdle();
    await client.closed;
    const [{ peer, requestCount, lastRequest } = {}] = idleClosed;
    t.is(peer, `${localAddress}:${localPort}`);
    t.is(requestCount, 1);
    t.is(lastRequest?.url, "/");
});

// Guards against `Server.close`, which destroys connections whose response has ended but is still buffered.
test("a response that its client reads slowly is complete after the close", async (t) => {
    const { connections, interrupted, open } = await startServer(t, (_, response) => {
        response.end(Buffer.alloc(LARGE_BODY_BYTES, "a"));
    });
    const client = await open();
    client.socket.pause();
    client.socket.write(GET);
    await waitFor("a request", async () => connections.counts().answering === 1 ? true : undefined);
    connections.closeAfterResponses();
    await connections.stopListening();
    const allClosed = connections.closeWhenIdle(CLOSE_LIMIT_MS);
    await sleep(200);
    client.socket.resume();
    await client.closed;
    t.true(await allClosed);
    t.is(client.received().split("\r\n\r\n")[1]?.length, LARGE_BODY_BYTES);
    t.deepEqual(interrupted, []);
});

test("interrupted requests are reported with their progress", async (t) => {
    const { connections, interrupted, open } = await startServer(t, (request, response) => {
        if (request.url === "/answering") {
            response.write("part");
        }
    });
    const sent = [
        "GET / HT",
        "POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab",
        "GET /unanswered HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET /answering HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    const clients: Client[] = [];
    for (const text of sent) {
        const client = await open();
        client.socket.write(text);
        clients.push(client);
    }
    await waitForReading(connections, 2);
    await waitFor("two requests", async () => connections.counts().answering === 2 ? true : undefined);
    t.false(await connections.closeWhenIdle(100));
    clients[2]?.socket.destroy();
    await clients[2]?.closed;
    await waitFor("a closed connection", async () => interrupted.length === 1 ? true : undefined);
    connections.closeAll();
    await waitFor(
        "all connections closed",
        async () => interrupted.length === sent.length ? true : undefined,
    );
    t.deepEqual(
        interrupted.map(({ progress, request, isClosedByClient }) => ({
            progress,
            url: request?.url,
            isClosedByClient,
        })).sort((a, b) => a.progress < b.progress ? -1 : 1),
        [
            { progress: "answering", url: "/answering", isClosedByClient: false },
            { progress: "readingBody", url: "/body", isClosedByClient: false },
            { progress: "readingHead", url: undefined, isClosedByClient: false },
            { progress: "unanswered", url: "/unanswered", isClosedByClient: true },
        ],
    );
});

// Guards against connections that look as if a request head were incomplete, and so delay the close.
test("a connection whose request had an unknown expectation is closed as idle", async (t) => {
    const { connections, open } = await startServer(t, (_, response) => response.end("ok"));
    const client = await open();
    client.socket.write("GET / HTTP/1.1\r\nhost: a\r\nexpect: other\r\n\r\n");
    await waitFor("a response", async () => client.received().includes("417") ? true : undefined);
    t.deepEqual(connections.counts(), { open: 1, reading: 0, answering: 0 });
    connections.closeAfterResponses();
    t.true(await connections.closeWhenIdle(CLOSE_LIMIT_MS));
});

// Guards against responses that are lost because the response to an earlier request announces the close.
test("a request with an unknown expectation that is read behind another one is answered", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, open } = await startServer(t, (_, response) => responses.push(response));
    const client = await open();
    client.socket.write(`${GET}GET / HTTP/1.1\r\nhost: a\r\nexpect: other\r\n\r\n`);
    await waitFor("a request", async () => responses.length === 1 ? true : undefined);
    connections.closeAfterResponses();
    responses[0]?.end("ok");
    await client.closed;
    t.regex(client.received(), /HTTP\/1\.1 200 [^]*ok[^]*HTTP\/1\.1 417 /);
});

// Guards against requests that are dropped while the announcement of the close waits behind an earlier response.
test("a request that is read before the announcement of the close can be sent is answered", async (t) => {
    const responses: ServerResponse[] = [];
    const { connections, interrupted, open } = await startServer(t, (request, response) => {
        responses.push(response);
        if (request.url === "/") {
            response.write("part");
            return;
        }
        response.end("quick");
    });
    const client = await open();
    client.socket.write(GET);
    await waitFor("a response head", async () => client.received().includes("part") ? true : undefined);
    connections.closeAfterResponses();
    const quickRequest = "GET /quick HTTP/1.1\r\nhost: a\r\n\r\n";
    client.socket.write(quickRequest);
    await waitFor("a second request", async () => responses.length === 2 ? true : undefined);
    t.notRegex(client.received(), /connection: close/i);
    client.socket.write(quickRequest);
    await waitFor(
        "a third request",
        async () => responses.length === 3 || interrupted.length === 1 ? true : undefined,
    );
    responses[0]?.end("rest");
    await client.closed;
    t.deepEqual(interrupted.map(({ progress }) => progress), []);
    t.is(client.received().match(/HTTP\/1\.1 200/g)?.length, 3);
});
