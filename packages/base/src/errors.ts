/** Whether a request may have been executed by a backend server. */
export const Verdict = {
    NotRun: "notRun",
    MayHaveRun: "mayHaveRun",
    Ran: "ran",
} as const;

export type Verdict = typeof Verdict[keyof typeof Verdict];

/** Stable, documented identifiers of the errors that are returned to callers and operators. */
export const ErrorCode = {
    BadRequest: "bad-request",
    Unauthorized: "unauthorized",
    NotFound: "not-found",
    MethodNotAllowed: "method-not-allowed",
    UnsupportedMediaType: "unsupported-media-type",
    TooLarge: "too-large",
    HeadersTooLarge: "headers-too-large",
    SlowRequest: "slow-request",
    Conflict: "conflict",
    Unsafe: "unsafe",
    Invalid: "invalid",
    LimitReached: "limit-reached",
    NoCapacity: "no-capacity",
    Timeout: "timeout",
    Unavailable: "unavailable",
    Draining: "draining",
    Quarantined: "quarantined",
    BackendFailed: "backend-failed",
    OutcomeUnknown: "outcome-unknown",
    KeyReused: "key-reused",
    Cancelled: "cancelled",
    Internal: "internal",
} as const;

export type ErrorCode = typeof ErrorCode[keyof typeof ErrorCode];

export interface GreengageErrorOptions {
    code: ErrorCode;
    verdict: Verdict;
    /** Delay before the caller should retry, for transient errors. */
    retryAfterMs?: number;
    cause?: unknown;
}

/** Base class of the project's errors. Every error states whether the request may have been executed. */
export class GreengageError extends Error {
    readonly code: ErrorCode;
    readonly verdict: Verdict;
    readonly retryAfterMs: number | undefined;

    constructor(message: string, options: GreengageErrorOptions) {
        super(message, { cause: options.cause });
        this.name = new.target.name;
        this.code = options.code;
        this.verdict = options.verdict;
        this.retryAfterMs = options.retryAfterMs;
    }
}

/** Message of a thrown value of any type, for log lines. */
export const messageOf = (error: unknown): string => error instanceof Error ? error.message : String(error);
