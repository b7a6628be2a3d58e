/** Memory that the received bytes of one process may take up together. */
const PROCESS_LIMIT_BYTES = 64 * 1024 * 1024;
/** Delay before a message that found no room is sent again: those that take up the memory arrive or fail by then. */
export const NO_MEMORY_RETRY_AFTER_MS = 1_000;
const MIN_CAPACITY_BYTES = 512;
/** Pieces after which a message is checked for pieces that are too small. */
const MAX_SMALL_PIECES = 65_536;
/** Smallest mean size of the pieces of a message that has more than `MAX_SMALL_PIECES`. */
const MIN_MEAN_PIECE_BYTES = 16;

/**
 * Memory for received bytes, shared by all buffers of a process. A buffer may grow to what the others leave free, so that
 * the largest ones are refused first and small messages still find room.
 */
export class MemoryBudget {
    readonly #limitBytes: number;
    #usedBytes = 0;

    constructor(limitBytes: number) {
        this.#limitBytes = limitBytes;
    }

    get usedBytes(): number {
        return this.#usedBytes;
    }

    /** Enlarges an allocation to `nextBytes`. Returns false if the allocation would exceed what remains free. */
    resize(currentBytes: number, nextBytes: number): boolean {
        const usedBytes = this.#usedBytes - currentBytes + nextBytes;
        if (nextBytes > currentBytes && nextBytes > this.#limitBytes - usedBytes) {
            return false;
        }
        this.#usedBytes = usedBytes;
        return true;
    }
}

/** Budget of all received messages that are held in full. */
export const receivedBytesBudget = new MemoryBudget(PROCESS_LIMIT_BYTES);

/** Why a buffer takes no more bytes. */
export const BufferRefusal = {
    TooLarge: "tooLarge",
    /** The other buffers of the process leave no room. */
    NoMemory: "noMemory",
} as const;

export type BufferRefusal = typeof BufferRefusal[keyof typeof BufferRefusal];

/**
 * Collects the pieces of a message in one block of memory. A list of the pieces would take many times the memory of their
 * content, as a piece of one byte costs over a hundred bytes.
 */
export class ByteBuffer {
    readonly #maxBytes: number;
    readonly #budget: MemoryBudget;
    #block = Buffer.alloc(0);
    #length = 0;

    constructor(maxBytes: number, budget: MemoryBudget = receivedBytesBudget) {
        this.#maxBytes = maxBytes;
        this.#budget = budget;
    }

    get length(): number {
        return this.#length;
    }

    /** The bytes collected so far. A later `append` or `clear` leaves them as they are. */
    get bytes(): Buffer {
        return this.#block.subarray(0, this.#length);
    }

    /** Copies a piece to the end. Returns the reason if it is refused; the buffer then still holds the earlier ones. */
    append(piece: Uint8Array): BufferRefusal | undefined {
        const length = this.#length + piece.length;
        if (length > this.#maxBytes) {
            return BufferRefusal.TooLarge;
        }
        if (length > this.#block.length && !this.#grow(length)) {
            return BufferRefusal.NoMemory;
        }
        this.#block.set(piece, this.#length);
        this.#length = length;
        return undefined;
    }

    /** Gives the memory back to the budget. Bytes that were read before stay valid. */
    clear(): void {
        this.#budget.resize(this.#block.length, 0);
        this.#block = Buffer.alloc(0);
        this.#length = 0;
    }

    #grow(minBytes: number): boolean {
        const doubledBytes = Math.min(this.#maxBytes, 2 * this.#block.length);
        const capacityBytes = Math.max(MIN_CAPACITY_BYTES, minBytes, doubledBytes);
        if (!this.#budget.resize(this.#block.length, capacityBytes)) {
            return false;
        }
        // Not from the pool, whose slabs would stay allocated for as long as any of their buffers.
        const block = Buffer.allocUnsafeSlow(capacityBytes);
        block.set(this.bytes);
        this.#block = block;
        return true;
    }
}

/** Detects messages whose pieces are so small that handling them takes the processor time of other requests. */
export class PieceCounter {
    #count = 0;
    #sizeBytes = 0;

    /** Counts a piece. Returns false once the message has too many small ones. */
    add(sizeBytes: number): boolean {
        this.#count += 1;
        this.#sizeBytes += sizeBytes;
        return this.#count <= MAX_SMALL_PIECES || this.#sizeBytes >= this.#count * MIN_MEAN_PIECE_BYTES;
    }
}
