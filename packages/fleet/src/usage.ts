import { type Context, Lifecycle, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type { GroupUsage, Peers, ServerLimit } from "@greengage/protocol";

/** Requests run for a second or more, so usage that is 200 ms old is recent enough for placing new ones. */
const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 400;
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
    readonly #lifecycle = new Lifecycle();

    constructor(options: UsageRelayOptions) {
        this.#options = options;
        options.peers.handle("usage.exchange", ({ usage, limits = [] }, from) => {
            const nowMs = monotonicMs();
            this.#usageTable.setEntryUsage(from, usage, nowMs);
            options.limits.merge(limits);
            return { others: this.#usageTable.totalExcept(from, nowMs), limits: options.limits.list() };
        });
        options.peers.handleNotice("usage.share", ({ usage, limits = [] }, from) => {
            this.#usageTable.setControllerUsage(from, usage, monotonicMs());
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

    #shareTotal(): void {
        const { peers, controllerIds } = this.#options;
        const usage = this.#usageTable.ownTotal(monotonicMs());
        const limits = this.#options.limits.list();
        for (const controllerId of controllerIds()) {
            if (controllerId !== peers.daemonId) {
                peers.notify(controllerId, "usage.share", { usage, limits });
            }
        }
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
        const { peers, usage, onRemoteUsage, limits, context } = this.#options;
        try {
            const options = { timeoutMs: EXCHANGE_TIMEOUT_MS };
            const request = { usage: usage(), limits: limits.list() };
            const answer = await peers.call(target, "usage.exchange", request, options);
            this.#wasAnswered = true;
            onRemoteUsage(answer.others);
            limits.merge(answer.limits ?? []);
        }
        catch (error) {
            if (this.#wasAnswered) {
                context.decisions.record("usage.lost", { target, reason: messageOf(error) });
            }
            this.#wasAnswered = false;
        }
    }
}
