import { monotonicMs, type Random } from "@greengage/base";
import type { Violations } from "@greengage/bench";

/** Time by which daemons that are not disrupted know what one of them has learned. */
export const CONTACT_MS = 3_000;
/** Crashes after which requests with a part must not reach engines any more. */
const TOLERATED_CRASHES = 5;
/** Requests that may reach engines after that. */
const TOLERATED_ARRIVALS = 3;
/** Share of the streams that have a deadly part while there is one. */
const DEADLY_SHARE = 0.04;

/** What the engines have seen of a deadly part. */
interface PartHistory {
    crashCount: number;
    /** Time of the crash that used up the tolerance. */
    provenAtMs: number;
    lateArrivalCount: number;
}

/** Prompt parts that crash engines, and the check that requests with a proven one stop reaching engines. */
export class DeadlyParts {
    readonly #random: Random;
    readonly #violations: Violations;
    /** Whether no daemon has been disrupted within `CONTACT_MS`. */
    readonly #isCalm: () => boolean;
    readonly #histories = new Map<string, PartHistory>();
    readonly parts = new Set<string>();
    #currentPart: string | undefined;

    constructor(random: Random, violations: Violations, isCalm: () => boolean) {
        this.#random = random;
        this.#violations = violations;
        this.#isCalm = isCalm;
    }

    /** Starts sending a new deadly part. Returns the function that ends it. */
    begin(): () => void {
        const part = `dead${String(this.parts.size).padStart(4, "0")}`;
        this.parts.add(part);
        this.#currentPart = part;
        return () => {
            this.#currentPart = this.#currentPart === part ? undefined : this.#currentPart;
        };
    }

    /** Returns the deadly part for the next stream, if it is to have one. */
    draw(): string | undefined {
        return this.#currentPart !== undefined && this.#random.nextFloat() < DEADLY_SHARE
            ? this.#currentPart
            : undefined;
    }

    recordCrash(part: string | undefined): void {
        if (part === undefined) {
            return;
        }
        const history = this.#historyOf(part);
        history.crashCount += 1;
        if (history.crashCount === TOLERATED_CRASHES) {
            history.provenAtMs = monotonicMs();
        }
    }

    recordArrival(engineId: string, parts: string[]): void {
        const nowMs = monotonicMs();
        for (const part of parts.filter((id) => this.parts.has(id))) {
            const history = this.#historyOf(part);
            if (nowMs <= history.provenAtMs + CONTACT_MS || !this.#isCalm()) {
                continue;
            }
            history.lateArrivalCount += 1;
            if (history.lateArrivalCount > TOLERATED_ARRIVALS) {
                this.#violations.add(
                    "BUDGET",
                    `${engineId} receives ${part} after it has crashed ${history.crashCount} engines`,
                );
            }
        }
    }

    #historyOf(part: string): PartHistory {
        const history = this.#histories.get(part)
            ?? { crashCount: 0, provenAtMs: Infinity, lateArrivalCount: 0 };
        this.#histories.set(part, history);
        return history;
    }
}
