import { sleep } from "@greengage/base";
import { PathCut, waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { chatHeaders } from "./fixtures.ts";
import {
    type CallerAnswer,
    isServed,
    type LinkedEntry,
    type PartitionedFleet,
    RequestKind,
    servedShare,
    startPartitionedFleet,
    SteadyCallers,
} from "./partitionedfleet.ts";
import { logged } from "./smallfleet.ts";

/** Served share at cut daemons, as a part of that at the others. */
const LEAST_PART = 0.95;
/** Time from the cut until callers of cut daemons are served like others. */
const DETECTION_MS = 1_000;
const CUT_MS = 5_000;
const WARM_UP_MS = 1_000;
/** Time within which the work for a caller that has left ends. */
const STOP_LIMIT_MS = 500;
/** Statuses that guarantee that the request hasn't run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const SILENCE_MS = 1_200;

const CUTS = Object.values(PathCut);

/** Cuts the paths of an entry daemon each in its own way; the last daemon keeps its paths. */
const cutPaths = async ({ entries }: PartitionedFleet): Promise<void> => {
    await Promise.all(CUTS.map((cut, index) => entries[index]?.links.cut(cut)));
};

const healPaths = async ({ entries }: PartitionedFleet): Promise<void> => {
    await Promise.all(CUTS.map((_, index) => entries[index]?.links.heal()));
};

const ofEntry = (answers: readonly CallerAnswer[], entry: LinkedEntry, kind: RequestKind): CallerAnswer[] =>
    answers.filter((answer) => answer.entry === entry && answer.kind === kind);

/** Statuses of answers by their number; those that differ from the expected answer are `cut` or `wrong`. */
const countOutcomes = (answers: readonly CallerAnswer[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const answer of answers) {
        const success = answer.isComplete ? "wrong" : "cut";
        const outcome = answer.status === 200 && !isServed(answer) ? success : String(answer.status);
        counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    return counts;
};

const assertServedAlike = (
    t: ExecutionContext,
    { entries }: PartitionedFleet,
    answers: readonly CallerAnswer[],
): void => {
    const whole = entries.at(-1) as LinkedEntry;
    const failures: string[] = [];
    for (const kind of Object.values(RequestKind)) {
        const others = ofEntry(answers, whole, kind);
        t.log(`${kind} at the other daemon:`, countOutcomes(others));
        t.true(others.some(isServed), `${kind}: nothing is served at the other daemon`);
        for (const [index, cut] of CUTS.entries()) {
            const atCut = ofEntry(answers, entries[index] as LinkedEntry, kind);
            t.log(`${kind}, ${cut}:`, countOutcomes(atCut));
            if (!(servedShare(atCut) >= LEAST_PART * servedShare(others))) {
                failures.push(
                    `${kind}, ${cut}: ${servedShare(atCut)} served, ${servedShare(others)} elsewhere`,
                );
            }
        }
    }
    t.deepEqual(failures, []);
};

const assertAnswersSound = (
    t: ExecutionContext,
    { runs, violations }: PartitionedFleet,
    answers: readonly CallerAnswer[],
): void => {
    const successes = answers.filter(({ status }) => status === 200);
    t.deepEqual(successes.filter((answer) => !isServed(answer)).map(({ id }) => id), [], "cut or foreign");
    const unsafe = answers.filter(({ kind }) => kind === RequestKind.Unsafe);
    const runCount = (id: string): number => runs.get(id)?.length ?? 0;
    t.deepEqual(unsafe.filter(({ id }) => runCount(id) > 1).map(({ id }) => id), [], "ran twice");
    const rejected = unsafe.filter(({ status }) => NOT_RUN_STATUSES.includes(status));
    t.deepEqual(rejected.filter(({ id }) => runCount(id) > 0).map(({ id }) => id), [], "ran and rejected");
    t.deepEqual(violations, []);
};

// Guards against entry daemons that take the loss of their own paths for a failure of all servers.
test.serial("callers of entry daemons without paths to servers are rejected", async (t) => {
    t.timeout(120_000);
    const fleet = await startPartitionedFleet(t, CUTS.length + 1);
    const { entries, engines, platform } = fleet;
    const groups = engines.map(({ member }) => member.group);
    const callers = new SteadyCallers(entries);
    await sleep(WARM_UP_MS);
    await cutPaths(fleet);
    const cutAtMs = performance.now();
    await sleep(CUT_MS);
    const healedAtMs = performance.now();
    await healPaths(fleet);
    const openedCounts = entries.map(({ links }) => links.openedCount);
    await waitFor(
        "direct connections after the cut",
        () =>
            entries.every(({ links }, index) => links.openedCount > openedCounts[index]!) ? true : undefined,
    );
    const answers = await callers.stop();
    const inCut = answers.filter(({ sentAtMs }) =>
        sentAtMs > cutAtMs + DETECTION_MS && sentAtMs < healedAtMs
    );
    assertServedAlike(t, fleet, inCut);
    assertAnswersSound(t, fleet, answers);
    t.deepEqual(logged(platform.controlLog(), "group.suspected"), []);
    t.true(engines.every(({ member }, index) => member.group === groups[index]), "a group was replaced");
});

// Guards against work that goes on behind a second hop.
test.serial("engines work on for callers that have left a daemon without paths to servers", async (t) => {
    t.timeout(120_000);
    const fleet = await startPartitionedFleet(t, CUTS.length + 1);
    await cutPaths(fleet);
    for (const engine of fleet.engines) {
        engine.eventCount = 1_000;
        engine.workMs = 5_000;
    }
    for (const [index, cut] of CUTS.entries()) {
        for (const kind of [RequestKind.Stream, RequestKind.Safe]) {
            const { callers } = fleet.entries[index] as LinkedEntry;
            const id = `left-${kind}-${cut}`;
            const abort = new AbortController();
            const answer = request(`http://${callers}/${kind}/${id}`, {
                method: "POST",
                body: "text",
                headers: chatHeaders(id),
                signal: abort.signal,
            }).then(({ body }) => body.dump());
            const failure = answer.catch(() => undefined);
            const isRunning = await waitFor(
                `a run of ${id}`,
                () => fleet.runs.has(id) ? true : undefined,
                5_000,
            )
                .catch(() => false);
            t.true(isRunning, `${id} doesn't run`);
            await sleep(200);
            const leftAtMs = performance.now();
            abort.abort();
            await failure;
            const stopped = await waitFor(
                `the end of ${id}`,
                () =>
                    fleet.runs.get(id)?.every(({ closedAtMs }) => closedAtMs !== undefined)
                        ? true
                        : undefined,
            ).catch(() => false);
            t.true(stopped, `${id} works on`);
            const lastMs = Math.max(
                ...(fleet.runs.get(id) ?? []).map(({ closedAtMs = Infinity }) => closedAtMs),
            );
            t.true(lastMs - leftAtMs <= STOP_LIMIT_MS, `${id} ended ${lastMs - leftAtMs} ms later`);
        }
    }
});

for (
    const { servers, count } of [{ servers: "one server is", count: 1 }, {
        servers: "all servers are",
        count: 8,
    }]
) {
    // Guards against conclusions from a pause that a sound server makes.
    test.serial(`streams end when ${servers} silent for 1.2 s`, async (t) => {
        t.timeout(120_000);
        const fleet = await startPartitionedFleet(t, 2);
        const { answers, silentAtMs } = await runSilence(fleet, count);
        const streams = answers.filter(({ kind }) => kind === RequestKind.Stream);
        const begun = streams.filter(({ sentAtMs }) => sentAtMs < silentAtMs);
        t.log("streams", countOutcomes(streams), "all", countOutcomes(answers));
        t.deepEqual(
            begun.filter((answer) => !isServed(answer)).map(({ id }) => id),
            [],
            "streams that ended",
        );
        assertAnswersSound(t, fleet, answers);
    });
}

// Guards against conclusions from a pause that a sound server makes.
test.serial("a group is replaced when its head is silent for 1.2 s", async (t) => {
    t.timeout(120_000);
    const fleet = await startPartitionedFleet(t, 2);
    const groups = fleet.engines.map(({ member }) => member.group);
    await runSilence(fleet, 1);
    const suspicions = logged(fleet.platform.controlLog(), "group.suspected");
    t.log("verdicts", suspicions.map(({ verdict }) => verdict).join());
    t.true(fleet.engines.every(({ member }, index) => member.group === groups[index]));
});

/** Lets the first servers, heads before others, fall silent under traffic. */
const runSilence = async (
    { entries, engines }: PartitionedFleet,
    count: number,
): Promise<{ answers: CallerAnswer[]; silentAtMs: number; }> => {
    const callers = new SteadyCallers(entries);
    await sleep(WARM_UP_MS);
    const headsFirst = [...engines].sort((a, b) =>
        Number(b.member.acceptsRequests) - Number(a.member.acceptsRequests)
    );
    headsFirst.slice(0, count).forEach((engine) => engine.fallSilent(SILENCE_MS));
    const silentAtMs = performance.now();
    await sleep(SILENCE_MS + WARM_UP_MS);
    return { answers: await callers.stop(), silentAtMs };
};
