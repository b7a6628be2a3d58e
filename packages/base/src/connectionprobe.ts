import { connect } from "node:net";

/** What happened to a connection that was opened to find out whether a process serves an address. */
export const ConnectionProbeResult = {
    /** The connection was accepted and stayed open. */
    Open: "open",
    /** It was accepted and ended at once, as by a relay whose target is down. */
    Closed: "closed",
    /** It was reset, by the process that accepted it or on the way. */
    Reset: "reset",
    /** No process listens there. */
    Refused: "refused",
    /** There was no answer in time, or another error, of which the network can be the cause. */
    Unknown: "unknown",
} as const;

export type ConnectionProbeResult = typeof ConnectionProbeResult[keyof typeof ConnectionProbeResult];

/** Time in which a relay closes a connection that its target refuses. */
const RELAY_CLOSE_MS = 50;

const resultsByError: Record<string, ConnectionProbeResult> = {
    ECONNREFUSED: ConnectionProbeResult.Refused,
    ECONNRESET: ConnectionProbeResult.Reset,
    EPIPE: ConnectionProbeResult.Reset,
};

/** Opens a connection to `address` (`host:port`), sends nothing, and closes it. Resolves after `timeoutMs` at the latest. */
export const probeConnection = (address: string, timeoutMs: number): Promise<ConnectionProbeResult> =>
    new Promise((resolve) => {
        const separator = address.lastIndexOf(":");
        const host = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
        const socket = connect({ host, port: Number(address.slice(separator + 1)) });
        let isAccepted = false;
        let settleTimer: NodeJS.Timeout | undefined;
        const finish = (result: ConnectionProbeResult): void => {
            clearTimeout(timer);
            clearTimeout(settleTimer);
            socket.destroy();
            resolve(result);
        };
        const timer = setTimeout(
            () => finish(isAccepted ? ConnectionProbeResult.Open : ConnectionProbeResult.Unknown),
            timeoutMs,
        );
        socket.once("connect", () => {
            isAccepted = true;
            settleTimer = setTimeout(() => finish(ConnectionProbeResult.Open), RELAY_CLOSE_MS);
        });
        // Reads the end of a connection that is closed at once.
        socket.resume();
        socket.once("end", () => finish(ConnectionProbeResult.Closed));
        socket.once(
            "error",
            ({ code }: NodeJS.ErrnoException) =>
                finish(resultsByError[code ?? ""] ?? ConnectionProbeResult.Unknown),
        );
    });
