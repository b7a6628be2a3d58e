/** What is known when a request asks for a place. */
export interface AdmissionInput {
    /** Predicted time to the first token at the best group; undefined when no group takes requests. */
    firstTokenMs: number | undefined;
    /** Time since the daemon has read the request. */
    waitedMs: number;
    /** Time to the first token that the caller expects. */
    targetMs: number;
    /** Time until the caller gives up, from now on. */
    remainingMs: number;
    /** Whether the caller comes back after a rejection: its target has passed. */
    isReturning: boolean;
    /** Mean time that a request holds its place. */
    placeMs: number;
}

export type AdmissionVerdict =
    | { kind: "send"; }
    | { kind: "reject"; retryAfterMs: number; reason: string; };

/** A caller that comes back waits for at most this part of its remaining time. */
const RETURNING_SHARE = 0.25;
/** Callers give up on a stream without an event after two seconds. */
const PATIENCE_MS = 1_800;
/** Callers wait for at most a third of their remaining time before they come back. */
const RETRY_SHARE = 0.3;
const MIN_RETRY_MS = 150;

/**
 * Longest predicted time to the first token with which a request is sent. Half of the target is always allowed, so that
 * time lost on the way doesn't turn away a request that finds a free place.
 */
export const admissionLimitMs = (
    { waitedMs, targetMs, remainingMs, isReturning }: Omit<AdmissionInput, "firstTokenMs" | "placeMs">,
): number =>
    isReturning
        ? Math.min(PATIENCE_MS, remainingMs * RETURNING_SHARE)
        : Math.max(targetMs - waitedMs, targetMs / 2);

/**
 * Decides whether a request is sent to the best group or turned away at once. Answers a load above the capacity:
 * requests that would be late for sure would make those after them late too, so they come back when places are free.
 */
export const admit = (input: AdmissionInput): AdmissionVerdict => {
    const { firstTokenMs, remainingMs, placeMs } = input;
    if (firstTokenMs === undefined) {
        return {
            kind: "reject",
            retryAfterMs: retryAfter(remainingMs, placeMs),
            reason: "no group takes requests",
        };
    }
    const limitMs = admissionLimitMs(input);
    if (firstTokenMs <= limitMs) {
        return { kind: "send" };
    }
    const lateMs = firstTokenMs - Math.max(0, limitMs);
    return {
        kind: "reject",
        retryAfterMs: retryAfter(remainingMs, lateMs),
        reason: `first token predicted in ${Math.round(firstTokenMs)} ms`,
    };
};

/** Callers that are turned away in one moment come back over this many times the time that one of them needs. */
const SPREAD_FACTOR = 6;
const MIN_SPREAD_MS = 600;

const retryAfter = (remainingMs: number, neededMs: number): number =>
    Math.round(Math.max(MIN_RETRY_MS, Math.min(neededMs, remainingMs * RETRY_SHARE)));

/**
 * Spreads the returns of callers that are turned away together over the time that the queue needs. Answers the second
 * burst that they would make: a caller comes back once, so it should find a place then. `fraction` is in `[0, 1)`.
 */
export const spreadRetryAfterMs = (retryAfterMs: number, remainingMs: number, fraction: number): number => {
    const latestMs = Math.max(MIN_RETRY_MS, remainingMs * RETRY_SHARE);
    const windowMs = Math.min(latestMs, Math.max(MIN_SPREAD_MS, retryAfterMs * SPREAD_FACTOR));
    return Math.round(Math.min(latestMs, retryAfterMs + fraction * Math.max(0, windowMs - retryAfterMs)));
};
