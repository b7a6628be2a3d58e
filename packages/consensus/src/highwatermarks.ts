import type { HighWaterMark } from "@greengage/protocol";

/**
 * What each other member has acknowledged at the least. A member that returns with less has an older copy of its
 * files: it could vote twice in a term or help to elect a leader that lacks committed entries.
 */
export class HighWaterMarks {
    readonly #marks = new Map<string, HighWaterMark>();
    #version = 0;

    constructor(marks: readonly HighWaterMark[] = []) {
        for (const mark of marks) {
            this.#marks.set(mark.memberId, mark);
        }
    }

    /** Changes with each raised mark. */
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

    /** Whether a member with this term and end of its log has lost something that it acknowledged. */
    hasRegressed(memberId: string, term: number, lastLogIndex: number): boolean {
        const mark = this.#marks.get(memberId);
        return mark !== undefined && (term < mark.term || lastLogIndex < mark.index);
    }

    all(): HighWaterMark[] {
        return [...this.#marks.values()];
    }
}
