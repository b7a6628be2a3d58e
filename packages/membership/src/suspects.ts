import type { SuspectRecord } from "@greengage/protocol";

/** Requests suspected of crashing backend servers: the zone's list on its controller, a copy of it on other daemons. */
export interface SuspectList {
    /** Incremented with each change. */
    readonly version: number;
    records(nowMs: number): SuspectRecord[];
    /** Replaces the copy with the records of the zone's controller. */
    restore(records: readonly SuspectRecord[], nowMs: number): void;
    /** Adds records that other daemons hold of the former controller's list. */
    adopt(records: readonly SuspectRecord[], nowMs: number): void;
    /** Quarantines suspects that can no longer be cleared, and drops outdated ones. */
    update(nowMs: number): void;
}

export const NO_SUSPECTS: SuspectList = {
    version: 0,
    records: () => [],
    restore: () => undefined,
    adopt: () => undefined,
    update: () => undefined,
};
