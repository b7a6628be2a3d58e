import { ErrorCode, sleep, Verdict } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { isServedWhileDraining } from "@greengage/gateway";
import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import { createGateway, eventOf, startServer, streamEvents, writeHead } from "./fixtures.ts";

const DRAIN = { startedAtMs: 1_000, closesAtMs: 8_300 };

// Guards against late requests that are taken and then cut off by the end of the process.
test("a late request that can't end before the daemon closes is not served", (t) => {
    const isServed = (nowMs: number, endsAtMs: number): boolean =>
        isServedWhileDraining(DRAIN, { nowMs, endsAtMs });
    t.true(isServed(1_000, 100_000), "the load balancer still sends requests");
    t.true(isServed(4_000, 100_000));
    t.false(isServed(4_001, 100_000));
    t.true(isServed(4_001, 8_300));
    t.false(isServed(4_001, 8_301));
    t.true(isServed(8_299, 8_300));
    t.false(isServed(8_300, 8_300), "the daemon closes");
    const short = { startedAtMs: 1_000, closesAtMs: 2_000 };
    t.false(isServedWhileDraining(short, { nowMs: 2_500, endsAtMs: 2_600 }), "a grace period below 3 s");
});

test("a request that comes after the calls have been ended is rejected as not run", async (t) => {
    const head = await startServer(t, streamEvents(4));
    const fixture = createGateway(t, { groupHeads: [head] });
    const startedAtMs = performance.now();
    fixture.gateway.drain({ startedAtMs, closesAtMs: startedAtMs + 10_000 });
    t.is((await fixture.send()).status, 200);
    fixture.gateway.endCalls();
    const { error } = await fixture.send();
    t.is(error?.code, ErrorCode.Draining);
    t.is(error?.verdict, Verdict.NotRun);
    t.true((error?.retryAfterMs ?? 0) > 0);
    t.is(head.received.length, 1);
});

// Guards against a promise that a request has not run although a server has received it.
test("the final error of a call that a shutdown ends says whether a server may have run it", async (t) => {
    const silent = await startServer(t, () => undefined);
    const streaming = await startServer(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1));
    });
    const route = buildRoute({
        name: "pay",
        pathPrefix: "/pay/",
        shares: [{ service: "ledger", weight: 1 }],
    });
    const requests = [
        { server: silent, fields: {} },
        { server: streaming, fields: {} },
        { server: silent, fields: { target: "/pay/1", generation: undefined } },
    ];
    for (const { server, fields } of requests) {
        const fixture = createGateway(t, {
            groupHeads: [server],
            servers: [server],
            configuration: { routes: [buildRoute(), route] },
        });
        const countBefore = server.received.length;
        const abortedBefore = server.abortedCount;
        const { response, done } = fixture.startRequest(fields);
        await waitFor("a request", async () => server.received.length > countBefore ? true : undefined);
        await sleep(50);
        fixture.gateway.endCalls();
        await done;
        t.is(response.error?.verdict, Verdict.MayHaveRun);
        t.is(response.isDestroyed, server === streaming, "a stream that has begun is broken off");
        await waitFor(
            "the end of the server's work",
            async () => server.abortedCount > abortedBefore ? true : undefined,
        );
    }
});

test("a call that waits for its start is rejected as not run when the calls are ended", async (t) => {
    const fixture = createGateway(t, { isUninitialized: true });
    const { response, done } = fixture.startRequest();
    const startedAtMs = performance.now();
    fixture.gateway.endCalls();
    await done;
    t.true(performance.now() - startedAtMs < 300);
    t.is(response.error?.verdict, Verdict.NotRun);
});

// Guards against a final error that comes after the connections have been closed.
test("a call that waits between two attempts gets its final error at once when the calls are ended", async (t) => {
    const crashing = await startServer(t, (request, response) => {
        writeHead(request, response);
        response.flushHeaders();
        setTimeout(() => response.socket?.resetAndDestroy(), 20);
    });
    let isWaiting = false;
    const fixture = createGateway(t, {
        groupHeads: [crashing],
        crashLeader: {
            report: async () => {
                isWaiting = true;
                await sleep(2_000);
                return undefined;
            },
            requestTrial: () => Promise.resolve(false),
        },
    });
    const parts = ["shared", "own"].map((id) => ({ id, tokens: 10 }));
    const generation = { model: "large", promptTokens: 100, maxAnswerTokens: 50, parts };
    const { response, done } = fixture.startRequest({ generation });
    await waitFor("the report of the crash", () => isWaiting || undefined);
    fixture.gateway.endCalls();
    const endedAtMs = performance.now();
    await done;
    t.true(performance.now() - endedAtMs < 300);
    t.is(response.error?.verdict, Verdict.MayHaveRun);
});
