import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { PlatformEngine } from "./engine.ts";
import { sendTraffic, type SmallFleet, startSmallFleet } from "./smallfleet.ts";

/** Time after an answer that asks for a pause from which requests count, and how many of them are allowed. */
const PAUSE_SLACK_MS = 500;
const ALLOWED_IN_PAUSE = 2;
const PAUSE_MS = 2_500;
/** Time after an answer of a leaving server from which no request may reach it. */
const DRAIN_MS = 2_000;
const REQUEST_INTERVAL_MS = 30;
/** A group counts a request for over a second at first, so one group alone has room for this rate only. */
const STREAM_INTERVAL_MS = 80;
/** A busy machine delays first events, and predictions follow. */
const STREAM_TARGET_MS = 2_000;
const WARM_UP_MS = 600;
/** Callers without a server must learn of it within this time. */
const REJECTION_LIMIT_MS = 50;
/** Time from the sending of a request to the decision on it, on a busy machine. */
const SENDING_MS = 200;

/** Counts arrivals at engines that have asked for a pause, by engine id. */
class PauseCounter {
    readonly counts = new Map<string, number>();
    readonly #pausedAtMs = new Map<string, number>();

    onPause(engineId: string): void {
        if (!this.#pausedAtMs.has(engineId)) {
            this.#pausedAtMs.set(engineId, performance.now());
        }
    }

    onArrival(engineId: string): void {
        const pausedMs = performance.now() - (this.#pausedAtMs.get(engineId) ?? Infinity);
        if (pausedMs > PAUSE_SLACK_MS && pausedMs < PAUSE_MS) {
            this.counts.set(engineId, (this.counts.get(engineId) ?? 0) + 1);
        }
    }
}

interface PauseCase {
    service: "llm" | "ledger";
    path: string;
    serverCount: number;
    pausedCount: number;
    /** Whether the rejections state that the request hasn't run. Default: true. */
    statesNotRun?: boolean;
}

interface PauseOutcome {
    fixture: SmallFleet;
    mostInPause: number;
    answers: Awaited<ReturnType<typeof sendTraffic>>;
}

/** Sends requests until the servers pause, and during most of their pause. */
const runPause = async (
    t: ExecutionContext,
    { service, path, serverCount, pausedCount, statesNotRun = true }: PauseCase,
): Promise<PauseOutcome> => {
    const counter = new PauseCounter();
    const fixture = await startSmallFleet(t, {
        service,
        entryCount: 1,
        serverCount,
        streamTargetMs: STREAM_TARGET_MS,
        observe: {
            onPause: (id) => counter.onPause(id),
            onArrival: (id) => counter.onArrival(id),
        },
    });
    const { platform } = fixture;
    const traffic = { path, intervalMs: service === "llm" ? STREAM_INTERVAL_MS : REQUEST_INTERVAL_MS };
    await sendTraffic(platform, { ...traffic, durationMs: WARM_UP_MS });
    for (const server of busiestFirst(fixture).slice(0, pausedCount)) {
        server.retryAfterS = (PAUSE_MS / 1_000).toFixed(1);
        server.statesNotRun = statesNotRun;
    }
    const durationMs = PAUSE_MS - 200;
    const answers = await sendTraffic(platform, { ...traffic, durationMs });
    fixture.servers.forEach((server) => {
        server.retryAfterS = undefined;
    });
    t.log({ arrivals: Object.fromEntries(counter.counts), statuses: countStatuses(answers) });
    const refusals = answers.filter(({ answer }) => answer?.status !== 200);
    t.log(refusals.slice(0, 5).map(({ answer, durationMs }) => `${durationMs} ms: ${answer?.text}`));
    return { fixture, answers, mostInPause: Math.max(0, ...counter.counts.values()) };
};

const busiestFirst = ({ servers, countOf }: SmallFleet): PlatformEngine[] =>
    [...servers].sort((a, b) => countOf(b) - countOf(a));

/** Lines of one event in a daemon's log. */
const logged = (log: string, event: string): Record<string, unknown>[] =>
    log.split("\n").filter((line) => line.includes(`"${event}"`)).map((line) =>
        JSON.parse(line) as Record<string, unknown>
    );

const countStatuses = (answers: PauseOutcome["answers"]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { answer } of answers) {
        counts[String(answer?.status)] = (counts[String(answer?.status)] ?? 0) + 1;
    }
    return counts;
};

// Guards against callers that return all the time, because nobody tells them how long the pause is.
test("servers of a service that all pause get no requests, and callers learn when to return", async (t) => {
    t.timeout(60_000);
    const { fixture, mostInPause, answers } = await runPause(t, {
        service: "ledger",
        path: "/read/",
        serverCount: 3,
        pausedCount: 3,
    });
    t.true(mostInPause <= ALLOWED_IN_PAUSE, `${mostInPause} requests reached a server in its pause`);
    const firstSentAtMs = answers[0]?.sentAtMs ?? 0;
    for (const { answer, sentAtMs } of answers) {
        t.is(answer?.status, 503);
        // No pause begins before the first request is sent.
        const retryAfterMs = Number(answer?.headers["retry-after"]) * 1_000;
        const remainingMs = firstSentAtMs + PAUSE_MS - sentAtMs;
        t.true(retryAfterMs >= remainingMs - SENDING_MS, `${retryAfterMs} of ${remainingMs} ms`);
    }
    // The first requests meet the pauses at the servers.
    const rejectionAgesMs = logged(fixture.platform.entryLog(), "request.failed")
        .filter(({ reason, attempts }) => reason === "all servers of the service pause" && attempts === 0)
        .map(({ ageMs }) => Number(ageMs));
    t.true(rejectionAgesMs.length > answers.length / 2);
    t.true(Math.max(...rejectionAgesMs) <= REJECTION_LIMIT_MS, `${Math.max(...rejectionAgesMs)} ms`);
});

for (const statesNotRun of [true, false]) {
    const answer = statesNotRun ? "a rejection" : "an error";
    // Guards against attempts that are used up at paused servers while another one has room.
    test(`no caller is refused while one group pauses with ${answer} and the other has room`, async (t) => {
        t.timeout(60_000);
        const { mostInPause, answers } = await runPause(t, {
            service: "llm",
            path: "/chat/",
            serverCount: 2,
            pausedCount: 1,
            statesNotRun,
        });
        t.true(mostInPause <= ALLOWED_IN_PAUSE, `${mostInPause} requests reached the group in its pause`);
        t.deepEqual(countStatuses(answers), { 200: answers.length });
    });
}

for (
    const { kind, path, pausedCount } of [
        { kind: "safe", path: "/read/", pausedCount: 1 },
        { kind: "safe", path: "/read/", pausedCount: 2 },
        { kind: "unsafe", path: "/pay/", pausedCount: 1 },
    ]
) {
    test(`no ${kind} request is refused while ${pausedCount} of three servers pause`, async (t) => {
        t.timeout(60_000);
        const { mostInPause, answers } = await runPause(t, {
            service: "ledger",
            path,
            serverCount: 3,
            pausedCount,
        });
        t.true(mostInPause <= ALLOWED_IN_PAUSE, `${mostInPause} requests reached a server in its pause`);
        t.deepEqual(countStatuses(answers), { 200: answers.length });
    });
}

for (
    const { service, path, isCutOff } of [
        { service: "llm", path: "/chat/", isCutOff: false },
        { service: "llm", path: "/chat/", isCutOff: true },
        { service: "ledger", path: "/read/", isCutOff: false },
        { service: "ledger", path: "/read/", isCutOff: true },
        { service: "ledger", path: "/pay/", isCutOff: false },
    ] as const
) {
    const suffix = isCutOff ? ", also without control daemons" : "";
    // Guards against a server that says only in its answers that it leaves.
    test(`a server that leaves gets no requests of ${path} later than its drain${suffix}`, async (t) => {
        t.timeout(60_000);
        const fixture = await startSmallFleet(t, {
            service,
            entryCount: 1,
            serverCount: service === "llm" ? 2 : 3,
            streamTargetMs: STREAM_TARGET_MS,
        });
        const { platform, countOf } = fixture;
        const traffic = { path, intervalMs: service === "llm" ? STREAM_INTERVAL_MS : REQUEST_INTERVAL_MS };
        await sendTraffic(platform, { ...traffic, durationMs: WARM_UP_MS });
        if (isCutOff) {
            platform.controlProcess.kill("SIGKILL");
        }
        const [leaving] = busiestFirst(fixture) as [PlatformEngine];
        leaving.saysLeaving = true;
        const early = await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS + 100 });
        const countBefore = countOf(leaving);
        const late = await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS });
        t.log({ lateArrivals: countOf(leaving) - countBefore });
        t.is(countOf(leaving) - countBefore, 0);
        t.deepEqual(countStatuses([...early, ...late]), { 200: early.length + late.length });
        if (!isCutOff) {
            const reports = logged(platform.controlLog(), "server.leaving");
            t.deepEqual(reports.map(({ server }) => server), [leaving.id]);
            const isClosing = logged(platform.controlLog(), "group.phase").some(({ to, head }) =>
                to === "closing" && head === leaving.id
            );
            t.is(isClosing, service === "llm", "the group of the leaving head is replaced");
        }
    });
}

// Guards against a hold that outlives the process that asked for it.
for (const { kind } of [{ kind: "leaves" }, { kind: "pauses" }]) {
    test(`a server that ${kind} and starts again under its id gets requests again`, async (t) => {
        t.timeout(60_000);
        const fixture = await startSmallFleet(t, { service: "ledger", entryCount: 1, serverCount: 2 });
        const { platform, fleet, countOf } = fixture;
        const traffic = { path: "/read/", intervalMs: REQUEST_INTERVAL_MS };
        const [first] = busiestFirst(fixture) as [PlatformEngine];
        first.saysLeaving = kind === "leaves";
        first.retryAfterS = kind === "pauses" ? "60" : undefined;
        await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS });
        first.stop();
        const options = { id: first.id, service: "ledger", control: platform.control, fleet };
        const second = await PlatformEngine.start(t, { ...options, port: first.port });
        const countBefore = countOf(second);
        await waitFor("requests at the new process", async () => {
            await sendTraffic(platform, { ...traffic, durationMs: 10 * REQUEST_INTERVAL_MS });
            return countOf(second) > countBefore ? true : undefined;
        });
        t.true(second.executedHeaders.length > 0);
    });
}
