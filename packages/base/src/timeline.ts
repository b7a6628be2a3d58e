/** Hybrid logical clock timestamp. Orders a cause before its effect, also across processes. */
export interface HlcTimestamp {
    /** Wall clock time, but never less than that of an earlier timestamp that this process has issued or observed. */
    wallMs: number;
    /** Orders timestamps with the same `wallMs`. */
    counter: number;
}

/** One event of the timeline. */
export interface TimelineEvent {
    at: HlcTimestamp;
    daemonId: string;
    part: string;
    /** Kind of event, for example `group.suspected`. */
    kind: string;
    details: Record<string, string | number | boolean | undefined>;
}

export interface TimelineOptions {
    daemonId: string;
    /** Number of events to keep; older ones are dropped. Default: 10000. */
    capacity?: number;
    /** Wall clock. Default: `Date.now`. */
    nowMs?: () => number;
}

/** Records the events of one process with hybrid logical clock timestamps. */
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

    /** Advances the clock and returns the timestamp of a local event or an outgoing message. */
    tick(): HlcTimestamp {
        const wallMs = Math.max(this.#nowMs(), this.#last.wallMs);
        const counter = wallMs === this.#last.wallMs ? this.#last.counter + 1 : 0;
        this.#last = { wallMs, counter };
        return this.#last;
    }

    /** Advances the clock to the timestamp of a received message if that is later. */
    observe(remote: HlcTimestamp): void {
        if (!Number.isSafeInteger(remote.wallMs) || !Number.isSafeInteger(remote.counter)) {
            throw new RangeError("a timestamp is not made of safe integers");
        }
        if (compareTimestamps(remote, this.#last) > 0) {
            this.#last = remote;
        }
    }

    /** The newest `limit` events, oldest first. */
    events(limit = this.#capacity): TimelineEvent[] {
        return this.#events.slice(-limit);
    }
}

/** Negative when `a` is before `b`, positive when it is after. */
export const compareTimestamps = (a: HlcTimestamp, b: HlcTimestamp): number =>
    a.wallMs === b.wallMs ? a.counter - b.counter : a.wallMs - b.wallMs;

/** Merges the timelines of several processes into one that lists each cause before its effect. */
export const mergeTimelines = (timelines: readonly TimelineEvent[][]): TimelineEvent[] =>
    timelines.flat().sort((a, b) => compareTimestamps(a.at, b.at) || a.daemonId.localeCompare(b.daemonId));
