import { monotonicMs } from "@greengage/base";
import type { ModelDemand, WatchRequest } from "@greengage/protocol";

/** Time for which an entry daemon is counted after its last watch request. */
const ENTRY_TTL_MS = 5_000;

/**
 * Number of entry daemons among which limits are divided. Entry daemons that have not yet contacted a new leader still
 * use their share, so the previous leader's count applies until each of them has had time to watch.
 */
export const expectedEntryCount = (
    { watchingCount, inheritedCount, leadingForMs }: {
        watchingCount: number;
        inheritedCount: number;
        leadingForMs: number;
    },
): number => Math.max(1, watchingCount, leadingForMs < ENTRY_TTL_MS ? inheritedCount : 0);

/** Tracks the daemons that watch this control daemon, and the demand that they report. */
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

    /** Sets the zone of a control daemon. */
    setZone(daemonId: string, zone: string): void {
        this.#zoneByDaemon.set(daemonId, zone);
    }

    /** Zone of a control daemon; empty while it is unknown. */
    zoneOf(daemonId: string): string {
        return this.#zoneByDaemon.get(daemonId) ?? "";
    }

    /** Entry daemons that watch this daemon, directly or through another control daemon. */
    entryIds(): string[] {
        const oldestMs = monotonicMs() - ENTRY_TTL_MS;
        for (const [entryId, atMs] of this.#lastWatchMsByEntry) {
            if (atMs < oldestMs) {
                this.#lastWatchMsByEntry.delete(entryId);
            }
        }
        return [...this.#lastWatchMsByEntry.keys()];
    }

    /** Returns the demand since the last call and resets it. */
    takeDemand(): ModelDemand[] {
        const demand = this.#demand;
        this.#demand = [];
        return demand;
    }
}

/** Sums demand by service and model. */
const sumDemand = (demand: readonly ModelDemand[]): ModelDemand[] => {
    const sums = new Map<string, ModelDemand>();
    for (const { service, model, tokens, rejected } of demand) {
        const key = `${service}\n${model}`;
        const sum = sums.get(key) ?? { service, model, tokens: 0, rejected: 0 };
        sums.set(key, { ...sum, tokens: sum.tokens + tokens, rejected: sum.rejected + rejected });
    }
    return [...sums.values()];
};
