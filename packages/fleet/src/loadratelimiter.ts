const WINDOW_MS = 5_000;
/** Share of the store's rate in use: servers may act on orders late, so more loads can fall into one window. */
const USABLE_RATE_SHARE = 0.85;

/** Limits the loads started within any five seconds to the weight store's rate. */
export class LoadRateLimiter {
    #startTimesMs: number[] = [];

    /** Number of loads that may start now; unlimited until there is demand. */
    availableLoads(
        loadsPerS: number,
        loadsAtOnce: number,
        hasDemand: boolean,
        runningCount: number,
        nowMs: number,
    ): number {
        if (!hasDemand) {
            return Infinity;
        }
        const freeSlots = Math.max(0, loadsAtOnce - runningCount);
        this.#startTimesMs = this.#startTimesMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
        const remainingInWindow = Math.floor(loadsPerS * USABLE_RATE_SHARE * WINDOW_MS / 1_000)
            - this.#startTimesMs.length;
        return Math.max(0, Math.min(freeSlots, remainingInWindow));
    }

    recordStarts(count: number, nowMs: number): void {
        for (let index = 0; index < count; index += 1) {
            this.#startTimesMs.push(nowMs);
        }
    }
}
