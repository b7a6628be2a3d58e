import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { buildConnector } from "undici";
import { confirmEnd } from "./connectionend.ts";
import { reportRegularEndOnly } from "./regularend.ts";

/** Limit for the bytes of one response, including those that the HTTP parser skips without counting. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Destroys a connection that has received too many bytes since the last write to it. */
const limitResponseBytes = (socket: Socket): void => {
    let bytesWritten = 0;
    let bytesReadBefore = 0;
    let bytesRead = 0;
    socket.on("readable", () => {
        if (socket.bytesWritten !== bytesWritten) {
            bytesWritten = socket.bytesWritten;
            bytesReadBefore = bytesRead;
        }
        bytesRead = socket.bytesRead;
        if (bytesRead - bytesReadBefore > MAX_RESPONSE_BYTES) {
            socket.destroy(new Error("the response is too large"));
        }
    });
};

/** Destroys a stream once more bytes have been read from it than a response may have. */
const limitReadBytes = (stream: Duplex): void => {
    const read = stream.read.bind(stream) as (size?: number) => unknown;
    let bytesRead = 0;
    stream.read = (size?: number) => {
        const chunk = read(size);
        bytesRead += Buffer.isBuffer(chunk) ? chunk.length : 0;
        if (bytesRead > MAX_RESPONSE_BYTES) {
            stream.destroy(new Error("the response is too large"));
        }
        return chunk;
    };
};

/**
 * Creates a connector for a single connection that is already open. `stream` must end regularly only if the server ended
 * the connection; it fails in any other case.
 */
export const createStreamConnector = (stream: Duplex): buildConnector.connector => {
    let isUsed = false;
    // The relay has checked that the end is regular; only what is still being sent to it can fail.
    reportRegularEndOnly(
        stream,
        (onRegularEnd) => stream.writableLength === 0 ? onRegularEnd() : confirmEnd(stream, onRegularEnd),
    );
    limitReadBytes(stream);
    // undici doesn't notice a connection that opens during the call.
    return (_, callback) =>
        process.nextTick(() => {
            if (isUsed || stream.destroyed) {
                callback(new Error("the connection has been used or closed"), null);
                return;
            }
            isUsed = true;
            // undici uses only what a socket has in common with other streams.
            callback(null, stream as Socket);
        });
};

/**
 * Creates a connector whose sockets end only if the server has ended them regularly. `onOpened` is called with the address
 * (`host:port`) of each connection that opens.
 */
export const createConnector = (
    timeoutMs: number,
    onOpened: (address: string) => void = () => undefined,
): buildConnector.connector => {
    // With `allowHalfOpen` the socket stays writable when the peer ends it, which `confirmEnd` needs.
    const connect = buildConnector(
        { timeout: timeoutMs, allowHalfOpen: true } as buildConnector.BuildOptions,
    );
    return (options, callback) =>
        connect(options, (...result) => {
            const [error, socket] = result;
            if (error === null) {
                reportRegularEndOnly(socket, (onRegularEnd) => confirmEnd(socket, onRegularEnd));
                limitResponseBytes(socket);
                onOpened(`${options.hostname}:${options.port}`);
            }
            callback(...result);
        });
};
