import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { ServerResponse } from "node:http";

const statusByCode: Record<ErrorCode, number> = {
    [ErrorCode.BadRequest]: 400,
    [ErrorCode.Unauthorized]: 401,
    [ErrorCode.NotFound]: 404,
    [ErrorCode.TooLarge]: 413,
    [ErrorCode.Conflict]: 409,
    [ErrorCode.Invalid]: 422,
    [ErrorCode.LimitReached]: 429,
    [ErrorCode.NoCapacity]: 503,
    [ErrorCode.Timeout]: 504,
    [ErrorCode.Unavailable]: 503,
    [ErrorCode.BackendFailed]: 502,
    [ErrorCode.OutcomeUnknown]: 409,
    [ErrorCode.KeyReused]: 422,
    [ErrorCode.Cancelled]: 499,
    [ErrorCode.Internal]: 500,
};

/** Body of an error answer: problem details of RFC 9457, with the verdict. */
export interface Problem {
    type: string;
    title: string;
    status: number;
    detail: string;
    verdict: Verdict;
}

/** Any thrown value as a GreengageError. */
export const toGreengageError = (error: unknown): GreengageError => {
    if (error instanceof GreengageError) {
        return error;
    }
    return new GreengageError("internal error", {
        code: ErrorCode.Internal,
        verdict: Verdict.MayHaveRun,
        cause: error,
    });
};

export const problemOf = (error: GreengageError): Problem => ({
    type: `urn:greengage:error:${error.code}`,
    title: error.code,
    status: statusByCode[error.code],
    detail: error.message,
    verdict: error.verdict,
});

/** Answers with a problem document. Does nothing when the headers were sent. */
export const sendProblem = (response: ServerResponse, thrown: unknown): void => {
    const error = toGreengageError(thrown);
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const problem = problemOf(error);
    const headers: Record<string, string> = { "content-type": "application/problem+json" };
    if (error.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(error.retryAfterMs / 1000)));
    }
    response.writeHead(problem.status, headers);
    response.end(JSON.stringify(problem));
};
