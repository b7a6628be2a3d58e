/** Broken promises that a run has seen. */
export class Violations {
    readonly #print: (line: string) => void;
    readonly #seen = new Map<string, number>();

    constructor(print: (line: string) => void) {
        this.#print = print;
    }

    get count(): number {
        return [...this.#seen.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Counts a violation. The first ones of each kind are printed. */
    add(kind: string, detail: string): void {
        const count = (this.#seen.get(kind) ?? 0) + 1;
        this.#seen.set(kind, count);
        if (count <= 5) {
            this.#print(`violation: ${kind}: ${detail}`);
        }
    }

    summary(): string {
        return [...this.#seen].map(([kind, count]) => `${kind}: ${count}`).join(", ");
    }
}
