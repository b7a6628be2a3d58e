import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { monotonicMs } from "./clock.ts";
import { sleep } from "./lifecycle.ts";

const IDLE_CHECK_INTERVAL_MS = 50;
/** Time between the acceptance of a connection and its first request; longer than a round trip on a slow link. */
const FIRST_REQUEST_TIMEOUT_MS = 500;

/** How far a request had come when its connection closed. */
export const RequestProgress = {
    ReadingHead: "readingHead",
    ReadingBody: "readingBody",
    /** The request has been read, and no part of its response has been sent. */
    Unanswered: "unanswered",
    /** A part of the response has been sent. */
    Answering: "answering",
    /** The request was read after an earlier response had announced the close, or after the close. It was not handled. */
    Discarded: "discarded",
} as const;

export type RequestProgress = typeof RequestProgress[keyof typeof RequestProgress];

/** A request whose connection closed before the response was complete. */
export interface InterruptedRequest {
    progress: RequestProgress;
    /** Undefined if the head had not been read completely. */
    request: IncomingMessage | undefined;
    /** Time since the head was read, or since the connection was last idle. */
    ageMs: number;
    /** Whether the client closed the connection. */
    isClosedByClient: boolean;
    connection: ConnectionHistory;
}

/** What a connection has carried so far. */
export interface ConnectionHistory {
    /** Address and port of the client. */
    peer: string;
    /** Requests that were handled. */
    requestCount: number;
    lastRequest: IncomingMessage | undefined;
    /** Time since the last response, or since the connection was accepted. */
    idleMs: number;
}

export interface ConnectionListeners {
    /** Called for each request that ends without a complete response. */
    onInterrupted?: (interrupted: InterruptedRequest) => void;
    /** Called when the server closes a connection without a request in progress, which no response has announced. */
    onIdleClosed?: (connection: ConnectionHistory) => void;
}

export interface ConnectionCounts {
    open: number;
    /** Connections on which a head or a body is being received. */
    reading: number;
    /** Connections with a complete request whose response is not complete. */
    answering: number;
}

interface OpenRequest {
    request: IncomingMessage;
    response: ServerResponse;
    /** Whether the connection could stay open after the response for all that the request says. */
    isKeptAlive: boolean;
    startedAtMs: number;
}

interface Connection {
    socket: Socket;
    /** A destroyed socket no longer has its address. */
    peer: string;
    requestCount: number;
    lastRequest: IncomingMessage | undefined;
    /** More than one if the client pipelines requests. */
    requests: OpenRequest[];
    idleSinceMs: number;
    /** Value of `socket.bytesRead` when the connection was last idle. */
    idleBytesRead: number;
    closesAfterResponse: boolean;
    /** Whether no further request can be answered. */
    isClosing: boolean;
    /** Whether a response was sent to a request whose head is incomplete. */
    isRejected: boolean;
}

/**
 * Tracks the connections of an HTTP server, so that it can be closed without interrupting a request. A request is in progress
 * from its first byte until its response has been flushed.
 */
export class ServerConnections {
    readonly #server: Server;
    readonly #onRequest: RequestListener;
    readonly #listeners: ConnectionListeners;
    readonly #connections = new Map<Socket, Connection>();
    #closesAfterResponses = false;

    /** Passes the requests of `server`, which must not have a request listener, to `onRequest`. */
    constructor(
        server: Server,
        onRequest: RequestListener,
        listeners: ConnectionListeners = {},
    ) {
        this.#server = server;
        this.#onRequest = onRequest;
        this.#listeners = listeners;
        server.on("connection", (socket) => this.#add(socket));
        server.on("request", (request, response) => this.#begin(request, response, this.#onRequest));
        server.on(
            "checkExpectation",
            (request, response) => this.#begin(request, response, rejectExpectation),
        );
    }

    counts(): ConnectionCounts {
        const connections = [...this.#connections.values()];
        const reading = connections.filter(isReading).length;
        const idle = connections.filter(isIdle).length;
        return { open: connections.length, reading, answering: connections.length - reading - idle };
    }

    /**
     * From now on, every connection closes after its next response, which announces this if it has not begun. If it has begun,
     * requests that are read until its end are answered, too.
     */
    closeAfterResponses(): void {
        this.#closesAfterResponses = true;
        for (const connection of this.#connections.values()) {
            closeAfterResponse(connection);
        }
    }

    /** Does the same for the connection of one request. */
    closeAfterResponse({ socket }: IncomingMessage): void {
        const connection = this.#connections.get(socket);
        if (connection !== undefined) {
            closeAfterResponse(connection);
        }
    }

    /**
     * Stops listening after the connections that clients have opened so far are accepted. Unlike `Server.close`, this leaves
     * responses alone that have ended but are not flushed.
     */
    async stopListening(): Promise<void> {
        // The close resets connections that are not accepted.
        await readPendingInput();
        if (this.#server.listening) {
            NetServer.prototype.close.call(this.#server);
        }
    }

    /**
     * Closes the connections without a request in progress, including those that were never used for at least
     * `firstRequestTimeoutMs`.
     */
    closeIdle(firstRequestTimeoutMs = 0): void {
        const nowMs = monotonicMs();
        for (const connection of this.#connections.values()) {
            const isNew = connection.idleBytesRead === 0
                && nowMs - connection.idleSinceMs < firstRequestTimeoutMs;
            if (isIdle(connection) && !isNew) {
                this.#closeIdleConnection(connection);
            }
        }
    }

    /**
     * Closes connections as they become idle, for at most `limitMs`; new ones only if no request comes soon. Resolves to
     * whether all have closed. The caller is expected to have called `closeAfterResponses` and `stopListening`.
     */
    async closeWhenIdle(limitMs: number): Promise<boolean> {
        const deadlineAtMs = monotonicMs() + limitMs;
        await this.#readAndCloseIdle();
        while (this.#connections.size > 0 && monotonicMs() < deadlineAtMs) {
            await sleep(Math.min(IDLE_CHECK_INTERVAL_MS, deadlineAtMs - monotonicMs()));
            await this.#readAndCloseIdle();
        }
        return this.#connections.size === 0;
    }

    /** Sends `response`, a complete HTTP message, to clients whose request head is incomplete, and disconnects them. */
    rejectIncompleteHeads(response: string): void {
        for (const connection of this.#connections.values()) {
            if (connection.requests.length === 0 && !isIdle(connection) && !connection.isRejected) {
                connection.isClosing = true;
                connection.isRejected = true;
                connection.socket.write(response);
                connection.socket.destroySoon();
            }
        }
    }

    /** Closes all connections, including those with a request in progress. */
    closeAll(): void {
        for (const { socket } of this.#connections.values()) {
            socket.destroy();
        }
    }

    /** Closes idle connections after the data that has already arrived has been read. */
    async #readAndCloseIdle(): Promise<void> {
        await setImmediate();
        this.closeIdle(FIRST_REQUEST_TIMEOUT_MS);
    }

    #add(socket: Socket): void {
        const connection: Connection = {
            socket,
            peer: `${socket.remoteAddress}:${socket.remotePort}`,
            requestCount: 0,
            lastRequest: undefined,
            requests: [],
            idleSinceMs: monotonicMs(),
            idleBytesRead: 0,
            closesAfterResponse: this.#closesAfterResponses,
            isClosing: false,
            isRejected: false,
        };
        this.#connections.set(socket, connection);
        socket.once("close", () => this.#remove(connection));
    }

    #begin(request: IncomingMessage, response: ServerResponse, handle: RequestListener): void {
        const connection = this.#connections.get(request.socket);
        if (connection === undefined) {
            // The client reset the connection in the meantime.
            return;
        }
        if (connection.isClosing || isCloseAnnounced(connection)) {
            request.resume();
            if (!connection.isRejected) {
                this.#reportInterrupted(connection, {
                    progress: RequestProgress.Discarded,
                    request,
                    ageMs: 0,
                });
            }
            return;
        }
        const isKeptAlive = response.shouldKeepAlive;
        const open: OpenRequest = { request, response, isKeptAlive, startedAtMs: monotonicMs() };
        connection.requests.push(open);
        connection.requestCount += 1;
        connection.lastRequest = request;
        response.once("close", () => this.#end(connection, open));
        if (connection.closesAfterResponse) {
            closeAfterResponse(connection);
        }
        handle(request, response);
    }

    #end(connection: Connection, open: OpenRequest): void {
        const { socket } = connection;
        connection.requests = connection.requests.filter((other) => other !== open);
        if (connection.requests.length > 0) {
            return;
        }
        connection.idleSinceMs = monotonicMs();
        connection.idleBytesRead = socket.bytesRead;
        if (isLastResponse(open)) {
            connection.isClosing = true;
            socket.destroySoon();
        }
        else if (connection.closesAfterResponse) {
            void this.#closeUnlessRequested(connection);
        }
    }

    /** Closes a connection without an announcement, unless a further request has arrived. */
    async #closeUnlessRequested(connection: Connection): Promise<void> {
        await readPendingInput();
        if (isIdle(connection) && !connection.socket.destroyed) {
            this.#closeIdleConnection(connection);
        }
    }

    #closeIdleConnection(connection: Connection): void {
        this.#listeners.onIdleClosed?.(historyOf(connection));
        connection.socket.destroy();
    }

    #remove(connection: Connection): void {
        this.#connections.delete(connection.socket);
        for (const { request, response, startedAtMs } of connection.requests) {
            if (!response.writableFinished) {
                this.#reportInterrupted(connection, {
                    progress: progressOf(request, response),
                    request,
                    ageMs: monotonicMs() - startedAtMs,
                });
            }
        }
        if (connection.requests.length === 0 && isReading(connection) && !connection.isRejected) {
            this.#reportInterrupted(connection, {
                progress: RequestProgress.ReadingHead,
                request: undefined,
                ageMs: monotonicMs() - connection.idleSinceMs,
            });
        }
    }

    #reportInterrupted(
        connection: Connection,
        interrupted: Pick<InterruptedRequest, "progress" | "request" | "ageMs">,
    ): void {
        this.#listeners.onInterrupted?.({
            ...interrupted,
            isClosedByClient: isClosedByPeer(connection.socket),
            connection: historyOf(connection),
        });
    }
}

const historyOf = ({ peer, requestCount, lastRequest, idleSinceMs }: Connection): ConnectionHistory => ({
    peer,
    requestCount,
    lastRequest,
    idleMs: monotonicMs() - idleSinceMs,
});

const isIdle = ({ socket, requests, idleBytesRead }: Connection): boolean =>
    requests.length === 0 && socket.bytesRead === idleBytesRead;

const isReading = (connection: Connection): boolean =>
    connection.requests.length === 0
        ? !isIdle(connection)
        : connection.requests.some(({ request }) => !request.complete);

const isClosedByPeer = ({ readableEnded, errored }: Socket): boolean => readableEnded || errored !== null;

const progressOf = (request: IncomingMessage, response: ServerResponse): RequestProgress => {
    if (response.headersSent) {
        return RequestProgress.Answering;
    }
    return request.complete ? RequestProgress.Unanswered : RequestProgress.ReadingBody;
};

/** Does what Node.js does without a listener. */
const rejectExpectation: RequestListener = (_, response) => void response.writeHead(417).end();

/** Whether a response whose head has been sent announces the close. */
const isCloseAnnounced = ({ requests }: Connection): boolean =>
    requests.some((open) => open.response.headersSent && isLastResponse(open));

const isLastResponse = ({ response }: OpenRequest): boolean => !response.shouldKeepAlive;

/** The last response announces the close; a client that pipelines also gets the responses before it. */
const closeAfterResponse = (connection: Connection): void => {
    const last = connection.requests.at(-1);
    connection.closesAfterResponse = true;
    for (const open of connection.requests) {
        const { response, isKeptAlive } = open;
        if (!response.headersSent) {
            response.shouldKeepAlive = isKeptAlive && open !== last;
        }
    }
};

/** Lets a complete pass of the event loop read what has arrived; it lies between two immediates. */
const readPendingInput = async (): Promise<void> => {
    await setImmediate();
    await setImmediate();
};
