import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { OrderOutcome } from "@greengage/fleet";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { HttpEngineOrders } from "../../platform/orders.ts";
import { reportOf } from "../fleet/fixtures.ts";
import { responsesWithInvalidFields, responsesWithInvalidStatus } from "../gateway/malformedresponses.ts";
import { Finish, startRawServer } from "../gateway/rawserver.ts";
import { PlatformEngine } from "./engine.ts";

const group = { groupName: "g", epoch: 3 };

const createOrders = (t: ExecutionContext): HttpEngineOrders => {
    const orders = new HttpEngineOrders(createContext({ daemonId: "c", zone: "z" }));
    t.teardown(() => orders.destroy());
    return orders;
};

// Guards against reassigning the members of a head that still serves behind a partition that refuses connections.
test("a refused connection does not prove that a process has ended", async (t) => {
    const [port] = await freePorts(1);
    const server = reportOf("e1", { address: `127.0.0.1:${port}` });
    const orders = createOrders(t);
    t.is(await orders.leave(server, group), OrderOutcome.Unknown);
    t.deepEqual(await orders.probe(server), { kind: "silent" });
});

test("an engine executes orders for its group, and refuses orders for the former engine at its address", async (t) => {
    const engine = await PlatformEngine.start(t, {
        id: "e1",
        service: "llm",
        domain: "d",
        control: "127.0.0.1:1",
    });
    const server = reportOf("e1", { address: engine.address });
    const orders = createOrders(t);
    t.is(await orders.join(server, { ...group, model: "m", memberIds: ["e1"] }), OrderOutcome.Accepted);
    t.is(
        await orders.join(server, { ...group, epoch: 2, model: "m", memberIds: ["e1"] }),
        OrderOutcome.Refused,
    );
    t.is(await orders.leave(server, group), OrderOutcome.Accepted);
    t.is(await orders.open(server, group), OrderOutcome.Refused);
    const formerServer = { ...server, serverId: "e0" };
    t.is(await orders.leave(formerServer, group), OrderOutcome.WrongServer);
    t.deepEqual(await orders.probe(formerServer), { kind: "ended" });
});

// Guards against an order that counts as carried out because of the late second copy of an earlier answer.
test("a second copy of an answer isn't taken for the answer to the next order", async (t) => {
    const answerOf = (status: number): string => `HTTP/1.1 ${status} Status\r\ncontent-length: 0\r\n\r\n`;
    const sockets = new Set<Socket>();
    let orderCount = 0;
    const server = createServer((socket) => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let answeredHere = 0;
        socket.on("data", () => {
            orderCount += 1;
            answeredHere += 1;
            // The first order is accepted, all others are refused.
            socket.write(answerOf(orderCount === 1 || answeredHere > 1 ? 202 : 409));
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const target = reportOf("e1", { address: `127.0.0.1:${port}` });
    const orders = createOrders(t);
    t.is(await orders.leave(target, group), OrderOutcome.Accepted);
    for (let epoch = 4; epoch < 8; epoch += 1) {
        t.is(await orders.leave(target, { ...group, epoch }), OrderOutcome.Refused);
    }
});

const HEAD = "HTTP/1.1 200 OK\r\n";
/** More than the HTTP client buffers of a response, and more than is read of one. */
const LARGE_REPORT = `{"pace":1,"more":"${"x".repeat(300_000)}"}`;

// Guards against an engine that counts as live by the part of a response that looks whole.
for (const finishDelayMs of [0, 20]) {
    test(`a probe whose response is reset ${finishDelayMs} ms after its part isn't answered`, async (t) => {
        const text = `${HEAD}\r\n{"pace":1}`;
        const { address } = await startRawServer(t, { text, finish: Finish.Reset, finishDelayMs });
        t.deepEqual(await createOrders(t).probe(reportOf("e1", { address })), { kind: "silent" });
    });
}

test("a probe is answered by a response without a length that ends regularly", async (t) => {
    const { address } = await startRawServer(t, { text: `${HEAD}\r\n{"pace":0.5}`, finish: Finish.End });
    t.deepEqual(await createOrders(t).probe(reportOf("e1", { address })), { kind: "answered", pace: 0.5 });
});

// Guards against a control daemon that ends when a connection does, while a response is paused that is too large.
for (const finish of [Finish.Reset, Finish.End]) {
    for (const finishDelayMs of [0, 20]) {
        test(`a large response to a probe or an order does no harm (${finish} after ${finishDelayMs} ms)`, async (t) => {
            const text = `${HEAD}\r\n${LARGE_REPORT}`;
            const { address } = await startRawServer(t, { text, finish, finishDelayMs });
            const orders = createOrders(t);
            const server = reportOf("e1", { address });
            t.deepEqual(await orders.probe(server), { kind: "silent" });
            t.is(await orders.leave(server, group), OrderOutcome.Accepted);
        });
    }
}

const REPORT = `{"pace":1}`;
const malformedResponses = {
    ...responsesWithInvalidStatus("", REPORT),
    ...responsesWithInvalidFields("", REPORT),
};

// Guards against an engine that counts as live, or an order that counts as carried out, by a malformed response.
test("a probe isn't answered by a malformed response, and an order has no outcome by a malformed head", async (t) => {
    for (const [title, text] of Object.entries(malformedResponses)) {
        const { address } = await startRawServer(t, { text });
        const orders = createOrders(t);
        const server = reportOf("e1", { address });
        t.deepEqual(await orders.probe(server), { kind: "silent" }, title);
        // The status of an order is its outcome before a trailer arrives.
        const outcome = title.endsWith("trailer") ? OrderOutcome.Accepted : OrderOutcome.Unknown;
        t.is(await orders.leave(server, group), outcome, title);
    }
});
