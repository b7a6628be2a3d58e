import { ErrorCode, Verdict } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { CallerRequest, CrashLeader } from "@greengage/gateway";
import { isRequestCulprit, type PartReport, requestCulpritId, type Suspect } from "@greengage/protocol";
import { fingerprintOf } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    createGateway,
    eventOf,
    type FakeServer,
    type GatewayFixture,
    type RequestHandler,
    startServer,
    streamEvents,
    viewOf,
    writeHead,
} from "./fixtures.ts";

const COMPLETE_STREAM = [1, 2, 3, 4].map(eventOf).join("");

/** Resets the connection, like an engine that crashes while it begins to answer. */
const crash: RequestHandler = (request, response) => {
    writeHead(request, response);
    response.flushHeaders();
    setTimeout(() => response.socket?.resetAndDestroy(), 20);
};

/** Resets the connection, like an engine that crashes while the request is queued. */
const crashWhileQueued: RequestHandler = (_, response) => response.socket?.resetAndDestroy();

/** Id by which the content that the fixture sends is blamed. */
const REQUEST_ID = requestCulpritId(fingerprintOf({
    scope: "a.example",
    organisation: "kiosks",
    method: "POST",
    target: "/chat/1",
    body: Buffer.from("body"),
}));

const requestWith = (...partIds: string[]): Partial<CallerRequest> => ({
    generation: {
        model: "large",
        promptTokens: 100,
        maxAnswerTokens: 50,
        parts: partIds.map((id) => ({ id, tokens: 10 })),
    },
});

interface RecordingLeader extends CrashLeader {
    reports: PartReport[];
    /** Whether reported groups have crashed. */
    confirms: boolean;
    accepts: boolean;
    trialCount: number;
}

const createLeader = (fields: Partial<RecordingLeader> = {}): RecordingLeader => {
    const leader: RecordingLeader = {
        reports: [],
        confirms: true,
        accepts: true,
        trialCount: 0,
        report: async (report) => {
            leader.reports.push(report);
            const crashedEpochs = leader.confirms ? report.crashes.map(({ epoch }) => epoch) : [];
            return leader.accepts ? { isAccepted: true, crashedEpochs } : undefined;
        },
        requestTrial: async () => {
            leader.trialCount += 1;
            return leader.trialCount === 1;
        },
        ...fields,
    };
    return leader;
};

interface PartsFixture extends GatewayFixture {
    first: FakeServer;
    second: FakeServer;
    leader: RecordingLeader;
    publish: (suspectParts: Suspect[]) => void;
}

/** A gateway before two groups, of which the first handles requests with `handler`. */
const startFixture = async (
    t: ExecutionContext,
    handler: RequestHandler,
    leader: RecordingLeader = createLeader(),
): Promise<PartsFixture> => {
    const first = await startServer(t, handler);
    const second = await startServer(t, streamEvents(4));
    const options = { groupHeads: [first, second], crashLeader: leader };
    const fixture = createGateway(t, options);
    let version = 1;
    return {
        ...fixture,
        first,
        second,
        leader,
        publish: (suspectParts) => {
            version += 1;
            fixture.gateway.applyView({ ...viewOf(options), version, suspectParts });
        },
    };
};

const quarantinedPart = (partId: string, fields: Partial<Suspect> = {}): Suspect => ({
    service: "llm",
    partId,
    isQuarantined: true,
    isTrialDue: false,
    trialDelayMs: 60_000,
    ...fields,
});

// Guards against a poison request that crashes a second group.
test("a request that its engine had begun to answer when it crashed is not sent to another one", async (t) => {
    const { send, second, leader } = await startFixture(t, crash);
    const { error } = await send(requestWith("shared", "deadly", "own"));
    t.is(error?.verdict, Verdict.MayHaveRun);
    t.is(second.received.length, 0);
    t.deepEqual(leader.reports.flatMap(({ crashes }) => crashes), [
        {
            service: "llm",
            groupName: "g0",
            epoch: 1,
            requests: [{ partIds: ["shared", "deadly", REQUEST_ID], hasHead: true }],
        },
    ]);
});

test("a request that was queued beside a poison request moves to another group", async (t) => {
    const { send, leader } = await startFixture(t, crashWhileQueued);
    t.is((await send(requestWith("shared", "subject", "own"))).text, COMPLETE_STREAM);
    await waitFor("the report", () => leader.reports.length > 0 || undefined);
    t.false(leader.reports[0]?.crashes[0]?.requests[0]?.hasHead);
});

test("a crash is reported also when the request has no attempt left", async (t) => {
    const { send, leader, first } = await startFixture(t, crash);
    const configuration = { routes: [buildRoute({ maxAttempts: 1 })] };
    const single = createGateway(t, { groupHeads: [first], configuration, crashLeader: leader });
    await send(requestWith("shared", "deadly", "own"));
    await single.send(requestWith("shared", "deadly", "other"));
    await waitFor("both reports", () => leader.reports.length === 2 || undefined);
    t.pass();
});

test("requests beside a poison request move to another group if their parts have been served", async (t) => {
    let isCrashing = false;
    const { send, second } = await startFixture(
        t,
        (request, response) => (isCrashing ? crash : streamEvents(4))(request, response),
    );
    await send(requestWith("shared", "subject", "own"));
    isCrashing = true;
    t.is((await send(requestWith("shared", "subject", "other"))).text, COMPLETE_STREAM);
    t.is(second.received.length, 1);
});

// Guards against requests that nothing in the system recognises when they come again.
test("a request without shared parts moves to another group, and is blamed itself for the crash", async (t) => {
    const { send, leader } = await startFixture(t, crash);
    t.is((await send(requestWith("own"))).text, COMPLETE_STREAM);
    t.deepEqual(leader.reports.flatMap(({ crashes }) => crashes.flatMap(({ requests }) => requests)), [
        { partIds: [REQUEST_ID], hasHead: true },
    ]);
    await waitFor(
        "the report of the complete response",
        () =>
            leader.reports.some(({ served }) =>
                served.some(({ partIds, isComplete }) => isComplete === true && partIds[0] === REQUEST_ID)
            ) || undefined,
    );
});

test("a request that has crashed a server before is not sent to another one after a second crash", async (t) => {
    const { send, publish, second } = await startFixture(t, crash);
    publish([quarantinedPart(REQUEST_ID, { isQuarantined: false })]);
    t.is((await send(requestWith("own"))).error?.verdict, Verdict.MayHaveRun);
    t.is(second.received.length, 0);
});

test("a broken connection to a group that has not crashed does not fail the request", async (t) => {
    const { send } = await startFixture(t, crash, createLeader({ confirms: false }));
    t.is((await send(requestWith("shared", "subject", "own"))).text, COMPLETE_STREAM);
});

test("a stream that has begun resumes at another group after a crash, and blames only itself", async (t) => {
    const { send, leader } = await startFixture(t, (request, response) => {
        writeHead(request, response);
        response.write(eventOf(1), () => response.socket?.resetAndDestroy());
    });
    t.is((await send(requestWith("shared", "subject", "own"))).text, COMPLETE_STREAM);
    const [report] = leader.reports.flatMap(({ crashes }) => crashes.flatMap(({ requests }) => requests));
    t.true(report?.hasEvents, "events clear the parts");
    t.deepEqual(report?.partIds.filter(isRequestCulprit), [REQUEST_ID]);
});

test("a request with a quarantined part is rejected at once, others with the same first part are served", async (t) => {
    const { send, publish, first, second } = await startFixture(t, streamEvents(4));
    publish([quarantinedPart("deadly")]);
    const startedAtMs = performance.now();
    const { error } = await send(requestWith("shared", "deadly", "own"));
    t.true(performance.now() - startedAtMs < 100);
    t.is(error?.code, ErrorCode.Quarantined);
    t.is(error?.verdict, Verdict.NotRun);
    t.regex(error?.message ?? "", /deadly/);
    t.is(error?.retryAfterMs, 60_000);
    t.is(first.received.length + second.received.length, 0);
    t.is((await send(requestWith("shared", "subject", "own"))).text, COMPLETE_STREAM);
    t.is((await send(requestWith("shared", "deadly"))).text, COMPLETE_STREAM, "the last part is not shared");
});

test("a lifted quarantine is in force with the next view", async (t) => {
    const { send, publish } = await startFixture(t, streamEvents(4));
    publish([quarantinedPart("part")]);
    t.is((await send(requestWith("part", "own"))).error?.code, ErrorCode.Quarantined);
    publish([]);
    t.is((await send(requestWith("part", "own"))).text, COMPLETE_STREAM);
});

test("only the request to which the leader grants a trial is sent", async (t) => {
    const { send, publish, leader, first } = await startFixture(t, streamEvents(4));
    publish([quarantinedPart("part", { isTrialDue: true })]);
    t.is((await send(requestWith("part", "own"))).text, COMPLETE_STREAM);
    t.is((await send(requestWith("part", "other"))).error?.code, ErrorCode.Quarantined);
    t.is(first.received.length, 1);
    await waitFor(
        "the report that clears the part",
        () =>
            leader.reports.some(({ served }) => served.some(({ partIds }) => partIds.includes("part")))
            || undefined,
    );
});

test("a part that was served before it became a suspect is reported with the time since then", async (t) => {
    const { send, publish, leader } = await startFixture(t, streamEvents(4));
    await send(requestWith("shared", "own"));
    await new Promise((resolve) => setTimeout(resolve, 50));
    publish([quarantinedPart("shared", { isQuarantined: false })]);
    await waitFor("the report", () => leader.reports.length > 0 || undefined);
    const [served] = leader.reports.flatMap(({ served }) => served);
    t.deepEqual(served?.partIds, ["shared"]);
    t.true((served?.ageMs ?? 0) >= 50);
});

// Guards against trials without an outcome, which keep sound requests rejected.
test("a trial that its first group does not run goes to the next group", async (t) => {
    const reject: RequestHandler = (request, response) => {
        response.writeHead(503, { "x-id": request.headers["x-id"], "x-not-run": "1" }).end();
    };
    const { send, publish, leader } = await startFixture(t, reject);
    publish([quarantinedPart("part", { isTrialDue: true })]);
    t.is((await send(requestWith("part", "own"))).text, COMPLETE_STREAM);
    t.is(leader.trialCount, 1);
});

// Guards against trials that cost two groups each.
test("a trial whose group crashes goes to the next group", async (t) => {
    const { send, publish, second } = await startFixture(t, crashWhileQueued);
    publish([quarantinedPart("part", { isTrialDue: true })]);
    t.is((await send(requestWith("part", "own"))).error?.verdict, Verdict.MayHaveRun);
    t.is(second.received.length, 0);
});

// Guards against a leader that is cut off with what it was told.
test("a new leader is not told of the crashes that the former one knew", async (t) => {
    const { send, gateway, leader, first, second } = await startFixture(t, crash);
    await send(requestWith("shared", "deadly", "own"));
    t.is(leader.reports.length, 1);
    const view = viewOf({ groupHeads: [first, second] });
    gateway.applyView({ ...view, version: 2 });
    gateway.applyView({ ...view, term: 2, version: 1 });
    await waitFor("the repeated report", () => leader.reports.length > 1 || undefined);
    t.deepEqual(leader.reports.at(-1)?.crashes, leader.reports[0]?.crashes);
    t.is(leader.reports.length, 2);
});

// Guards against sound requests that a change of leadership makes suspects again.
test("a new leader is told of crashes whose culprits the former one has cleared", async (t) => {
    const { send, gateway, leader, first, second } = await startFixture(t, crash);
    await send(requestWith("shared", "deadly", "own"));
    const view = viewOf({ groupHeads: [first, second] });
    const suspects = ["shared", "deadly", REQUEST_ID].map((partId) =>
        quarantinedPart(partId, { isQuarantined: false })
    );
    gateway.applyView({ ...view, version: 2, suspectParts: suspects });
    gateway.applyView({ ...view, version: 3, suspectParts: suspects.slice(1, 2) });
    gateway.applyView({ ...view, term: 2, version: 1 });
    await waitFor("the repeated report", () => leader.reports.length > 1 || undefined);
    const requests = leader.reports.at(-1)?.crashes.flatMap((repeated) => repeated.requests);
    t.deepEqual(requests, [{ partIds: ["deadly"], hasHead: true }]);
});

test("a crash that the leader has not confirmed is told to its successor", async (t) => {
    const { send, gateway, leader, first, second } = await startFixture(
        t,
        crash,
        createLeader({ confirms: false }),
    );
    await send(requestWith("shared", "deadly", "own"));
    gateway.applyView({ ...viewOf({ groupHeads: [first, second] }), term: 2, version: 1 });
    await send(requestWith("shared", "subject", "own"));
    t.is(leader.reports.length, 1);
});

const interruptedHandlers: Record<string, RequestHandler> = {
    "ends inside an event": (request, response) => {
        response.shouldKeepAlive = false;
        response.useChunkedEncodingByDefault = false;
        writeHead(request, response);
        response.write("id: 1\nda");
        setTimeout(() => response.socket?.end(), 20);
    },
    "falls silent after its head": (request, response) => {
        writeHead(request, response);
        response.flushHeaders();
    },
};

for (const [name, handler] of Object.entries(interruptedHandlers)) {
    test(`a request whose response ${name} is not sent on if its group has crashed`, async (t) => {
        const { send, second, leader } = await startFixture(t, handler);
        t.is((await send(requestWith("shared", "deadly", "own"))).error?.verdict, Verdict.MayHaveRun);
        t.is(second.received.length, 0);
        t.true(leader.reports[0]?.crashes[0]?.requests[0]?.hasHead);
    });
}

test("a request whose part is quarantined while it is being placed is not sent", async (t) => {
    const engine = await startServer(t, streamEvents(4));
    const options = {
        groupHeads: [engine],
        requestPlacement: async () => {
            const suspectParts = [quarantinedPart("deadly")];
            gateway.applyView({ ...viewOf(options), version: 2, suspectParts });
            return {};
        },
    };
    const { gateway, send, suspicions } = createGateway(t, options);
    t.is((await send(requestWith("deadly", "own"))).error?.code, ErrorCode.Quarantined);
    t.is(engine.received.length, 0);
    t.deepEqual(suspicions, [], "the group isn't unreachable");
});

test("a success of a suspect is reported once per view", async (t) => {
    const { send, publish, leader } = await startFixture(t, streamEvents(4));
    publish([quarantinedPart("shared", { isQuarantined: false })]);
    for (let count = 0; count < 3; count += 1) {
        await send(requestWith("shared", `own-${count}`));
    }
    await waitFor("the report", () => leader.reports.length > 0 || undefined);
    t.deepEqual(leader.reports.flatMap(({ served }) => served).map(({ partIds }) => partIds), [["shared"]]);
});

test("a crash is reported until a leader accepts it", async (t) => {
    const { send, leader, second } = await startFixture(t, crash, createLeader({ accepts: false }));
    t.is((await send(requestWith("shared", "deadly", "own"))).error?.verdict, Verdict.MayHaveRun);
    t.is(second.received.length, 0, "the cause is unknown without a leader");
    leader.accepts = true;
    const count = leader.reports.length;
    await waitFor("the second report", () => leader.reports.length > count || undefined);
    t.deepEqual(leader.reports.at(-1)?.crashes[0]?.requests[0]?.partIds, ["shared", "deadly", REQUEST_ID]);
});
