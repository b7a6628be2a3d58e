import { ErrorCode, GreengageError, monotonicMs, newId, Verdict } from "@greengage/base";
import type { ServiceView } from "@greengage/protocol";
import type {
    BlamedRequest,
    CrashBlame,
    CrashTarget,
    ServiceCall,
    UnservedProgress,
} from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import {
    CollectingSink,
    createDispatcher,
    type DispatcherFixture,
    type FakeEngine,
    groupOf,
    neverAborted,
    sendHead,
    startEngine,
    streamTokens,
} from "./fixtures.ts";

interface Failure {
    request: BlamedRequest;
    target: CrashTarget;
    progress: UnservedProgress;
}

/** Records what is reported. Each test sets the answers. */
class FakeBlame implements CrashBlame {
    isTrial = false;
    quarantinedId: string | undefined;
    /** Failures after which the request may be sent to another server. */
    repeatCount = Infinity;
    readonly failures: Failure[] = [];
    readonly servedIds: string[] = [];
    readonly completeIds: string[] = [];

    async admit(request: BlamedRequest): Promise<boolean> {
        if (this.isQuarantined(request) && !this.isTrial) {
            throw new GreengageError("quarantined", { code: ErrorCode.Quarantined, verdict: Verdict.NotRun });
        }
        return this.isTrial;
    }

    isQuarantined({ culpritId }: BlamedRequest): boolean {
        return culpritId === this.quarantinedId;
    }

    recordServed({ culpritId }: BlamedRequest): void {
        this.servedIds.push(culpritId);
    }

    recordComplete({ culpritId }: BlamedRequest): void {
        this.completeIds.push(culpritId);
    }

    async recordFailure(
        request: BlamedRequest,
        target: CrashTarget,
        progress: UnservedProgress,
    ): Promise<boolean> {
        this.failures.push({ request, target, progress });
        return this.failures.length <= this.repeatCount;
    }
}

const SERVER_COUNT = 5;

const createServers = async (
    t: ExecutionContext,
    handle: FakeEngine["handle"],
): Promise<DispatcherFixture & { blame: FakeBlame; engine: FakeEngine; }> => {
    const blame = new FakeBlame();
    const fixture = createDispatcher(t, { blame });
    const engine = await startEngine(t, handle);
    const indices = Array.from({ length: SERVER_COUNT }, (_, index) => index + 1);
    fixture.directory.setGroups(
        indices.map((index) =>
            groupOf({ groupId: `group-${index}`, generation: index, leaderUrl: engine.url })
        ),
    );
    fixture.directory.serviceViews = indices.map((index): ServiceView => ({
        vmId: `ledger-${index}`,
        incarnationId: `i${index}`,
        service: "ledger",
        zone: "zone-a",
        url: engine.url,
        maxConcurrent: 8,
        available: true,
    }));
    return { ...fixture, blame, engine };
};

const serviceCall = (fields: Partial<ServiceCall> = {}): ServiceCall => ({
    requestId: newId(),
    organisation: "umbrella-corner",
    service: "ledger",
    method: "GET",
    path: "/sales",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: monotonicMs() + 10_000,
    nonIdempotent: false,
    ...fields,
});

const kinds: Record<string, (fixture: DispatcherFixture) => Promise<unknown>> = {
    "a generation request": ({ dispatcher, request }) =>
        dispatcher.generate(request(), new CollectingSink(), neverAborted()),
    "a service call": ({ dispatcher }) => dispatcher.callService(serviceCall(), neverAborted()),
};

for (const [name, send] of Object.entries(kinds)) {
    test(`${name} that may not be repeated reaches no further server`, async (t) => {
        const fixture = await createServers(t, (_, response) => void response.destroy());
        const { blame, engine } = fixture;
        blame.repeatCount = 1;
        t.like(await t.throwsAsync(send(fixture)), { verdict: Verdict.MayHaveRun });
        t.is(engine.received.length, 2);
        t.is(new Set(blame.failures.map(({ target }) => target.id)).size, 2);
        t.is(new Set(blame.failures.map(({ request }) => request.culpritId)).size, 1);
        t.true(blame.failures.every(({ progress }) => !progress.hasHead));
    });

    test(`${name} in quarantine reaches no server`, async (t) => {
        const fixture = await createServers(t, (_, response) => void response.destroy());
        const { blame, engine } = fixture;
        blame.repeatCount = 0;
        await t.throwsAsync(send(fixture));
        const [{ request: { culpritId } }] = blame.failures as [Failure];
        blame.quarantinedId = culpritId;
        const receivedCount = engine.received.length;
        t.like(await t.throwsAsync(send(fixture)), {
            code: ErrorCode.Quarantined,
            verdict: Verdict.NotRun,
        });
        t.is(engine.received.length, receivedCount);
    });

    test(`${name} on trial is sent once`, async (t) => {
        const fixture = await createServers(t, (_, response) => void response.destroy());
        fixture.blame.isTrial = true;
        t.like(await t.throwsAsync(send(fixture)), { verdict: Verdict.MayHaveRun });
        t.is(fixture.engine.received.length, 1);
    });
}

test("a generation request that is quarantined during its first attempt is not sent again", async (t) => {
    const fixture = await createServers(t, (request, response) => {
        sendHead(request, response);
        response.flushHeaders();
        setImmediate(() => response.destroy());
    });
    const { blame, engine } = fixture;
    const recordFailure = blame.recordFailure.bind(blame);
    blame.recordFailure = async (request, target, progress) => {
        blame.quarantinedId = request.culpritId;
        return await recordFailure(request, target, progress);
    };
    t.like(
        await t.throwsAsync(
            fixture.dispatcher.generate(fixture.request(), new CollectingSink(), neverAborted()),
        ),
        { code: ErrorCode.BackendFailed, verdict: Verdict.MayHaveRun },
    );
    t.is(engine.received.length, 1);
    t.true(blame.failures.every(({ progress }) => progress.hasHead));
});

test("requests with the same content have the same culprit, and clear it when they are served", async (t) => {
    const { blame, dispatcher, request } = await createServers(t, streamTokens(3));
    const bodies = ["Umbrellas left?", "Umbrellas left?", "Parasols left?"].map((content) => ({
        messages: [{ role: "user", content }],
    }));
    for (const body of bodies) {
        await dispatcher.generate(request({ body }), new CollectingSink(), neverAborted());
    }
    const [first, second, other] = blame.servedIds;
    t.is(first, second);
    t.not(first, other);
    t.deepEqual(blame.completeIds, blame.servedIds);
    await dispatcher.generate(
        request({ body: bodies[0], organisation: "parasol-corner" }),
        new CollectingSink(),
        neverAborted(),
    );
    t.not(blame.servedIds[3], first);
    t.is(blame.failures.length, 0);
});

test("an answered service call clears its content, and a failed connection blames it", async (t) => {
    const { blame, dispatcher, engine } = await createServers(t, (request, response) => {
        response.writeHead(200, { "x-request-id": request.requestId });
        response.end("sold");
    });
    await dispatcher.callService(serviceCall(), neverAborted());
    t.is(blame.completeIds.length, 1);
    engine.handle = (_, response) => void response.destroy();
    await t.throwsAsync(
        dispatcher.callService(serviceCall({ method: "POST", nonIdempotent: true }), neverAborted()),
    );
    t.is(blame.failures.length, 1);
    t.regex(blame.failures[0]?.target.incarnation ?? "", /^i\d$/);
});
