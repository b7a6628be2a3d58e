/** Endpoint that the load generator sends requests to. */
export interface StreamTarget {
    url: string;
    headers: Record<string, string>;
}

/** Options of the load generator, passed as JSON in its first argument. */
export interface LoadOptions {
    /** Used in round-robin order. */
    targets: StreamTarget[];
    streams: number;
    /** Tokens per answer. Each stream sends its next request immediately. */
    maxTokens: number;
    warmUpMs: number;
    durationMs: number;
}

/** Result of a run, printed as JSON on the last line. */
export interface LoadResult {
    firstTokenP50Ms: number;
    firstTokenP95Ms: number;
    firstTokenP99Ms: number;
    betweenTokensP95Ms: number;
    tokensPerSecond: number;
    requests: number;
    failures: number;
}

/** Line that the load generator prints at the end of its warm-up. */
export const STARTED_LINE = "started";
