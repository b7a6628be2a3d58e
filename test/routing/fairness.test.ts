import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import { FairQueue, type Flow, OrganisationLimits } from "@greengage/routing";
import test from "ava";

const partyOf = (organisation: string, fields: Partial<Flow> = {}): Flow => ({
    organisation,
    weight: 1,
    priority: 5,
    ...fields,
});

interface Run {
    queue: FairQueue<string>;
    /** Starts waiting requests while slots are free, and returns their organisations. */
    fill: () => string[];
    end: (organisation: string) => void;
}

const runOf = (slotCount: number): Run => {
    const queue = new FairQueue<string>({ nowMs: () => 0 });
    let freeCount = slotCount;
    const fill = (): string[] => {
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
    const end = (organisation: string): void => {
        queue.finish(organisation, 100);
        freeCount += 1;
    };
    return { queue, fill, end };
};

const addMany = (queue: FairQueue<string>, party: Flow, count: number): void => {
    for (let index = 0; index < count; index += 1) {
        queue.add(party, party.organisation);
    }
};

// Guards hard case 12: a flood must not make the others wait for a slot.
test("an organisation that floods leaves slots free for the others", (t) => {
    const { queue, fill } = runOf(16);
    addMany(queue, partyOf("small"), 1);
    t.deepEqual(fill(), ["small"]);
    addMany(queue, partyOf("large"), 100);
    t.is(fill().length, 13);
    addMany(queue, partyOf("small"), 2);
    t.deepEqual(fill(), ["small", "small"]);
});

// With one slot the slot time that each has used decides; with several, the slots that each holds.
for (const slotCount of [1, 8]) {
    test(`${slotCount} slots go to waiting organisations by weight`, (t) => {
        const { queue, fill, end } = runOf(slotCount);
        addMany(queue, partyOf("light"), 400);
        addMany(queue, partyOf("heavy", { weight: 3 }), 400);
        const running = fill();
        const counts = { light: 0, heavy: 0 };
        for (let round = 0; round < 200; round += 1) {
            end(running.shift() as string);
            for (const organisation of fill()) {
                counts[organisation as keyof typeof counts] += 1;
                running.push(organisation);
            }
        }
        t.true(Math.abs(counts.heavy / counts.light - 3) < 0.3, JSON.stringify(counts));
    });
}

test("a more urgent class goes first, and a removed request does not start", (t) => {
    const { queue, fill } = runOf(2);
    addMany(queue, partyOf("later"), 2);
    addMany(queue, partyOf("urgent", { priority: 0 }), 2);
    t.deepEqual(fill(), ["urgent", "urgent"]);
    queue.remove("later", "later");
    t.is(queue.length, 1);
});

const limitsOf = (share?: { requestsPerS: number; concurrent: number; }) => {
    const clock = { nowMs: 0 };
    const limits = new OrganisationLimits({
        share: (organisation) => share && { organisation, ...share },
        limit: () => ({ requestsPerS: 40, maxConcurrent: 8 }),
        daemonCount: () => 4,
        nowMs: () => clock.nowMs,
    });
    return { clock, limits };
};

const acceptedIn = (limits: OrganisationLimits, clock: { nowMs: number; }, durationMs: number): number => {
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

test("requests per second follow the share, and the table's limit by daemons without a share", (t) => {
    const without = limitsOf();
    t.true(Math.abs(acceptedIn(without.limits, without.clock, 10_000) - 100) <= 6);
    const withShare = limitsOf({ requestsPerS: 25, concurrent: 5 });
    t.true(Math.abs(acceptedIn(withShare.limits, withShare.clock, 10_000) - 250) <= 14);
    const [demand] = withShare.limits.demand();
    t.true(Math.abs((demand?.requestsPerS ?? 0) - 100) < 5);
});

test("concurrency is held to the share, and a place is free again after the end", (t) => {
    const { limits } = limitsOf({ requestsPerS: 1_000, concurrent: 2 });
    const end = limits.admit("umbrella-corner");
    limits.admit("umbrella-corner");
    t.throws(() => limits.admit("umbrella-corner"), { instanceOf: GreengageError });
    end();
    end();
    limits.admit("umbrella-corner");
    t.throws(() => limits.admit("umbrella-corner"), { instanceOf: GreengageError });
});
