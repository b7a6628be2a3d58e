import { ErrorCode, sleep, Verdict } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { freePorts, waitFor } from "@greengage/faults";
import type { PlaceAnswer } from "@greengage/protocol";
import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    type Answer,
    eventOf,
    events,
    type FakeServer,
    gatewayOf,
    serverOf,
    viewOf,
    writeHead,
} from "./fixtures.ts";

const WHOLE = [1, 2, 3, 4].map(eventOf).join("");

// Guards against lost, repeated or half events, and against pieces of two runs that are joined.
const brokenStreams: Record<string, Answer> = {
    "breaks inside an event": (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1) + eventOf(2) + eventOf(3).slice(0, 9));
        setTimeout(() => response.destroy(), 20);
    },
    "breaks before the first event": (request, response) => {
        writeHead(request, response);
        response.flushHeaders();
        setTimeout(() => response.destroy(), 20);
    },
    "ends inside an event": (request, response) => {
        writeHead(request, response);
        response.end(eventOf(1) + eventOf(2).slice(0, 9));
    },
    "answers with another request's id": (_, response) => {
        response.writeHead(200, { "x-id": "another", "x-signature": "s" });
        response.end(eventOf(1));
    },
    "answers without a signature": (request, response) => {
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

for (const [title, answer] of Object.entries(brokenStreams)) {
    test(`the caller gets each event once when a group ${title}`, async (t) => {
        const first = await serverOf(t, answer);
        const second = await serverOf(t, events(4));
        const response = await gatewayOf(t, { heads: [first, second] }).send();
        t.is(response.text, WHOLE);
        t.true(response.isEnded);
        t.is(first.received.length, 1);
        t.is(second.received.length, 1);
    });
}

// Guards against streams that stay at a group which stands still, and against a controller that isn't told.
test("streams of a group that stands still go on elsewhere, and the controller is told", async (t) => {
    const first = await serverOf(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1) + eventOf(2));
    });
    const second = await serverOf(t, events(4));
    const fixture = gatewayOf(t, { heads: [first, second] });
    const response = await fixture.send();
    t.is(response.text, WHOLE);
    t.is(second.received[0]?.["x-last-event"], "2");
    t.true(
        fixture.suspicions.some(({ groupName, hasRunningStream }) => groupName === "g0" && hasRunningStream),
    );
    t.is((await fixture.send()).text, WHOLE);
    t.is(first.received.length, 1, "a suspected group gets no new requests");
});

test("a stream that may not be resumed is broken off, not joined", async (t) => {
    const first = await serverOf(t, brokenStreams["breaks inside an event"] as Answer);
    const second = await serverOf(t, events(4));
    const configuration = { routes: [buildRoute({ canResume: false })] };
    const response = await gatewayOf(t, { heads: [first, second], configuration }).send();
    t.true(response.isDestroyed);
    t.false(response.isEnded);
    t.is(second.received.length, 0);
});

test("the engine's connection closes when the caller leaves", async (t) => {
    const engine = await serverOf(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1));
    });
    const { response, done } = gatewayOf(t, { heads: [engine] }).begin();
    await waitFor("the first event", () => response.text === "" ? undefined : true);
    response.leave();
    await done;
    await waitFor("the end of the exchange", () => engine.abandonedCount === 1 ? true : undefined);
    t.false(response.isEnded);
});

test("a request is rejected at once, as not run, when no group takes requests", async (t) => {
    const startedAtMs = performance.now();
    const response = await gatewayOf(t).send();
    t.is(response.error?.code, ErrorCode.NoCapacity);
    t.is(response.error?.verdict, Verdict.NotRun);
    t.true((response.error?.retryAfterMs ?? 0) > 0);
    t.true(performance.now() - startedAtMs < 1_000);
});

test("attempts beyond the first stop when the common budget is spent", async (t) => {
    const busy = await serverOf(t, brokenStreams["rejects the request"] as Answer);
    const other = await serverOf(t, brokenStreams["rejects the request"] as Answer);
    const fixture = gatewayOf(t, { heads: [busy, other], retries: { share: 0, slack: 2 } });
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
const pay = { target: "/pay/1", generation: undefined };
const read = { target: "/read/1", generation: undefined };
const done: Answer = (request, response) => {
    writeHead(request, response);
    response.end("done");
};

// Guards against a payment that runs twice, and against one that is called not run though it may have run.
const lostAnswers: Record<string, Answer> = {
    "breaks the connection": (_, response) => void response.destroy(),
    "breaks the answer off": (request, response) => {
        response.writeHead(200, {
            "x-id": request.headers["x-id"],
            "x-signature": "s",
            "content-length": "9",
        });
        response.write("do");
        setTimeout(() => response.destroy(), 20);
    },
    "resets an answer without a length": (request, response) => {
        response.socket?.write(
            `HTTP/1.1 200 OK\r\nx-id: ${
                request.headers["x-id"]
            }\r\nx-signature: s\r\nconnection: close\r\n\r\ndo`,
        );
        setTimeout(() => response.socket?.resetAndDestroy(), 20);
    },
    "answers with another request's id": (_, response) => {
        response.writeHead(200, { "x-id": "another", "x-signature": "s" });
        response.end("done");
    },
};

for (const [title, answer] of Object.entries(lostAnswers)) {
    test(`an unsafe request is sent once, and its outcome is open, when the server ${title}`, async (t) => {
        const first = await serverOf(t, answer);
        const second = await serverOf(t, done);
        const response = await gatewayOf(t, { servers: [first, second], configuration: ledgerRoutes }).send(
            pay,
        );
        t.is(first.received.length + second.received.length, 1);
        t.is(response.error?.verdict, Verdict.MayHaveRun);
        t.false(response.isEnded);
    });

    test(`a safe request is answered by another server when the first ${title}`, async (t) => {
        const first = await serverOf(t, answer);
        const second = await serverOf(t, done);
        const response = await gatewayOf(t, { servers: [first, second], configuration: ledgerRoutes }).send(
            read,
        );
        t.is(response.text, "done");
        t.is(second.received.length, 1);
    });
}

test("an unsafe request whose connection was refused goes to another server", async (t) => {
    const [port] = await freePorts(1);
    const absent: FakeServer = { address: `127.0.0.1:${port}`, received: [], abandonedCount: 0 };
    const second = await serverOf(t, done);
    const response = await gatewayOf(t, { servers: [absent, second], configuration: ledgerRoutes }).send(pay);
    t.is(response.text, "done");
});

test("the answer of a failing server goes to the caller unchanged", async (t) => {
    const failing = await serverOf(t, (request, response) => {
        writeHead(request, response, 500);
        response.end("broken");
    });
    const response = await gatewayOf(t, { servers: [failing], configuration: ledgerRoutes }).send(pay);
    t.is(response.status, 500);
    t.is(response.text, "broken");
});

test("a request that lasts longer than its route allows ends with an open outcome", async (t) => {
    const slow = await serverOf(t, () => undefined);
    const configuration = { routes: ledgerRoutes.routes.map((route) => ({ ...route, timeoutMs: 200 })) };
    const startedAtMs = performance.now();
    const response = await gatewayOf(t, { servers: [slow], configuration }).send(pay);
    t.is(response.error?.code, ErrorCode.Timeout);
    t.is(response.error?.verdict, Verdict.MayHaveRun);
    t.true(performance.now() - startedAtMs < 1_500);
});

const refused: Record<string, [Parameters<ReturnType<typeof gatewayOf>["send"]>[0], ErrorCode]> = {
    "an unknown key": [{ apiKey: "unknown" }, ErrorCode.Unauthorized],
    "no key": [{ apiKey: undefined }, ErrorCode.Unauthorized],
    "an unknown host": [{ host: "b.example" }, ErrorCode.NotFound],
    "an unknown path": [{ target: "/elsewhere" }, ErrorCode.NotFound],
};

for (const [title, [fields, code]] of Object.entries(refused)) {
    test(`a request with ${title} is refused as not run`, async (t) => {
        const engine = await serverOf(t, events(4));
        const response = await gatewayOf(t, { heads: [engine] }).send(fields);
        t.is(response.error?.code, code);
        t.is(response.error?.verdict, Verdict.NotRun);
        t.is(engine.received.length, 0);
    });
}

// Guards against a daemon that goes back to an older configuration.
test("an older configuration changes nothing", async (t) => {
    const engine = await serverOf(t, events(4));
    const { gateway, send } = gatewayOf(t, { heads: [engine], configuration: { version: 5 } });
    const { RoutingTable } = await import("@greengage/configuration");
    const { buildConfiguration } = await import("../configuration/fixtures.ts");
    gateway.applyConfiguration(new RoutingTable(buildConfiguration({ version: 4, routes: [] })));
    t.is((await send()).text, WHOLE);
});

// Guards against a single answer that hangs while its group goes on.
test("a request whose answer hangs goes on elsewhere, and its group stays in use", async (t) => {
    let count = 0;
    const first = await serverOf(t, (request, response) => {
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
    const second = await serverOf(t, events(4));
    const fixture = gatewayOf(t, { heads: [first] });
    const hanging = fixture.begin();
    await waitFor("its first event", () => hanging.response.text === "" ? undefined : true);
    const other = fixture.begin();
    await waitFor("the other's first event", () => other.response.text === "" ? undefined : true);
    fixture.gateway.applyView({ ...viewOf({ heads: [first, second] }), version: 2 });
    await hanging.done;
    t.is(hanging.response.text, WHOLE);
    t.false(other.response.isDestroyed);
    t.deepEqual(fixture.suspicions, []);
    other.response.leave();
    await other.done;
});

// Guards against a request that runs on more groups than its route allows.
test("a stream is sent to no more groups than its route allows, however its attempts fail", async (t) => {
    const groups = await Promise.all(
        [1, 2, 3, 4].map(() => serverOf(t, brokenStreams["breaks inside an event"] as Answer)),
    );
    const response = await gatewayOf(t, { heads: groups }).send();
    t.is(groups.reduce((sum, group) => sum + group.received.length, 0), 2);
    t.true(response.isDestroyed);
});

// Guards against callers that come back too early and are lost when all daemons have restarted.
test("a request that comes while the daemon starts is answered once it knows the groups", async (t) => {
    const head = await serverOf(t, events(3));
    const fixture = gatewayOf(t, { heads: [head], isStarting: true });
    const { response, done } = fixture.begin();
    await sleep(100);
    t.false(response.hasStarted);
    fixture.inform();
    await done;
    t.is(response.text, eventOf(1) + eventOf(2) + eventOf(3));
});

test("a request is rejected as not run when the daemon's start takes half of its time", async (t) => {
    const { send } = gatewayOf(t, { isStarting: true });
    const { error } = await send({ deadlineMs: 200 });
    t.is(error?.verdict, Verdict.NotRun);
    t.true((error?.retryAfterMs ?? 0) > 0);
});

// Guards against an attempt that begins after its caller has left while a place was looked for (GONE on the users' bench).
test("nothing is sent for a caller that leaves while a place is chosen", async (t) => {
    const head = await serverOf(t, events(3));
    let choose: () => void = () => undefined;
    const askForPlace = (): Promise<PlaceAnswer> =>
        new Promise((resolve) => {
            choose = () => resolve({ epoch: 1, firstTokenMs: 10 });
        });
    const { begin } = gatewayOf(t, { heads: [head], askForPlace });
    const { response, done } = begin();
    await sleep(20);
    response.leave();
    choose();
    await done;
    await sleep(50);
    t.is(head.received.length, 0);
});

test("a request goes to the group that the control daemon chooses", async (t) => {
    const heads = [await serverOf(t, events(2)), await serverOf(t, events(2))];
    const { send } = gatewayOf(t, { heads, askForPlace: async () => ({ epoch: 2, firstTokenMs: 10 }) });
    await send();
    t.deepEqual(heads.map(({ received }) => received.length), [0, 1]);
});
