import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** The files of the replicated log can't be used. */
export class StorageError extends Error {
    constructor(message: string, cause?: unknown) {
        super(message, { cause });
        this.name = "StorageError";
    }
}

export const notCommittedError = (message: string): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.Unavailable,
        verdict: Verdict.NotRun,
        retryAfterMs: 1_000,
    });

export const outcomeUnknownError = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.OutcomeUnknown, verdict: Verdict.MayHaveRun });
