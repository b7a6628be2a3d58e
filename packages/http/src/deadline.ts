import { ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import { notRunError } from "./errors.ts";
import type { Exchange } from "./exchange.ts";
import { interruptionError, settleInterrupted } from "./interruption.ts";
import type { HttpLimits } from "./limits.ts";

const WHOLE_NUMBER = /^\d{1,9}$/;

/** Returns the deadline of a request from `x-deadline-ms`, or the default. Throws `bad-request` when out of range. */
export const parseDeadlineMs = (exchange: Exchange, limits: HttpLimits): number => {
    const header = exchange.request.headers["x-deadline-ms"];
    if (header === undefined) {
        return limits.deadlineMs;
    }
    const deadlineMs = WHOLE_NUMBER.test(String(header)) ? Number(header) : 0;
    if (deadlineMs < 1 || deadlineMs > limits.maxDeadlineMs) {
        const message = `x-deadline-ms must be a whole number from 1 to ${limits.maxDeadlineMs}`;
        throw notRunError(ErrorCode.BadRequest, message);
    }
    return deadlineMs;
};

interface WorkLimits {
    deadlineMs: number;
    interrupted: AbortSignal;
    disconnected?: AbortSignal;
}

/**
 * Runs work that is aborted at a deadline, by a shutdown, or when the client disconnects. Throws `timeout` at the
 * deadline.
 */
export const runWithDeadline = async <T>(
    { deadlineMs, interrupted, disconnected }: WorkLimits,
    work: (signal: AbortSignal, deadlineAtMs: number) => Promise<T>,
): Promise<T> => {
    const expired = AbortSignal.timeout(deadlineMs);
    const signals = [expired, interrupted, disconnected].filter((signal) => signal !== undefined);
    try {
        const result = work(AbortSignal.any(signals), monotonicMs() + deadlineMs);
        return await settleInterrupted(result, interrupted);
    }
    catch (error) {
        if (interrupted.aborted) {
            throw interruptionError(error);
        }
        if (error instanceof GreengageError || !expired.aborted) {
            throw error;
        }
        throw new GreengageError(`no complete response within ${deadlineMs} ms`, {
            code: ErrorCode.Timeout,
            verdict: Verdict.MayHaveRun,
            cause: error,
        });
    }
};
