import { waitFor } from "@greengage/faults";
import test from "ava";
import { parseResponse } from "./rawcaller.ts";
import {
    chat,
    pay,
    read,
    replaceConfiguration,
    ROUTE_TIMEOUT_MS,
    setStreamDuration,
    startRequest,
    startServing,
    waitForFinalLines,
    waitUntilComplete,
    waitUntilRunning,
} from "./serving.ts";

/** Routes, services and organisations that no request of these tests uses. */
const unrelated = {
    routes: [{
        name: "other",
        host: "b.example",
        path_prefix: "/",
        kind: "safe",
        timeout_ms: 1_000,
        service: "other",
    }],
    services: [{ name: "other" }],
    tenants: [{ name: "others", api_keys: ["other-key"] }],
};

// Guards against requests that lose their answer because a new configuration drops what they were resolved to.
test.serial("requests in progress when a configuration drops their route, service and key are answered", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 4_000);
    const running = await startRequest(fixture, chat("running", ROUTE_TIMEOUT_MS));
    await waitFor("a stream", async () => running.received.includes("piece 1") ? true : undefined);
    for (const engine of fixture.engines) {
        engine.firstEventMs = 800;
        engine.eventCount = 4;
    }
    fixture.ledger.workMs = 1_500;
    const waiting = await startRequest(fixture, chat("waiting", ROUTE_TIMEOUT_MS));
    const payment = await startRequest(fixture, pay("payment", ROUTE_TIMEOUT_MS));
    const reading = await startRequest(fixture, read("reading", ROUTE_TIMEOUT_MS));
    const halfChat = await startRequest(fixture, chat("half-chat", ROUTE_TIMEOUT_MS).slice(0, -2));
    const halfPay = await startRequest(fixture, pay("half-pay", ROUTE_TIMEOUT_MS).slice(0, -2));
    await waitUntilRunning(fixture, ["running", "waiting", "payment", "reading"]);
    await replaceConfiguration(fixture, 8, unrelated);
    halfChat.send(chat("half-chat", ROUTE_TIMEOUT_MS).slice(-2));
    halfPay.send(pay("half-pay", ROUTE_TIMEOUT_MS).slice(-2));
    const callers = { running, waiting, payment, reading, halfChat, halfPay };
    await Promise.all(Object.values(callers).map(waitUntilComplete));
    const statuses = Object.entries(callers).map(([name, { received }]) => {
        const response = parseResponse(received);
        return [name, response?.status, response?.isComplete];
    });
    t.deepEqual(statuses, [
        ["running", 200, true],
        ["waiting", 200, true],
        ["payment", 200, true],
        ["reading", 200, true],
        ["halfChat", 404, true],
        ["halfPay", 404, true],
    ]);
});

// Guards against requests that end without an answer or a reason when their servers leave after their service.
test.serial("requests whose servers end after a configuration has dropped their service end with a reason", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 6_000);
    const running = await startRequest(fixture, chat("running", ROUTE_TIMEOUT_MS));
    await waitFor("a stream", async () => running.received.includes("piece 1") ? true : undefined);
    for (const engine of fixture.engines) {
        engine.firstEventMs = 6_000;
    }
    fixture.ledger.workMs = 6_000;
    const waiting = await startRequest(fixture, chat("waiting", ROUTE_TIMEOUT_MS));
    const payment = await startRequest(fixture, pay("payment", ROUTE_TIMEOUT_MS));
    const reading = await startRequest(fixture, read("reading", ROUTE_TIMEOUT_MS));
    const ids = ["running", "waiting", "payment", "reading"];
    await waitUntilRunning(fixture, ids);
    await replaceConfiguration(fixture, 8, unrelated);
    for (const engine of [...fixture.engines, fixture.ledger]) {
        engine.crash();
    }
    await Promise.all([waiting, payment, reading].map(waitUntilComplete));
    await waitFor("the end of the stream", async () => running.isClosed ? true : undefined);
    t.false(parseResponse(running.received)?.isComplete, "a stream that is broken off can't look complete");
    t.deepEqual([waiting, payment, reading].map(({ received }) => parseResponse(received)?.status), [
        502,
        502,
        502,
    ]);
    const lines = await waitForFinalLines(fixture, ids);
    t.deepEqual(lines.map(({ request }) => request).toSorted(), ids.toSorted());
    t.true(lines.every(({ event, reason }) => event === "request.failed" && reason !== undefined));
});
