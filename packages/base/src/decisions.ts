import { monotonicMs } from "./clock.ts";
import type { LogWriter } from "./logwriter.ts";

const WINDOW_MS = 1_000;
/** Limit of lines per event and second. Normal load of a daemon stays below it; excess lines are only counted. */
const MAX_LINES_PER_WINDOW = 200;

export type DecisionFields = Record<string, string | number | boolean | undefined | readonly string[]>;

/** Sink for the decisions of one process. */
export interface Decisions {
    /** Records one decision. `event` is a fixed name, for example `request.rejected`. */
    record(event: string, fields: DecisionFields): void;
}

/** Discards every decision; for tests of single components. */
export const silentDecisions: Decisions = { record: () => undefined };

export interface DecisionLogOptions {
    writer: LogWriter;
    daemonId: string;
    zone: string;
    /** Wall clock. Default: `Date.now`. */
    nowMs?: () => number;
    /** Limit of lines per event and second. Default: 200. */
    maxLinesPerWindow?: number;
}

/**
 * Structured log of decisions: one JSON line each with the event's name, the inputs of the decision and its outcome.
 * Lines of one event beyond the limit per second are dropped and reported as a count in a `log.sampled` line.
 */
export class DecisionLog implements Decisions {
    readonly #options: DecisionLogOptions;
    readonly #counts = new Map<string, number>();
    #windowStartMs = -Infinity;

    constructor(options: DecisionLogOptions) {
        this.#options = options;
    }

    record(event: string, fields: DecisionFields): void {
        this.#startWindow();
        const count = (this.#counts.get(event) ?? 0) + 1;
        this.#counts.set(event, count);
        if (count <= (this.#options.maxLinesPerWindow ?? MAX_LINES_PER_WINDOW)) {
            this.#write(event, fields);
        }
    }

    #startWindow(): void {
        const nowMs = monotonicMs();
        if (nowMs - this.#windowStartMs < WINDOW_MS) {
            return;
        }
        this.#windowStartMs = nowMs;
        const limit = this.#options.maxLinesPerWindow ?? MAX_LINES_PER_WINDOW;
        for (const [event, count] of this.#counts) {
            if (count > limit) {
                this.#write("log.sampled", { of: event, lines: count - limit });
            }
        }
        this.#counts.clear();
    }

    #write(event: string, fields: DecisionFields): void {
        const { writer, daemonId, zone } = this.#options;
        const at = new Date(this.#options.nowMs?.() ?? Date.now()).toISOString();
        writer.add(JSON.stringify({ at, daemon: daemonId, zone, event, ...fields }));
    }
}
