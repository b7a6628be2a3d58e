import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** The data folder of the replicated log is unusable. */
export class StorageError extends Error {
    constructor(message: string, cause?: unknown) {
        super(message, { cause });
        this.name = "StorageError";
    }
}

/** Error for an operation that certainly had no effect, so the caller may retry it. */
export const notCommittedError = (message: string): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.Unavailable,
        verdict: Verdict.NotRun,
        retryAfterMs: 1_000,
    });

/** Error for a command that may or may not have been committed. */
export const outcomeUnknownError = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.OutcomeUnknown, verdict: Verdict.MayHaveRun });
