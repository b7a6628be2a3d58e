import { monotonicMs, Random, sleep } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";
import { GroupLoads, GroupSelector, type GroupSelectorOptions } from "@greengage/routing";
import { type FirstTokenFigures, firstTokenFigures } from "./percentiles.ts";
import { SimulatedEngine } from "./simulatedengine.ts";

const GROUP_COUNT = 16;
/** Four per daemon, like 7 daemons that share engines with 32 slots. */
const SLOTS_PER_GROUP = 28;
const DAEMON_COUNT = 7;
const STRAGGLER_COUNT = 2;
const STRAGGLER_SLOWDOWN = 4;
const PREFIX_COUNT = 240;
const HOLD_MS = 400;
/** Average share of slots in use, without stragglers. */
const UTILISATION = 0.5;
const REPORT_MS = 1_000;
const WARM_UP_MS = 8_000;
const DURATION_MS = 20_000;
const POLL_MS = 2;
const SEED = 7;
const STRAGGLER_IDS = new Set(Array.from({ length: STRAGGLER_COUNT }, (_, index) => `group-${index}`));

interface Variant {
    options: Partial<GroupSelectorOptions>;
    /** Whether the selector sees the current load from all daemons without delay, which no real daemon can. */
    hasGlobalLoads: boolean;
}

const noRefinements = { affinity: false, avoidStragglers: false };

const variants: Record<string, Variant> = {
    random: { options: { strategy: "random", ...noRefinements }, hasGlobalLoads: false },
    roundRobin: { options: { strategy: "roundRobin", ...noRefinements }, hasGlobalLoads: false },
    leastInFlightFresh: { options: { strategy: "leastInFlight", ...noRefinements }, hasGlobalLoads: true },
    twoChoicesPlain: { options: { strategy: "twoChoices", ...noRefinements }, hasGlobalLoads: false },
    twoChoices: { options: { strategy: "twoChoices" }, hasGlobalLoads: false },
};

interface SimulatedDaemon {
    loads: GroupLoads;
    selector: GroupSelector;
}

/** Simulated engines behind daemons that each know only their own requests and the last reports. */
class SimulatedFleet {
    readonly #samples: number[] = [];
    readonly #pendingSinceMs = new Set<number>();
    readonly #slotsPerDaemon: number;
    #measuredCount = 0;
    #stragglerCount = 0;
    readonly #engines = new Map<string, SimulatedEngine>();
    readonly #daemons: SimulatedDaemon[];
    #views: GroupView[] = [];

    constructor(variant: Variant) {
        this.#slotsPerDaemon = variant.hasGlobalLoads ? Infinity : Math.floor(SLOTS_PER_GROUP / DAEMON_COUNT);
        for (let index = 0; index < GROUP_COUNT; index += 1) {
            const slowdown = index < STRAGGLER_COUNT ? STRAGGLER_SLOWDOWN : 1;
            this.#engines.set(
                `group-${index}`,
                new SimulatedEngine({
                    slots: SLOTS_PER_GROUP,
                    firstTokenMs: 30,
                    holdMs: HOLD_MS,
                    slowdown,
                    cachedPrefixes: 24,
                    prefixMissMs: 100,
                }),
            );
        }
        const currentLoad = (group: GroupView): number => {
            const engine = this.#engines.get(group.groupId);
            return (engine?.running ?? 0) + (engine?.waiting ?? 0);
        };
        this.#daemons = Array.from({ length: DAEMON_COUNT }, (_, index) => {
            const loads = new GroupLoads();
            const score = variant.hasGlobalLoads ? currentLoad : undefined;
            const random = new Random(SEED + index);
            return {
                loads,
                selector: new GroupSelector({ loads, zone: "zone-a", random, score, ...variant.options }),
            };
        });
        this.report();
    }

    /** Updates the engine reports that all daemons see until the next update. */
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
            maxConcurrent: SLOTS_PER_GROUP,
            load: {
                runningRequests: engine.running,
                waitingRequests: engine.waiting,
                kvUsedShare: 0,
                tokenGapMs: 0,
            },
        }));
    }

    /** Waits for a free slot at a group, as a daemon does, and runs the request there. */
    async request(daemonIndex: number, prefix: string, isMeasured: boolean): Promise<void> {
        const startedAtMs = monotonicMs();
        const { loads, selector } = this.#daemons[daemonIndex] as SimulatedDaemon;
        const body = { messages: [{ role: "system", content: prefix.repeat(60) }] };
        const freeGroups = (): GroupView[] =>
            this.#views.filter((view) => loads.inFlight(view.groupId) < this.#slotsPerDaemon);
        while (freeGroups().length === 0) {
            await sleep(POLL_MS);
        }
        const { groupId } = selector.select(this.#views, freeGroups(), selector.affinityKey(body));
        const sentAtMs = monotonicMs();
        loads.begin(groupId);
        if (isMeasured) {
            this.#pendingSinceMs.add(startedAtMs);
            this.#measuredCount += 1;
            this.#stragglerCount += STRAGGLER_IDS.has(groupId) ? 1 : 0;
        }
        await this.#engines.get(groupId)?.run(prefix, () => loads.end(groupId));
        loads.recordFirstToken(groupId, monotonicMs() - sentAtMs);
        if (this.#pendingSinceMs.delete(startedAtMs)) {
            this.#samples.push(monotonicMs() - startedAtMs);
        }
    }

    /** Results so far. Requests still without a first token count with their waiting time. */
    figures(): FirstTokenFigures & { stragglerShare: number; cachedShare: number; } {
        const nowMs = monotonicMs();
        const waiting = [...this.#pendingSinceMs].map((startedAtMs) => nowMs - startedAtMs);
        const counts = [...this.#engines.values()].map((engine) => engine.prefixCounts);
        const hits = counts.reduce((sum, count) => sum + count.hits, 0);
        const total = counts.reduce((sum, count) => sum + count.hits + count.misses, 0);
        const cachedShare = Math.round(hits / total * 1_000) / 1_000;
        const stragglerShare = Math.round(this.#stragglerCount / this.#measuredCount * 1_000) / 1_000;
        return { ...firstTokenFigures([...this.#samples, ...waiting]), stragglerShare, cachedShare };
    }
}

/** Sends the same arrivals, daemons and prefixes to the fleets of all strategies concurrently. */
const generateArrivals = async (fleets: SimulatedFleet[]): Promise<void> => {
    const random = new Random(SEED);
    const startedAtMs = monotonicMs();
    const ratePerMs = GROUP_COUNT * SLOTS_PER_GROUP * UTILISATION / HOLD_MS;
    const reports = setInterval(() => fleets.forEach((fleet) => fleet.report()), REPORT_MS);
    let nextAtMs = 0;
    while (nextAtMs < WARM_UP_MS + DURATION_MS) {
        nextAtMs += -Math.log(1 - random.nextFloat()) / ratePerMs;
        await sleep(Math.max(0, startedAtMs + nextAtMs - monotonicMs()));
        const daemonIndex = random.nextInt(DAEMON_COUNT);
        // The distribution is skewed: a few prefixes are common, most are rare.
        const prefix = `prefix-${Math.floor(PREFIX_COUNT * random.nextFloat() ** 2)} `;
        for (const fleet of fleets) {
            void fleet.request(daemonIndex, prefix, nextAtMs > WARM_UP_MS);
        }
    }
    clearInterval(reports);
    await sleep(2_000);
};

/** Measures time to first token by strategy, with two stragglers among 16 groups and shared prefixes. */
export const measureRouting = async (): Promise<object> => {
    const fleets = Object.entries(variants).map(([name, variant]) => ({
        name,
        fleet: new SimulatedFleet(variant),
    }));
    await generateArrivals(fleets.map(({ fleet }) => fleet));
    return Object.fromEntries(fleets.map(({ name, fleet }) => [name, fleet.figures()]));
};
