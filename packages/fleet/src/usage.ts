import { type Context, Lifecycle, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type { GroupUsage, Peers } from "@greengage/protocol";

/** Period of the exchange. A request runs for a second or more, so a fifth of one is new enough to place the next ones. */
const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 400;
/** What a daemon has told counts for this long; one that has ended has nothing in flight. */
const USAGE_TTL_MS = 1_000;

interface UsageEntry {
    usage: readonly GroupUsage[];
    receivedAtMs: number;
}

/** What the daemons have in flight at the groups, as they have told it lately. */
export class UsageTable {
    readonly #byEntryDaemon = new Map<string, UsageEntry>();
    readonly #byController = new Map<string, UsageEntry>();

    /** Takes what an entry daemon has in flight, in place of what it told before. */
    setEntryUsage(daemonId: string, usage: readonly GroupUsage[], nowMs: number): void {
        this.#byEntryDaemon.set(daemonId, { usage, receivedAtMs: nowMs });
    }

    /** Takes the sum of another control daemon. */
    setControllerUsage(daemonId: string, usage: readonly GroupUsage[], nowMs: number): void {
        this.#byController.set(daemonId, { usage, receivedAtMs: nowMs });
    }

    /** Sum over the entry daemons that tell this daemon. */
    ownTotal(nowMs: number): GroupUsage[] {
        return sumUsage(unexpiredEntries(this.#byEntryDaemon, nowMs), nowMs);
    }

    /** Sum over all entry daemons. */
    total(nowMs: number): GroupUsage[] {
        return sumUsage([
            ...unexpiredEntries(this.#byEntryDaemon, nowMs),
            ...unexpiredEntries(this.#byController, nowMs),
        ], nowMs);
    }

    /** Sum over all entry daemons but one. */
    totalExcept(daemonId: string, nowMs: number): GroupUsage[] {
        const otherEntries = unexpiredEntries(this.#byEntryDaemon, nowMs, daemonId);
        return sumUsage([...otherEntries, ...unexpiredEntries(this.#byController, nowMs)], nowMs);
    }
}

/** What has been told lately, without what one daemon has told. Forgets the rest. */
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
    /** The daemons that serve control. */
    controllerIds: () => readonly string[];
}

/** Hands what each entry daemon has in flight to all others, by the few daemons that serve control. */
export class UsageAggregator {
    readonly #options: UsageRelayOptions;
    readonly #usageTable = new UsageTable();
    readonly #lifecycle = new Lifecycle();

    constructor(options: UsageRelayOptions) {
        this.#options = options;
        options.peers.handle("usage.exchange", ({ usage }, from) => {
            const nowMs = monotonicMs();
            this.#usageTable.setEntryUsage(from, usage, nowMs);
            return { others: this.#usageTable.totalExcept(from, nowMs) };
        });
        options.peers.handleNotice(
            "usage.share",
            ({ usage }, from) => this.#usageTable.setControllerUsage(from, usage, monotonicMs()),
        );
    }

    /** What all entry daemons have in flight at the groups. */
    usage(): GroupUsage[] {
        return this.#usageTable.total(monotonicMs());
    }

    start(): void {
        this.#lifecycle.every(EXCHANGE_INTERVAL_MS, () => this.#shareTotal(), (error) => {
            this.#options.context.logs(LogPart.Groups).error("sharing the usage of groups failed", {
                reason: messageOf(error),
            });
        });
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    #shareTotal(): void {
        const { peers, controllerIds } = this.#options;
        const usage = this.#usageTable.ownTotal(monotonicMs());
        for (const controllerId of controllerIds()) {
            if (controllerId !== peers.daemonId) {
                peers.notify(controllerId, "usage.share", { usage });
            }
        }
    }
}

export interface UsageClientOptions {
    context: Context;
    peers: Peers;
    /** Control daemon that is watched; undefined while there is none. */
    target: () => string | undefined;
    usage: () => GroupUsage[];
    onRemoteUsage: (others: readonly GroupUsage[]) => void;
}

/** Tells a control daemon what this daemon has in flight, and learns what the others have. */
export class UsageClient {
    readonly #options: UsageClientOptions;
    readonly #lifecycle = new Lifecycle();
    #wasAnswered = true;

    constructor(options: UsageClientOptions) {
        this.#options = options;
    }

    start(): void {
        this.#lifecycle.run((signal) => this.#run(signal), (error) => {
            this.#options.context.logs(LogPart.Groups).error("the exchange of usage failed", {
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
        const { peers, usage, onRemoteUsage, context } = this.#options;
        try {
            const options = { timeoutMs: EXCHANGE_TIMEOUT_MS };
            const { others } = await peers.call(target, "usage.exchange", { usage: usage() }, options);
            this.#wasAnswered = true;
            onRemoteUsage(others);
        }
        catch (error) {
            if (this.#wasAnswered) {
                context.decisions.record("usage.lost", { target, reason: messageOf(error) });
            }
            this.#wasAnswered = false;
        }
    }
}
