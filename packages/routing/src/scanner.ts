const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** The end marker with its line ends is not longer than this. */
const MARKER_MAX_BYTES = 20;
const EVENT_MAX_BYTES = 1024 * 1024;
const MARKER = /^data: ?\[DONE\]\r?\n\r?\n$/;

/** Splits a stream of server-sent events at the ends of events, by scanning bytes. */
export class EventScanner {
    #partial: Buffer | undefined;
    /** Complete events of the last chunk, without the end marker; may be empty. */
    events: Buffer = Buffer.alloc(0);
    /** Number of events in `events`. */
    count = 0;
    /** Whether the end marker has arrived. */
    isEnd = false;

    /** Whether bytes of an event that is not complete are held back. */
    get hasPartial(): boolean {
        return this.#partial !== undefined;
    }

    /** Takes the next chunk. Returns false when an event is larger than 1 MiB. */
    push(received: Buffer): boolean {
        const chunk = this.#partial === undefined ? received : Buffer.concat([this.#partial, received]);
        const length = chunk.length;
        let isAfterLineFeed = false;
        let eventStart = 0;
        let count = 0;
        for (let index = 0; index < length; index += 1) {
            const byte = chunk[index] as number;
            if (byte > CARRIAGE_RETURN) {
                isAfterLineFeed = false;
                continue;
            }
            if (byte !== LINE_FEED) {
                isAfterLineFeed = isAfterLineFeed && byte === CARRIAGE_RETURN;
                continue;
            }
            if (!isAfterLineFeed) {
                isAfterLineFeed = true;
                continue;
            }
            isAfterLineFeed = false;
            const eventEnd = index + 1;
            if (eventEnd - eventStart <= MARKER_MAX_BYTES && isMarker(chunk, eventStart, eventEnd)) {
                this.isEnd = true;
                break;
            }
            eventStart = eventEnd;
            count += 1;
        }
        this.count = count;
        this.events = eventStart === length ? chunk : chunk.subarray(0, eventStart);
        this.#partial = eventStart === length || this.isEnd ? undefined : chunk.subarray(eventStart);
        return (this.#partial?.length ?? 0) <= EVENT_MAX_BYTES;
    }
}

const isMarker = (chunk: Buffer, start: number, end: number): boolean =>
    MARKER.test(chunk.toString("latin1", start, end));
