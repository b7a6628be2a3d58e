import { FaultProxy, waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { connect, createServer, type Server, type Socket } from "node:net";

interface EchoServer {
    proxy: FaultProxy;
    server: Server;
    received: string[];
}

/** Starts an echo server behind a proxy. */
const startEchoServer = async (t: ExecutionContext): Promise<EchoServer> => {
    const received: string[] = [];
    const server = createServer((socket) => {
        socket.on("error", () => socket.destroy());
        socket.on("data", (chunk) => {
            received.push(chunk.toString());
            socket.write(chunk);
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const proxy = new FaultProxy({ targetPort: (server.address() as { port: number; }).port });
    await proxy.start();
    t.teardown(async () => {
        await proxy.close();
        server.close();
    });
    return { proxy, server, received };
};

interface Client {
    socket: Socket;
    answers: string[];
    isClosed: boolean;
}

const connectFrom = async (t: ExecutionContext, proxy: FaultProxy, source: string): Promise<Client> => {
    const socket = connect({ host: "127.0.0.1", port: proxy.port, localAddress: source });
    const client: Client = { socket, answers: [], isClosed: false };
    socket.on("data", (chunk) => client.answers.push(chunk.toString()));
    socket.on("error", () => socket.destroy());
    socket.once("close", () => {
        client.isClosed = true;
    });
    t.teardown(() => socket.destroy());
    await waitFor("the connection", () => socket.readyState === "open" || client.isClosed || undefined);
    return client;
};

const exchange = async (client: Client, text: string): Promise<void> => {
    client.socket.write(text);
    await waitFor(`answer ${text}`, () => client.answers.join("").includes(text) || undefined);
};

// Guards against faults that affect connections of other sources.
test("a held link delivers its bytes after the fault and does not affect other sources", async (t) => {
    const { proxy, received } = await startEchoServer(t);
    const held = await connectFrom(t, proxy, "127.0.7.1");
    const free = await connectFrom(t, proxy, "127.0.7.2");
    await exchange(held, "one");
    proxy.setFault("127.0.7.1", { toTarget: { mode: "hold" } });
    held.socket.write("two");
    await exchange(free, "three");
    t.false(received.join("").includes("two"));
    proxy.heal("127.0.7.1");
    await waitFor("the held bytes", () => held.answers.join("") === "onetwo" || undefined);
    t.deepEqual(held.answers.join(""), "onetwo");
});

// Guards against a half-open link that delivers bytes of the dropped direction, or a stream with a gap after the fault.
test("a swallowing link drops the bytes of one direction and resets the connection after the fault", async (t) => {
    const { proxy, received } = await startEchoServer(t);
    const client = await connectFrom(t, proxy, "127.0.7.1");
    await exchange(client, "one");
    proxy.setFault("127.0.7.1", { toSource: { mode: "swallow" } });
    client.socket.write("two");
    await waitFor("the request", () => received.join("").includes("two") || undefined);
    proxy.heal();
    client.socket.write("three");
    await waitFor("the reset", () => client.isClosed || undefined);
    t.is(client.answers.join(""), "one");
});

// Guards against partitions that a peer notices because the proxy closes one side when the other side closes.
test("a held link forwards the end of a connection only after the fault", async (t) => {
    const { proxy, server } = await startEchoServer(t);
    const client = await connectFrom(t, proxy, "127.0.7.1");
    await exchange(client, "one");
    const serverConnectionCount = (): Promise<number> =>
        new Promise((resolve) => server.getConnections((_, count) => resolve(count)));
    proxy.setFault("127.0.7.1", { toTarget: { mode: "hold" }, toSource: { mode: "hold" } });
    client.socket.destroy();
    await waitFor("the end at the client", () => client.isClosed || undefined);
    t.is(await serverConnectionCount(), 1);
    proxy.heal();
    await waitFor("the end at the server", async () => await serverConnectionCount() === 0 || undefined);
    t.is(await serverConnectionCount(), 0);
});

test("refused and reset links close connections", async (t) => {
    const { proxy } = await startEchoServer(t);
    const existing = await connectFrom(t, proxy, "127.0.7.1");
    await exchange(existing, "one");
    proxy.setFault("127.0.7.1", { refuse: true });
    const refused = await connectFrom(t, proxy, "127.0.7.1");
    await waitFor("the refusal", () => refused.isClosed || undefined);
    await exchange(existing, "two");
    proxy.reset("127.0.7.1");
    await waitFor("the reset", () => existing.isClosed || undefined);
    t.true(existing.isClosed);
});

// Guards against delays that change the order of bytes within a connection.
test("a delayed link keeps the order of a connection", async (t) => {
    const { proxy } = await startEchoServer(t);
    proxy.setFault("127.0.7.1", { toTarget: { delayMs: 20, reorderMs: 20 } });
    const client = await connectFrom(t, proxy, "127.0.7.1");
    const startedAtMs = performance.now();
    const text = Array.from({ length: 50 }, (_, index) => `${index},`);
    for (const part of text) {
        client.socket.write(part);
    }
    await waitFor("all answers", () => client.answers.join("") === text.join("") || undefined);
    t.true(performance.now() - startedAtMs >= 20);
});
