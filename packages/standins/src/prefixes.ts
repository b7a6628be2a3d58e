/** Prefix cache with limited memory: the prefix that was used longest ago goes first. */
export class PrefixCache {
    readonly #limit: number;
    readonly #prefixes = new Set<string>();

    constructor(limit: number) {
        this.#limit = limit;
    }

    /** Marks a prefix as used and returns whether it was cached. */
    touch(prefix: string): boolean {
        const isHit = this.#prefixes.delete(prefix);
        this.#prefixes.add(prefix);
        if (this.#prefixes.size > this.#limit) {
            const [oldest] = this.#prefixes;
            this.#prefixes.delete(oldest as string);
        }
        return isHit;
    }
}
