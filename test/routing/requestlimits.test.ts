import type { GreengageError } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import type { ServerResponse } from "node:http";
import {
    CollectingSink,
    createDispatcher,
    type DispatcherFixture,
    type FakeEngine,
    groupOf,
    neverAborted,
    type ReceivedRequest,
    startEngine,
    streamTokens,
} from "./fixtures.ts";

const REQUEST_COUNT = 40;

/** Answers like `handle`, and names a limit. */
const limitedBy =
    (limit: string, handle: FakeEngine["handle"]) => (request: ReceivedRequest, response: ServerResponse) => {
        response.setHeader("x-request-limit", limit);
        return handle(request, response);
    };

const groupsOf = (...engines: FakeEngine[]): DispatcherFixture["directory"]["groups"] =>
    engines.map(({ url }, index) =>
        groupOf({ groupId: `group-${index}`, leaderUrl: url, memberVmIds: [`vm-${index}`] })
    );

/** Creates daemons, the first of which controls the zone and hands out permits. */
const createDaemons = (t: ExecutionContext, count: number): DispatcherFixture[] => {
    const controller = createDispatcher(t, {
        requestPermit: (request) => Promise.resolve(controller.dispatcher.grantPermit(request)),
    });
    const others = Array.from({ length: count - 1 }, () =>
        createDispatcher(t, {
            requestPermit: (request) => Promise.resolve(controller.dispatcher.grantPermit(request)),
        }));
    return [controller, ...others];
};

const generate = async ({ dispatcher, request }: DispatcherFixture): Promise<string> => {
    const sink = new CollectingSink();
    await dispatcher.generate(request(), sink, neverAborted());
    return sink.tokenText;
};

// Guards against daemons that each use the whole limit of an engine.
test("an engine that names a limit gets no more requests from all daemons together", async (t) => {
    const limited = await startEngine(t, limitedBy("2", streamTokens(2)));
    const other = await startEngine(t, streamTokens(2));
    const daemons = createDaemons(t, 3);
    daemons.forEach(({ directory }) => directory.groups = groupsOf(limited));
    // Each daemon is told once.
    await Promise.all(daemons.map(generate));
    daemons.forEach(({ directory }) => directory.groups = groupsOf(limited, other));
    const startedAtMs = performance.now();
    for (let count = 0; count < REQUEST_COUNT; count += 1) {
        t.is(await generate(daemons[count % daemons.length] as DispatcherFixture), "t0 t1 ");
    }
    const elapsedS = (performance.now() - startedAtMs) / 1_000;
    t.true(limited.received.length - daemons.length <= 2 * elapsedS + 3, `${limited.received.length}`);
    t.true(other.received.length > REQUEST_COUNT / 2);
});

test("a request is rejected as not run when the only engine takes no request in time", async (t) => {
    const limited = await startEngine(t, limitedBy("0.2", streamTokens(2)));
    const [daemon] = createDaemons(t, 1) as [DispatcherFixture];
    daemon.directory.groups = groupsOf(limited);
    await generate(daemon);
    const error = await t.throwsAsync(generate(daemon)) as GreengageError;
    t.is(error.verdict, "notRun");
    t.true((error.retryAfterMs ?? 0) > 1_000);
    t.is(limited.received.length, 1);
});

test("calls of a plain service go to the server without a limit", async (t) => {
    const handle: FakeEngine["handle"] = (request, response) => {
        response.writeHead(200, { "x-request-id": request.requestId }).end("done");
    };
    const limited = await startEngine(t, limitedBy("0.2", handle));
    const other = await startEngine(t, handle);
    const [daemon] = createDaemons(t, 1) as [DispatcherFixture];
    const viewOf = (
        engine: FakeEngine,
        vmId: string,
    ): DispatcherFixture["directory"]["serviceViews"][number] => ({
        vmId,
        incarnationId: "i",
        service: "ledger",
        zone: "zone-a",
        url: engine.url,
        available: true,
        maxConcurrent: 8,
    });
    const callOnce = async (): Promise<number> => {
        const call = {
            requestId: `r${limited.received.length}-${other.received.length}`,
            organisation: "umbrella-corner",
            service: "ledger",
            method: "GET",
            path: "/",
            headers: {},
            body: new Uint8Array(),
            deadlineAtMs: performance.now() + 5_000,
            nonIdempotent: false,
        };
        return (await daemon.dispatcher.callService(call, neverAborted())).status;
    };
    daemon.directory.serviceViews = [viewOf(limited, "vm-1")];
    t.is(await callOnce(), 200);
    daemon.directory.serviceViews = [viewOf(limited, "vm-1"), viewOf(other, "vm-2")];
    for (let count = 0; count < 10; count += 1) {
        t.is(await callOnce(), 200);
    }
    t.is(limited.received.length, 1);
    t.is(other.received.length, 10);
});
