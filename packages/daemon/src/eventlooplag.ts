import { Lifecycle, monotonicMs } from "@greengage/base";

const CHECK_INTERVAL_MS = 50;

/** How late the event loop runs its timers, which tells how busy the process is. */
export class EventLoopLag {
    readonly #lifecycle = new Lifecycle();
    #dueAtMs = Infinity;
    #lastLagMs = 0;

    start(): void {
        const timer = setInterval(() => {
            const nowMs = monotonicMs();
            this.#lastLagMs = nowMs - this.#dueAtMs;
            this.#dueAtMs = nowMs + CHECK_INTERVAL_MS;
        }, CHECK_INTERVAL_MS);
        this.#dueAtMs = monotonicMs() + CHECK_INTERVAL_MS;
        this.#lifecycle.onClose(() => clearInterval(timer));
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Delay of the last timer, or of the one that is due. */
    get lagMs(): number {
        return Math.max(0, this.#lastLagMs, monotonicMs() - this.#dueAtMs);
    }
}
