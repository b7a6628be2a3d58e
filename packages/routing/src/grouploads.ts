import { monotonicMs } from "@greengage/base";
import type { BackendLoad, GroupView } from "@greengage/protocol";

/** Reports lag by a second or more; what they say of other daemons' requests loses weight with this time constant. */
const REPORT_DECAY_MS = 2_000;
const ESTIMATE_WEIGHT = 0.2;
const ESTIMATE_LIFETIME_MS = 20_000;
const ESTIMATE_MIN_SAMPLES = 3;
const STRAGGLER_FACTOR = 2;
/** Differences below these are noise, whatever the median. */
const STRAGGLER_MIN_FIRST_MS = 50;
const STRAGGLER_MIN_GAP_MS = 10;

interface Estimate {
    valueMs: number;
    samples: number;
    atMs: number;
}

interface GroupLoad {
    inFlight: number;
    report: BackendLoad | undefined;
    reportAtMs: number;
    inFlightAtReport: number;
    firstToken: Estimate | undefined;
    tokenGap: Estimate | undefined;
}

/** What this daemon knows of the load and the speed of each group. */
export class GroupLoads {
    readonly #groups = new Map<string, GroupLoad>();
    readonly #nowMs: () => number;

    constructor(nowMs: () => number = monotonicMs) {
        this.#nowMs = nowMs;
    }

    inFlight(groupId: string): number {
        return this.#groups.get(groupId)?.inFlight ?? 0;
    }

    /** Requests in flight by group. */
    counts(): { id: string; count: number; }[] {
        return [...this.#groups].filter(([, load]) => load.inFlight > 0)
            .map(([id, load]) => ({ id, count: load.inFlight }));
    }

    begin(groupId: string): void {
        this.#load(groupId).inFlight += 1;
    }

    end(groupId: string): void {
        this.#load(groupId).inFlight -= 1;
    }

    /** Requests of a group per request of its capacity: own ones, and others' by the discounted report. */
    score(group: GroupView): number {
        const load = this.#observe(group);
        const others = Math.max(0, (load.report?.runningRequests ?? 0) - load.inFlightAtReport);
        const waiting = load.report?.waitingRequests ?? 0;
        const weight = Math.exp(-(this.#nowMs() - load.reportAtMs) / REPORT_DECAY_MS);
        return (load.inFlight + (others + waiting) * weight) / Math.max(1, group.maxConcurrent);
    }

    recordFirstToken(groupId: string, durationMs: number): void {
        const load = this.#load(groupId);
        load.firstToken = this.#blend(load.firstToken, durationMs);
    }

    recordTokenGap(groupId: string, durationMs: number): void {
        const load = this.#load(groupId);
        load.tokenGap = this.#blend(load.tokenGap, durationMs);
    }

    /** Groups that are not far slower than the median. All groups when the others would be none. */
    withoutStragglers(groups: GroupView[], peers: GroupView[] = groups): GroupView[] {
        const firstLimitMs = limitMs(
            peers.map((group) => this.#firstTokenMs(group)),
            STRAGGLER_MIN_FIRST_MS,
        );
        const gapLimitMs = limitMs(peers.map((group) => this.#tokenGapMs(group)), STRAGGLER_MIN_GAP_MS);
        const rest = groups.filter((group) =>
            (this.#firstTokenMs(group) ?? 0) <= firstLimitMs && (this.#tokenGapMs(group) ?? 0) <= gapLimitMs
        );
        return rest.length > 0 ? rest : groups;
    }

    /** Forgets groups that no grant names. */
    retain(groupIds: ReadonlySet<string>): void {
        for (const [groupId, load] of this.#groups) {
            if (!groupIds.has(groupId) && load.inFlight === 0) {
                this.#groups.delete(groupId);
            }
        }
    }

    #observe(group: GroupView): GroupLoad {
        const load = this.#load(group.groupId);
        if (load.report !== group.load) {
            load.report = group.load;
            load.reportAtMs = this.#nowMs();
            load.inFlightAtReport = load.inFlight;
        }
        return load;
    }

    #load(groupId: string): GroupLoad {
        const found = this.#groups.get(groupId);
        if (found !== undefined) {
            return found;
        }
        const created: GroupLoad = {
            inFlight: 0,
            report: undefined,
            reportAtMs: 0,
            inFlightAtReport: 0,
            firstToken: undefined,
            tokenGap: undefined,
        };
        this.#groups.set(groupId, created);
        return created;
    }

    #blend(earlier: Estimate | undefined, valueMs: number): Estimate {
        const atMs = this.#nowMs();
        if (earlier === undefined || atMs - earlier.atMs > ESTIMATE_LIFETIME_MS) {
            return { valueMs, samples: 1, atMs };
        }
        const blended = earlier.valueMs + ESTIMATE_WEIGHT * (valueMs - earlier.valueMs);
        return { valueMs: blended, samples: earlier.samples + 1, atMs };
    }

    // An estimate without new samples expires, so that a straggler that has recovered gets requests again.
    #valid(estimate: Estimate | undefined): number | undefined {
        return estimate !== undefined && estimate.samples >= ESTIMATE_MIN_SAMPLES
                && this.#nowMs() - estimate.atMs <= ESTIMATE_LIFETIME_MS
            ? estimate.valueMs
            : undefined;
    }

    #firstTokenMs(group: GroupView): number | undefined {
        return this.#valid(this.#groups.get(group.groupId)?.firstToken);
    }

    #tokenGapMs(group: GroupView): number | undefined {
        return this.#valid(this.#groups.get(group.groupId)?.tokenGap)
            ?? (group.load.tokenGapMs > 0 ? group.load.tokenGapMs : undefined);
    }
}

/** Value above which a group counts as a straggler. */
const limitMs = (values: (number | undefined)[], minDifferenceMs: number): number => {
    const known = values.filter((value) => value !== undefined).sort((a, b) => a - b);
    // The lower median: of two groups, the faster one is the reference.
    const median = known[Math.floor((known.length - 1) / 2)];
    return median === undefined
        ? Infinity
        : Math.max(median * STRAGGLER_FACTOR, median + minDifferenceMs);
};
