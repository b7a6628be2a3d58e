/** Largest difference between the wall clocks of VMs and of this daemon. */
const MAX_CLOCK_DIFFERENCE_MS = 24 * 3_600_000;

/** Upper bound of the start times that backend servers may report, in the year 2248. */
export const MAX_START_MS = 2 ** 43;

/**
 * Rank by which processes of backend servers are ordered: their start time, in milliseconds since the epoch. A start time in the
 * future ranks below all others, so that it ends no server. If this daemon's clock is far behind, the order stays as it is.
 */
export const startRank = (bornMs: number): number =>
    bornMs > Date.now() + MAX_CLOCK_DIFFERENCE_MS ? bornMs - Number.MAX_SAFE_INTEGER : bornMs;
