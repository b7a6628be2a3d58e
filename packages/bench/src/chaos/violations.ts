/** Counts and prints invariant violations of a run. */
export class Violations {
    readonly #print: (line: string) => void;
    readonly #counts = new Map<string, number>();

    constructor(print: (line: string) => void) {
        this.#print = print;
    }

    get count(): number {
        return [...this.#counts.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Counts a violation and prints the first five of each kind. */
    add(kind: string, detail: string): void {
        const count = (this.#counts.get(kind) ?? 0) + 1;
        this.#counts.set(kind, count);
        if (count <= 5) {
            this.#print(`violation: ${kind}: ${detail}`);
        }
    }

    summary(): string {
        return [...this.#counts].map(([kind, count]) => `${kind}: ${count}`).join(", ");
    }
}
