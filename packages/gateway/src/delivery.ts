import type { CallerRequest } from "./types.ts";

/** What has been delivered to the caller of an event stream so far. */
export class StreamDelivery {
    /** Whether the caller has received the response head. */
    hasHead = false;
    /** Id of the last event that the caller has. */
    lastEventId: string | undefined;
    /** Time of the last event, or of the request before the first one; monotonic. */
    lastEventAtMs: number;
    longestGapMs = 0;
    readonly #receivedAtMs: number;
    #firstEventMs: number | undefined;

    constructor({ receivedAtMs, lastEventId }: CallerRequest) {
        this.#receivedAtMs = receivedAtMs;
        this.lastEventAtMs = receivedAtMs;
        this.lastEventId = lastEventId;
    }

    /** Time from the request to the first event; undefined before it. */
    get firstEventMs(): number | undefined {
        return this.#firstEventMs;
    }

    /** Whether the caller has events after which the stream can't be resumed. */
    get hasEventsWithoutId(): boolean {
        return this.#firstEventMs !== undefined && this.lastEventId === undefined;
    }

    /** Records that events have been delivered. */
    recordEvents(nowMs: number): void {
        if (this.#firstEventMs === undefined) {
            this.#firstEventMs = nowMs - this.#receivedAtMs;
        }
        else {
            this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastEventAtMs);
        }
        this.lastEventAtMs = nowMs;
    }
}
