import { monotonicMs } from "@greengage/base";
import { EventScanner, Exchange, type ExchangeError, FailureKind } from "@greengage/routing";
import type { Dispatcher } from "undici";
import type { ServerDialect, ServerHead, ServerRequest } from "./types.ts";

/** Time for a connection to open. Within a region it takes milliseconds, or never when the server is dark. */
const CONNECT_LIMIT_MS = 350;
/** Answers up to this size are held until they are complete, so that a broken one can be replaced. */
const HELD_BYTES = 1024 * 1024;

/** How one exchange with a backend server ended. */
export type AttemptOutcome =
    /** The answer is complete. */
    | { kind: "complete"; head: ServerHead; body: Buffer; }
    /** The server has not run the request, and never will. */
    | { kind: "notRun"; reason: string; head?: ServerHead; }
    /** The server may have run the request, or part of it. */
    | { kind: "failed"; reason: string; failure: FailureKind; };

export interface AttemptOptions {
    client: Dispatcher;
    dialect: ServerDialect;
    /** Name for messages. */
    name: string;
    serverRequest: ServerRequest;
    closesConnection: boolean;
    /** Asked in the same step as the write. */
    mayWrite: () => boolean;
    /** Called with each head that says that the request runs or has run. */
    onHead: (head: ServerHead) => void;
    /** Takes whole events of a stream. Without it, or when the answer is no stream, the body is held. */
    onEvents?: (events: Buffer) => void;
}

/** One exchange with one backend server. */
export class Attempt {
    readonly #options: AttemptOptions;
    readonly #exchange: Exchange;
    readonly #scanner = new EventScanner();
    readonly #outcome: Promise<AttemptOutcome>;
    #resolve: (outcome: AttemptOutcome) => void = () => undefined;
    #head: ServerHead | undefined;
    #chunks: Buffer[] = [];
    #heldBytes = 0;
    #connectTimer: NodeJS.Timeout | undefined;

    constructor(options: AttemptOptions) {
        this.#options = options;
        const { client, dialect, name, serverRequest, closesConnection } = options;
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
            () => this.fail(FailureKind.Unreachable, `no connection within ${CONNECT_LIMIT_MS} ms`),
            CONNECT_LIMIT_MS,
        );
        this.#exchange.start();
        return this.#outcome;
    }

    /** Ends the exchange and its connection. */
    fail(kind: FailureKind, reason: string): void {
        this.#exchange.fail(kind, reason);
    }

    pause(): void {
        this.#exchange.pause();
    }

    resume(): void {
        this.#exchange.resume();
    }

    #onWrite(): boolean {
        clearTimeout(this.#connectTimer);
        return this.#options.mayWrite();
    }

    #onHead(status: number, headers: Record<string, string | string[] | undefined>): void {
        const head = this.#options.dialect.decode(status, headers);
        if (head.status < 300 && !head.hasSignature) {
            this.fail(FailureKind.BadStatus, "the answer is not signed by the server");
            return;
        }
        this.#head = head;
        if (!head.isNotRun) {
            this.#options.onHead(head);
        }
    }

    #onBody(chunk: Buffer): void {
        if (this.#isEventStream()) {
            if (!this.#scanner.push(chunk)) {
                this.fail(FailureKind.Broken, "an event is too large");
                return;
            }
            if (this.#scanner.count > 0) {
                this.#options.onEvents?.(this.#scanner.events);
            }
            return;
        }
        this.#chunks.push(chunk);
        this.#heldBytes += chunk.length;
        if (this.#heldBytes > HELD_BYTES) {
            this.fail(FailureKind.Broken, "the answer is too large");
        }
    }

    #isEventStream(): boolean {
        const head = this.#head;
        return this.#options.onEvents !== undefined && head !== undefined && head.status < 300
            && !head.isNotRun;
    }

    #onEnd(): void {
        const head = this.#head;
        if (head === undefined) {
            this.#settle({ kind: "failed", reason: "no answer", failure: FailureKind.Broken });
            return;
        }
        if (head.isNotRun) {
            const reason = `${this.#options.name} answered ${head.status}, not run`;
            this.#settle({ kind: "notRun", reason, head });
            return;
        }
        if (this.#isEventStream() && this.#scanner.hasPartial) {
            this.#settle({
                kind: "failed",
                reason: "the stream ended inside an event",
                failure: FailureKind.NoEndMarker,
            });
            return;
        }
        this.#settle({ kind: "complete", head, body: Buffer.concat(this.#chunks) });
    }

    #onFailure(error: ExchangeError): void {
        if (!this.#exchange.hasWritten) {
            this.#settle({ kind: "notRun", reason: error.message });
            return;
        }
        // An answer that says "not run" may lose its last bytes; its head is a promise already.
        if (this.#head?.isNotRun) {
            const reason = `${this.#options.name} answered ${this.#head.status}, not run`;
            this.#settle({ kind: "notRun", reason, head: this.#head });
            return;
        }
        this.#settle({ kind: "failed", reason: error.message, failure: error.kind });
    }

    #settle(outcome: AttemptOutcome): void {
        clearTimeout(this.#connectTimer);
        this.#resolve(outcome);
    }
}

/** Time left in whole milliseconds for a backend server; never below 1. */
export const leftMs = (deadlineAtMs: number): number => Math.max(1, Math.floor(deadlineAtMs - monotonicMs()));
