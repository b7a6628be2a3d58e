const WINDOW_MS = 5_000;
/** Part of the store's rate that is used: orders can be carried out later than they are sent, and meet in a window. */
const RATE_SHARE = 0.85;

/** Keeps the loads that begin within any five seconds below the weight store's rate. */
export class LoadRateLimiter {
    #startedAtMs: number[] = [];

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
        const places = Math.max(0, loadsAtOnce - runningCount);
        this.#startedAtMs = this.#startedAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
        const rate = Math.floor(loadsPerS * RATE_SHARE * WINDOW_MS / 1_000) - this.#startedAtMs.length;
        return Math.max(0, Math.min(places, rate));
    }

    recordStarts(count: number, nowMs: number): void {
        for (let index = 0; index < count; index += 1) {
            this.#startedAtMs.push(nowMs);
        }
    }
}
