import { RouteKind } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import { spreadReturnMs } from "@greengage/gateway";
import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    answer,
    createGateway,
    eventOf,
    type FakeServer,
    type GatewayFixtureOptions,
    type RequestHandler,
    startServer,
    streamEvents,
    viewOf,
    writeHead,
} from "./fixtures.ts";

/** Turns requests away and asks for a pause as long as `isPausing` returns true, and then answers like `handler`. */
const pauseWhile = (
    isPausing: () => boolean,
    pauseS: string,
    handler: RequestHandler,
): RequestHandler =>
(request, response) => {
    if (!isPausing()) {
        handler(request, response);
        return;
    }
    response.setHeader("x-pause", pauseS);
    response.setHeader("x-not-run", "1");
    writeHead(request, response, 503);
    response.end();
};

const pauseOnce = (pauseS: string, handler: RequestHandler): RequestHandler => {
    let count = 0;
    return pauseWhile(() => (count += 1) === 1, pauseS, handler);
};

const routeOf = (kind: RouteKind, targetMs = 400): Partial<GatewayFixtureOptions> => ({
    configuration: {
        routes: [{
            ...buildRoute({ kind, targetMs, timeoutMs: 4_000, maxAttempts: 1 }),
            pathPrefix: "/read/",
            shares: [{ service: "ledger", weight: 1 }],
        }],
    },
});
const plainRequest = { target: "/read/1", generation: undefined };
const receivedCounts = (servers: readonly FakeServer[]): number[] =>
    servers.map(({ received }) => received.length);

// Guards against attempts that are used up at paused servers while another one has room.
for (const kind of [RouteKind.Safe, RouteKind.Unsafe]) {
    test(`${kind}: a request passes all servers that pause, and the next one goes to the free server at once`, async (t) => {
        const servers = [
            await startServer(t, pauseWhile(() => true, "5", answer)),
            await startServer(t, pauseWhile(() => true, "5", answer)),
            await startServer(t, answer),
        ];
        const { send } = createGateway(t, { ...routeOf(kind), servers });
        for (let count = 0; count < 20; count += 1) {
            t.is((await send(plainRequest)).text, "body");
        }
        const [first = 0, second = 0, free] = receivedCounts(servers);
        t.true(first <= 1 && second <= 1, `${first} ${second}`);
        t.is(free, 20);
    });
}

test("no request reaches the only server before the end of its pause, and callers learn when that is", async (t) => {
    const server = await startServer(t, pauseOnce("0.8", answer));
    const { send } = createGateway(t, { ...routeOf(RouteKind.Safe), servers: [server] });
    const sentAtMs = performance.now();
    t.true(((await send(plainRequest)).error?.retryAfterMs ?? 0) > 0);
    const returned = await waitFor("an answer", async () => {
        const { error, text } = await send(plainRequest);
        const elapsedMs = performance.now() - sentAtMs;
        if (error !== undefined) {
            t.is(error.verdict, "notRun");
            t.true((error.retryAfterMs ?? 0) >= 800 - elapsedMs);
            t.is(server.received.length, 1);
        }
        return error === undefined ? { text, elapsedMs } : undefined;
    });
    t.is(returned.text, "body");
    t.true(returned.elapsedMs >= 800);
    t.is(server.received.length, 2);
});

// Guards against a rejection that names a time before the end of the pause, and against callers that return together.
test("callers that are turned away return after the pause and add at most half of the usual rate", (t) => {
    const pauseMs = 2_500;
    const callersPerS = 1_000;
    const returnsAtMs = Array.from({ length: pauseMs / 1_000 * callersPerS }, (_, index) => {
        const rejectedAtMs = index * 1_000 / callersPerS;
        const fraction = index * 0.618_034 % 1;
        return rejectedAtMs + spreadReturnMs({ waitMs: pauseMs - rejectedAtMs, pauseMs }, fraction);
    });
    t.true(Math.min(...returnsAtMs) >= pauseMs);
    const inFirstSecond = returnsAtMs.filter((atMs) => atMs < pauseMs + 1_000).length;
    t.true(inFirstSecond <= callersPerS / 2, `${inFirstSecond}`);
});

// Guards against a pause that is taken for a fault: such a group would be avoided and suspected.
test("a group that pauses is not suspected, and serves again at the end of its pause", async (t) => {
    const pausing = await startServer(t, pauseOnce("2", streamEvents(1)));
    const other = await startServer(t, streamEvents(1));
    const { send, suspicions, gateway } = createGateway(t, { groupHeads: [pausing, other] });
    t.is((await send()).text, eventOf(1));
    t.is(other.received.length, 1);
    t.like(gateway.serverHolds()[0], { serverId: "head0" });
    await waitFor("the end of the pause", () => gateway.serverHolds().length === 0 ? true : undefined);
    t.is((await send()).text, eventOf(1));
    t.is(pausing.received.length, 2);
    t.deepEqual(suspicions, []);
});

test("the control daemon is not offered groups that pause, and no request goes to one that it selects all the same", async (t) => {
    const pausing = await startServer(t, pauseOnce("5", streamEvents(1)));
    const other = await startServer(t, streamEvents(1));
    const avoided: number[][] = [];
    const { send } = createGateway(t, {
        groupHeads: [pausing, other],
        requestPlacement: (_, { avoidedEpochs }) => {
            avoided.push(avoidedEpochs);
            return Promise.resolve({ epoch: avoided.length > 2 ? 2 : 1, firstTokenMs: 10 });
        },
    });
    t.is((await send()).text, eventOf(1));
    t.deepEqual(avoided, [[], [1], [1]]);
    t.is(pausing.received.length, 1);
    t.is(other.received.length, 1);
});

// Guards against a request that was decided before the pause began and is sent in it.
test("a request that waits for a permit isn't sent to a server that has begun to pause", async (t) => {
    let isPausing = false;
    const limited: RequestHandler = (request, response) => {
        response.setHeader("x-limit", "2");
        pauseWhile(() => isPausing, "5", answer)(request, response);
    };
    const server = await startServer(t, limited);
    const delays = [1_000, 0];
    const { send, startRequest } = createGateway(t, {
        ...routeOf(RouteKind.Unsafe, 2_000),
        servers: [server],
        requestPlacement: () => Promise.resolve({}),
        requestPermit: (_, { maxDelayMs }) => {
            const delayMs = delays[0] ?? 0;
            if (delayMs > maxDelayMs) {
                return Promise.resolve({ isGranted: false, delayMs: 0 });
            }
            delays.shift();
            return Promise.resolve({ isGranted: true, delayMs });
        },
    });
    await send(plainRequest);
    const { response, done } = startRequest(plainRequest);
    isPausing = true;
    await new Promise((resolve) => setTimeout(resolve, 50));
    await send(plainRequest);
    t.is(server.received.length, 2);
    await done;
    t.is(response.error?.verdict, "notRun");
    t.is(server.received.length, 2);
});

test("a server that starts again under its id gets requests at once", async (t) => {
    const server = await startServer(t, pauseOnce("30", answer));
    const options = { ...routeOf(RouteKind.Safe), servers: [server] };
    const { send, gateway } = createGateway(t, options);
    await send(plainRequest);
    t.true((await send(plainRequest)).error !== undefined);
    const view = viewOf(options);
    const servers = view.servers.map((target) => ({ ...target, bornMs: 2 }));
    gateway.applyView({ ...view, version: 2, servers });
    t.is((await send(plainRequest)).text, "body");
});
