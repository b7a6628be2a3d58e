import { monotonicMs } from "./clock.ts";
import type { LogWriter } from "./logwriter.ts";

const WINDOW_MS = 1_000;
/** Lines of one event in a second. A daemon's share of the usual load stays below it; a flood is summed up. */
const MAX_LINES_PER_WINDOW = 200;

export type DecisionFields = Record<string, string | number | boolean | undefined | readonly string[]>;

/** Takes the decisions of one process. */
export interface Decisions {
    /** Records one decision. `event` is a fixed name, for example `request.rejected`. */
    record(event: string, fields: DecisionFields): void;
}

/** Discards every decision; for tests of single parts. */
export const silentDecisions: Decisions = { record: () => undefined };

export interface DecisionLogOptions {
    writer: LogWriter;
    daemonId: string;
    zone: string;
    /** Wall clock. Default: `Date.now`. */
    nowMs?: () => number;
    /** Lines of one event in a second. Default: 200. */
    maxLinesPerWindow?: number;
}

/**
 * Structured log of decisions: one JSON line for each, with the event's name, the inputs that decided it and the
 * outcome. Lines of one event beyond the limit of a second are replaced by their count.
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
