import { ErrorCode, sleep, Verdict } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { freePorts, waitFor } from "@greengage/faults";
import type { PlacementResponse } from "@greengage/protocol";
import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    createGateway,
    eventOf,
    type FakeServer,
    type RequestHandler,
    startServer,
    streamEvents,
    viewOf,
    writeHead,
} from "./fixtures.ts";

const COMPLETE_STREAM = [1, 2, 3, 4].map(eventOf).join("");

// Guards against lost, repeated or truncated events, and against mixing events of two runs of a request.
const failingGroupHandlers: Record<string, RequestHandler> = {
    "breaks the connection inside an event": (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1) + eventOf(2) + eventOf(3).slice(0, 9));
        setTimeout(() => response.destroy(), 20);
    },
    "breaks the connection before the first event": (request, response) => {
        writeHead(request, response);
        response.flushHeaders();
        setTimeout(() => response.destroy(), 20);
    },
    "ends inside an event": (request, response) => {
        writeHead(request, response);
        response.end(eventOf(1) + eventOf(2).slice(0, 9));
    },
    "responds with the id of another request": (_, response) => {
        response.writeHead(200, { "x-id": "another", "x-signature": "s" });
        response.end(eventOf(1));
    },
    "responds without a signature": (request, response) => {
        response.writeHead(200, { "x-id": request.headers["x-id"] });
        response.end(eventOf(1));
    },
    "rejects the request": (request, response) => {
        response.writeHead(503, { "x-id": request.headers["x-id"], "x-not-run": "1" });
        response.end();
    },
    fails: (request, response) => {
        writeHead(request, response, 500);
        response.end();
    },
};

for (const [title, handler] of Object.entries(failingGroupHandlers)) {
    test(`the caller receives each event exactly once when a group ${title}`, async (t) => {
        const first = await startServer(t, handler);
        const second = await startServer(t, streamEvents(4));
        const response = await createGateway(t, { groupHeads: [first, second] }).send();
        t.is(response.text, COMPLETE_STREAM);
        t.true(response.isEnded);
        t.is(first.received.length, 1);
        t.is(second.received.length, 1);
    });
}

// Guards against streams that stay at a stalled group, and against a stall that is not reported to the controller.
test("streams of a stalled group fail over, and the suspicion is reported to the controller", async (t) => {
    const first = await startServer(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1) + eventOf(2));
    });
    const second = await startServer(t, streamEvents(4));
    const fixture = createGateway(t, { groupHeads: [first, second] });
    const response = await fixture.send();
    t.is(response.text, COMPLETE_STREAM);
    t.is(second.received[0]?.["x-last-event"], "2");
    t.true(
        fixture.suspicions.some(({ groupName, hasRunningStream }) => groupName === "g0" && hasRunningStream),
    );
    t.is((await fixture.send()).text, COMPLETE_STREAM);
    t.is(first.received.length, 1, "a suspected group receives no new requests");
});

// Guards against a stalled group that is noticed only when each of its streams hangs.
for (
    const [title, events] of Object.entries({
        "sends no first event": "",
        "stops after an event": eventOf(1),
    })
) {
    test(`a group that ${title} is suspected, and its stream fails over with the group`, async (t) => {
        const handler: RequestHandler = (request, response) => {
            writeHead(request, response);
            response.write(events);
            response.flushHeaders();
        };
        const groupHeads = [await startServer(t, handler), await startServer(t, streamEvents(4))];
        const { send, suspicions, decisions } = createGateway(t, { groupHeads });
        const { text } = await send();
        t.is(text, COMPLETE_STREAM);
        const failed = decisions.find(({ event }) => event === "request.attemptFailed");
        t.regex(String(failed?.fields["reason"]), /the group made no progress/);
        t.true(suspicions.some(({ hasRunningStream }) => hasRunningStream === (events !== "")));
    });
}

test("a stream that may not be resumed is aborted instead of continued by another run", async (t) => {
    const first = await startServer(
        t,
        failingGroupHandlers["breaks the connection inside an event"] as RequestHandler,
    );
    const second = await startServer(t, streamEvents(4));
    const configuration = { routes: [buildRoute({ canResume: false })] };
    const response = await createGateway(t, { groupHeads: [first, second], configuration }).send();
    t.true(response.isDestroyed);
    t.false(response.isEnded);
    t.is(second.received.length, 0);
});

test("the connection to the engine closes when the caller disconnects", async (t) => {
    const engine = await startServer(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1));
    });
    const { response, done } = createGateway(t, { groupHeads: [engine] }).startRequest();
    await waitFor("the first event", () => response.text === "" ? undefined : true);
    response.disconnect();
    await done;
    await waitFor("the end of the exchange", () => engine.abortedCount === 1 ? true : undefined);
    t.false(response.isEnded);
});

test("a request is rejected immediately as not run when no group is available", async (t) => {
    const startedAtMs = performance.now();
    const response = await createGateway(t).send();
    t.is(response.error?.code, ErrorCode.NoCapacity);
    t.is(response.error?.verdict, Verdict.NotRun);
    t.true((response.error?.retryAfterMs ?? 0) > 0);
    t.true(performance.now() - startedAtMs < 1_000);
});

test("retries stop when the retry budget is exhausted", async (t) => {
    const busy = await startServer(t, failingGroupHandlers["rejects the request"] as RequestHandler);
    const other = await startServer(t, failingGroupHandlers["rejects the request"] as RequestHandler);
    const fixture = createGateway(t, { groupHeads: [busy, other], retries: { share: 0, slack: 2 } });
    for (let count = 0; count < 5; count += 1) {
        await fixture.send();
    }
    t.true(busy.received.length + other.received.length <= 5 + 2);
});

const ledgerRoutes = {
    routes: [
        buildRoute({
            name: "pay",
            pathPrefix: "/pay/",
            kind: RouteKind.Unsafe,
            shares: [{ service: "ledger", weight: 1 }],
            canResume: false,
        }),
        buildRoute({
            name: "read",
            pathPrefix: "/read/",
            kind: RouteKind.Safe,
            shares: [{ service: "ledger", weight: 1 }],
            canResume: false,
        }),
    ],
};
const unsafeRequest = { target: "/pay/1", generation: undefined };
const safeRequest = { target: "/read/1", generation: undefined };
const respondDone: RequestHandler = (request, response) => {
    writeHead(request, response);
    response.end("done");
};

// Guards against a payment that runs twice, and against the verdict notRun for one that may have run.
const failingServerHandlers: Record<string, RequestHandler> = {
    "breaks the connection": (_, response) => void response.destroy(),
    "aborts the response": (request, response) => {
        response.writeHead(200, {
            "x-id": request.headers["x-id"],
            "x-signature": "s",
            "content-length": "9",
        });
        response.write("do");
        setTimeout(() => response.destroy(), 20);
    },
    "resets a response without content-length": (request, response) => {
        response.socket?.write(
            `HTTP/1.1 200 OK\r\nx-id: ${
                request.headers["x-id"]
            }\r\nx-signature: s\r\nconnection: close\r\n\r\ndo`,
        );
        setTimeout(() => response.socket?.resetAndDestroy(), 20);
    },
    "responds with the id of another request": (_, response) => {
        response.writeHead(200, { "x-id": "another", "x-signature": "s" });
        response.end("done");
    },
};

for (const [title, handler] of Object.entries(failingServerHandlers)) {
    test(`an unsafe request is sent once and gets the verdict mayHaveRun when the server ${title}`, async (t) => {
        const first = await startServer(t, handler);
        const second = await startServer(t, respondDone);
        const response = await createGateway(t, { servers: [first, second], configuration: ledgerRoutes })
            .send(
                unsafeRequest,
            );
        t.is(first.received.length + second.received.length, 1);
        t.is(response.error?.verdict, Verdict.MayHaveRun);
        t.false(response.isEnded);
    });

    test(`a safe request is retried at another server when the first ${title}`, async (t) => {
        const first = await startServer(t, handler);
        const second = await startServer(t, respondDone);
        const response = await createGateway(t, { servers: [first, second], configuration: ledgerRoutes })
            .send(
                safeRequest,
            );
        t.is(response.text, "done");
        t.is(second.received.length, 1);
    });
}

test("an unsafe request whose connection was refused is sent to another server", async (t) => {
    const [port] = await freePorts(1);
    const absent: FakeServer = { address: `127.0.0.1:${port}`, received: [], abortedCount: 0 };
    const second = await startServer(t, respondDone);
    const response = await createGateway(t, { servers: [absent, second], configuration: ledgerRoutes }).send(
        unsafeRequest,
    );
    t.is(response.text, "done");
});

test("the error response of a server is relayed to the caller unchanged", async (t) => {
    const failing = await startServer(t, (request, response) => {
        writeHead(request, response, 500);
        response.end("broken");
    });
    const response = await createGateway(t, { servers: [failing], configuration: ledgerRoutes }).send(
        unsafeRequest,
    );
    t.is(response.status, 500);
    t.is(response.text, "broken");
});

test("the error response of an engine is relayed if the stream may not be rerun", async (t) => {
    const failing = await startServer(t, (request, response) => {
        writeHead(request, response, 500);
        response.end("broken");
    });
    const other = await startServer(t, streamEvents(4));
    const configuration = { routes: [buildRoute({ canResume: false })] };
    const response = await createGateway(t, { groupHeads: [failing, other], configuration }).send();
    t.is(response.status, 500);
    t.is(response.text, "broken");
    t.is(other.received.length, 0);
});

test("a request that exceeds its route's timeout ends with the verdict mayHaveRun", async (t) => {
    const slow = await startServer(t, () => undefined);
    const configuration = { routes: ledgerRoutes.routes.map((route) => ({ ...route, timeoutMs: 200 })) };
    const startedAtMs = performance.now();
    const response = await createGateway(t, { servers: [slow], configuration }).send(unsafeRequest);
    t.is(response.error?.code, ErrorCode.Timeout);
    t.is(response.error?.verdict, Verdict.MayHaveRun);
    t.true(performance.now() - startedAtMs < 1_500);
});

const rejectedRequests: Record<string, [Parameters<ReturnType<typeof createGateway>["send"]>[0], ErrorCode]> =
    {
        "an unknown key": [{ apiKey: "unknown" }, ErrorCode.Unauthorized],
        "no key": [{ apiKey: undefined }, ErrorCode.Unauthorized],
        "an unknown host": [{ host: "b.example" }, ErrorCode.NotFound],
        "an unknown path": [{ target: "/elsewhere" }, ErrorCode.NotFound],
    };

for (const [title, [fields, code]] of Object.entries(rejectedRequests)) {
    test(`a request with ${title} is rejected as not run`, async (t) => {
        const engine = await startServer(t, streamEvents(4));
        const response = await createGateway(t, { groupHeads: [engine] }).send(fields);
        t.is(response.error?.code, code);
        t.is(response.error?.verdict, Verdict.NotRun);
        t.is(engine.received.length, 0);
    });
}

// Guards against a daemon that reverts to an older configuration.
test("an older configuration is ignored", async (t) => {
    const engine = await startServer(t, streamEvents(4));
    const { gateway, send } = createGateway(t, { groupHeads: [engine], configuration: { version: 5 } });
    const { RoutingTable } = await import("@greengage/configuration");
    const { buildConfiguration } = await import("../configuration/fixtures.ts");
    gateway.applyConfiguration(new RoutingTable(buildConfiguration({ version: 4, routes: [] })));
    t.is((await send()).text, COMPLETE_STREAM);
});

// Guards against a single stream that hangs unnoticed because other streams of its group make progress.
test("a request whose stream hangs fails over, and its group is not suspected", async (t) => {
    let count = 0;
    const first = await startServer(t, (request, response) => {
        count += 1;
        if (count === 1) {
            writeHead(request, response);
            response.write(eventOf(1));
            return;
        }
        writeHead(request, response);
        const timer = setInterval(() => response.write(`id: ${Date.now()}\ndata: x\n\n`), 50);
        response.on("close", () => clearInterval(timer));
    });
    const second = await startServer(t, streamEvents(4));
    const fixture = createGateway(t, { groupHeads: [first] });
    const hanging = fixture.startRequest();
    await waitFor("its first event", () => hanging.response.text === "" ? undefined : true);
    const other = fixture.startRequest();
    await waitFor("the other's first event", () => other.response.text === "" ? undefined : true);
    fixture.gateway.applyView({ ...viewOf({ groupHeads: [first, second] }), version: 2 });
    await hanging.done;
    t.is(hanging.response.text, COMPLETE_STREAM);
    t.false(other.response.isDestroyed);
    t.deepEqual(fixture.suspicions, []);
    other.response.disconnect();
    await other.done;
});

// Guards against a request that is attempted at more groups than its route allows.
test("a stream is attempted at no more groups than its route allows", async (t) => {
    const groups = await Promise.all(
        [1, 2, 3, 4].map(() =>
            startServer(t, failingGroupHandlers["breaks the connection inside an event"] as RequestHandler)
        ),
    );
    const response = await createGateway(t, { groupHeads: groups }).send();
    t.is(groups.reduce((sum, group) => sum + group.received.length, 0), 2);
    t.true(response.isDestroyed);
});

// Guards against callers that use up their retry too early when all daemons restart together.
test("a request that arrives during startup is handled once the daemon has its fleet view", async (t) => {
    const head = await startServer(t, streamEvents(3));
    const fixture = createGateway(t, { groupHeads: [head], isUninitialized: true });
    const { response, done } = fixture.startRequest();
    await sleep(100);
    t.false(response.hasStarted);
    fixture.initialize();
    await done;
    t.is(response.text, eventOf(1) + eventOf(2) + eventOf(3));
});

test("a request is rejected as not run when startup takes more than half of its deadline", async (t) => {
    const { send } = createGateway(t, { isUninitialized: true });
    const { error } = await send({ deadlineMs: 200 });
    t.is(error?.verdict, Verdict.NotRun);
    t.true((error?.retryAfterMs ?? 0) > 0);
});

// Guards against an attempt for a caller that has disconnected during placement.
test("nothing is sent for a caller that disconnects during placement", async (t) => {
    const head = await startServer(t, streamEvents(3));
    let resolvePlacement: () => void = () => undefined;
    const requestPlacement = (): Promise<PlacementResponse> =>
        new Promise((resolve) => {
            resolvePlacement = () => resolve({ epoch: 1, firstTokenMs: 10 });
        });
    const { startRequest } = createGateway(t, { groupHeads: [head], requestPlacement });
    const { response, done } = startRequest();
    await sleep(20);
    response.disconnect();
    resolvePlacement();
    await done;
    await sleep(50);
    t.is(head.received.length, 0);
});

test("a request is sent to the group that the control daemon selects", async (t) => {
    const heads = [await startServer(t, streamEvents(2)), await startServer(t, streamEvents(2))];
    const { send } = createGateway(t, {
        groupHeads: heads,
        requestPlacement: async () => ({ epoch: 2, firstTokenMs: 10 }),
    });
    await send();
    t.deepEqual(heads.map(({ received }) => received.length), [0, 1]);
});
