import { hash32 } from "@greengage/base";
import {
    MAX_RELAY_CANDIDATES,
    type PathReport,
    type RelayCandidate,
    type RelayList,
} from "@greengage/protocol";

/** Longer than the lifetime of usage, as a daemon that misses some exchanges on a busy machine remains a candidate. */
const REPORT_TTL_MS = 3_000;
const MAX_OWN_ZONE_CANDIDATES = 4;
/** Candidates that a control daemon names to the others; with as many from each they have enough of other zones. */
const MAX_SHARED_CANDIDATES = 12;
/** Counts that differ by less, absolutely and as a share of the known count, are not distributed. */
const MIN_COUNT_DIFFERENCE = 8;
const MIN_COUNT_DIFFERENCE_SHARE = 0.5;
/** Changes of counts alone are distributed together, at most this often. */
const COUNT_INTERVAL_MS = 1_000;

interface KnownCandidate {
    /** As distributed: its count is not always the latest. */
    candidate: RelayCandidate;
    receivedAtMs: number;
    /** Whether the daemon reports to this control daemon. */
    isOwn: boolean;
}

/**
 * Entry daemons that may relay connections, on a control daemon: those that report to it, and some that report to others. The
 * lists made from them depend only on what is known, so that a daemon that changes its control daemon mostly keeps its list.
 */
export class RelayCandidateTable {
    readonly #known = new Map<string, KnownCandidate>();
    /** Lists made since the last change, by entry daemon. */
    readonly #lists = new Map<string, RelayList>();
    #hasNewCounts = false;
    #countsDistributedAtMs = -Infinity;

    /** Replaces what an entry daemon has reported about itself. */
    setReport(daemonId: string, report: PathReport, nowMs: number): void {
        const { zone, relayedCount, lostServerIds, mayRelay } = report;
        if (mayRelay) {
            this.#set({ daemonId, zone, relayedCount, lostServerIds }, true, nowMs);
        }
        else {
            this.#delete(daemonId);
        }
    }

    /** Adds candidates that another control daemon has named. Own reports are more recent. */
    setShared(candidates: readonly RelayCandidate[], nowMs: number): void {
        this.#deleteExpired(nowMs);
        for (const candidate of candidates) {
            if (this.#known.get(candidate.daemonId)?.isOwn !== true) {
                this.#set(candidate, false, nowMs);
            }
        }
    }

    /** Candidates to name to the other control daemons. */
    shared(nowMs: number): RelayCandidate[] {
        this.#deleteExpired(nowMs);
        const own = [...this.#known.values()].filter(({ isOwn }) => isOwn).map(({ candidate }) => candidate);
        return ranked(own, "shared").slice(0, MAX_SHARED_CANDIDATES);
    }

    /** Candidates for an entry daemon; undefined if it already has this revision. */
    listFor(daemonId: string, { zone, relayRevision }: PathReport, nowMs: number): RelayList | undefined {
        this.#deleteExpired(nowMs);
        this.#distributeCounts(nowMs);
        const list = this.#lists.get(daemonId) ?? this.#createList(daemonId, zone);
        this.#lists.set(daemonId, list);
        return list.revision === relayRevision ? undefined : list;
    }

    #createList(daemonId: string, zone: string): RelayList {
        const all = [...this.#known.values()].map(({ candidate }) => candidate);
        const candidates = chooseCandidates(all.filter((candidate) => candidate.daemonId !== daemonId), {
            daemonId,
            zone,
        });
        // 0 stands for no list.
        return { revision: hash32(JSON.stringify(candidates)) || 1, candidates };
    }

    #set(candidate: RelayCandidate, isOwn: boolean, nowMs: number): void {
        const known = this.#known.get(candidate.daemonId);
        const hasNewCount = known === undefined || hasOtherCount(known.candidate, candidate);
        const relayedCount = hasNewCount ? candidate.relayedCount : known.candidate.relayedCount;
        this.#known.set(candidate.daemonId, {
            candidate: { ...candidate, relayedCount },
            receivedAtMs: nowMs,
            isOwn,
        });
        this.#hasNewCounts ||= hasNewCount;
        if (known === undefined || reachOf(known.candidate) !== reachOf(candidate)) {
            this.#lists.clear();
        }
    }

    #distributeCounts(nowMs: number): void {
        if (this.#hasNewCounts && nowMs - this.#countsDistributedAtMs >= COUNT_INTERVAL_MS) {
            this.#hasNewCounts = false;
            this.#countsDistributedAtMs = nowMs;
            this.#lists.clear();
        }
    }

    #delete(daemonId: string): void {
        if (this.#known.delete(daemonId)) {
            this.#lists.clear();
        }
    }

    #deleteExpired(nowMs: number): void {
        for (const [daemonId, { receivedAtMs }] of this.#known) {
            if (nowMs - receivedAtMs > REPORT_TTL_MS) {
                this.#delete(daemonId);
            }
        }
    }
}

const hasOtherCount = (known: RelayCandidate, latest: RelayCandidate): boolean =>
    Math.abs(latest.relayedCount - known.relayedCount)
        > Math.max(MIN_COUNT_DIFFERENCE, known.relayedCount * MIN_COUNT_DIFFERENCE_SHARE);

/** What decides on the choice of candidates. */
const reachOf = ({ zone, lostServerIds }: RelayCandidate): string => JSON.stringify([zone, lostServerIds]);

/** By rendezvous hashing, so that the daemons use different relays, and a change of one remaps few of them. */
const ranked = (candidates: readonly RelayCandidate[], key: string): RelayCandidate[] =>
    candidates
        .map((candidate) => ({
            candidate,
            lostCount: candidate.lostServerIds.length,
            weight: hash32(`${key}\n${candidate.daemonId}`),
        }))
        .sort((a, b) =>
            Number(a.lostCount > 0) - Number(b.lostCount > 0) || b.weight - a.weight
            || (a.candidate.daemonId < b.candidate.daemonId ? -1 : 1)
        )
        .map(({ candidate }) => candidate);

/** Most are of the own zone, at least two of others, if there are any. Daemons that have lost servers fill what is left. */
const chooseCandidates = (
    candidates: readonly RelayCandidate[],
    { daemonId, zone }: Pick<RelayCandidate, "daemonId" | "zone">,
): RelayCandidate[] => {
    const all = ranked(candidates, daemonId);
    const sound = all.filter(({ lostServerIds }) => lostServerIds.length === 0);
    const own = sound.filter((candidate) => candidate.zone === zone).slice(0, MAX_OWN_ZONE_CANDIDATES);
    const others = sound.filter((candidate) => candidate.zone !== zone);
    return [...new Set([...own, ...others, ...all])].slice(0, MAX_RELAY_CANDIDATES);
};
