import test, { type ExecutionContext } from "ava";
import {
    busiestFirst,
    countStatuses,
    logged,
    REQUEST_INTERVAL_MS,
    sendTraffic,
    sentAtMsOf,
    type SmallFleet,
    startSmallFleet,
    STREAM_INTERVAL_MS,
    STREAM_TARGET_MS,
    type TrafficAnswer,
    WARM_UP_MS,
} from "./smallfleet.ts";

/** Time after an answer that asks for a pause from which requests count, and how many of them are allowed. */
const PAUSE_SLACK_MS = 500;
const ALLOWED_IN_PAUSE = 2;
const PAUSE_MS = 2_500;
/** Callers without a server must learn of it within this time. */
const REJECTION_LIMIT_MS = 50;

/** Counts arrivals at engines that have asked for a pause, by engine id. */
class PauseCounter {
    readonly counts = new Map<string, number>();
    readonly #pausedAtMs = new Map<string, number>();

    onPause(engineId: string): void {
        if (!this.#pausedAtMs.has(engineId)) {
            this.#pausedAtMs.set(engineId, performance.now());
        }
    }

    /** Counts a request that was sent in the pause; one that was on its way may arrive late on a busy machine. */
    onArrival(engineId: string, sentAtMs: number): void {
        const pausedAtMs = this.#pausedAtMs.get(engineId) ?? Infinity;
        if (sentAtMs - pausedAtMs > PAUSE_SLACK_MS && performance.now() - pausedAtMs < PAUSE_MS) {
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
    answers: TrafficAnswer[];
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
            onArrival: (id, message) => counter.onArrival(id, sentAtMsOf(message)),
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

// Guards against callers that return all the time, because nobody tells them how long the pause is.
test.serial("servers of a service that all pause get no requests, and callers learn when to return", async (t) => {
    t.timeout(60_000);
    const { fixture, mostInPause, answers } = await runPause(t, {
        service: "ledger",
        path: "/read/",
        serverCount: 3,
        pausedCount: 3,
    });
    t.true(mostInPause <= ALLOWED_IN_PAUSE, `${mostInPause} requests reached a server in its pause`);
    const firstSentAtMs = answers[0]?.sentAtMs ?? 0;
    for (const { answer, sentAtMs, durationMs } of answers) {
        t.is(answer?.status, 503);
        // No pause begins before the first request is sent.
        const retryAfterMs = Number(answer?.headers["retry-after"]) * 1_000;
        const remainingMs = firstSentAtMs + PAUSE_MS - sentAtMs - durationMs;
        t.true(retryAfterMs >= remainingMs, `${retryAfterMs} of ${remainingMs} ms`);
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
    test.serial(`no caller is refused while one group pauses with ${answer} and the other has room`, async (t) => {
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
    test.serial(`no ${kind} request is refused while ${pausedCount} of three servers pause`, async (t) => {
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
