import { type Lifecycle, monotonicMs } from "@greengage/base";

const CHECK_INTERVAL_MS = 100;

/** A stream monitored for stalls. */
export interface WatchedStream {
    /** Monotonic time of the next check for progress; Infinity while reading is paused for a slow caller. */
    readonly dueAtMs: number;
    /** Called when `dueAtMs` has passed. */
    onOverdue(nowMs: number): void;
}

/** Detects stalled streams with a single shared timer: one timer per token would cost more than relaying the token. */
export class StallDetector {
    readonly #streams = new Set<WatchedStream>();

    constructor(lifecycle: Lifecycle) {
        lifecycle.every(CHECK_INTERVAL_MS, () => this.#checkOverdue(), () => undefined);
    }

    add(stream: WatchedStream): void {
        this.#streams.add(stream);
    }

    delete(stream: WatchedStream): void {
        this.#streams.delete(stream);
    }

    #checkOverdue(): void {
        const nowMs = monotonicMs();
        for (const stream of this.#streams) {
            if (stream.dueAtMs <= nowMs) {
                stream.onOverdue(nowMs);
            }
        }
    }
}
