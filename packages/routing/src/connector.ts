import type { Socket } from "node:net";
import { buildConnector } from "undici";

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
            }
            callback(...result);
        });
};
