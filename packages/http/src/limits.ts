/** Limits of the HTTP surfaces. */
export interface HttpLimits {
    /** Largest body of a caller or operator. Default: 4 MiB. */
    bodyBytes: number;
    /** Largest report of a backend server. Default: 64 KiB. */
    reportBytes: number;
    /** Largest request line and headers together. Default: 16 KiB. */
    headerBytes: number;
    /** Time for a client to send its headers. Default: 10000. */
    headersMs: number;
    /** Time for a client to send its body. Default: 30000. */
    bodyMs: number;
    /** Requests of callers that a daemon handles at once. Default: 4000. */
    concurrentRequests: number;
    /** Requests that one connection may pipeline at once. Default: 8. */
    concurrentPerConnection: number;
    /** Connections of all surfaces together. Default: 10000. */
    connections: number;
    /** Deadline of a request whose caller sets none. Default: 120000. */
    deadlineMs: number;
    /** Longest deadline that a caller may set. Default: 600000. */
    maxDeadlineMs: number;
}

export const DEFAULT_LIMITS: HttpLimits = {
    bodyBytes: 4 * 1024 * 1024,
    reportBytes: 64 * 1024,
    headerBytes: 16 * 1024,
    headersMs: 10_000,
    bodyMs: 30_000,
    concurrentRequests: 4_000,
    concurrentPerConnection: 8,
    connections: 10_000,
    deadlineMs: 120_000,
    maxDeadlineMs: 600_000,
};
