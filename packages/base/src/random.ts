import { randomBytes, randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";

/** Creates a unique identifier: 96 random bits as 24 hexadecimal digits. */
export const newId = (): string => randomBytes(12).toString("hex");

/** Seeded pseudorandom number generator. Equal seeds produce equal sequences. */
export class Random {
    readonly #generator;

    constructor(seed: number = randomInt(2 ** 31)) {
        this.#generator = mersenne(seed);
    }

    /** Uniformly distributed integer in `[0, bound)`. */
    nextInt(bound: number): number {
        return uniformInt(this.#generator, 0, bound - 1);
    }

    /** Uniformly distributed number in `[0, 1)`. */
    nextFloat(): number {
        return uniformFloat64(this.#generator);
    }

    /** Random item of `items`, which must not be empty. */
    pick<T>(items: readonly T[]): T {
        return items[this.nextInt(items.length)] as T;
    }

    /** Varies `durationMs` by up to `ratio` in either direction, so that peers don't act in lockstep. */
    jitter(durationMs: number, ratio = 0.2): number {
        return durationMs * (1 + ratio * (2 * this.nextFloat() - 1));
    }
}
