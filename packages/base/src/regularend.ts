import type { Duplex } from "node:stream";

/** undici takes a reset, which it knows by the code, for the regular end of a response without a length. */
const withoutResetCode = (error: NodeJS.ErrnoException): Error =>
    error.code === "ECONNRESET" ? new Error(error.message, { cause: error }) : error;

/**
 * Returns a function that calls `callback` once undici, which reads until nothing is left, has done so. It stops before that
 * only while a response is paused, and fails an assertion if the connection ends then.
 */
const trackReads = (connection: Duplex): (callback: () => void) => void => {
    const read = connection.read.bind(connection) as (size?: number) => unknown;
    let isDrained = false;
    let onDrained: (() => void) | undefined;
    connection.read = (size?: number) => {
        const chunk = read(size);
        if (size === 0) {
            // Node.js itself asks for more data.
            return chunk;
        }
        isDrained = chunk === null;
        if (isDrained && onDrained !== undefined) {
            // undici must return from the call that resumes the response first.
            process.nextTick(onDrained);
            onDrained = undefined;
        }
        return chunk;
    };
    return (callback) => {
        if (isDrained) {
            callback();
            return;
        }
        onDrained = callback;
    };
};

/**
 * Makes a connection that undici uses report its end only once `confirm` has called back, and otherwise an error before it
 * closes, since undici also takes a close without an error for the regular end of a response without a length. The end waits
 * while the response is paused.
 */
export const reportRegularEndOnly = (
    connection: Duplex,
    confirm: (onRegularEnd: () => void) => void,
): void => {
    const emit = connection.emit.bind(connection);
    const afterReads = trackReads(connection);
    let hasReported = false;
    const report = (event: string, ...values: unknown[]): boolean => {
        hasReported = true;
        return emit(event, ...values);
    };
    const handlers: Record<string | symbol, (...values: never[]) => boolean> = {
        end: () => {
            afterReads(() => confirm(() => connection.destroyed || report("end")));
            return true;
        },
        error: (error: NodeJS.ErrnoException) => report("error", withoutResetCode(error)),
        close: (...values) => {
            if (!hasReported) {
                report("error", new Error("the connection closed without a regular end"));
            }
            return emit("close", ...values);
        },
    };
    // undici listens only while it uses the connection.
    connection.on("error", () => undefined);
    connection.emit = (event: string | symbol, ...values: never[]) =>
        handlers[event]?.(...values) ?? emit(event, ...values);
};
