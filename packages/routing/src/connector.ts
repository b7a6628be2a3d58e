import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Ignored by HTTP servers between requests. */
const PROBE = "\r\n";

let isFailing = false;

/**
 * Whether a connection is failing in this very step. undici reports a response without a stated length as complete when
 * its connection is reset, so whoever takes the end of a response asks here.
 */
export const isConnectionFailing = (): boolean => isFailing;

const noteFailure = (): void => {
    isFailing = true;
    process.nextTick(() => {
        isFailing = false;
    });
};

/**
 * Node.js reports a reset as an ordinary end when data arrived together with it, and only a write tells them apart: it
 * fails at once after a reset.
 */
const probeEnd = (socket: Socket): void => {
    socket.write(PROBE);
    if (socket.errored !== null) {
        noteFailure();
    }
};

/** Opens connections whose failures are noted before undici handles them. */
export const createConnector = (timeoutMs: number): buildConnector.connector => {
    // A socket that may be half open can still be written to at its end.
    const connect = buildConnector(
        { timeout: timeoutMs, allowHalfOpen: true } as buildConnector.BuildOptions,
    );
    return (options, callback) =>
        connect(options, (...result) => {
            const [error, socket] = result;
            if (error === null) {
                socket.on("error", noteFailure);
                socket.on("end", () => probeEnd(socket));
            }
            callback(...result);
        });
};
