/** Token bucket. Tokens can be taken in advance, which makes later requests wait. */
export class TokenBucket {
    #tokens: number;
    #refilledAtMs: number;

    constructor(tokens: number, nowMs: number) {
        this.#tokens = tokens;
        this.#refilledAtMs = nowMs;
    }

    /** Adds the tokens of the time since the last refill, up to `capacity`. */
    refill(requestsPerS: number, capacity: number, nowMs: number): void {
        const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
        this.#tokens = Math.min(capacity, this.#tokens + elapsedMs / 1_000 * requestsPerS);
        this.#refilledAtMs = nowMs;
    }

    /** Time until a token is available at the given rate; 0 if one is available now. */
    delayMs(requestsPerS: number): number {
        return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / requestsPerS * 1_000;
    }

    take(): void {
        this.#tokens -= 1;
    }
}
