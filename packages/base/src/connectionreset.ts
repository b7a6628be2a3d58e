import type { Duplex } from "node:stream";

/** HTTP servers ignore an empty line between requests. */
const RESET_PROBE = "\r\n";

/**
 * Whether a connection whose end has just been reported was reset. Node.js reports a reset as a regular end if data arrives
 * together with it. A write tells them apart: it fails immediately after a reset. The socket must allow half-open connections.
 */
export const hasBeenReset = (socket: Duplex): boolean => {
    if (socket.writable) {
        socket.write(RESET_PROBE);
    }
    return socket.errored !== null;
};
