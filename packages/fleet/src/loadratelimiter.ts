const WINDOW_MS = 5_000;
/** Part of the store's rate that is used: orders can be carried out later than they are sent, and meet in a window. */
const USABLE_RATE_SHARE = 0.85;

/** Keeps the loads that begin within any five seconds below the weight store's rate. */
export class LoadRateLimiter {
    #startTimesMs: number[] = [];

    /** Loads that may begin now. Before there is any demand the store has no limit. */
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
