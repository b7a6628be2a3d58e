import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import { FairQueue, type Flow, OrganisationLimits } from "@greengage/routing";
import test from "ava";

const flowOf = (organisation: string, fields: Partial<Flow> = {}): Flow => ({
    organisation,
    weight: 1,
    priority: 5,
    ...fields,
});

interface QueueFixture {
    queue: FairQueue<string>;
    /** Starts waiting requests while slots are free. Returns their organisations. */
    startWaiting: () => string[];
    endRequest: (organisation: string) => void;
}

const createQueue = (slotCount: number): QueueFixture => {
    const queue = new FairQueue<string>({ nowMs: () => 0 });
    let freeCount = slotCount;
    const startWaiting = (): string[] => {
        const started: string[] = [];
        const start = (item: string): boolean => {
            started.push(item);
            return true;
        };
        while (freeCount > 0 && queue.startNext(slotCount, freeCount, start)) {
            freeCount -= 1;
        }
        return started;
    };
    const endRequest = (organisation: string): void => {
        queue.finish(organisation, 100);
        freeCount += 1;
    };
    return { queue, startWaiting, endRequest };
};

const addMany = (queue: FairQueue<string>, flow: Flow, count: number): void => {
    for (let index = 0; index < count; index += 1) {
        queue.add(flow, flow.organisation);
    }
};

// Guards against an organisation that floods the queue and makes the others wait for a slot.
test("an organisation above its fair share leaves slots free for the others", (t) => {
    const { queue, startWaiting } = createQueue(16);
    addMany(queue, flowOf("small"), 1);
    t.deepEqual(startWaiting(), ["small"]);
    addMany(queue, flowOf("large"), 100);
    t.is(startWaiting().length, 13);
    addMany(queue, flowOf("small"), 2);
    t.deepEqual(startWaiting(), ["small", "small"]);
});

// With one slot, the slot time used by each organisation decides; with several, the number of slots that each holds.
for (const slotCount of [1, 8]) {
    test(`${slotCount} slots go to waiting organisations by weight`, (t) => {
        const { queue, startWaiting, endRequest } = createQueue(slotCount);
        addMany(queue, flowOf("light"), 400);
        addMany(queue, flowOf("heavy", { weight: 3 }), 400);
        const running = startWaiting();
        const counts = { light: 0, heavy: 0 };
        for (let round = 0; round < 200; round += 1) {
            endRequest(running.shift() as string);
            for (const organisation of startWaiting()) {
                counts[organisation as keyof typeof counts] += 1;
                running.push(organisation);
            }
        }
        t.true(Math.abs(counts.heavy / counts.light - 3) < 0.3, JSON.stringify(counts));
    });
}

test("a more urgent priority class goes first, and a removed request does not start", (t) => {
    const { queue, startWaiting } = createQueue(2);
    addMany(queue, flowOf("later"), 2);
    addMany(queue, flowOf("urgent", { priority: 0 }), 2);
    t.deepEqual(startWaiting(), ["urgent", "urgent"]);
    queue.remove("later", "later");
    t.is(queue.length, 1);
});

const createLimits = (share?: { requestsPerS: number; concurrent: number; }) => {
    const clock = { nowMs: 0 };
    const limits = new OrganisationLimits({
        share: (organisation) => share && { organisation, ...share },
        limit: () => ({ requestsPerS: 40, maxConcurrent: 8 }),
        daemonCount: () => 4,
        nowMs: () => clock.nowMs,
    });
    return { clock, limits };
};

const countAccepted = (limits: OrganisationLimits, clock: { nowMs: number; }, durationMs: number): number => {
    let accepted = 0;
    for (const endMs = clock.nowMs + durationMs; clock.nowMs < endMs; clock.nowMs += 10) {
        try {
            limits.admit("umbrella-corner")();
            accepted += 1;
        }
        catch (error) {
            const { code, verdict, retryAfterMs } = error as GreengageError;
            if (code !== ErrorCode.LimitReached || verdict !== Verdict.NotRun || !retryAfterMs) {
                throw error;
            }
        }
    }
    return accepted;
};

test("the request rate follows the assigned share, or the table's limit divided by the daemon count", (t) => {
    const without = createLimits();
    t.true(Math.abs(countAccepted(without.limits, without.clock, 10_000) - 100) <= 6);
    const withShare = createLimits({ requestsPerS: 25, concurrent: 5 });
    t.true(Math.abs(countAccepted(withShare.limits, withShare.clock, 10_000) - 250) <= 14);
    const [demand] = withShare.limits.demand();
    t.true(Math.abs((demand?.requestsPerS ?? 0) - 100) < 5);
});

test("concurrency is limited to the share, and ending a request frees its slot exactly once", (t) => {
    const { limits } = createLimits({ requestsPerS: 1_000, concurrent: 2 });
    const endRequest = limits.admit("umbrella-corner");
    limits.admit("umbrella-corner");
    t.throws(() => limits.admit("umbrella-corner"), { instanceOf: GreengageError });
    endRequest();
    endRequest();
    limits.admit("umbrella-corner");
    t.throws(() => limits.admit("umbrella-corner"), { instanceOf: GreengageError });
});
