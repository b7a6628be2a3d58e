/** Wakes all tasks that wait for a state change. */
export class ChangeSignal {
    #waiters = new Set<() => void>();

    notify(): void {
        const waiters = this.#waiters;
        this.#waiters = new Set();
        for (const wake of waiters) {
            wake();
        }
    }

    /** Resolves at the next `notify`, or after `timeoutMs`. */
    wait(timeoutMs: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            this.#waiters.add(wake);
        });
    }
}
