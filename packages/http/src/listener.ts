import { ErrorCode, type GreengageError } from "@greengage/base";
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { notRunError } from "./errors.ts";
import type { HttpLimits } from "./limits.ts";
import { problemResponse } from "./problem.ts";

const CHECK_INTERVAL_MS = 500;
// readBody() enforces the time limit of a body with a specific error; this margin only catches bodies that no
// handler reads.
const BODY_TIMEOUT_MARGIN_MS = 5_000;

interface SocketError extends Error {
    code?: string;
}

/** Errors that occur before a request reaches a handler, by Node.js error code. */
const errorsByCode: Record<string, (limits: HttpLimits) => GreengageError> = {
    ERR_HTTP_REQUEST_TIMEOUT: ({ headersMs }) =>
        notRunError(
            ErrorCode.SlowRequest,
            `the request was not received in time (headers within ${headersMs} ms)`,
        ),
    HPE_HEADER_OVERFLOW: ({ headerBytes }) =>
        notRunError(ErrorCode.HeadersTooLarge, `the headers are larger than ${headerBytes} bytes`),
};

const badRequest = (): GreengageError =>
    notRunError(ErrorCode.BadRequest, "the request is not valid HTTP/1.1");

/** Creates the HTTP server with its limits. Malformed and slow requests get an error and are disconnected. */
export const createListener = (limits: HttpLimits): Server => {
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headersMs,
        requestTimeout: limits.headersMs + limits.bodyMs + BODY_TIMEOUT_MARGIN_MS,
        connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, limits.headersMs),
        keepAliveTimeout: 65_000,
    });
    server.maxConnections = limits.connections;
    server.on(
        "clientError",
        (error: SocketError, socket: Socket) => handleClientError(error, socket, limits),
    );
    return server;
};

const handleClientError = (error: SocketError, socket: Socket, limits: HttpLimits): void => {
    // An error can't be sent in the middle of another response on this connection.
    const hasResponse = (socket as Socket & { _httpMessage?: { headersSent: boolean; }; })
        ._httpMessage?.headersSent === true;
    if (error.code === "ECONNRESET" || !socket.writable || hasResponse) {
        socket.destroy();
        return;
    }
    socket.end(errorMessage((errorsByCode[error.code ?? ""] ?? badRequest)(limits)));
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        // The parser could still read a request, which would run after the response has said that it doesn't.
        socket.destroySoon();
    }
};

/** Complete HTTP message with an error, for a connection whose request has no response object. */
export const errorMessage = (error: GreengageError): string => {
    const problem = problemResponse(error);
    const headers = Object.entries({ ...problem.headers, connection: "close" });
    const head = headers.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${problem.status} Error\r\n${head}\r\n${problem.body.toString("utf8")}`;
};
