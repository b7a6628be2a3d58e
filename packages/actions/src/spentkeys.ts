import { createHash } from "node:crypto";

/** At 8 bytes per slot and a load factor of up to 3/4, the hash table takes at most 128 MiB. */
const DEFAULT_CAPACITY = 12_000_000;
const INITIAL_SLOT_COUNT = 1_024;

/** First 64 bits of the SHA-256 hash. If two keys collide, the later one is rejected. */
const computeDigest = (organisation: string, key: string): bigint => {
    const digest = createHash("sha256").update(`${organisation}\n${key}`).digest();
    // 0 marks an empty slot.
    return digest.readBigUInt64LE(0) || 1n;
};

/** Hash set of the keys whose records were evicted. They are never sent again. */
export class SpentKeys {
    readonly #capacity: number;
    #slots = new BigUint64Array(INITIAL_SLOT_COUNT);
    #size = 0;

    constructor(capacity: number = DEFAULT_CAPACITY) {
        this.#capacity = capacity;
    }

    get size(): number {
        return this.#size;
    }

    get isFull(): boolean {
        return this.#size >= this.#capacity;
    }

    has(organisation: string, key: string): boolean {
        const digest = computeDigest(organisation, key);
        return this.#slots[this.#findSlot(digest)] === digest;
    }

    add(organisation: string, key: string): void {
        this.#insert(computeDigest(organisation, key));
    }

    /** Returns the digests in ascending order, so that equal sets have equal snapshots. */
    toBytes(): Uint8Array {
        const digests = this.#slots.filter((digest) => digest !== 0n).sort();
        return new Uint8Array(digests.buffer);
    }

    restore(bytes: Uint8Array): void {
        this.#slots = new BigUint64Array(INITIAL_SLOT_COUNT);
        this.#size = 0;
        // Copies the bytes, because a decoded message may be a view at any offset of a larger buffer.
        for (const digest of new BigUint64Array(Uint8Array.from(bytes).buffer)) {
            this.#insert(digest);
        }
    }

    #insert(digest: bigint): void {
        if (this.#size * 4 >= this.#slots.length * 3) {
            this.#grow();
        }
        const slot = this.#findSlot(digest);
        this.#size += this.#slots[slot] === 0n ? 1 : 0;
        this.#slots[slot] = digest;
    }

    #findSlot(digest: bigint): number {
        const mask = this.#slots.length - 1;
        let slot = Number(digest & BigInt(mask));
        while (this.#slots[slot] !== 0n && this.#slots[slot] !== digest) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    #grow(): void {
        const oldSlots = this.#slots;
        this.#slots = new BigUint64Array(oldSlots.length * 2);
        for (const digest of oldSlots) {
            if (digest !== 0n) {
                this.#slots[this.#findSlot(digest)] = digest;
            }
        }
    }
}
