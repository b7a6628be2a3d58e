import { monotonicMs, sleep } from "@greengage/base";

export interface SimulatedEngineOptions {
    slots: number;
    firstTokenMs: number;
    /** Time that a request occupies its slot after the first token. */
    holdMs: number;
    /** Factor applied to all times. */
    slowdown: number;
    cachedPrefixes: number;
    /** Added to the time to first token when the prefix is not cached. */
    prefixMissMs: number;
}

/** In-process simulation of an engine with slots, a queue and a prefix cache. */
export class SimulatedEngine {
    readonly #options: SimulatedEngineOptions;
    readonly #waiting: (() => void)[] = [];
    readonly #prefixes = new Set<string>();
    #running = 0;
    #hits = 0;
    #misses = 0;

    constructor(options: SimulatedEngineOptions) {
        this.#options = options;
    }

    get running(): number {
        return this.#running;
    }

    /** Prefix cache hits and misses. */
    get prefixCounts(): { hits: number; misses: number; } {
        return { hits: this.#hits, misses: this.#misses };
    }

    get waiting(): number {
        return this.#waiting.length;
    }

    /** Runs a request and returns its time to first token. Calls `onEnd` when the slot is free again. */
    async run(prefix: string, onEnd: () => void): Promise<number> {
        const startedAtMs = monotonicMs();
        const { slots, firstTokenMs, holdMs, slowdown } = this.#options;
        if (this.#running >= slots) {
            await new Promise<void>((resolve) => this.#waiting.push(resolve));
        }
        this.#running += 1;
        // Concurrent requests share the accelerators.
        const contentionFactor = 1 + this.#running / slots;
        await sleep((firstTokenMs * contentionFactor + this.#prefixDelayMs(prefix)) * slowdown);
        const durationMs = monotonicMs() - startedAtMs;
        void sleep(holdMs * slowdown).then(() => {
            this.#running -= 1;
            this.#waiting.shift()?.();
            onEnd();
        });
        return durationMs;
    }

    #prefixDelayMs(prefix: string): number {
        const isCached = this.#prefixes.delete(prefix);
        this.#hits += isCached ? 1 : 0;
        this.#misses += isCached ? 0 : 1;
        this.#prefixes.add(prefix);
        if (this.#prefixes.size > this.#options.cachedPrefixes) {
            const [oldest] = this.#prefixes;
            this.#prefixes.delete(oldest as string);
        }
        return isCached ? 0 : this.#options.prefixMissMs;
    }
}
