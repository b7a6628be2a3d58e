import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Timeline } from "./timeline.ts";

/** Safety guarantees, numbered as in section 1.2 of docs/design.md. */
export const Invariant = {
    WholeGroupServes: "P1-whole-group-serves",
    OneGroupPerVm: "P2-one-group-per-vm",
    OwnWholeAnswer: "P3-own-whole-answer",
    NotRunIsTrue: "P4-not-run-is-true",
    ActionAtMostOnce: "P5-action-at-most-once",
    LeavingGetsNoWork: "P6-leaving-gets-no-work",
    ShutdownCutsNothing: "P7-shutdown-cuts-nothing",
    TableNeverReverts: "P8-table-never-reverts",
} as const;

export type Invariant = typeof Invariant[keyof typeof Invariant];

export interface InvariantCounts {
    checked: number;
    violated: number;
}

export interface InvariantsOptions {
    log: Log;
    metrics: Metrics;
    timeline: Timeline;
}

/** Checks invariants at run time and counts checks and violations. */
export class Invariants {
    readonly #options: InvariantsOptions;
    readonly #counts = new Map<Invariant, InvariantCounts>();

    constructor(options: InvariantsOptions) {
        this.#options = options;
    }

    /**
     * Counts a check of `invariant`. A violation is logged and recorded in metrics and timeline but doesn't throw.
     * `describe` is called for violations only.
     */
    check(invariant: Invariant, holds: boolean, describe: () => string): void {
        const counts = this.#counts.get(invariant) ?? { checked: 0, violated: 0 };
        this.#counts.set(invariant, counts);
        counts.checked += 1;
        if (holds) {
            return;
        }
        counts.violated += 1;
        const description = describe();
        this.#options.log.error(`${invariant} is violated: ${description}`);
        this.#options.metrics.count("invariant.violated", 1, { invariant });
        this.#options.timeline.record("invariant", "invariant.violated", { invariant, description });
    }

    counts(): Partial<Record<Invariant, InvariantCounts>> {
        return Object.fromEntries(this.#counts);
    }

    get violationCount(): number {
        return [...this.#counts.values()].reduce((sum, counts) => sum + counts.violated, 0);
    }
}
