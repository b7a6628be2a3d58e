import type { Dispatcher as HttpDispatcher } from "undici";
import { isConnectionFailing } from "./connector.ts";
import { ExchangeError, FailureKind } from "./failures.ts";

/** A response whose content is complete must end within this time, or its connection is destroyed. */
const END_LIMIT_MS = 1_000;

export interface ExchangeOptions {
    /** Pool or client with one exchange at a time on a connection. */
    client: HttpDispatcher;
    /** Backend server, for messages. */
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
    /** Called in the same step as the write. Nothing is written when it returns false. */
    mayWrite: () => boolean;
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onBody: (chunk: Buffer) => void;
    onEnd: () => void;
    /** Called at most once, and not after `onEnd`. */
    onFailure: (error: ExchangeError) => void;
}

/**
 * One request and its response on a connection of its own time. Checks the request id of the response.
 * A failed or aborted exchange destroys its connection, so that no late answer can reach another request.
 */
export class Exchange implements HttpDispatcher.DispatchHandler {
    readonly #options: ExchangeOptions;
    #controller: HttpDispatcher.DispatchController | undefined;
    #hasWritten = false;
    #isOver = false;
    #hasOwnId = false;
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
    get hasOwnId(): boolean {
        return this.#hasOwnId;
    }

    start(): void {
        const { client, method, path, headers, body, requestId, closesConnection } = this.#options;
        const options = {
            method: method as HttpDispatcher.HttpMethod,
            path,
            headers: { ...headers, [this.#idHeader]: requestId },
            body: body === undefined || body.length === 0 ? undefined : body,
            ...(closesConnection ? { reset: true } : {}),
            // Time limits are the caller's; undici's own would end a stream that waits for a slow reader.
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

    /** Stops reading until `resume`. */
    pause(): void {
        this.#controller?.pause();
    }

    resume(): void {
        this.#controller?.resume();
    }

    /** Ends the exchange and destroys its connection. Reports the failure unless the exchange is over. */
    fail(kind: FailureKind, message: string, cause?: unknown): void {
        const error = new ExchangeError(kind, `${this.#options.name}: ${message}`, this.#hasWritten, cause);
        this.#end(() => this.#options.onFailure(error));
        this.#controller?.abort(error);
    }

    /** Ends the exchange without a report: the content is complete. The connection is kept if the response ends. */
    finish(): void {
        this.#end(() => undefined);
        this.#endTimer = setTimeout(
            () => this.#controller?.abort(new Error("the response did not end")),
            END_LIMIT_MS,
        );
    }

    onRequestStart(controller: HttpDispatcher.DispatchController): void {
        if (this.#isOver || this.#hasWritten) {
            // Cancelled while it waited for a connection, or a second write of the same request.
            controller.abort(new Error("not to be written"));
            return;
        }
        this.#controller = controller;
        if (!this.#options.mayWrite()) {
            this.fail(FailureKind.NotAllowed, "the permission to send ended before the write");
            return;
        }
        this.#hasWritten = true;
    }

    onResponseStart(
        _: HttpDispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        if (this.#isOver || status < 200) {
            return;
        }
        if (headers[this.#idHeader] !== this.#options.requestId) {
            this.fail(FailureKind.WrongId, "the answer carries the id of another request");
            return;
        }
        this.#hasOwnId = true;
        this.#options.onHead(status, headers);
    }

    onResponseData(_: HttpDispatcher.DispatchController, chunk: Buffer): void {
        if (!this.#isOver) {
            this.#options.onBody(chunk);
        }
    }

    onResponseEnd(): void {
        clearTimeout(this.#endTimer);
        if (isConnectionFailing()) {
            this.fail(FailureKind.Broken, "the connection failed before the end of the response");
            return;
        }
        this.#end(() => this.#options.onEnd());
    }

    onResponseError(_: HttpDispatcher.DispatchController | undefined, error: Error): void {
        clearTimeout(this.#endTimer);
        const kind = this.#hasWritten ? FailureKind.Broken : FailureKind.Unreachable;
        this.#end(() =>
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

    #end(report: () => void): void {
        if (this.#isOver) {
            return;
        }
        this.#isOver = true;
        report();
    }
}
