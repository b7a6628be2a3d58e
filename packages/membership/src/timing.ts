/** Durations of leases, grants and reports. Settings can override them, with the same values on all daemons. */
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
    /** Longest wait of a new controller before it reassigns VMs that don't check fencing tokens. Default: 90000. */
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

/** A holder's lease ends this long before the acceptors' does, to cover clock drift and delays in the holder. */
export const LEASE_MARGIN_MS = 200;

/** Invariant P6: a backend server gets no new work later than this after it began to leave. */
export const LEAVING_DEADLINE_MS = 2_000;
