import { monotonicMs } from "./clock.ts";
import type { Lifecycle } from "./lifecycle.ts";

const CHECK_INTERVAL_MS = 50;

/**
 * Records when the event loop has turned. What the loop handles now, for example a signal, may have waited for as long as the
 * loop has stood still.
 */
export class EventLoopTurns {
    #lastAtMs = monotonicMs();
    #previousAtMs = this.#lastAtMs;

    constructor(lifecycle: Lifecycle) {
        const check = (): void => {
            this.#previousAtMs = this.#lastAtMs;
            this.#lastAtMs = monotonicMs();
        };
        lifecycle.every(CHECK_INTERVAL_MS, check, () => undefined);
    }

    /** Time before which nothing that is handled now has happened, in monotonic time. */
    earliestEventAtMs(): number {
        // Timers may run before input in the first turn after a pause.
        return this.#previousAtMs;
    }
}
