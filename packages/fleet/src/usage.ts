import { type Context, Lifecycle, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type {
    GroupUsage,
    PathReport,
    Peers,
    RelayCandidate,
    RelayList,
    ServerLimit,
} from "@greengage/protocol";
import { RelayCandidateTable } from "./relaycandidates.ts";

/** Requests run for a second or more, so usage that is 200 ms old is recent enough for placing new ones. */
const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 400;
/** Candidates for relays change less often than usage. */
const CANDIDATE_SHARE_INTERVAL_MS = 1_000;
/** Time for which a daemon's usage is counted; a daemon that has ended has nothing in flight. */
const USAGE_TTL_MS = 1_000;

interface UsageEntry {
    usage: readonly GroupUsage[];
    receivedAtMs: number;
}

/** Recent usage of the groups, as reported by entry daemons and other control daemons. */
export class UsageTable {
    readonly #byEntryDaemon = new Map<string, UsageEntry>();
    readonly #byController = new Map<string, UsageEntry>();

    /** Replaces the usage of an entry daemon. */
    setEntryUsage(daemonId: string, usage: readonly GroupUsage[], nowMs: number): void {
        this.#byEntryDaemon.set(daemonId, { usage, receivedAtMs: nowMs });
    }

    /** Replaces the total of another control daemon. */
    setControllerUsage(daemonId: string, usage: readonly GroupUsage[], nowMs: number): void {
        this.#byController.set(daemonId, { usage, receivedAtMs: nowMs });
    }

    /** Other control daemons from which a total has been received recently. */
    controllerIds(nowMs: number): Set<string> {
        unexpiredEntries(this.#byController, nowMs);
        return new Set(this.#byController.keys());
    }

    /** Total over the entry daemons that report to this control daemon. */
    ownTotal(nowMs: number): GroupUsage[] {
        return sumUsage(unexpiredEntries(this.#byEntryDaemon, nowMs), nowMs);
    }

    /** Total over all entry daemons. */
    total(nowMs: number): GroupUsage[] {
        return sumUsage([
            ...unexpiredEntries(this.#byEntryDaemon, nowMs),
            ...unexpiredEntries(this.#byController, nowMs),
        ], nowMs);
    }

    /** Total over all entry daemons except the given one. */
    totalExcept(daemonId: string, nowMs: number): GroupUsage[] {
        const otherEntries = unexpiredEntries(this.#byEntryDaemon, nowMs, daemonId);
        return sumUsage([...otherEntries, ...unexpiredEntries(this.#byController, nowMs)], nowMs);
    }
}

/** Deletes expired entries and returns the others, except the one of `excludedId`. */
const unexpiredEntries = (
    entries: Map<string, UsageEntry>,
    nowMs: number,
    excludedId?: string,
): UsageEntry[] => {
    for (const [daemonId, { receivedAtMs }] of entries) {
        if (nowMs - receivedAtMs > USAGE_TTL_MS) {
            entries.delete(daemonId);
        }
    }
    return [...entries].filter(([daemonId]) => daemonId !== excludedId).map(([, entry]) => entry);
};

const sumUsage = (entries: readonly UsageEntry[], nowMs: number): GroupUsage[] => {
    const sums = new Map<number, GroupUsage>();
    for (const { usage, receivedAtMs } of entries) {
        for (const { epoch, inFlightCount, pendingPromptTokens, progressAgeMs } of usage) {
            const sum = sums.get(epoch) ?? { epoch, inFlightCount: 0, pendingPromptTokens: 0 };
            sum.inFlightCount += inFlightCount;
            sum.pendingPromptTokens += pendingPromptTokens;
            if (progressAgeMs !== undefined) {
                const ageMs = Math.round(progressAgeMs + nowMs - receivedAtMs);
                sum.progressAgeMs = Math.min(sum.progressAgeMs ?? Infinity, ageMs);
            }
            sums.set(epoch, sum);
        }
    }
    return [...sums.values()];
};

export interface UsageRelayOptions {
    context: Context;
    peers: Peers;
    /** Ids of the control daemons. */
    controllerIds: () => readonly string[];
    limits: LimitSource;
}

/** Limits of backend servers that a daemon knows. */
export interface LimitSource {
    list: () => ServerLimit[];
    merge: (limits: readonly ServerLimit[]) => void;
}

/**
 * Distributes the usage of each entry daemon, and the limits of servers that it knows, to all others, through the few
 * control daemons.
 */
export class UsageAggregator {
    readonly #options: UsageRelayOptions;
    readonly #usageTable = new UsageTable();
    readonly #candidates = new RelayCandidateTable();
    #candidatesSharedAtMs = -Infinity;
    readonly #lifecycle = new Lifecycle();

    constructor(options: UsageRelayOptions) {
        this.#options = options;
        options.peers.handle("usage.exchange", ({ usage, limits = [], paths }, from) => {
            const nowMs = monotonicMs();
            this.#usageTable.setEntryUsage(from, usage, nowMs);
            options.limits.merge(limits);
            const others = this.#usageTable.totalExcept(from, nowMs);
            const relays = this.#exchangePaths(from, paths, nowMs);
            return { others, limits: options.limits.list(), ...(relays === undefined ? {} : { relays }) };
        });
        options.peers.handleNotice("usage.share", ({ usage, limits = [], candidates = [] }, from) => {
            const nowMs = monotonicMs();
            this.#usageTable.setControllerUsage(from, usage, nowMs);
            this.#candidates.setShared(candidates, nowMs);
            options.limits.merge(limits);
        });
    }

    /** Total usage of the groups by all entry daemons. */
    usage(): GroupUsage[] {
        return this.#usageTable.total(monotonicMs());
    }

    /** Other control daemons from which this one has received a message recently. */
    connectedIds(): ReadonlySet<string> {
        return this.#usageTable.controllerIds(monotonicMs());
    }

    start(): void {
        this.#lifecycle.every(EXCHANGE_INTERVAL_MS, () => this.#shareTotal(), (error) => {
            this.#options.context.logs(LogPart.Groups).error(
                "failed to share group usage with the control daemons",
                {
                    reason: messageOf(error),
                },
            );
        });
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    #exchangePaths(from: string, paths: PathReport | undefined, nowMs: number): RelayList | undefined {
        if (paths === undefined) {
            return undefined;
        }
        this.#candidates.setReport(from, paths, nowMs);
        return this.#candidates.listFor(from, paths, nowMs);
    }

    #shareTotal(): void {
        const { peers, controllerIds } = this.#options;
        const nowMs = monotonicMs();
        const usage = this.#usageTable.ownTotal(nowMs);
        const limits = this.#options.limits.list();
        const notice = { usage, limits, ...this.#candidatesToShare(nowMs) };
        for (const controllerId of controllerIds()) {
            if (controllerId !== peers.daemonId) {
                peers.notify(controllerId, "usage.share", notice);
            }
        }
    }

    #candidatesToShare(nowMs: number): { candidates?: RelayCandidate[]; } {
        if (nowMs - this.#candidatesSharedAtMs < CANDIDATE_SHARE_INTERVAL_MS) {
            return {};
        }
        this.#candidatesSharedAtMs = nowMs;
        return { candidates: this.#candidates.shared(nowMs) };
    }
}

export interface UsageClientOptions {
    context: Context;
    peers: Peers;
    /** Control daemon that this daemon watches; undefined while there is none. */
    target: () => string | undefined;
    usage: () => GroupUsage[];
    onRemoteUsage: (usage: readonly GroupUsage[]) => void;
    limits: LimitSource;
    paths: PathExchange;
}

/** Paths of an entry daemon to backend servers, and the peers that it may use for lost ones. */
export interface PathExchange {
    report: () => PathReport;
    /** Replaces the candidates for relays. They stay in use while there is no control daemon. */
    apply: (relays: RelayList) => void;
}

/** Reports the usage of this entry daemon to a control daemon and receives that of the others. */
export class UsageClient {
    readonly #options: UsageClientOptions;
    readonly #lifecycle = new Lifecycle();
    #wasAnswered = true;

    constructor(options: UsageClientOptions) {
        this.#options = options;
    }

    start(): void {
        this.#lifecycle.run((signal) => this.#run(signal), (error) => {
            this.#options.context.logs(LogPart.Groups).error("the usage exchange loop failed", {
                reason: messageOf(error),
            });
        });
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const target = this.#options.target();
            if (target !== undefined) {
                await this.#exchange(target);
            }
            await sleep(EXCHANGE_INTERVAL_MS, signal);
        }
    }

    async #exchange(target: string): Promise<void> {
        const { peers, usage, onRemoteUsage, limits, paths, context } = this.#options;
        try {
            const options = { timeoutMs: EXCHANGE_TIMEOUT_MS };
            const request = { usage: usage(), limits: limits.list(), paths: paths.report() };
            const answer = await peers.call(target, "usage.exchange", request, options);
            this.#wasAnswered = true;
            onRemoteUsage(answer.others);
            limits.merge(answer.limits ?? []);
            if (answer.relays !== undefined) {
                paths.apply(answer.relays);
            }
        }
        catch (error) {
            if (this.#wasAnswered) {
                context.decisions.record("usage.lost", { target, reason: messageOf(error) });
            }
            this.#wasAnswered = false;
        }
    }
}
