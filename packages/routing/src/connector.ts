import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Limit for the bytes of one response, including those that the HTTP parser skips without counting. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
/** HTTP servers ignore an empty line between requests. */
const RESET_PROBE = "\r\n";

let isFailing = false;

/**
 * Whether a connection has failed in the current tick. undici reports a response without `content-length` as complete when
 * its connection is reset, so code that handles the end of a response must check this.
 */
export const isConnectionFailing = (): boolean => isFailing;

const markConnectionFailing = (): void => {
    isFailing = true;
    process.nextTick(() => {
        isFailing = false;
    });
};

/**
 * Detects a reset that Node.js reports as a regular end of the connection, which happens when data arrives together with
 * it. A write to the socket tells them apart: it fails immediately after a reset.
 */
const detectReset = (socket: Socket): void => {
    socket.write(RESET_PROBE);
    if (socket.errored !== null) {
        markConnectionFailing();
    }
};

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

/** Creates a connector whose sockets record their failures before undici handles them. */
export const createConnector = (timeoutMs: number): buildConnector.connector => {
    // With `allowHalfOpen` the socket stays writable when the peer ends it, which `detectReset` needs.
    const connect = buildConnector(
        { timeout: timeoutMs, allowHalfOpen: true } as buildConnector.BuildOptions,
    );
    return (options, callback) =>
        connect(options, (...result) => {
            const [error, socket] = result;
            if (error === null) {
                socket.on("error", markConnectionFailing);
                socket.on("end", () => detectReset(socket));
                limitResponseBytes(socket);
            }
            callback(...result);
        });
};
