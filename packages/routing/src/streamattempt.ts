import { monotonicMs } from "@greengage/base";
import type { DeliveredEvents } from "./deliveredevents.ts";
import { EventScanner } from "./eventscanner.ts";
import { Exchange, type ExchangeOptions } from "./exchange.ts";
import { ExchangeError, FailureKind } from "./failures.ts";
import type { StallWatch, Watched } from "./stalldetector.ts";
import type { EventSink } from "./types.ts";

/** Time limits of a stream. */
export interface StreamLimits {
    /** Until the first token. Default: 10000. */
    firstTokenMs: number;
    /** Between tokens. Default: 5000. */
    tokenGapMs: number;
    /** Between tokens, when the group's controller says that it does not serve any more. Default: 1000. */
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
    watch: StallWatch;
    limits: StreamLimits;
    /** Whether the group's controller has suspended the group. */
    isSuspended: () => boolean;
    /** Called before the first events go to the caller. */
    onFirstEvents: () => void;
}

const statusKinds: Record<number, FailureKind> = {
    400: FailureKind.Rejected,
    404: FailureKind.Rejected,
    409: FailureKind.OtherGeneration,
    413: FailureKind.Rejected,
    422: FailureKind.Rejected,
};

/** One attempt to generate an answer: relays the events of one backend server's stream to the caller. */
export class StreamAttempt implements Watched {
    readonly #options: StreamAttemptOptions;
    readonly #exchange: Exchange;
    readonly #scanner = new EventScanner();
    readonly #startedAtMs = monotonicMs();
    #settle: { resolve: () => void; reject: (error: ExchangeError) => void; } | undefined;
    #firstAtMs: number | undefined;
    #lastAtMs = this.#startedAtMs;
    #isPaused = false;
    #isDone = false;
    #eventCount = 0;
    dueAtMs: number;

    constructor(options: StreamAttemptOptions) {
        this.#options = options;
        this.dueAtMs = this.#startedAtMs + options.limits.firstTokenMs;
        this.#exchange = new Exchange({
            ...options.exchange,
            onHead: (status) => this.#head(status),
            onBody: (chunk) => this.#body(chunk),
            onEnd: () => this.#end(),
            onFailure: (error) => this.#fail(error),
        });
    }

    /** Whether the response belongs to the request. */
    get hasOwnId(): boolean {
        return this.#exchange.hasOwnId;
    }

    /** Whether the end marker has arrived and no part of an event is left over. */
    get isWhole(): boolean {
        return this.#isDone && !this.#scanner.hasPartial;
    }

    /** Time to the first event, if one arrived. */
    get firstTokenMs(): number | undefined {
        return this.#firstAtMs === undefined ? undefined : this.#firstAtMs - this.#startedAtMs;
    }

    /** Mean time between events, if there were two or more. */
    get tokenGapMs(): number | undefined {
        return this.#firstAtMs === undefined || this.#eventCount < 2
            ? undefined
            : (this.#lastAtMs - this.#firstAtMs) / (this.#eventCount - 1);
    }

    /** Resolves when the end marker has arrived. Rejects with an ExchangeError. */
    run(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#settle = { resolve, reject };
            this.#options.watch.add(this);
            this.#exchange.start();
        });
    }

    abort(kind: FailureKind): void {
        this.#exchange.fail(kind, `the request ended: ${kind}`);
    }

    onOverdue(nowMs: number): void {
        const { limits, isSuspended } = this.#options;
        const limitMs = this.#firstAtMs === undefined ? limits.firstTokenMs : limits.tokenGapMs;
        const silentMs = nowMs - this.#lastAtMs;
        if (silentMs >= limitMs || isSuspended()) {
            this.#exchange.fail(FailureKind.Stalled, `no token for ${Math.round(silentMs)} ms`);
            return;
        }
        this.dueAtMs = Math.min(this.#lastAtMs + limitMs, nowMs + limits.suspendedGapMs);
    }

    #head(status: number): void {
        if (status !== 200) {
            const kind = statusKinds[status] ?? FailureKind.BadStatus;
            this.#exchange.fail(kind, `answered with status ${status}`);
        }
    }

    #body(chunk: Buffer): void {
        const scanner = this.#scanner;
        if (!scanner.push(chunk)) {
            this.#exchange.fail(FailureKind.Broken, "sent an event that is too large");
            return;
        }
        if (scanner.count > 0) {
            this.#deliver(scanner.events, scanner.count);
        }
        if (scanner.isEnd) {
            this.#done();
            this.#exchange.finish();
        }
    }

    #deliver(events: Buffer, count: number): void {
        const nowMs = monotonicMs();
        if (this.#firstAtMs === undefined) {
            this.#firstAtMs = nowMs;
            this.#options.onFirstEvents();
        }
        this.#lastAtMs = nowMs;
        this.#eventCount += count;
        this.#options.delivered.add(events);
        this.dueAtMs = nowMs + this.#options.limits.suspendedGapMs;
        if (!this.#options.sink.write(events) && !this.#isPaused) {
            this.#waitForCaller();
        }
    }

    /** A caller that reads slowly stops the reading from the backend server, and the time limits. */
    #waitForCaller(): void {
        this.#isPaused = true;
        this.dueAtMs = Infinity;
        this.#exchange.pause();
        void this.#options.sink.drained().then(() => {
            this.#isPaused = false;
            this.#lastAtMs = monotonicMs();
            this.dueAtMs = this.#lastAtMs + this.#options.limits.suspendedGapMs;
            this.#exchange.resume();
        });
    }

    #end(): void {
        if (!this.#isDone) {
            this.#fail(
                new ExchangeError(
                    FailureKind.NoEndMarker,
                    `${this.#options.exchange.name}: the stream ended without its end marker`,
                    true,
                ),
            );
        }
    }

    #done(): void {
        this.#isDone = true;
        this.#options.watch.delete(this);
        this.#settle?.resolve();
    }

    #fail(error: ExchangeError): void {
        this.#options.watch.delete(this);
        this.#settle?.reject(error);
    }
}
