/** Configurable intervals of fleet control. */
export interface FleetTiming {
    /** Interval between the reports of a backend server. */
    heartbeatMs: number;
    /**
     * Time for which a head that has lost a member stalls before it is broken, so that it can't serve any more. Unknown
     * if undefined.
     */
    groupStallMs?: number;
}

/** Longest interval between reconciliations; reports and suspicions trigger earlier ones. */
export const RECONCILE_INTERVAL_MS = 200;
/** Report intervals for which a new leader only collects reports before it acts. */
export const LEADER_SETTLE_HEARTBEATS = 1.25;
/** Report intervals without a report after which a backend server isn't placed in a new group, and an open head is probed. */
export const STALE_REPORT_HEARTBEATS = 2.5;
/** Report intervals after which a silent server of a plain service is unlisted; daemons detect its failures sooner. */
export const SERVICE_EXPIRY_HEARTBEATS = 12;
/** Delay before an order without a definite outcome is sent again. */
export const ORDER_RETRY_MS = 250;
/** Failed leave orders after which the head is treated as unreachable. */
export const MAX_LEAVE_ATTEMPTS = 2;
/** Time for a closing group to finish its requests. A draining member stops after ten seconds at the latest. */
export const CLOSE_TIMEOUT_MS = 9_000;
/** Time for the head to report that it is open after the group has entered the phase `opening`. */
export const OPEN_TIMEOUT_MS = 3_000;
/** Multiple of the expected join time before a member is late, plus a margin: concurrent loads slow each other down. */
export const JOIN_TIMEOUT_FACTOR = 3;
export const JOIN_TIMEOUT_MARGIN_MS = 3_000;
/** Minimum interval between probes of the same group. */
export const MIN_PROBE_INTERVAL_MS = 500;
/** Interval between probes of a head that doesn't report. */
export const HEAD_CHECK_INTERVAL_MS = 1_000;
/** Slowdown factor from which a member is replaced. */
export const SLOW_PACE_THRESHOLD = 1.8;
/** Suspicions without a fault found by the probes after which the group is recreated. */
export const SUSPICIONS_BEFORE_RECREATION = 4;
/** Time after a fault until a server that reports is used again. */
export const FAULT_COOLDOWN_MS = 1_500;
/** Time by which a head may notice late that it has to break, as one that falls silent for a moment. */
export const HEAD_BREAK_MARGIN_MS = 2_000;
/** Reports that a server sent before it answered an order arrive within this time. */
export const REPORT_DELAY_MS = 500;
/** Time for which the orders of a former leader count as unanswered if nothing is known of their answers. */
export const ASSUMED_ORDER_LIFETIME_MS = 15_000;
/** Time without a report after which a server is removed, by when a partition has healed or the server is gone. */
export const SERVER_EXPIRY_MS = 60_000;
