import { setMaxListeners } from "node:events";

export type Cleanup = () => void | Promise<void>;

/**
 * Owns timers, sockets and tasks of one part and closes them in reverse order of registration.
 * Children are closed with their parent.
 */
export class Lifecycle {
    readonly #cleanups: Cleanup[] = [];
    readonly #controller = new AbortController();
    #closing: Promise<void> | undefined;

    constructor() {
        // Each sleeping task listens; the count is bounded by the tasks, so the usual warning would be wrong.
        setMaxListeners(0, this.#controller.signal);
    }

    /** Aborted as soon as `close` is called. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    get isClosed(): boolean {
        return this.#controller.signal.aborted;
    }

    /** Registers a clean-up step. After `close` the step runs at once. */
    onClose(cleanup: Cleanup): void {
        if (this.isClosed) {
            void Promise.resolve().then(cleanup);
            return;
        }
        this.#cleanups.push(cleanup);
    }

    /** Creates a life cycle that ends with this one at the latest. */
    child(): Lifecycle {
        const child = new Lifecycle();
        this.onClose(() => child.close());
        return child;
    }

    /** Runs `task` every `periodMs` until closed. A slow run delays the next one; runs never overlap. */
    every(periodMs: number, task: () => void | Promise<void>, onError: (error: unknown) => void): void {
        this.run(async (signal) => {
            while (!signal.aborted) {
                try {
                    await task();
                }
                catch (error) {
                    onError(error);
                }
                await sleep(periodMs, signal);
            }
        }, onError);
    }

    /** Starts a task and waits for its end on `close`. The task must stop when the signal aborts. */
    run(task: (signal: AbortSignal) => Promise<void>, onError: (error: unknown) => void): void {
        const running = task(this.signal).catch((error: unknown) => {
            if (!this.isClosed) {
                onError(error);
            }
        });
        this.onClose(() => running);
    }

    close(): Promise<void> {
        this.#closing ??= this.#closeAll();
        return this.#closing;
    }

    async #closeAll(): Promise<void> {
        this.#controller.abort();
        for (const cleanup of this.#cleanups.reverse()) {
            await cleanup();
        }
        this.#cleanups.length = 0;
    }
}

/** Resolves after `durationMs`, or at once when the signal aborts. Never rejects. */
export const sleep = (durationMs: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, durationMs);
        signal?.addEventListener("abort", finish, { once: true });
    });
