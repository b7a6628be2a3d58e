/** Durations of leases, grants and reports. Settings can override them for all daemons together. */
export interface MembershipTiming {
    /** Length of a zone lease. Default: 2000. */
    leaseMs: number;
    /** Period of lease renewals. Default: 500. */
    leaseRenewMs: number;
    /** Longest validity of a grant. Default: 1500. */
    grantMs: number;
    /** Period of grant renewals. Default: 500. */
    grantRenewMs: number;
    /** Age of the last report at which a VM counts as missing. Default: 2500. */
    missingAfterMs: number;
    /** Period of report batches to the controller. Default: 250. */
    reportBatchMs: number;
    /** Wait before a VM that doesn't check fencing tokens moves to another group under a new controller. Default: 90000. */
    unfencedHandoverMs: number;
    /** Time that a suspended group waits for a missing member before it is repaired. Default: 500. */
    repairAfterMs: number;
}

export const DEFAULT_TIMING: MembershipTiming = {
    leaseMs: 2_000,
    leaseRenewMs: 500,
    grantMs: 1_500,
    grantRenewMs: 500,
    missingAfterMs: 2_500,
    reportBatchMs: 250,
    unfencedHandoverMs: 90_000,
    repairAfterMs: 500,
};

/** The holder of a lease stops this long before the acceptors do, to cover clock drift and delays in the holder. */
export const LEASE_MARGIN_MS = 200;

/** Bound of the design (P6): a backend server that leaves gets no new work after this time. */
export const LEAVING_DEADLINE_MS = 2_000;
