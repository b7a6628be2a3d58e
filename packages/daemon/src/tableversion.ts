import { monotonicMs, sleep } from "@greengage/base";
import type { DaemonSummary } from "@greengage/http";

const FIRST_POLL_MS = 20;
const MAX_POLL_MS = 400;

interface WaitOptions {
    tableVersion: number;
    zones: string[];
    /** Maximum time to wait for zones that have not applied the version. */
    waitMs: number;
    /** Fetches the summaries of all daemons. */
    summaries: () => Promise<{ responses: DaemonSummary[]; unreachable: string[]; }>;
    zoneOf: (daemonId: string) => string | undefined;
}

/** Waits until every daemon has applied a table version. Returns the zones in which all have, and the others. */
export const waitForTableVersion = async (
    options: WaitOptions,
): Promise<{ inForceZones: string[]; pendingZones: string[]; }> => {
    const deadlineMs = monotonicMs() + options.waitMs;
    for (let pollMs = FIRST_POLL_MS;; pollMs = Math.min(2 * pollMs, MAX_POLL_MS)) {
        const pending = await findPendingZones(options);
        if (pending.size === 0 || monotonicMs() >= deadlineMs) {
            const inForceZones = options.zones.filter((zone) => !pending.has(zone));
            return { inForceZones, pendingZones: [...pending] };
        }
        await sleep(pollMs);
    }
};

const findPendingZones = async (options: WaitOptions): Promise<Set<string>> => {
    const { responses, unreachable } = await options.summaries();
    const outdated = responses.filter((response) => response.tableVersion < options.tableVersion);
    const zones = [...outdated.map((response) => response.zone), ...unreachable.map(options.zoneOf)];
    return new Set(zones.filter((zone) => zone !== undefined));
};
