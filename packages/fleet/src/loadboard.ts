import type { FleetView, GroupLoadReport } from "@greengage/protocol";

/** Ages are rounded up: on its way through several daemons a load must not become younger than itself. */
const ageOf = (atMs: number, nowMs: number): number => Math.ceil(nowMs - atMs);

/** Up to this many entry daemons, each sends a group enough requests to know its load from their answers. */
const FEW_ENTRY_DAEMONS = 16;

/** Whether entry daemons are so many that they tell each other the loads that they see. */
export const hasManyEntryDaemons = ({ entryDaemonCount }: Pick<FleetView, "entryDaemonCount">): boolean =>
    entryDaemonCount > FEW_ENTRY_DAEMONS;

/** Older loads tell nothing: most requests that ran then have ended. */
const LOAD_LIFE_MS = 2_000;

/**
 * Newest load of each group, from what daemons have seen on answers. Answers many entry daemons of which each sends a
 * group so few requests that it can't know its load by itself.
 */
export class LoadBoard {
    readonly #loads = new Map<string, { report: GroupLoadReport; atMs: number; isFresh: boolean; }>();

    take(reports: readonly GroupLoadReport[], nowMs: number): void {
        for (const report of reports) {
            const atMs = nowMs - report.ageMs;
            if (atMs > (this.#loads.get(report.groupName)?.atMs ?? -Infinity)) {
                this.#loads.set(report.groupName, { report, atMs, isFresh: true });
            }
        }
    }

    /** All loads that still tell something. */
    all(nowMs: number): GroupLoadReport[] {
        for (const [groupName, { atMs }] of this.#loads) {
            if (nowMs - atMs > LOAD_LIFE_MS) {
                this.#loads.delete(groupName);
            }
        }
        return [...this.#loads.values()].map(({ report, atMs }) => ({
            ...report,
            ageMs: ageOf(atMs, nowMs),
        }));
    }

    /** Loads that were taken since the last call. */
    takeFresh(nowMs: number): GroupLoadReport[] {
        const fresh = [...this.#loads.values()].filter(({ isFresh }) => isFresh);
        fresh.forEach((load) => load.isFresh = false);
        return fresh.map(({ report, atMs }) => ({ ...report, ageMs: ageOf(atMs, nowMs) }));
    }
}
