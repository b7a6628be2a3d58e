import type { LogEntry } from "@greengage/protocol";

/** Log entries held in memory. Entries up to the base index were discarded after a snapshot. */
export class EntryList {
    #baseIndex: number;
    #baseTerm: number;
    #entries: LogEntry[];

    constructor(baseIndex = 0, baseTerm = 0, entries: LogEntry[] = []) {
        this.#baseIndex = baseIndex;
        this.#baseTerm = baseTerm;
        this.#entries = entries;
    }

    /** Index of the last discarded entry; 0 if none. */
    get baseIndex(): number {
        return this.#baseIndex;
    }

    get baseTerm(): number {
        return this.#baseTerm;
    }

    get lastIndex(): number {
        return this.#baseIndex + this.#entries.length;
    }

    get lastTerm(): number {
        return this.#entries.at(-1)?.term ?? this.#baseTerm;
    }

    get(index: number): LogEntry | undefined {
        return this.#entries[index - this.#baseIndex - 1];
    }

    /** Term of the entry at `index`, or undefined if the entry is not in memory. */
    termAt(index: number): number | undefined {
        return index === this.#baseIndex ? this.#baseTerm : this.get(index)?.term;
    }

    /** Entries from `fromIndex` to `toIndex`, up to the one whose payload reaches `maxBytes` in total. */
    slice(fromIndex: number, toIndex: number, maxBytes: number): LogEntry[] {
        const selected: LogEntry[] = [];
        let sizeBytes = 0;
        for (let index = fromIndex; index <= toIndex && sizeBytes < maxBytes; index += 1) {
            const entry = this.get(index);
            if (entry === undefined) {
                break;
            }
            selected.push(entry);
            sizeBytes += entry.payload.length;
        }
        return selected;
    }

    /** Removes entries at or after the index of the first entry, then appends `entries`. */
    truncateAndAppend(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        if (first.index > this.lastIndex + 1 || first.index <= this.#baseIndex) {
            throw new Error(
                `entry ${first.index} is not contiguous with the log, which ends at ${this.lastIndex}`,
            );
        }
        this.#entries.length = first.index - this.#baseIndex - 1;
        this.#entries.push(...entries);
    }

    /** Discards entries up to and including `index`. */
    dropUpTo(index: number): void {
        const term = this.termAt(index);
        if (index <= this.#baseIndex || term === undefined) {
            return;
        }
        this.#entries = this.#entries.slice(index - this.#baseIndex);
        this.#baseIndex = index;
        this.#baseTerm = term;
    }

    /** Discards all entries and restarts the log after a snapshot. */
    reset(baseIndex: number, baseTerm: number): void {
        this.#baseIndex = baseIndex;
        this.#baseTerm = baseTerm;
        this.#entries = [];
    }

    all(): readonly LogEntry[] {
        return this.#entries;
    }
}
