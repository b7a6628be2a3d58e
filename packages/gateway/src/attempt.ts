import { BufferRefusal, ByteBuffer, monotonicMs, PieceCounter } from "@greengage/base";
import { EventScanner, Exchange, type ExchangeError, FailureKind, isEventStream } from "@greengage/routing";
import type { Dispatcher } from "undici";
import { continueAfter, lastEventIdOf } from "./eventsequence.ts";
import type { ServerDialect, ServerHead, ServerRequest } from "./types.ts";

/** Opening a connection within a region takes milliseconds, unless the server is unreachable. */
const CONNECT_TIMEOUT_MS = 350;
/** Responses up to this size are buffered until they are complete, so that a broken one can be replaced by a retry. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Failures of an attempt that the crash of its server can cause. */
export const CRASH_FAILURES: ReadonlySet<FailureKind> = new Set([
    FailureKind.Broken,
    FailureKind.NoEndMarker,
    FailureKind.Stalled,
]);

/** How one exchange with a backend server ended. */
export type AttemptOutcome =
    /** The response is complete. */
    | { kind: "complete"; head: ServerHead; body: Buffer; isEmptyStream: boolean; }
    /** The server has not run the request and never will. */
    | {
        kind: "notRun";
        reason: string;
        head?: ServerHead;
        /** Whether this daemon decided just before the write that the request may not be sent. */
        isWithheld?: boolean;
    }
    /** The server may have run the request, at least partially. */
    | {
        kind: "failed";
        reason: string;
        failure: FailureKind;
        /** Whether the response may be the end of a stream that the caller has in full, if another group confirms it. */
        isUnconfirmedEnd?: boolean;
    };

export interface AttemptOptions {
    client: Dispatcher;
    dialect: ServerDialect;
    /** Name of the server or group in error messages. */
    name: string;
    serverRequest: ServerRequest;
    closesConnection: boolean;
    /**
     * Whether the response continues one that the caller has received in part, up to `serverRequest.lastEventId`. It is then
     * accepted as a success only if it is an event stream with status 200, all of whose events come after that one.
     */
    isResumption?: boolean;
    /** Called synchronously before the write. Nothing is written if it returns false. */
    mayWrite: () => boolean;
    /** Called with any response head, and the time at which the request was written. */
    onSignals: (head: ServerHead, sentAtMs: number) => void;
    /** Called with the response head, unless it says that the request was not run. */
    onHead: (head: ServerHead) => void;
    /**
     * Called with complete events of a successful response, and whether they contain more than comments. If absent, or for
     * an error status, the body is buffered.
     */
    onEvents?: (events: Buffer, hasFields: boolean) => void;
}

const bufferRefusals: Record<BufferRefusal, string> = {
    [BufferRefusal.TooLarge]: "the response is too large",
    [BufferRefusal.NoMemory]: "the response exceeds the memory left for it",
};

/** One attempt at a request: a single exchange with one backend server. */
export class Attempt {
    readonly #options: AttemptOptions;
    readonly #exchange: Exchange;
    readonly #scanner = new EventScanner();
    readonly #outcome: Promise<AttemptOutcome>;
    #resolve: (outcome: AttemptOutcome) => void = () => undefined;
    #head: ServerHead | undefined;
    #hasEventContent = false;
    #hasEvents = false;
    readonly #body = new ByteBuffer(MAX_BUFFERED_BYTES);
    readonly #pieces = new PieceCounter();
    #sentAtMs = Infinity;
    /** Id of the last event that the caller has; undefined if the response resumes no other one. */
    #lastEventId: string | undefined;
    #connectTimer: NodeJS.Timeout | undefined;

    constructor(options: AttemptOptions) {
        this.#options = options;
        const { client, dialect, name, serverRequest, closesConnection, isResumption } = options;
        this.#lastEventId = isResumption ? serverRequest.lastEventId : undefined;
        const { request } = serverRequest;
        this.#outcome = new Promise((resolve) => {
            this.#resolve = resolve;
        });
        this.#exchange = new Exchange({
            client,
            name,
            method: request.method,
            path: request.target,
            headers: dialect.encode(serverRequest),
            body: request.body,
            requestId: request.requestId,
            requestIdHeader: dialect.requestIdHeader,
            closesConnection,
            mayWrite: () => this.#onWrite(),
            onHead: (status, headers) => this.#onHead(status, headers),
            onBody: (chunk) => this.#onBody(chunk),
            onEnd: () => this.#onEnd(),
            onFailure: (error) => this.#onFailure(error),
        });
    }

    run(): Promise<AttemptOutcome> {
        this.#connectTimer = setTimeout(
            () => this.fail(FailureKind.Unreachable, `connection timed out after ${CONNECT_TIMEOUT_MS} ms`),
            CONNECT_TIMEOUT_MS,
        );
        this.#exchange.start();
        return this.#outcome;
    }

    /** Ends the exchange and closes its connection. */
    fail(kind: FailureKind, reason: string): void {
        this.#exchange.fail(kind, reason);
    }

    /** Whether a byte of the request may have reached the server. */
    get hasWritten(): boolean {
        return this.#exchange.hasWritten;
    }

    pause(): void {
        this.#exchange.pause();
    }

    resume(): void {
        this.#exchange.resume();
    }

    #onWrite(): boolean {
        clearTimeout(this.#connectTimer);
        this.#sentAtMs = monotonicMs();
        return this.#options.mayWrite();
    }

    #onHead(status: number, headers: Record<string, string | string[] | undefined>): void {
        const head = this.#options.dialect.decode(status, headers);
        this.#options.onSignals(head, this.#sentAtMs);
        if (head.status < 300 && !head.hasSignature) {
            this.fail(FailureKind.BadStatus, "the response carries no signature of the server");
            return;
        }
        if (head.isNotRun) {
            // The head alone guarantees that the request was not run; its body may be slow or never end.
            const reason =
                `${this.#options.name} responded with status ${status} and did not run the request`;
            this.#settle({ kind: "notRun", reason, head });
            this.#exchange.discard();
            return;
        }
        this.#hasEventContent = status < 300 && isEventStream(headers);
        if (this.#options.isResumption && status < 300 && (status !== 200 || !this.#hasEventContent)) {
            this.fail(
                FailureKind.BadStatus,
                `status ${status} or content type doesn't continue an event stream`,
            );
            return;
        }
        this.#head = head;
        this.#options.onHead(head);
    }

    #onBody(chunk: Buffer): void {
        if (!this.#pieces.add(chunk.length)) {
            this.fail(FailureKind.Broken, "the response comes in too many small pieces");
            return;
        }
        if (this.#isEventStream()) {
            if (!this.#scanner.push(chunk)) {
                this.fail(FailureKind.Broken, "an event exceeds 1 MiB or the memory left for it");
                return;
            }
            if (this.#scanner.count > 0) {
                this.#passEvents();
            }
            return;
        }
        const refusal = this.#body.append(chunk);
        if (refusal !== undefined) {
            this.fail(FailureKind.Broken, bufferRefusals[refusal]);
        }
    }

    #passEvents(): void {
        const { events, hasFields } = this.#scanner;
        if (this.#lastEventId !== undefined) {
            if (!continueAfter(this.#lastEventId, events)) {
                this.fail(FailureKind.Broken, `an event doesn't come after event ${this.#lastEventId}`);
                return;
            }
            this.#lastEventId = lastEventIdOf(events) ?? this.#lastEventId;
        }
        this.#hasEvents ||= hasFields;
        this.#options.onEvents?.(events, hasFields);
    }

    #isEventStream(): boolean {
        const head = this.#head;
        return this.#options.onEvents !== undefined && head !== undefined && head.status < 300;
    }

    #onEnd(): void {
        const head = this.#head;
        if (head === undefined) {
            this.#settle({ kind: "failed", reason: "the response has no head", failure: FailureKind.Broken });
            return;
        }
        const body = this.#body.bytes;
        // The buffered event stream of a plain service is only checked for completeness.
        if (this.#hasEventContent && !this.#isEventStream()) {
            this.#scanner.push(body);
        }
        if (this.#scanner.hasPartial) {
            this.#settle({
                kind: "failed",
                reason: "the stream ended with an incomplete event",
                failure: FailureKind.NoEndMarker,
            });
            return;
        }
        const isEmptyStream = this.#hasEventContent && this.#isEventStream() && !this.#hasEvents;
        this.#settle({ kind: "complete", head, body, isEmptyStream });
    }

    #onFailure(error: ExchangeError): void {
        if (!this.#exchange.hasWritten) {
            const isWithheld = error.kind === FailureKind.NotAllowed;
            this.#settle({ kind: "notRun", reason: error.message, isWithheld });
            return;
        }
        this.#settle({ kind: "failed", reason: error.message, failure: error.kind });
    }

    #settle(outcome: AttemptOutcome): void {
        clearTimeout(this.#connectTimer);
        this.#body.clear();
        this.#scanner.clear();
        this.#resolve(outcome);
    }
}

/** Remaining time in whole milliseconds to send to a backend server, at least 1. */
export const wholeMsUntil = (deadlineAtMs: number): number =>
    Math.max(1, Math.floor(deadlineAtMs - monotonicMs()));
