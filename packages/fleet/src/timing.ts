/** Durations of the fleet's control. */
export interface FleetTiming {
    /** Period of the reports of a backend server. */
    heartbeatMs: number;
}

/** Control steps come at least this often; reports and suspicions bring them forward. */
export const RECONCILE_INTERVAL_MS = 200;
/** A new leader listens for this many report periods before it decides. */
export const LEADER_SETTLE_HEARTBEATS = 1.25;
/** A backend server without a report for this many periods gets no new part in a group. */
export const STALE_REPORT_HEARTBEATS = 2.5;
/** A plain service without a report for this many periods is no longer offered; daemons see its failures sooner. */
export const SERVICE_EXPIRY_HEARTBEATS = 12;
/** Pause before an order without a clear answer is sent again. */
export const ORDER_RETRY_MS = 250;
/** Orders to leave that may fail before the head counts as unreachable. */
export const MAX_LEAVE_ATTEMPTS = 2;
/** Longest time for the requests of a group that closes. A member that drains stays for ten seconds at the most. */
export const CLOSE_TIMEOUT_MS = 9_000;
/** Longest time from the order to open to the head's report. */
export const OPEN_TIMEOUT_MS = 3_000;
/** Loads that run at once slow each other down, so a member gets this many times its expected time, and a margin. */
export const JOIN_TIMEOUT_FACTOR = 3;
export const JOIN_TIMEOUT_MARGIN_MS = 3_000;
/** Members of one group are probed at most once in this time. */
export const MIN_PROBE_INTERVAL_MS = 500;
/** A member at this pace or above is replaced if a spare is at hand. */
export const SLOW_PACE_THRESHOLD = 1.8;
/** Suspicions of a group whose members all answer, after which the group is formed anew. */
export const SUSPICIONS_BEFORE_RECREATION = 4;
/** A member that was silent or late is not used again before it has reported for this long. */
export const FAULT_COOLDOWN_MS = 1_500;
/** A server that has not reported for this long is forgotten. Partitions are over by then, or it is gone. */
export const SERVER_EXPIRY_MS = 60_000;
