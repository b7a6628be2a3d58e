import { monotonicMs } from "@greengage/base";
import type { Peers } from "@greengage/protocol";
import type { LimitExchange } from "./limitexchange.ts";
import type { SuspectList } from "./suspects.ts";
import type { ZoneState } from "./zonestate.ts";

const HELD_REPORTS_TIMEOUT_MS = 300;

export interface TakeoverOptions {
    zone: ZoneState;
    peers: Peers;
    exchange: LimitExchange;
    zoneDaemonIds: string[];
    suspects: SuspectList;
    onTableVersion: (version: number) => void;
}

/** Drops the state from an earlier time as the controller. */
export const clearZoneState = (
    { vms, groups, daemons, weightStoreLimiter }: ZoneState,
): void => {
    for (const registry of [vms, groups, daemons, weightStoreLimiter]) {
        registry.clear();
    }
};

/** Collects the reports that the zone's daemons hold, and sets the time until which groups may still be adopted. */
export const collectHeldReports = async (options: TakeoverOptions): Promise<void> => {
    const { zone, zoneDaemonIds } = options;
    const { missingAfterMs } = zone.timing;
    zone.adoptionEndsAtMs = Number.POSITIVE_INFINITY;
    const upTimes = await Promise.all(zoneDaemonIds.map((id) => fetchHeldReports(options, id)));
    // Reports of a daemon that didn't answer or has just started are missing; they arrive within missingAfterMs.
    const isComplete = upTimes.every((upMs) => upMs !== undefined && upMs > missingAfterMs);
    zone.adoptionEndsAtMs = monotonicMs() + (isComplete ? 0 : missingAfterMs);
};

/** Fetches a daemon's reports. Returns how long it has been accepting reports; undefined if it doesn't answer. */
const fetchHeldReports = async (options: TakeoverOptions, daemonId: string): Promise<number | undefined> => {
    const { zone, peers, exchange, suspects, onTableVersion } = options;
    const request = { zone: zone.context.zone };
    const response = await peers.call(daemonId, "report.held", request, {
        timeoutMs: HELD_REPORTS_TIMEOUT_MS,
    }).catch(
        () => undefined,
    );
    for (const { report, ageMs } of response?.reports ?? []) {
        zone.vms.recordReport(report, ageMs);
    }
    for (const vmId of response?.drainedVmIds ?? []) {
        zone.vms.drainedVmIds.add(vmId);
    }
    exchange.restoreTransfers(response?.transfers ?? []);
    suspects.adopt(response?.suspects ?? [], monotonicMs());
    onTableVersion(response?.tableVersion ?? 0);
    return response?.upMs;
};
