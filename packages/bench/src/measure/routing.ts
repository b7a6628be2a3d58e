import { monotonicMs, Random, sleep } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";
import { GroupLoads, GroupSelector, type GroupSelectorOptions } from "@greengage/routing";
import { type FirstTokenFigures, firstTokenFigures } from "./percentiles.ts";
import { SimulatedEngine } from "./simulatedengine.ts";

const GROUPS = 16;
/** Four for each daemon, as 7 daemons have of engines with 32 today. */
const SLOTS = 28;
const DAEMONS = 7;
const STRAGGLERS = 2;
const STRAGGLER_SLOWDOWN = 4;
const PREFIXES = 240;
const HOLD_MS = 400;
/** Share of the slots that are busy on average, without stragglers. */
const UTILISATION = 0.5;
const REPORT_MS = 1_000;
const WARM_UP_MS = 8_000;
const DURATION_MS = 20_000;
const POLL_MS = 2;
const SEED = 7;
const STRAGGLER_IDS = new Set(Array.from({ length: STRAGGLERS }, (_, index) => `group-${index}`));

interface Variant {
    /** Options of the chooser. */
    options: Partial<GroupSelectorOptions>;
    /** Whether the chooser knows the running requests of all daemons at once, which no real daemon can. */
    hasFreshKnowledge: boolean;
}

const plain = { affinity: false, avoidStragglers: false };

const variants: Record<string, Variant> = {
    random: { options: { strategy: "random", ...plain }, hasFreshKnowledge: false },
    roundRobin: { options: { strategy: "roundRobin", ...plain }, hasFreshKnowledge: false },
    leastInFlightFresh: { options: { strategy: "leastInFlight", ...plain }, hasFreshKnowledge: true },
    twoChoicesPlain: { options: { strategy: "twoChoices", ...plain }, hasFreshKnowledge: false },
    twoChoices: { options: { strategy: "twoChoices" }, hasFreshKnowledge: false },
};

interface SmallDaemon {
    loads: GroupLoads;
    chooser: GroupSelector;
}

/** A fleet of small engines behind daemons that each know their own requests and old reports. */
class Fleet {
    readonly #samples: number[] = [];
    readonly #open = new Set<number>();
    readonly #share: number;
    #measuredCount = 0;
    #stragglerCount = 0;
    readonly #engines = new Map<string, SimulatedEngine>();
    readonly #daemons: SmallDaemon[];
    #views: GroupView[] = [];

    constructor(variant: Variant) {
        this.#share = variant.hasFreshKnowledge ? Infinity : Math.floor(SLOTS / DAEMONS);
        for (let index = 0; index < GROUPS; index += 1) {
            const slowdown = index < STRAGGLERS ? STRAGGLER_SLOWDOWN : 1;
            this.#engines.set(
                `group-${index}`,
                new SimulatedEngine({
                    slots: SLOTS,
                    firstTokenMs: 30,
                    holdMs: HOLD_MS,
                    slowdown,
                    cachedPrefixes: 24,
                    prefixMissMs: 100,
                }),
            );
        }
        const fresh = (group: GroupView): number => {
            const engine = this.#engines.get(group.groupId);
            return (engine?.running ?? 0) + (engine?.waiting ?? 0);
        };
        this.#daemons = Array.from({ length: DAEMONS }, (_, index) => {
            const loads = new GroupLoads();
            const score = variant.hasFreshKnowledge ? fresh : undefined;
            const random = new Random(SEED + index);
            return {
                loads,
                chooser: new GroupSelector({ loads, zone: "zone-a", random, score, ...variant.options }),
            };
        });
        this.report();
    }

    /** What the engines report, as all daemons see it until the next report. */
    report(): void {
        this.#views = [...this.#engines].map(([groupId, engine]) => ({
            groupId,
            generation: 1,
            model: "assistant",
            zone: "zone-a",
            fabricDomain: "rack-1",
            state: "serving",
            memberVmIds: [groupId],
            leaderUrl: "",
            maxConcurrent: SLOTS,
            load: {
                runningRequests: engine.running,
                waitingRequests: engine.waiting,
                kvUsedShare: 0,
                tokenGapMs: 0,
            },
        }));
    }

    /** Waits for room at a group as a daemon does, and runs the request there. */
    async request(daemonIndex: number, prefix: string, isMeasured: boolean): Promise<void> {
        const startedAtMs = monotonicMs();
        const { loads, chooser } = this.#daemons[daemonIndex] as SmallDaemon;
        const body = { messages: [{ role: "system", content: prefix.repeat(60) }] };
        const free = (): GroupView[] =>
            this.#views.filter((view) => loads.inFlight(view.groupId) < this.#share);
        while (free().length === 0) {
            await sleep(POLL_MS);
        }
        const { groupId } = chooser.select(this.#views, free(), chooser.affinityKey(body));
        const sentAtMs = monotonicMs();
        loads.begin(groupId);
        if (isMeasured) {
            this.#open.add(startedAtMs);
            this.#measuredCount += 1;
            this.#stragglerCount += STRAGGLER_IDS.has(groupId) ? 1 : 0;
        }
        await this.#engines.get(groupId)?.run(prefix, () => loads.end(groupId));
        loads.recordFirstToken(groupId, monotonicMs() - sentAtMs);
        if (this.#open.delete(startedAtMs)) {
            this.#samples.push(monotonicMs() - startedAtMs);
        }
    }

    /** Requests without a first token count with the time that they have waited. */
    figures(): FirstTokenFigures & { stragglerShare: number; cachedShare: number; } {
        const nowMs = monotonicMs();
        const waiting = [...this.#open].map((startedAtMs) => nowMs - startedAtMs);
        const counts = [...this.#engines.values()].map((engine) => engine.prefixCounts);
        const hits = counts.reduce((sum, count) => sum + count.hits, 0);
        const all = counts.reduce((sum, count) => sum + count.hits + count.misses, 0);
        const cachedShare = Math.round(hits / all * 1_000) / 1_000;
        const stragglerShare = Math.round(this.#stragglerCount / this.#measuredCount * 1_000) / 1_000;
        return { ...firstTokenFigures([...this.#samples, ...waiting]), stragglerShare, cachedShare };
    }
}

/** The same arrivals, daemons and prefixes go to the fleets of all strategies at the same time. */
const drive = async (fleets: Fleet[]): Promise<void> => {
    const random = new Random(SEED);
    const startedAtMs = monotonicMs();
    const ratePerMs = GROUPS * SLOTS * UTILISATION / HOLD_MS;
    const reports = setInterval(() => fleets.forEach((fleet) => fleet.report()), REPORT_MS);
    let nextAtMs = 0;
    while (nextAtMs < WARM_UP_MS + DURATION_MS) {
        nextAtMs += -Math.log(1 - random.nextFloat()) / ratePerMs;
        await sleep(Math.max(0, startedAtMs + nextAtMs - monotonicMs()));
        const daemonIndex = random.nextInt(DAEMONS);
        // A few prefixes are common and most are rare.
        const prefix = `prefix-${Math.floor(PREFIXES * random.nextFloat() ** 2)} `;
        for (const fleet of fleets) {
            void fleet.request(daemonIndex, prefix, nextAtMs > WARM_UP_MS);
        }
    }
    clearInterval(reports);
    await sleep(2_000);
};

/** Times to the first token with two stragglers of 16 groups and shared prefixes, by strategy. */
export const measureRouting = async (): Promise<object> => {
    const fleets = Object.entries(variants).map(([name, variant]) => ({ name, fleet: new Fleet(variant) }));
    await drive(fleets.map(({ fleet }) => fleet));
    return Object.fromEntries(fleets.map(({ name, fleet }) => [name, fleet.figures()]));
};
