import { monotonicMs, PieceCounter } from "@greengage/base";
import { limitOf } from "./backendheaders.ts";
import { areChatEvents, type DeliveredEvents } from "./deliveredevents.ts";
import { EventScanner, isEventStream } from "./eventscanner.ts";
import { Exchange, type ExchangeOptions } from "./exchange.ts";
import { ExchangeError, FailureKind } from "./failures.ts";
import type { NamedLimit } from "./serverlimits.ts";
import type { StallDetector, WatchedStream } from "./stalldetector.ts";
import type { EventSink } from "./types.ts";

/** Timeouts of a stream. */
export interface StreamLimits {
    /** Maximum time to the first token. Default: 10000. */
    firstTokenMs: number;
    /** Maximum time between tokens. Default: 5000. */
    tokenGapMs: number;
    /** Maximum time between tokens while the group's controller has suspended the group. Default: 1000. */
    suspendedGapMs: number;
}

export const DEFAULT_STREAM_LIMITS: StreamLimits = {
    firstTokenMs: 10_000,
    tokenGapMs: 5_000,
    suspendedGapMs: 1_000,
};

export interface StreamAttemptOptions {
    exchange: Omit<ExchangeOptions, "onHead" | "onBody" | "onEnd" | "onFailure">;
    sink: EventSink;
    delivered: DeliveredEvents;
    /** Whether the caller has received a part of the stream from another attempt. */
    isResumption: boolean;
    stallDetector: StallDetector;
    limits: StreamLimits;
    /** Whether the group's controller has suspended the group. */
    isSuspended: () => boolean;
    /** Called with what the response says about the server's limit, and the time at which the attempt started. */
    onLimit: (limit: NamedLimit, startedAtMs: number) => void;
    /** Called before the first events are relayed to the caller. */
    onFirstEvents: () => void;
}

const statusKinds: Record<number, FailureKind> = {
    400: FailureKind.Rejected,
    404: FailureKind.Rejected,
    409: FailureKind.OtherGeneration,
    413: FailureKind.Rejected,
    422: FailureKind.Rejected,
};

/** One attempt at a generation request: relays the event stream of one backend server to the caller. */
export class StreamAttempt implements WatchedStream {
    readonly #options: StreamAttemptOptions;
    readonly #exchange: Exchange;
    readonly #scanner = new EventScanner();
    readonly #pieces = new PieceCounter();
    readonly #startedAtMs = monotonicMs();
    #callbacks: { resolve: () => void; reject: (error: ExchangeError) => void; } | undefined;
    #firstEventAtMs: number | undefined;
    #lastEventAtMs = this.#startedAtMs;
    #hasDelivered = false;
    #isPaused = false;
    #hasEndMarker = false;
    #eventCount = 0;
    dueAtMs: number;

    constructor(options: StreamAttemptOptions) {
        this.#options = options;
        this.dueAtMs = this.#startedAtMs + options.limits.firstTokenMs;
        this.#exchange = new Exchange({
            ...options.exchange,
            onHead: (status, headers) => this.#onHead(status, headers),
            onBody: (chunk) => this.#onBody(chunk),
            onEnd: () => this.#onEnd(),
            onFailure: (error) => this.#onFailure(error),
        });
    }

    /** Whether the response carries the id of the request. */
    get hasMatchingId(): boolean {
        return this.#exchange.hasMatchingId;
    }

    /** Whether the end marker has arrived and no incomplete event is buffered. */
    get isComplete(): boolean {
        return this.#hasEndMarker && !this.#scanner.hasPartial;
    }

    /** Time to the first event; undefined if none has arrived. */
    get firstTokenMs(): number | undefined {
        return this.#firstEventAtMs === undefined ? undefined : this.#firstEventAtMs - this.#startedAtMs;
    }

    /** Mean time between events; undefined with fewer than two events. */
    get tokenGapMs(): number | undefined {
        return this.#firstEventAtMs === undefined || this.#eventCount < 2
            ? undefined
            : (this.#lastEventAtMs - this.#firstEventAtMs) / (this.#eventCount - 1);
    }

    /** Resolves when the end marker has arrived. Rejects with an ExchangeError. */
    run(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#callbacks = { resolve, reject };
            this.#options.stallDetector.add(this);
            this.#exchange.start();
        });
    }

    abort(kind: FailureKind): void {
        this.#exchange.fail(kind, `the request was ended: ${kind}`);
    }

    onOverdue(nowMs: number): void {
        const { limits, isSuspended } = this.#options;
        const limitMs = this.#firstEventAtMs === undefined ? limits.firstTokenMs : limits.tokenGapMs;
        const silentMs = nowMs - this.#lastEventAtMs;
        if (silentMs >= limitMs || isSuspended()) {
            this.#exchange.fail(FailureKind.Stalled, `no token for ${Math.round(silentMs)} ms`);
            return;
        }
        this.dueAtMs = Math.min(this.#lastEventAtMs + limitMs, nowMs + limits.suspendedGapMs);
    }

    #onHead(status: number, headers: Record<string, string | string[] | undefined>): void {
        this.#options.onLimit(limitOf(status, headers), this.#startedAtMs);
        if (status !== 200) {
            const kind = statusKinds[status] ?? FailureKind.BadStatus;
            this.#exchange.fail(kind, `responded with status ${status}`);
        }
        else if (!isEventStream(headers)) {
            this.#exchange.fail(
                FailureKind.Broken,
                "responded with another content type than an event stream",
            );
        }
    }

    #onBody(chunk: Buffer): void {
        const scanner = this.#scanner;
        if (!this.#pieces.add(chunk.length)) {
            this.#exchange.fail(FailureKind.Broken, "sent too many small pieces");
            return;
        }
        if (!scanner.push(chunk)) {
            this.#exchange.fail(
                FailureKind.Broken,
                "sent an event that exceeds 1 MiB or the memory left for it",
            );
            return;
        }
        if (scanner.count > 0) {
            this.#deliver(scanner);
        }
        if (scanner.hasEndMarker) {
            this.#complete();
            this.#exchange.finish();
        }
    }

    #deliver({ events, count, hasFields }: EventScanner): void {
        if (this.#options.isResumption && hasFields && !areChatEvents(events)) {
            this.#exchange.fail(
                FailureKind.Broken,
                "continued the stream with an event that is no part of it",
            );
            return;
        }
        if (!this.#hasDelivered) {
            this.#hasDelivered = true;
            this.#options.onFirstEvents();
        }
        if (hasFields) {
            const nowMs = monotonicMs();
            this.#firstEventAtMs ??= nowMs;
            this.#lastEventAtMs = nowMs;
            this.#eventCount += count;
            this.dueAtMs = nowMs + this.#options.limits.suspendedGapMs;
        }
        this.#options.delivered.add(events);
        if (!this.#options.sink.write(events) && !this.#isPaused) {
            this.#pauseUntilDrained();
        }
    }

    /** Applies backpressure: pauses reading from the backend server, and the timeouts, until the caller has caught up. */
    #pauseUntilDrained(): void {
        this.#isPaused = true;
        this.dueAtMs = Infinity;
        this.#exchange.pause();
        void this.#options.sink.drained().then(() => {
            this.#isPaused = false;
            this.#lastEventAtMs = monotonicMs();
            this.dueAtMs = this.#lastEventAtMs + this.#options.limits.suspendedGapMs;
            this.#exchange.resume();
        });
    }

    #onEnd(): void {
        if (!this.#hasEndMarker) {
            this.#onFailure(
                new ExchangeError(
                    FailureKind.NoEndMarker,
                    `${this.#options.exchange.name}: the stream ended without its end marker`,
                    true,
                ),
            );
        }
    }

    #complete(): void {
        this.#hasEndMarker = true;
        this.#scanner.clear();
        this.#options.stallDetector.delete(this);
        this.#callbacks?.resolve();
    }

    #onFailure(error: ExchangeError): void {
        this.#scanner.clear();
        this.#options.stallDetector.delete(this);
        this.#callbacks?.reject(error);
    }
}
