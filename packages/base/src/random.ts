import { randomBytes, randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";

/** Unique identifier: 96 random bits as 24 hexadecimal digits. */
export const newId = (): string => randomBytes(12).toString("hex");

/** Seeded random numbers. The same seed gives the same sequence. */
export class Random {
    readonly #generator;

    constructor(seed: number = randomInt(2 ** 31)) {
        this.#generator = mersenne(seed);
    }

    /** Integer in `[0, bound)`. */
    nextInt(bound: number): number {
        return uniformInt(this.#generator, 0, bound - 1);
    }

    /** Floating point number in `[0, 1)`. */
    nextFloat(): number {
        return uniformFloat64(this.#generator);
    }

    /** One item of a list that is not empty. */
    pick<T>(items: readonly T[]): T {
        return items[this.nextInt(items.length)] as T;
    }

    /** `durationMs` changed by up to `share` in either direction, so that peers do not act in step. */
    jitter(durationMs: number, share = 0.2): number {
        return durationMs * (1 + share * (2 * this.nextFloat() - 1));
    }
}
