/** Input of the admission decision for one request. */
export interface AdmissionInput {
    /** Predicted time to the first token at the best group; undefined if no group accepts requests. */
    firstTokenMs: number | undefined;
    /** Time since the daemon read the head of the request. */
    elapsedMs: number;
    /** Target for the time to the first token. */
    targetMs: number;
    /** Time left until the caller gives up. */
    remainingMs: number;
    /** Whether the caller retries after a rejection, so that its target has already passed. */
    isRetry: boolean;
    /** Mean time that a request occupies its slot. */
    slotOccupancyMs: number;
}

export type AdmissionDecision =
    | { kind: "send"; }
    | {
        kind: "reject";
        retryAfterMs: number;
        reason: string;
        /** Whether `retryAfterMs` differs among callers that are rejected together. */
        isSpread?: boolean;
    };

/** Share of its remaining time that a retried request may wait for its first token. */
const RETRY_WAIT_SHARE = 0.25;
/** Callers abandon a stream that has no event after two seconds. */
const MAX_RETRY_FIRST_TOKEN_MS = 1_800;
/** Callers wait for at most a third of their remaining time before they retry. */
const MAX_RETRY_AFTER_SHARE = 0.3;
const MIN_RETRY_AFTER_MS = 150;

/**
 * Longest predicted time to the first token with which a request is admitted. Half of the target is always allowed, so that
 * latency before this daemon does not cause the rejection of a request for which a slot is free.
 */
export const admissionLimitMs = (
    { elapsedMs, targetMs, remainingMs, isRetry }: Omit<AdmissionInput, "firstTokenMs" | "slotOccupancyMs">,
): number =>
    isRetry
        ? Math.min(MAX_RETRY_FIRST_TOKEN_MS, remainingMs * RETRY_WAIT_SHARE)
        : Math.max(targetMs - elapsedMs, targetMs / 2);

/**
 * Decides whether a request is sent to the best group or rejected immediately. Under overload, requests that are certain to
 * be late would delay those after them too, so they are rejected and retried by their callers when slots are free.
 */
export const admit = (input: AdmissionInput): AdmissionDecision => {
    const { firstTokenMs, remainingMs, slotOccupancyMs } = input;
    if (firstTokenMs === undefined) {
        return {
            kind: "reject",
            retryAfterMs: boundedRetryAfterMs(remainingMs, slotOccupancyMs),
            reason: "no group is available",
        };
    }
    const limitMs = admissionLimitMs(input);
    if (firstTokenMs <= limitMs) {
        return { kind: "send" };
    }
    const excessMs = firstTokenMs - Math.max(0, limitMs);
    return {
        kind: "reject",
        retryAfterMs: boundedRetryAfterMs(remainingMs, excessMs),
        reason: `predicted time to the first token is too long: ${Math.round(firstTokenMs)} ms`,
    };
};

/** Retries of callers that are rejected together are spread over this multiple of the retry delay. */
const RETRY_SPREAD_FACTOR = 6;
const MIN_RETRY_SPREAD_MS = 600;

const boundedRetryAfterMs = (remainingMs: number, wantedMs: number): number =>
    Math.round(Math.max(MIN_RETRY_AFTER_MS, Math.min(wantedMs, remainingMs * MAX_RETRY_AFTER_SHARE)));

/**
 * Adds jitter to the retry delay, so that callers that are rejected together do not return as a second burst. A caller
 * retries only once, so it should find a free slot then. `fraction` is a random number in `[0, 1)`.
 */
export const spreadRetryAfterMs = (retryAfterMs: number, remainingMs: number, fraction: number): number => {
    const latestMs = Math.max(MIN_RETRY_AFTER_MS, remainingMs * MAX_RETRY_AFTER_SHARE);
    const windowMs = Math.min(latestMs, Math.max(MIN_RETRY_SPREAD_MS, retryAfterMs * RETRY_SPREAD_FACTOR));
    return Math.round(Math.min(latestMs, retryAfterMs + fraction * Math.max(0, windowMs - retryAfterMs)));
};

/** `retryAfterMs` that the caller of a rejected request gets. */
export const rejectionRetryAfterMs = (
    { retryAfterMs, isSpread }: Extract<AdmissionDecision, { kind: "reject"; }>,
    remainingMs: number,
    fraction: number,
): number => isSpread ? retryAfterMs : spreadRetryAfterMs(retryAfterMs, remainingMs, fraction);

/** Callers that are turned away during a pause return over this multiple of it, which adds a quarter to the usual rate. */
const RETURN_SPREAD_FACTOR = 4;

/**
 * Time after which a caller that is turned away should return. It is never before the end of the pause, also if the caller doesn't
 * wait that long. `fraction` is a random number in `[0, 1)`.
 */
export const spreadReturnMs = (
    { waitMs, pauseMs }: { waitMs: number; pauseMs: number; },
    fraction: number,
): number => Math.ceil(waitMs + fraction * RETURN_SPREAD_FACTOR * pauseMs);
