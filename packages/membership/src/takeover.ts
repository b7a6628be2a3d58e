import { monotonicMs } from "@greengage/base";
import type { Peers } from "@greengage/protocol";
import type { LimitExchange } from "./limitExchange.ts";
import type { ZoneState } from "./zoneState.ts";

const HELD_TIMEOUT_MS = 300;

export interface TakeoverOptions {
    zone: ZoneState;
    peers: Peers;
    exchange: LimitExchange;
    zoneDaemonIds: string[];
    onTableVersion: (version: number) => void;
}

/** Forgets what this daemon knew as an earlier controller. */
export const clearZoneState = (
    { vms, groups, daemons, weightStoreLimiter: weightStore }: ZoneState,
): void => {
    for (const part of [vms, groups, daemons, weightStore]) {
        part.clear();
    }
};

/** Collects what the daemons of the zone hold, and sets the time until which more may arrive. */
export const collectHeldReports = async (options: TakeoverOptions): Promise<void> => {
    const { zone, zoneDaemonIds } = options;
    const { missingAfterMs } = zone.timing;
    zone.adoptionEndsAtMs = Number.POSITIVE_INFINITY;
    const upTimes = await Promise.all(zoneDaemonIds.map((id) => fetchHeldReports(options, id)));
    // A daemon that didn't answer, or has just started, lacks reports that other daemons get within a period.
    const isComplete = upTimes.every((upMs) => upMs !== undefined && upMs > missingAfterMs);
    zone.adoptionEndsAtMs = monotonicMs() + (isComplete ? 0 : missingAfterMs);
};

/** Returns how long the daemon has taken reports; undefined when it doesn't answer. */
const fetchHeldReports = async (options: TakeoverOptions, daemonId: string): Promise<number | undefined> => {
    const { zone, peers, exchange, onTableVersion } = options;
    const request = { zone: zone.context.zone };
    const answer = await peers.call(daemonId, "report.held", request, { timeoutMs: HELD_TIMEOUT_MS }).catch(
        () => undefined,
    );
    for (const { report, ageMs } of answer?.reports ?? []) {
        zone.vms.recordReport(report, ageMs);
    }
    for (const vmId of answer?.drainedVmIds ?? []) {
        zone.vms.drainedVmIds.add(vmId);
    }
    exchange.restoreTransfers(answer?.transfers ?? []);
    onTableVersion(answer?.tableVersion ?? 0);
    return answer?.upMs;
};
