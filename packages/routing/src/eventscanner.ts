import { ByteBuffer } from "@greengage/base";

const EVENT_STREAM_TYPE = /^text\/event-stream\s*(;|$)/i;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
/** Maximum length of the end marker including its line ends. */
const MAX_END_MARKER_BYTES = 20;
const MAX_EVENT_BYTES = 1024 * 1024;
/** Larger than any piece in which a connection delivers its bytes. */
const MAX_CHUNK_BYTES = 1024 * 1024;
const END_MARKER = /^\s*data: ?\[DONE\]\r?\n\r?\n$/;

/** Whether response headers announce server-sent events. */
export const isEventStream = (headers: Record<string, string | string[] | undefined>): boolean =>
    EVENT_STREAM_TYPE.test(String(headers["content-type"] ?? ""));

/** Splits a byte stream of server-sent events into complete events. */
export class EventScanner {
    /** The incomplete event at the end of the stream. */
    readonly #partial = new ByteBuffer(MAX_EVENT_BYTES + MAX_CHUNK_BYTES);
    /** Position in `#partial` of the line that is incomplete. */
    #partialLineStart = 0;
    /** Whether the incomplete event has a complete line that is no comment. */
    #partialHasFields = false;
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
        return this.#partial.length > 0;
    }

    /** Gives the memory of an incomplete event back. */
    clear(): void {
        this.#partial.clear();
    }

    /** Scans the next chunk. Returns false if an event exceeds 1 MiB, or the memory that the process has left for it. */
    push(received: Buffer): boolean {
        const scannedBytes = this.#partial.length;
        if (scannedBytes > 0 && this.#partial.append(received) !== undefined) {
            return false;
        }
        const chunk = scannedBytes > 0 ? this.#partial.bytes : received;
        const length = chunk.length;
        let eventStart = 0;
        let lineStart = this.#partialLineStart;
        let count = 0;
        let eventHasFields = this.#partialHasFields;
        this.hasFields = false;
        // `indexOf` is native: 0.11 µs for an event of 101 bytes, compared with 0.37 µs for a loop over the bytes.
        for (
            let at = chunk.indexOf(LINE_FEED, scannedBytes);
            at >= 0;
            at = chunk.indexOf(LINE_FEED, lineStart)
        ) {
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
        this.#partialLineStart = lineStart - eventStart;
        this.#partialHasFields = eventHasFields;
        return this.#keepPartial(chunk, this.hasEndMarker ? length : eventStart, scannedBytes > 0);
    }

    /** Keeps the bytes from `start` on as the incomplete event. Returns false if there is no room for them. */
    #keepPartial(chunk: Buffer, start: number, isBuffered: boolean): boolean {
        if (chunk.length - start > MAX_EVENT_BYTES) {
            return false;
        }
        if (isBuffered && start === 0) {
            return true;
        }
        this.#partial.clear();
        if (start === chunk.length) {
            this.#partialLineStart = 0;
            this.#partialHasFields = false;
            return true;
        }
        return this.#partial.append(chunk.subarray(start)) === undefined;
    }
}

const isEndMarker = (chunk: Buffer, start: number, end: number): boolean =>
    END_MARKER.test(chunk.toString("latin1", start, end));
