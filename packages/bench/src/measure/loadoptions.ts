/** Where the load generator sends its requests. */
export interface StreamTarget {
    url: string;
    headers: Record<string, string>;
}

/** Options of the load generator, as JSON in its first argument. */
export interface LoadOptions {
    /** Used in turn. */
    targets: StreamTarget[];
    streams: number;
    /** Tokens of each answer; a new request follows at once. */
    maxTokens: number;
    warmUpMs: number;
    durationMs: number;
}

/** Figures of one run, printed as the last line. */
export interface LoadResult {
    firstTokenP50Ms: number;
    firstTokenP95Ms: number;
    firstTokenP99Ms: number;
    betweenTokensP95Ms: number;
    tokensPerSecond: number;
    requests: number;
    failures: number;
}

/** Line that the load generator prints when its warm-up has ended. */
export const STARTED_LINE = "started";
