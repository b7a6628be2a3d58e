import { hasBeenReset } from "@greengage/base";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Limit for the bytes of one response, including those that the HTTP parser skips without counting. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

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
    // With `allowHalfOpen` the socket stays writable when the peer ends it, which `hasBeenReset` needs.
    const connect = buildConnector(
        { timeout: timeoutMs, allowHalfOpen: true } as buildConnector.BuildOptions,
    );
    return (options, callback) =>
        connect(options, (...result) => {
            const [error, socket] = result;
            if (error === null) {
                socket.on("error", markConnectionFailing);
                socket.on("end", () => {
                    if (hasBeenReset(socket)) {
                        markConnectionFailing();
                    }
                });
                limitResponseBytes(socket);
            }
            callback(...result);
        });
};
