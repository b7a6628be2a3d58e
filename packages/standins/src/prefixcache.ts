/** Prefix cache with a limited capacity and least-recently-used eviction. */
export class PrefixCache {
    readonly #capacity: number;
    readonly #prefixes = new Set<string>();

    constructor(limit: number) {
        this.#capacity = limit;
    }

    /** Marks a prefix as used and returns whether it was cached. */
    touch(prefix: string): boolean {
        const isHit = this.#prefixes.delete(prefix);
        this.#prefixes.add(prefix);
        if (this.#prefixes.size > this.#capacity) {
            const [oldest] = this.#prefixes;
            this.#prefixes.delete(oldest as string);
        }
        return isHit;
    }
}
