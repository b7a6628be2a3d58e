import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** The data folder of the replicated log is unusable. */
export class StorageError extends Error {
    constructor(message: string, cause?: unknown) {
        super(message, { cause });
        this.name = "StorageError";
    }
}

/** The disk refused a write for lack of room. Nothing of it became durable, so it can be repeated. */
export class DiskFullError extends StorageError {
    constructor(reason: string, cause?: unknown) {
        super(`the disk is full: ${reason}`, cause);
        this.name = "DiskFullError";
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
