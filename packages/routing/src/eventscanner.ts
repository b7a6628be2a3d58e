const EVENT_STREAM_TYPE = /^text\/event-stream\s*(;|$)/i;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
/** Maximum length of the end marker including its line ends. */
const MAX_END_MARKER_BYTES = 20;
const MAX_EVENT_BYTES = 1024 * 1024;
const END_MARKER = /^\s*data: ?\[DONE\]\r?\n\r?\n$/;

/** Whether response headers announce server-sent events. */
export const isEventStream = (headers: Record<string, string | string[] | undefined>): boolean =>
    EVENT_STREAM_TYPE.test(String(headers["content-type"] ?? ""));

/** Splits a byte stream of server-sent events into complete events. */
export class EventScanner {
    #partial: Buffer | undefined;
    /** Events completed by the last chunk, without the end marker; may be empty. */
    events: Buffer = Buffer.alloc(0);
    /** Number of events in `events`. */
    count = 0;
    /** Whether `events` contains more than comments, which don't show that a stream makes progress. */
    hasFields = false;
    /** Whether the end marker has arrived. */
    hasEndMarker = false;

    /** Whether bytes of an incomplete event are buffered. */
    get hasPartial(): boolean {
        return this.#partial !== undefined;
    }

    /** Scans the next chunk. Returns false if an event exceeds 1 MiB. */
    push(received: Buffer): boolean {
        const chunk = this.#partial === undefined ? received : Buffer.concat([this.#partial, received]);
        const length = chunk.length;
        let eventStart = 0;
        let lineStart = 0;
        let count = 0;
        let eventHasFields = false;
        this.hasFields = false;
        // `indexOf` is native: 0.11 µs for an event of 101 bytes, compared with 0.37 µs for a loop over the bytes.
        for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, lineStart)) {
            const isEmptyLine = at === lineStart
                || (at === lineStart + 1 && chunk[lineStart] === CARRIAGE_RETURN);
            eventHasFields ||= !isEmptyLine && chunk[lineStart] !== COLON;
            lineStart = at + 1;
            if (!isEmptyLine || eventStart === at) {
                continue;
            }
            if (lineStart - eventStart <= MAX_END_MARKER_BYTES && isEndMarker(chunk, eventStart, lineStart)) {
                this.hasEndMarker = true;
                break;
            }
            eventStart = lineStart;
            count += 1;
            this.hasFields ||= eventHasFields;
            eventHasFields = false;
        }
        this.count = count;
        this.events = eventStart === length ? chunk : chunk.subarray(0, eventStart);
        this.#partial = eventStart === length || this.hasEndMarker ? undefined : chunk.subarray(eventStart);
        return (this.#partial?.length ?? 0) <= MAX_EVENT_BYTES;
    }
}

const isEndMarker = (chunk: Buffer, start: number, end: number): boolean =>
    END_MARKER.test(chunk.toString("latin1", start, end));
