import { monotonicMs } from "@greengage/base";
import { FailureKind } from "./failures.ts";

/** Node.js fires timers at once beyond this. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Ends a request early: the caller has gone, or its deadline has passed. */
export class Cancellation {
    readonly #signal: AbortSignal;
    readonly #onAbort = (): void => this.#cancel(FailureKind.Cancelled);
    readonly #timer: NodeJS.Timeout;
    #listener: ((kind: FailureKind) => void) | undefined;
    #kind: FailureKind | undefined;

    constructor(signal: AbortSignal, deadlineAtMs: number) {
        this.#signal = signal;
        this.#timer = setTimeout(
            () => this.#cancel(FailureKind.Deadline),
            Math.min(MAX_TIMER_MS, Math.max(0, deadlineAtMs - monotonicMs())),
        );
        signal.addEventListener("abort", this.#onAbort, { once: true });
        if (signal.aborted) {
            this.#onAbort();
        }
    }

    /** Why the request was ended, or undefined. */
    get kind(): FailureKind | undefined {
        return this.#kind;
    }

    /** Sets the one listener; the step of the request that runs now. Called at once if already cancelled. */
    listen(listener: (kind: FailureKind) => void): void {
        this.#listener = listener;
        if (this.#kind !== undefined) {
            listener(this.#kind);
        }
    }

    close(): void {
        clearTimeout(this.#timer);
        this.#signal.removeEventListener("abort", this.#onAbort);
        this.#listener = undefined;
    }

    #cancel(kind: FailureKind): void {
        if (this.#kind !== undefined) {
            return;
        }
        this.#kind = kind;
        this.#listener?.(kind);
    }
}
