import type { HighWaterMark } from "@greengage/protocol";

/**
 * Highest term and committed index that each other member is known to have acknowledged. A member that returns with
 * less runs on an older copy of its data folder: it could vote twice in a term, or help to elect a leader that lacks
 * committed entries.
 */
export class HighWaterMarks {
    readonly #marks = new Map<string, HighWaterMark>();
    #version = 0;

    constructor(marks: readonly HighWaterMark[] = []) {
        for (const mark of marks) {
            this.#marks.set(mark.memberId, mark);
        }
    }

    /** Incremented whenever a mark is raised. */
    get version(): number {
        return this.#version;
    }

    raise(memberId: string, term: number, index: number): void {
        const previous = this.#marks.get(memberId);
        if (previous !== undefined && previous.term >= term && previous.index >= index) {
            return;
        }
        this.#marks.set(memberId, {
            memberId,
            term: Math.max(term, previous?.term ?? 0),
            index: Math.max(index, previous?.index ?? 0),
        });
        this.#version += 1;
    }

    /** Whether a member with this term and last log index has lost state that it acknowledged. */
    hasRegressed(memberId: string, term: number, lastLogIndex: number): boolean {
        const mark = this.#marks.get(memberId);
        return mark !== undefined && (term < mark.term || lastLogIndex < mark.index);
    }

    all(): HighWaterMark[] {
        return [...this.#marks.values()];
    }
}
