import { monotonicMs } from "@greengage/base";
import type { BackendLoad, GroupView } from "@greengage/protocol";

/** Time constant of the decay of reported requests of other daemons, as reports lag by a second or more. */
const REPORT_DECAY_MS = 2_000;
const ESTIMATE_SMOOTHING = 0.2;
const ESTIMATE_LIFETIME_MS = 20_000;
const MIN_ESTIMATE_SAMPLES = 3;
const STRAGGLER_FACTOR = 2;
/** Smaller differences from the median are noise. */
const MIN_STRAGGLER_FIRST_TOKEN_MS = 50;
const MIN_STRAGGLER_GAP_MS = 10;

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

/** Load and latency estimates of each group, from this daemon's requests and the groups' reports. */
export class GroupLoads {
    readonly #groups = new Map<string, GroupLoad>();
    readonly #nowMs: () => number;

    constructor(nowMs: () => number = monotonicMs) {
        this.#nowMs = nowMs;
    }

    inFlight(groupId: string): number {
        return this.#groups.get(groupId)?.inFlight ?? 0;
    }

    /** Requests of this daemon in flight, by group. */
    counts(): { id: string; count: number; }[] {
        return [...this.#groups].filter(([, load]) => load.inFlight > 0)
            .map(([id, load]) => ({ id, count: load.inFlight }));
    }

    begin(groupId: string): void {
        this.#loadOf(groupId).inFlight += 1;
    }

    end(groupId: string): void {
        this.#loadOf(groupId).inFlight -= 1;
    }

    /** Load relative to capacity: own requests in flight plus the decayed, reported requests of other daemons. */
    score(group: GroupView): number {
        const load = this.#loadWithReport(group);
        const remoteCount = Math.max(0, (load.report?.runningRequests ?? 0) - load.inFlightAtReport);
        const waitingCount = load.report?.waitingRequests ?? 0;
        const weight = Math.exp(-(this.#nowMs() - load.reportAtMs) / REPORT_DECAY_MS);
        return (load.inFlight + (remoteCount + waitingCount) * weight) / Math.max(1, group.maxConcurrent);
    }

    recordFirstToken(groupId: string, durationMs: number): void {
        const load = this.#loadOf(groupId);
        load.firstToken = this.#updateEstimate(load.firstToken, durationMs);
    }

    recordTokenGap(groupId: string, durationMs: number): void {
        const load = this.#loadOf(groupId);
        load.tokenGap = this.#updateEstimate(load.tokenGap, durationMs);
    }

    /** Groups that are not far slower than the median of `peers`; all of `groups` if none would remain. */
    withoutStragglers(groups: GroupView[], peers: GroupView[] = groups): GroupView[] {
        const firstLimitMs = stragglerLimitMs(
            peers.map((group) => this.#firstTokenMs(group)),
            MIN_STRAGGLER_FIRST_TOKEN_MS,
        );
        const gapLimitMs = stragglerLimitMs(
            peers.map((group) => this.#tokenGapMs(group)),
            MIN_STRAGGLER_GAP_MS,
        );
        const remaining = groups.filter((group) =>
            (this.#firstTokenMs(group) ?? 0) <= firstLimitMs && (this.#tokenGapMs(group) ?? 0) <= gapLimitMs
        );
        return remaining.length > 0 ? remaining : groups;
    }

    /** Drops the state of other groups, unless they still have requests in flight. */
    retain(groupIds: ReadonlySet<string>): void {
        for (const [groupId, load] of this.#groups) {
            if (!groupIds.has(groupId) && load.inFlight === 0) {
                this.#groups.delete(groupId);
            }
        }
    }

    #loadWithReport(group: GroupView): GroupLoad {
        const load = this.#loadOf(group.groupId);
        if (load.report !== group.load) {
            load.report = group.load;
            load.reportAtMs = this.#nowMs();
            load.inFlightAtReport = load.inFlight;
        }
        return load;
    }

    #loadOf(groupId: string): GroupLoad {
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

    #updateEstimate(previous: Estimate | undefined, valueMs: number): Estimate {
        const atMs = this.#nowMs();
        if (previous === undefined || atMs - previous.atMs > ESTIMATE_LIFETIME_MS) {
            return { valueMs, samples: 1, atMs };
        }
        const average = previous.valueMs + ESTIMATE_SMOOTHING * (valueMs - previous.valueMs);
        return { valueMs: average, samples: previous.samples + 1, atMs };
    }

    // Estimates expire without new samples, so that an avoided straggler gets requests again once it has recovered.
    #validEstimateMs(estimate: Estimate | undefined): number | undefined {
        return estimate !== undefined && estimate.samples >= MIN_ESTIMATE_SAMPLES
                && this.#nowMs() - estimate.atMs <= ESTIMATE_LIFETIME_MS
            ? estimate.valueMs
            : undefined;
    }

    #firstTokenMs(group: GroupView): number | undefined {
        return this.#validEstimateMs(this.#groups.get(group.groupId)?.firstToken);
    }

    #tokenGapMs(group: GroupView): number | undefined {
        return this.#validEstimateMs(this.#groups.get(group.groupId)?.tokenGap)
            ?? (group.load.tokenGapMs > 0 ? group.load.tokenGapMs : undefined);
    }
}

/** Latency above which a group counts as a straggler. */
const stragglerLimitMs = (values: (number | undefined)[], minDifferenceMs: number): number => {
    const knownValues = values.filter((value) => value !== undefined).sort((a, b) => a - b);
    // Lower median, so that of two groups the faster one is the reference.
    const median = knownValues[Math.floor((knownValues.length - 1) / 2)];
    return median === undefined
        ? Infinity
        : Math.max(median * STRAGGLER_FACTOR, median + minDifferenceMs);
};
