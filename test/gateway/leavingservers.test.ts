import { RouteKind } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import { LEAVING_GRACE_MS } from "@greengage/routing";
import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    answer,
    createGateway,
    eventOf,
    type GatewayFixtureOptions,
    type RequestHandler,
    startServer,
    streamEvents,
    viewOf,
    writeHead,
} from "./fixtures.ts";

/** Says that the server leaves, and otherwise answers like `handler`. */
const leaving = (handler: RequestHandler): RequestHandler => (request, response) => {
    response.setHeader("x-leaving", "1");
    handler(request, response);
};

const rejectAsNotRun: RequestHandler = (request, response) => {
    response.setHeader("x-not-run", "1");
    writeHead(request, response, 503);
    response.end();
};

const plainService: Partial<GatewayFixtureOptions> = {
    configuration: {
        routes: [{
            ...buildRoute({ kind: RouteKind.Unsafe, targetMs: 400, timeoutMs: 4_000, maxAttempts: 1 }),
            pathPrefix: "/pay/",
            shares: [{ service: "ledger", weight: 1 }],
        }],
    },
};
const plainRequest = { target: "/pay/1", generation: undefined };

test("a server that says that it leaves gets nothing more if another one is there", async (t) => {
    const first = await startServer(t, leaving(answer));
    const other = await startServer(t, answer);
    const { send } = createGateway(t, { ...plainService, servers: [first, other] });
    for (let count = 0; count < 10; count += 1) {
        t.is((await send(plainRequest)).text, "body");
    }
    t.is(first.received.length, 1);
});

test("a group whose head says that it leaves gets nothing more if another one is there", async (t) => {
    const first = await startServer(t, leaving(streamEvents(1)));
    const other = await startServer(t, streamEvents(1));
    const { send, suspicions } = createGateway(t, { groupHeads: [first, other] });
    for (let count = 0; count < 10; count += 1) {
        t.is((await send()).text, eventOf(1));
    }
    t.is(first.received.length, 1);
    t.deepEqual(suspicions, []);
});

// Guards against refusals while a server that leaves is the only one, and against requests that reach it when it has gone.
test("a leaving server without another one serves during the grace period only", async (t) => {
    const only = await startServer(t, leaving(streamEvents(1)));
    const { send } = createGateway(t, { groupHeads: [only] });
    t.is((await send()).text, eventOf(1));
    const leavingSinceMs = performance.now();
    t.is((await send()).text, eventOf(1));
    await new Promise((resolve) =>
        setTimeout(resolve, LEAVING_GRACE_MS + leavingSinceMs - performance.now())
    );
    t.is((await send()).error?.verdict, "notRun");
    t.is(only.received.length, 2);
});

test("a rejection by a server that leaves uses up no attempt", async (t) => {
    const first = await startServer(t, leaving(rejectAsNotRun));
    const second = await startServer(t, leaving(rejectAsNotRun));
    const other = await startServer(t, answer);
    const { send } = createGateway(t, { ...plainService, servers: [first, second, other] });
    t.is((await send(plainRequest)).text, "body");
    t.is((await send(plainRequest)).text, "body");
    t.true(first.received.length <= 1 && second.received.length <= 1);
});

test("a leaving head is reported to the leader until it is no longer in the view, and only with its start time", async (t) => {
    const first = await startServer(t, leaving(streamEvents(1)));
    const options = { groupHeads: [first] };
    const { send, gateway, leavingReports } = createGateway(t, options);
    await send();
    const view = viewOf(options);
    const groups = view.groups.map((target) => ({ ...target, bornMs: 7 }));
    gateway.applyView({ ...view, version: 2, groups: [] });
    gateway.applyView({ ...view, version: 3, groups });
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.deepEqual(leavingReports, []);
    await send();
    await waitFor("two reports", () => leavingReports.length === 2 ? true : undefined);
    t.deepEqual(leavingReports[0], { serverId: "head0", bornMs: 7 });
    gateway.applyView({ ...view, version: 4, groups: [] });
    await new Promise((resolve) => setTimeout(resolve, 700));
    t.is(leavingReports.length, 2);
});
