import { monotonicMs } from "@greengage/base";
import { FailureKind } from "./failures.ts";

/** Node.js fires timers with a longer delay immediately. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Cancels a request when its caller disconnects or its deadline passes. */
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

    /** Reason of the cancellation; undefined while the request is not cancelled. */
    get kind(): FailureKind | undefined {
        return this.#kind;
    }

    /**
     * Replaces the listener, which belongs to the step of the request that is running. Called immediately if the request
     * is already cancelled.
     */
    setListener(listener: (kind: FailureKind) => void): void {
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
