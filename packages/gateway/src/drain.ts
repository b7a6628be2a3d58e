import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** A load balancer may still send requests for this long after the start of a drain. */
const LOAD_BALANCER_DELAY_MS = 3_000;
/** Long enough for the rejected caller to open a connection to another daemon. */
const RETRY_AFTER_MS = 50;

/** Times of a drain, in monotonic time. */
export interface Drain {
    /** Time of the signal, which may be earlier than that of its handler. */
    startedAtMs: number;
    /** Time at which the daemon ends the requests that are still in progress. */
    closesAtMs: number;
}

export interface DrainingRequest {
    nowMs: number;
    /** Time at which the request ends at the latest. */
    endsAtMs: number;
}

/** Whether a request that was received during a drain is served. A late one is only served if it can end in time. */
export const isServedWhileDraining = (
    { startedAtMs, closesAtMs }: Drain,
    { nowMs, endsAtMs }: DrainingRequest,
): boolean => nowMs < closesAtMs && (nowMs - startedAtMs <= LOAD_BALANCER_DELAY_MS || endsAtMs <= closesAtMs);

/** Error for a request that another daemon has to serve. */
export const drainingError = (message: string): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.Draining,
        verdict: Verdict.NotRun,
        retryAfterMs: RETRY_AFTER_MS,
    });
