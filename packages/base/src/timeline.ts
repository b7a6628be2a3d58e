/** Timestamp of a hybrid logical clock: orders a cause before its effect across processes. */
export interface HlcTimestamp {
    /** Wall clock milliseconds, never below an earlier timestamp that this process has seen. */
    wallMs: number;
    /** Orders timestamps with equal `wallMs`. */
    counter: number;
}

/** One event of the time line. */
export interface TimelineEvent {
    at: HlcTimestamp;
    daemonId: string;
    part: string;
    /** Kind of event, for example `group.suspended`. */
    kind: string;
    details: Record<string, string | number | boolean | undefined>;
}

export interface TimelineOptions {
    daemonId: string;
    /** Events kept; the oldest are dropped. Default: 10000. */
    capacity?: number;
    /** Wall clock. Default: `Date.now`. */
    nowMs?: () => number;
}

/** Records the events of one process, with timestamps of a hybrid logical clock. */
export class Timeline {
    readonly #daemonId: string;
    readonly #capacity: number;
    readonly #nowMs: () => number;
    #events: TimelineEvent[] = [];
    #last: HlcTimestamp = { wallMs: 0, counter: 0 };

    constructor(options: TimelineOptions) {
        this.#daemonId = options.daemonId;
        this.#capacity = options.capacity ?? 10_000;
        this.#nowMs = options.nowMs ?? Date.now;
    }

    record(part: string, kind: string, details: TimelineEvent["details"] = {}): void {
        this.#events.push({ at: this.tick(), daemonId: this.#daemonId, part, kind, details });
        if (this.#events.length > this.#capacity * 1.1) {
            this.#events = this.#events.slice(-this.#capacity);
        }
    }

    /** Timestamp for a local event or a message that is sent. */
    tick(): HlcTimestamp {
        const wallMs = Math.max(this.#nowMs(), this.#last.wallMs);
        const counter = wallMs === this.#last.wallMs ? this.#last.counter + 1 : 0;
        this.#last = { wallMs, counter };
        return this.#last;
    }

    /** Takes in the timestamp of a received message. */
    observe(remote: HlcTimestamp): void {
        if (compareTimestamps(remote, this.#last) > 0) {
            this.#last = remote;
        }
    }

    /** Events in order, the newest `limit` of them. */
    events(limit = this.#capacity): TimelineEvent[] {
        return this.#events.slice(-limit);
    }
}

/** Negative when `a` is before `b`, positive when it is after. */
export const compareTimestamps = (a: HlcTimestamp, b: HlcTimestamp): number =>
    a.wallMs === b.wallMs ? a.counter - b.counter : a.wallMs - b.wallMs;

/** Merges the time lines of several processes into one, cause before effect. */
export const mergeTimelines = (lines: readonly TimelineEvent[][]): TimelineEvent[] =>
    lines.flat().sort((a, b) => compareTimestamps(a.at, b.at) || a.daemonId.localeCompare(b.daemonId));
