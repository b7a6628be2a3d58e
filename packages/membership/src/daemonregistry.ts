import { monotonicMs } from "@greengage/base";
import type { Calls, OrganisationDemand } from "@greengage/protocol";

/** What a daemon sent with its last grant renewal. */
export interface DaemonRecord {
    daemonId: string;
    zone: string;
    renewedAtMs: number;
    /** Version of the view that it held, if that view was issued under the current lease. */
    viewVersion: number | undefined;
    /** Version of the suspects that it held, if they were issued under the current lease. */
    suspectVersion?: number;
    /** Requests in flight by group or backend server; undefined while the daemon doesn't count them. */
    inFlight: Map<string, number> | undefined;
    demand: OrganisationDemand[];
}

// A daemon that hasn't renewed for this many grant periods has no valid grant and no share of any limit.
const ACTIVE_GRANT_PERIODS = 2;
const RETAINED_GRANT_PERIODS = 40;

/** Daemons that hold grants of the zone. */
export class DaemonRegistry {
    readonly #grantMs: number;
    readonly #daemons = new Map<string, DaemonRecord>();

    constructor(grantMs: number) {
        this.#grantMs = grantMs;
    }

    recordRenewal(request: Calls["grant.renew"]["request"], fence: number): DaemonRecord {
        const record: DaemonRecord = {
            daemonId: request.daemonId,
            zone: request.daemonZone,
            renewedAtMs: monotonicMs(),
            viewVersion: request.fence === fence ? request.viewVersion : undefined,
            suspectVersion: request.fence === fence ? request.suspectVersion : undefined,
            inFlight: request.inFlight === undefined
                ? undefined
                : new Map(request.inFlight.map(({ id, count }) => [id, count])),
            demand: request.demand,
        };
        this.#daemons.set(request.daemonId, record);
        return record;
    }

    get(daemonId: string): DaemonRecord | undefined {
        return this.#daemons.get(daemonId);
    }

    all(): DaemonRecord[] {
        const oldestMs = monotonicMs() - RETAINED_GRANT_PERIODS * this.#grantMs;
        for (const record of this.#daemons.values()) {
            if (record.renewedAtMs < oldestMs) {
                this.#daemons.delete(record.daemonId);
            }
        }
        return [...this.#daemons.values()];
    }

    /** Daemons that may hold a valid grant. */
    active(): DaemonRecord[] {
        const sinceMs = monotonicMs() - ACTIVE_GRANT_PERIODS * this.#grantMs;
        return this.all().filter((record) => record.renewedAtMs > sinceMs);
    }

    /** Requests in flight on a group or backend server, over all daemons that count them. */
    inFlight(id: string): number {
        return this.active().reduce((sum, record) => sum + (record.inFlight?.get(id) ?? 0), 0);
    }

    clear(): void {
        this.#daemons.clear();
    }
}
