import { ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import type { Organisation, Route, ServiceSpec } from "@greengage/configuration";
import type { CallerRequest, CallerResponse } from "./types.ts";

/** An answer may take this much longer than the time that a backend server was given, which then answers itself. */
const DEADLINE_MARGIN_MS = 60;

/** One request of a caller with what the configuration says about it. */
export interface Call {
    request: CallerRequest;
    response: CallerResponse;
    route: Route;
    service: ServiceSpec;
    organisation: Organisation | undefined;
    /** The lower number goes first. */
    priority: number;
    /** Monotonic time at which the caller or the route gives up. */
    deadlineAtMs: number;
}

/** Monotonic time at which a request must have been answered. */
export const deadlineOf = (request: CallerRequest, route: Route): number =>
    request.receivedAtMs + Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);

export const remainingMs = (call: Call): number => call.deadlineAtMs - monotonicMs();

/** Calls `onDeadline` when the call's time is over. Returns a function that cancels it. */
export const watchDeadline = (call: Call, onDeadline: () => void): () => void => {
    const timer = setTimeout(onDeadline, Math.max(0, remainingMs(call)) + DEADLINE_MARGIN_MS);
    return () => clearTimeout(timer);
};

/** Whether the caller was turned away before: it has less time left than the route allows. */
export const isReturning = ({ request, route }: Call): boolean =>
    request.deadlineMs !== undefined && request.deadlineMs < route.timeoutMs * RETURNING_SHARE;

/** A caller that comes back has used more of its time than a first attempt loses on its way. */
const RETURNING_SHARE = 0.985;

export const timeoutError = (verdict: Verdict): GreengageError =>
    new GreengageError("the time for the request is over", { code: ErrorCode.Timeout, verdict });

export const backendError = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.BackendFailed, verdict: Verdict.MayHaveRun });
