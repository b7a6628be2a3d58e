import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { IncomingMessage, ServerResponse } from "node:http";
import { DetailedError } from "./errors.ts";

const statusByCode: Record<ErrorCode, number> = {
    [ErrorCode.BadRequest]: 400,
    [ErrorCode.Unauthorized]: 401,
    [ErrorCode.NotFound]: 404,
    [ErrorCode.MethodNotAllowed]: 405,
    [ErrorCode.SlowRequest]: 408,
    [ErrorCode.Conflict]: 409,
    [ErrorCode.Unsafe]: 409,
    [ErrorCode.OutcomeUnknown]: 409,
    [ErrorCode.TooLarge]: 413,
    [ErrorCode.UnsupportedMediaType]: 415,
    [ErrorCode.Invalid]: 422,
    [ErrorCode.KeyReused]: 422,
    [ErrorCode.LimitReached]: 429,
    [ErrorCode.HeadersTooLarge]: 431,
    [ErrorCode.Cancelled]: 499,
    [ErrorCode.Internal]: 500,
    [ErrorCode.BackendFailed]: 502,
    [ErrorCode.NoCapacity]: 503,
    [ErrorCode.Unavailable]: 503,
    [ErrorCode.Draining]: 503,
    [ErrorCode.Quarantined]: 503,
    [ErrorCode.Timeout]: 504,
};

/** Time for which the rest of a body is discarded after an early error, so that the client can read the error. */
const DISCARD_TIMEOUT_MS = 1_000;

/** Body of an error response: problem details (RFC 9457) with the verdict. */
export interface Problem {
    type: string;
    title: string;
    status: number;
    detail: string;
    verdict: Verdict;
    /** Additional members of some errors, for example `fields` or `hazards`. */
    [member: string]: unknown;
}

/** Converts any thrown value to a GreengageError. */
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

export const createProblem = (error: GreengageError): Problem => ({
    ...(error instanceof DetailedError ? error.members : {}),
    type: `urn:greengage:error:${error.code}`,
    title: error.code,
    status: statusByCode[error.code],
    detail: error.message,
    verdict: error.verdict,
});

/** Status, headers and body of an error response. */
export const problemResponse = (
    error: GreengageError,
): { status: number; headers: Record<string, string>; body: Buffer; } => {
    const problem = createProblem(error);
    const body = Buffer.from(JSON.stringify(problem));
    const headers: Record<string, string> = {
        "content-type": "application/problem+json",
        "content-length": String(body.length),
    };
    if (error.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(error.retryAfterMs / 1000)));
    }
    return { status: problem.status, headers, body };
};

/** Sends a problem document. Must be called before the response headers are sent. */
export const sendProblem = (
    request: IncomingMessage,
    response: ServerResponse,
    error: GreengageError,
    extraHeaders: Record<string, string> = {},
): void => {
    const { status, headers, body } = problemResponse(error);
    if (request.complete) {
        response.writeHead(status, { ...headers, ...extraHeaders });
        response.end(body);
        return;
    }
    response.shouldKeepAlive = false;
    response.writeHead(status, { ...headers, ...extraHeaders });
    // Closing a connection with unread data resets it, so the client could lose the response.
    response.write(body);
    request.resume();
    const end = (): void => {
        clearTimeout(timer);
        response.end();
    };
    const timer = setTimeout(end, DISCARD_TIMEOUT_MS);
    request.once("end", end);
    request.once("close", end);
};
