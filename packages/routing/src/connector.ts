import { buildConnector } from "undici";

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

/** Opens connections whose failures are noted before undici handles them. */
export const createConnector = (timeoutMs: number): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) =>
        connect(options, (...result) => {
            result[1]?.on("error", noteFailure);
            callback(...result);
        });
};
