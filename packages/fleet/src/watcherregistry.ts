import { monotonicMs } from "@greengage/base";
import type { ModelDemand, WatchRequest } from "@greengage/protocol";

/** An entry daemon counts for this long after its last watch. */
const ENTRY_TTL_MS = 5_000;

/**
 * Number of entry daemons that share limits. Those that a new leader has not heard yet still use their part, so the
 * former leader's number holds until each of them has had the time to watch.
 */
export const expectedEntryCount = (
    { watchingCount, inheritedCount, leadingForMs }: {
        watchingCount: number;
        inheritedCount: number;
        leadingForMs: number;
    },
): number => Math.max(1, watchingCount, leadingForMs < ENTRY_TTL_MS ? inheritedCount : 0);

/** What a control daemon learns of the daemons that watch it. */
export class WatcherRegistry {
    readonly #lastWatchMsByEntry = new Map<string, number>();
    readonly #zoneByDaemon = new Map<string, string>();
    #demand: ModelDemand[] = [];

    recordWatch({ isEntry, entryIds, zone, demand }: WatchRequest, from: string): void {
        const nowMs = monotonicMs();
        for (const entryId of isEntry ? [from] : entryIds) {
            this.#lastWatchMsByEntry.set(entryId, nowMs);
        }
        if (!isEntry) {
            this.setZone(from, zone);
        }
        this.#demand = sumDemand([...this.#demand, ...demand]);
    }

    /** Zone of a daemon that serves control. */
    setZone(daemonId: string, zone: string): void {
        this.#zoneByDaemon.set(daemonId, zone);
    }

    /** The zone, or an empty string while it isn't known. */
    zoneOf(daemonId: string): string {
        return this.#zoneByDaemon.get(daemonId) ?? "";
    }

    /** Entry daemons that watch this daemon, or one that passes the fleet on. */
    entryIds(): string[] {
        const oldestMs = monotonicMs() - ENTRY_TTL_MS;
        for (const [entryId, atMs] of this.#lastWatchMsByEntry) {
            if (atMs < oldestMs) {
                this.#lastWatchMsByEntry.delete(entryId);
            }
        }
        return [...this.#lastWatchMsByEntry.keys()];
    }

    /** Demand since the last call. */
    takeDemand(): ModelDemand[] {
        const demand = this.#demand;
        this.#demand = [];
        return demand;
    }
}

/** Adds up demand by service and model. */
const sumDemand = (demand: readonly ModelDemand[]): ModelDemand[] => {
    const sums = new Map<string, ModelDemand>();
    for (const { service, model, tokens, rejected } of demand) {
        const key = `${service}\n${model}`;
        const sum = sums.get(key) ?? { service, model, tokens: 0, rejected: 0 };
        sums.set(key, { ...sum, tokens: sum.tokens + tokens, rejected: sum.rejected + rejected });
    }
    return [...sums.values()];
};
