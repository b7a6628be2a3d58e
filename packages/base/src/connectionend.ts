import type { Duplex } from "node:stream";

/** HTTP servers ignore an empty line between requests. */
const RESET_PROBE = "\r\n";
/**
 * Time for the peer to take all that is still being sent once it has ended its direction. Longer than the second for which a
 * sound server may be silent.
 */
const END_CONFIRMATION_TIMEOUT_MS = 2_000;

/** Calls `callback` once all that has been written to a connection is sent. It gets an error, or no call, if that fails. */
const afterPendingWrites = (connection: Duplex, callback: (error?: unknown) => void): void => {
    if (connection.writableFinished) {
        callback();
    }
    else if (connection.writableEnded) {
        connection.once("finish", callback);
    }
    else {
        connection.write(RESET_PROBE, callback);
    }
};

/**
 * Calls `onRegularEnd` if the peer has ended a connection regularly, to be called when the connection reports its end. Node.js
 * reports a reset as a regular end if data arrives together with it. A write tells them apart: it fails after a reset, but only
 * after the writes before it, so the end counts once all of them have succeeded. Otherwise the connection closes, mostly with
 * an error; at the latest after 2 s, if the peer neither reads nor resets it. The connection must allow half-open connections.
 */
export const confirmEnd = (connection: Duplex, onRegularEnd: () => void): void => {
    if (connection.destroyed || connection.errored !== null) {
        return;
    }
    const timer = setTimeout(
        () =>
            connection.destroy(
                new Error("the peer ended the connection, but doesn't read what is still being sent"),
            ),
        END_CONFIRMATION_TIMEOUT_MS,
    );
    connection.once("close", () => clearTimeout(timer));
    afterPendingWrites(connection, (error) => {
        clearTimeout(timer);
        if (!(error instanceof Error)) {
            onRegularEnd();
        }
    });
};
