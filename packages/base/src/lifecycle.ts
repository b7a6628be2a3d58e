import { setMaxListeners } from "node:events";

export type Cleanup = () => void | Promise<void>;

/**
 * Owns the timers, sockets and tasks of a component and closes them in reverse order of registration.
 * Closing a parent closes its children.
 */
export class Lifecycle {
    readonly #cleanups: Cleanup[] = [];
    readonly #controller = new AbortController();
    #closing: Promise<void> | undefined;

    constructor() {
        // Every sleeping task adds a listener. The number of tasks bounds them, so Node's leak warning would be wrong.
        setMaxListeners(0, this.#controller.signal);
    }

    /** Aborted as soon as `close` is called. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    get isClosed(): boolean {
        return this.#controller.signal.aborted;
    }

    /** Registers a cleanup callback. It runs right away, asynchronously, if the lifecycle is already closed. */
    onClose(cleanup: Cleanup): void {
        if (this.isClosed) {
            void Promise.resolve().then(cleanup);
            return;
        }
        this.#cleanups.push(cleanup);
    }

    /** Creates a child lifecycle that is closed with this one unless it is closed earlier. */
    child(): Lifecycle {
        const child = new Lifecycle();
        this.onClose(() => child.close());
        return child;
    }

    /** Runs `task` repeatedly until closed, with a pause of `periodMs` after each run. Runs never overlap. */
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

    /** Starts a task that `close` waits for. The task must stop when the signal aborts. */
    run(task: (signal: AbortSignal) => Promise<void>, onError: (error: unknown) => void): void {
        const settled = task(this.signal).catch((error: unknown) => {
            if (!this.isClosed) {
                onError(error);
            }
        });
        this.onClose(() => settled);
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

/** Resolves after `durationMs`, or as soon as the signal aborts. Never rejects. */
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
