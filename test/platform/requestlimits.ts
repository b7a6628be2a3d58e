/** Time by which all daemons must heed a limit after the engine has first named it. */
export const LIMIT_CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_BURST = 5;

interface LimitedEngine {
    requestsPerS: number;
    namedAtMs: number;
    /** Arrivals since the limit is binding, within the last window. */
    arrivalTimesMs: number[];
    mostInWindow: number;
}

/** Checks that engines don't get more requests, summed over all daemons, than the limits that they name allow. */
export class LimitChecker {
    readonly #engines = new Map<string, LimitedEngine>();
    readonly #onViolation: (detail: string) => void;
    /** Whether daemons are excused at the moment, because one of them is being disrupted. */
    readonly #isExcused: () => boolean;

    constructor(onViolation: (detail: string) => void, isExcused: () => boolean = () => false) {
        this.#onViolation = onViolation;
        this.#isExcused = isExcused;
    }

    begin(engineId: string, requestsPerS: number): void {
        const engine = { requestsPerS, namedAtMs: Infinity, arrivalTimesMs: [], mostInWindow: 0 };
        this.#engines.set(engineId, engine);
    }

    end(engineId: string): void {
        this.#engines.delete(engineId);
    }

    /** Most arrivals at an engine within one window. */
    mostInWindow(engineId: string): number {
        return this.#engines.get(engineId)?.mostInWindow ?? 0;
    }

    recordArrival(engineId: string): void {
        const engine = this.#engines.get(engineId);
        const nowMs = performance.now();
        if (engine === undefined) {
            return;
        }
        // The answer to the first request is the first that names the limit.
        engine.namedAtMs = Math.min(engine.namedAtMs, nowMs);
        if (nowMs < engine.namedAtMs + LIMIT_CONTACT_MS) {
            return;
        }
        if (this.#isExcused()) {
            engine.arrivalTimesMs = [];
            return;
        }
        engine.arrivalTimesMs = [...engine.arrivalTimesMs.filter((atMs) => nowMs - atMs < WINDOW_MS), nowMs];
        const count = engine.arrivalTimesMs.length;
        engine.mostInWindow = Math.max(engine.mostInWindow, count);
        const allowed = TOLERATED_FACTOR * engine.requestsPerS * (WINDOW_MS / 1_000) + TOLERATED_BURST;
        if (count > allowed) {
            this.#onViolation(
                `${engineId} got ${count} requests in ${WINDOW_MS} ms and takes ${engine.requestsPerS} a second`,
            );
        }
    }
}
