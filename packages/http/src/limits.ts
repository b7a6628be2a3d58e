/** Limits of the HTTP server. */
export interface HttpLimits {
    /** Maximum body size of a caller's or operator's request. Default: 4 MiB. */
    bodyBytes: number;
    /** Maximum body size of a backend server's report. Default: 64 KiB. */
    reportBytes: number;
    /** Maximum total size of the request line and the headers. Default: 16 KiB. */
    headerBytes: number;
    /** Time limit for receiving the headers. Default: 10000. */
    headersMs: number;
    /** Time limit for receiving the body. Default: 30000. */
    bodyMs: number;
    /** Maximum number of caller requests in flight per daemon. Default: 4000. */
    concurrentRequests: number;
    /** Maximum number of requests in flight per connection, with pipelining. Default: 8. */
    concurrentPerConnection: number;
    /** Maximum number of open connections, over all APIs. Default: 10000. */
    connections: number;
    /** Deadline of a request that sets none. Default: 120000. */
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
