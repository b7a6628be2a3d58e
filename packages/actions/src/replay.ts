import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { ServiceResponse } from "@greengage/routing";
import { ActionOutcome, type ActionRecord } from "./commands.ts";

const createError = (code: ErrorCode, verdict: Verdict, message: string): GreengageError =>
    new GreengageError(message, { code, verdict });

const rejectUnknownOutcome = (): ServiceResponse => {
    throw createError(
        ErrorCode.OutcomeUnknown,
        Verdict.MayHaveRun,
        "an earlier attempt with this idempotency key may have run",
    );
};

const replayResponse = (record: ActionRecord): ServiceResponse => ({
    status: record.status ?? 200,
    headers: {
        "content-type": record.contentType ?? "application/octet-stream",
        "idempotency-replayed": "true",
        ...(record.body === undefined ? { "idempotency-body": "dropped" } : {}),
    },
    body: record.body ?? new Uint8Array(),
    verdict: Verdict.Ran,
});

const rejectSettledRan = (record: ActionRecord): ServiceResponse => {
    throw createError(
        ErrorCode.Conflict,
        Verdict.Ran,
        `operator ${record.settledBy} settled this action as run: ${record.reason}`,
    );
};

const rejectSettledNotRun = (record: ActionRecord): ServiceResponse => {
    throw createError(
        ErrorCode.Conflict,
        Verdict.NotRun,
        `operator ${record.settledBy} settled this action as not run: ${record.reason}; use a new key`,
    );
};

const responsesByOutcome: Record<ActionOutcome, (record: ActionRecord) => ServiceResponse> = {
    [ActionOutcome.Ran]: replayResponse,
    [ActionOutcome.NotRun]: rejectUnknownOutcome,
    [ActionOutcome.SettledRan]: rejectSettledRan,
    [ActionOutcome.SettledNotRun]: rejectSettledNotRun,
};

/** Returns the recorded response for a key. Throws a GreengageError when there is none to replay. */
export const responseFromRecord = (record: ActionRecord, bodyHash: string): ServiceResponse => {
    if (record.bodyHash !== bodyHash) {
        throw createError(
            ErrorCode.KeyReused,
            Verdict.NotRun,
            "the idempotency key was used with a different request",
        );
    }
    return record.outcome === undefined ? rejectUnknownOutcome() : responsesByOutcome[record.outcome](record);
};

/** Rejects a request whose key was used before and whose record has been evicted. */
export const rejectSpentKey = (): never => {
    throw createError(
        ErrorCode.OutcomeUnknown,
        Verdict.MayHaveRun,
        "the idempotency key was used before; its response is no longer stored",
    );
};
