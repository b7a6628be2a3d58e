import { type Lifecycle, monotonicMs } from "@greengage/base";

const SWEEP_MS = 100;

/** A stream whose progress is watched. */
export interface Watched {
    /** Monotonic time by which the next token must arrive; Infinity while the caller reads slowly. */
    readonly dueAtMs: number;
    /** Called when that time has passed. */
    onOverdue(nowMs: number): void;
}

/** Finds stalled streams with one timer for all of them, because a timer per token would cost more than the relay. */
export class StallWatch {
    readonly #watched = new Set<Watched>();

    constructor(lifecycle: Lifecycle) {
        lifecycle.every(SWEEP_MS, () => this.#sweep(), () => undefined);
    }

    add(watched: Watched): void {
        this.#watched.add(watched);
    }

    delete(watched: Watched): void {
        this.#watched.delete(watched);
    }

    #sweep(): void {
        const nowMs = monotonicMs();
        for (const watched of this.#watched) {
            if (watched.dueAtMs <= nowMs) {
                watched.onOverdue(nowMs);
            }
        }
    }
}
