import { connect, type Socket } from "node:net";

/** Idle time before keep-alive probes, which notice a server whose host has vanished. */
const KEEP_ALIVE_DELAY_MS = 5_000;

/**
 * Opens a TCP connection to `address` (`host:port`) that allows half-open connections. Rejects after `timeoutMs` at the
 * latest.
 */
export const openServerConnection = (address: string, timeoutMs: number): Promise<Socket> =>
    new Promise((resolve, reject) => {
        const separator = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, separator).replace(/^\[(.*)\]$/, "$1"),
            port: Number(address.slice(separator + 1)),
            allowHalfOpen: true,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
        });
        const timer = setTimeout(
            () => socket.destroy(new Error(`the server's connection didn't open within ${timeoutMs} ms`)),
            timeoutMs,
        );
        socket.once("connect", () => {
            clearTimeout(timer);
            resolve(socket);
        });
        // Stays, as the connection may fail before the code that gets it listens.
        socket.on("error", (error) => {
            clearTimeout(timer);
            reject(error);
        });
    });
