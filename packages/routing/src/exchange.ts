import type { Dispatcher as HttpDispatcher } from "undici";
import { ExchangeError, FailureKind } from "./failures.ts";

/** Time for a response to end after its content is complete; after that the connection is destroyed. */
const RESPONSE_END_TIMEOUT_MS = 1_000;
/** A server that sends more informational responses than this before its response is treated as broken. */
const MAX_INFORMATIONAL_RESPONSES = 100;

export interface ExchangeOptions {
    /** Pool or client that runs one exchange at a time on each connection (no pipelining). */
    client: HttpDispatcher;
    /** Name of the backend server in error messages. */
    name: string;
    method: string;
    path: string;
    headers: Record<string, string>;
    body: string | Uint8Array | undefined;
    requestId: string;
    /** Header that carries the request id in both directions, in lower case. Default: `x-request-id`. */
    requestIdHeader?: string;
    /** Whether the connection is closed after the response. Default: false. */
    closesConnection?: boolean;
    /** Called synchronously before the write. Nothing is written if it returns false. */
    mayWrite: () => boolean;
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onBody: (chunk: Buffer) => void;
    onEnd: () => void;
    /** Called at most once, and not after `onEnd`. */
    onFailure: (error: ExchangeError) => void;
}

/** Whether undici decodes a transfer coding. It passes on the encoded bytes of any other. */
const isDecoded = (coding: string | string[] | undefined): boolean =>
    coding === undefined || String(coding).trim().toLowerCase() === "chunked";

/**
 * One HTTP request and its response, with the connection used exclusively for its duration. Checks the request id of the
 * response. A failed or aborted exchange destroys its connection, so that a late response can't reach another request.
 */
export class Exchange implements HttpDispatcher.DispatchHandler {
    readonly #options: ExchangeOptions;
    #controller: HttpDispatcher.DispatchController | undefined;
    #hasWritten = false;
    #hasEnded = false;
    #hasMatchingId = false;
    #informationalCount = 0;
    #endTimer: NodeJS.Timeout | undefined;

    constructor(options: ExchangeOptions) {
        this.#options = options;
    }

    get #idHeader(): string {
        return this.#options.requestIdHeader ?? "x-request-id";
    }

    /** Whether a byte of the request may have reached the backend server. */
    get hasWritten(): boolean {
        return this.#hasWritten;
    }

    /** Whether the response carries the id of the request. */
    get hasMatchingId(): boolean {
        return this.#hasMatchingId;
    }

    start(): void {
        const { client, method, path, headers, body, requestId, closesConnection } = this.#options;
        const options = {
            method: method as HttpDispatcher.HttpMethod,
            path,
            headers: { ...headers, [this.#idHeader]: requestId },
            body: body === undefined || body.length === 0 ? undefined : body,
            ...(closesConnection ? { reset: true } : {}),
            // The owner of the exchange enforces timeouts; undici's own would end a stream paused for a slow caller.
            headersTimeout: 0,
            bodyTimeout: 0,
        };
        try {
            client.dispatch(options, this);
        }
        catch (error) {
            this.fail(FailureKind.Unreachable, "the request could not be sent", error);
        }
    }

    /** Pauses reading the response until `resume` is called. */
    pause(): void {
        this.#controller?.pause();
    }

    resume(): void {
        this.#controller?.resume();
    }

    /** Ends the exchange and destroys its connection. Calls `onFailure` unless the exchange has already ended. */
    fail(kind: FailureKind, message: string, cause?: unknown): void {
        const error = new ExchangeError(kind, `${this.#options.name}: ${message}`, this.#hasWritten, cause);
        this.#complete(() => this.#options.onFailure(error));
        this.#controller?.abort(error);
    }

    /** Ends the exchange without a callback once the content is complete. The connection is reused if the response ends. */
    finish(): void {
        this.#complete(() => undefined);
        this.#endTimer = setTimeout(
            () => this.#controller?.abort(new Error("the response did not end in time")),
            RESPONSE_END_TIMEOUT_MS,
        );
    }

    /**
     * Ends the exchange without a callback, and closes its connection. The server may repeat a response on a connection, and a
     * caller may repeat a request id, so that the copy could not be told from the response to the repeated request.
     */
    discard(): void {
        this.#complete(() => undefined);
        this.#controller?.abort(new Error("the connection is not used again"));
    }

    onRequestStart(controller: HttpDispatcher.DispatchController): void {
        if (this.#hasEnded || this.#hasWritten) {
            // The exchange was cancelled while waiting for a connection, or undici is about to write it a second time.
            controller.abort(new Error("the exchange is cancelled or already sent"));
            return;
        }
        this.#controller = controller;
        if (!this.#options.mayWrite()) {
            this.fail(FailureKind.NotAllowed, "the request may no longer be sent to this backend server");
            return;
        }
        this.#hasWritten = true;
    }

    onResponseStart(
        _: HttpDispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        if (this.#hasEnded) {
            return;
        }
        if (status < 200) {
            this.#informationalCount += 1;
            if (this.#informationalCount > MAX_INFORMATIONAL_RESPONSES) {
                this.fail(FailureKind.Broken, "sent too many informational responses");
            }
            return;
        }
        if (headers[this.#idHeader] !== this.#options.requestId) {
            this.fail(FailureKind.WrongId, "the response carries the id of another request");
            return;
        }
        if (!isDecoded(headers["transfer-encoding"])) {
            this.fail(FailureKind.Broken, "the response has an unsupported transfer coding");
            return;
        }
        this.#hasMatchingId = true;
        this.#options.onHead(status, headers);
    }

    onResponseData(_: HttpDispatcher.DispatchController, chunk: Buffer): void {
        // undici passes on an empty piece when a response is resumed. A pause for it would outlast the end of the connection.
        if (!this.#hasEnded && chunk.length > 0) {
            this.#options.onBody(chunk);
        }
    }

    onResponseEnd(): void {
        clearTimeout(this.#endTimer);
        this.#complete(() => this.#options.onEnd());
    }

    onResponseError(_: HttpDispatcher.DispatchController | undefined, error: Error): void {
        clearTimeout(this.#endTimer);
        const kind = this.#hasWritten ? FailureKind.Broken : FailureKind.Unreachable;
        this.#complete(() =>
            this.#options.onFailure(
                new ExchangeError(
                    kind,
                    `${this.#options.name}: the connection failed`,
                    this.#hasWritten,
                    error,
                ),
            )
        );
    }

    #complete(report: () => void): void {
        if (this.#hasEnded) {
            return;
        }
        this.#hasEnded = true;
        report();
    }
}
