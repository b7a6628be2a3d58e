import type { Invariant, InvariantCounts } from "@greengage/base";
import type { LogStatus } from "@greengage/consensus";
import type { DaemonSummary, InFlightCounts } from "@greengage/http";
import type { ZoneStats } from "@greengage/membership";
import { type GroupView, type PeerNetwork, PROTOCOL_VERSION, type ServiceView } from "@greengage/protocol";
import type { ProcessStats } from "./metrics.ts";

export const VERSION = "0.1.0";

/** Versions of the running programs. */
interface Versions {
    greengage: string;
    /** Version of the protocol between daemons. */
    protocol: number;
    node: string;
}

export const versions = (): Versions => ({
    greengage: VERSION,
    protocol: PROTOCOL_VERSION,
    node: process.versions.node,
});

/** Status document of a daemon: `GET /operator/v1/status`. */
export interface DaemonStatus extends DaemonSummary {
    versions: Versions;
    /** Why the daemon is not ready. */
    notReadyReason?: string;
    /** Whether this daemon holds the lease of its zone. */
    isController: boolean;
    log: LogStatus;
    /** Zones whose grant is valid now. */
    reachableZones: string[];
    unreachableZones: string[];
    groups: GroupView[];
    services: ServiceView[];
    /** Group downtime and stranded accelerators with their causes, when this daemon is a controller. */
    measures?: ZoneStats;
    invariants: Partial<Record<Invariant, InvariantCounts>>;
    violationCount: number;
    inFlightByRow: InFlightCounts;
    process: ProcessStats;
    /** Traffic with the other daemons since the start. */
    peerTraffic: PeerNetwork["traffic"];
}
