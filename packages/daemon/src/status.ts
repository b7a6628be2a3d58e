import type { Invariant, InvariantCounts } from "@greengage/base";
import type { LogStatus } from "@greengage/consensus";
import type { DaemonSummary, InFlightCounts } from "@greengage/http";
import type { ZoneStats } from "@greengage/membership";
import {
    type GroupView,
    type PeerNetwork,
    PROTOCOL_VERSION,
    type ServerLimit,
    type ServiceView,
} from "@greengage/protocol";
import type { ProcessStats } from "./metrics.ts";

export const VERSION = "0.1.0";

/** Versions of the running software. */
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

/** Response of `GET /operator/v1/status`. */
export interface DaemonStatus extends DaemonSummary {
    versions: Versions;
    /** Undefined while the daemon is ready. */
    notReadyReason?: string;
    /** Whether this daemon holds its zone's lease. */
    isController: boolean;
    log: LogStatus;
    /** Zones from which the daemon has a valid grant. */
    reachableZones: string[];
    unreachableZones: string[];
    groups: GroupView[];
    services: ServiceView[];
    /** Request rates that backend servers name, as far as this daemon knows. */
    serverLimits: ServerLimit[];
    /** Group downtime and stranded accelerators by cause. Only on a zone's controller. */
    measures?: ZoneStats;
    invariants: Partial<Record<Invariant, InvariantCounts>>;
    violationCount: number;
    inFlightByRow: InFlightCounts;
    process: ProcessStats;
    /** Traffic with other daemons since the start. */
    peerTraffic: PeerNetwork["traffic"];
}
