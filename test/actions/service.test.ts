import { ActionRecords, ActionService } from "@greengage/actions";
import { createContext, ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import { type Command, MemoryLog } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import type { ServiceCall, ServiceResponse } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";

const createError = (verdict: Verdict): GreengageError =>
    new GreengageError("injected fault", { code: ErrorCode.Unavailable, verdict });

/** Log with injected faults: before the commit, or after it, so that the response is lost. */
class FaultyLog extends MemoryLog {
    faultsByType: Partial<Record<string, "notRun" | "lost" | "down">> = {};
    /** Runs before a command is committed. A test pauses the daemon here. */
    beforeCommit: () => Promise<void> = () => Promise.resolve();

    override async propose(command: Command): Promise<{ index: number; result: unknown; }> {
        const fault = this.faultsByType[command.type];
        if (fault === "notRun") {
            throw createError(Verdict.NotRun);
        }
        if (fault === "down") {
            throw createError(Verdict.MayHaveRun);
        }
        await this.beforeCommit();
        const committed = await super.propose(command);
        if (fault === "lost") {
            throw createError(Verdict.MayHaveRun);
        }
        return committed;
    }
}

interface Fixture {
    records: ActionRecords;
    log: FaultyLog;
    /** Creates the service of another daemon on the same log. */
    createService: () => ActionService;
    bookings: ServiceCall[];
    response: { status: number; body: Uint8Array; } | Verdict;
    violations: () => number;
}

const createFixture = (): Fixture => {
    const records = new ActionRecords();
    const context = createContext({ daemonId: "daemon-1", zone: "zone-a" });
    const fixture: Fixture = {
        records,
        log: new FaultyLog(records),
        bookings: [],
        response: { status: 200, body: Buffer.from("booked") },
        violations: () => context.invariants.violationCount,
        createService: () => new ActionService({ context, log: fixture.log, records, dispatcher }),
    };
    const dispatcher = {
        admit: () => () => undefined,
        callService: async (call: ServiceCall): Promise<ServiceResponse> => {
            if (call.mayStillSend?.() === false) {
                throw createError(Verdict.NotRun);
            }
            if (typeof fixture.response !== "string") {
                fixture.bookings.push(call);
                const { status, body } = fixture.response;
                return { status, headers: { "content-type": "text/plain" }, body, verdict: Verdict.Ran };
            }
            if (fixture.response !== Verdict.NotRun) {
                fixture.bookings.push(call);
            }
            throw createError(fixture.response);
        },
    };
    return fixture;
};

const createCall = (body = "{}"): ServiceCall => ({
    requestId: "request-1",
    organisation: "umbrella-corner",
    service: "ledger",
    method: "POST",
    path: "/sales",
    headers: {},
    body: Buffer.from(body),
    deadlineAtMs: monotonicMs() + 10_000,
    nonIdempotent: true,
});

const runAction = (service: ActionService, body?: string): Promise<ServiceResponse> =>
    service.run(createCall(body), "sale-1", new AbortController().signal);

const verdictOf = async (t: ExecutionContext, promise: Promise<unknown>): Promise<Verdict> =>
    (await t.throwsAsync(promise, { instanceOf: GreengageError }) as GreengageError).verdict;

test("the response of an action that ran is replayed with status and body, whatever the status", async (t) => {
    const fixture = createFixture();
    fixture.response = { status: 503, body: Buffer.from("out of paper") };
    const first = await runAction(fixture.createService());
    const again = await runAction(fixture.createService());
    t.is(first.status, 503);
    t.is(again.status, 503);
    t.is(Buffer.from(again.body).toString(), "out of paper");
    t.is(again.verdict, Verdict.Ran);
    t.is(fixture.bookings.length, 1);
});

test("a lost response leaves the outcome unknown, and retries through other daemons send nothing", async (t) => {
    const fixture = createFixture();
    fixture.response = Verdict.MayHaveRun;
    t.is(await verdictOf(t, runAction(fixture.createService())), Verdict.MayHaveRun);
    fixture.response = { status: 200, body: Buffer.from("booked") };
    t.is(await verdictOf(t, runAction(fixture.createService())), Verdict.MayHaveRun);
    t.is(fixture.bookings.length, 1);
    const [unknown] = fixture.createService().listUnknown();
    t.is(unknown?.key, "sale-1");
});

test("the key of a call that was not run can be used again", async (t) => {
    const fixture = createFixture();
    fixture.response = Verdict.NotRun;
    t.is(await verdictOf(t, runAction(fixture.createService())), Verdict.NotRun);
    fixture.response = { status: 200, body: Buffer.from("booked") };
    t.is((await runAction(fixture.createService())).status, 200);
    t.is(fixture.bookings.length, 1);
});

// Guards against a daemon that is paused after proposing its intent and sends the call when it resumes.
test("an attempt is not sent after its send window", async (t) => {
    const fixture = createFixture();
    let thaw = (): void => undefined;
    const frozen = new Promise<void>((resolve) => {
        thaw = resolve;
    });
    fixture.log.beforeCommit = () => frozen;
    const startedAtMs = monotonicMs();
    const running = runAction(fixture.createService());
    fixture.log.beforeCommit = () => Promise.resolve();
    await waitFor("the end of the send window", () => monotonicMs() - startedAtMs > 2_000 || undefined);
    thaw();
    t.is(await verdictOf(t, running), Verdict.NotRun);
    t.is(fixture.bookings.length, 0);
});

test("an intent whose commit is uncertain is voided and not sent", async (t) => {
    const fixture = createFixture();
    fixture.log.faultsByType["action.intent"] = "lost";
    t.is(await verdictOf(t, runAction(fixture.createService())), Verdict.NotRun);
    fixture.log.faultsByType = {};
    t.is((await runAction(fixture.createService())).status, 200);
    t.is(fixture.bookings.length, 1);
});

// Guards P4-not-run-is-true: if a key held by another attempt were reported as notRun, the caller would repeat the
// action with a new key.
test("an uncertain intent for a key that has run gets the result of that run", async (t) => {
    const fixture = createFixture();
    fixture.log.faultsByType["action.outcome"] = "down";
    const service = fixture.createService();
    await runAction(service);
    fixture.log.faultsByType = { "action.intent": "lost" };
    t.is(await verdictOf(t, runAction(fixture.createService())), Verdict.MayHaveRun);
    t.is(fixture.bookings.length, 1);
    await service.close();
});

// Guards against records that stay without an outcome after the leader is lost.
test("recording an outcome is retried, even while the daemon stops", async (t) => {
    const fixture = createFixture();
    fixture.log.faultsByType["action.outcome"] = "down";
    const service = fixture.createService();
    t.is((await runAction(service)).status, 200);
    t.is(fixture.records.unknownOutcomes().length, 1);
    const closing = service.close();
    fixture.log.faultsByType = {};
    await closing;
    t.is(fixture.records.get("umbrella-corner", "sale-1")?.outcome, "ran");
    t.is(Buffer.from((await runAction(fixture.createService())).body).toString(), "booked");
    t.is(fixture.bookings.length, 1);
});

test("a different body with the same key is rejected, and a large response is replayed without its body", async (t) => {
    const fixture = createFixture();
    fixture.response = { status: 200, body: new Uint8Array(100_000) };
    t.is((await runAction(fixture.createService())).body.length, 100_000);
    const again = await runAction(fixture.createService());
    t.is(again.body.length, 0);
    t.is(again.headers["idempotency-body"], "dropped");
    const error = await t.throwsAsync(runAction(fixture.createService(), "{\"other\":1}")) as GreengageError;
    t.is(error.code, ErrorCode.KeyReused);
    t.is(error.verdict, Verdict.NotRun);
});

test("an operator settles an unknown outcome with a reason, and the key is not sent again", async (t) => {
    const fixture = createFixture();
    fixture.response = Verdict.MayHaveRun;
    const service = fixture.createService();
    await verdictOf(t, runAction(service));
    const [unknown] = service.listUnknown();
    const settlement = {
        organisation: "umbrella-corner",
        key: "sale-1",
        attemptId: unknown?.attemptId ?? "",
        outcome: "settledNotRun" as const,
        operator: "ada",
        reason: "the ledger has no entry",
    };
    t.is(await verdictOf(t, service.settle({ ...settlement, reason: " " })), Verdict.NotRun);
    t.deepEqual(await service.settle(settlement), { kind: "settled" });
    t.is(await verdictOf(t, runAction(service)), Verdict.NotRun);
    t.is(fixture.bookings.length, 1);
    t.is(fixture.violations(), 0);
});
