import {
    type DecisionFields,
    ErrorCode,
    GreengageError,
    messageOf,
    monotonicMs,
    Verdict,
} from "@greengage/base";
import type { Organisation, Route, ServiceSpec } from "@greengage/configuration";
import { FailureKind } from "@greengage/routing";
import type { GatewayDependencies } from "./dependencies.ts";
import { drainingError } from "./drain.ts";
import { outcomeOfError, RequestOutcome } from "./outcome.ts";
import type { RunningAttempt } from "./pathattempt.ts";
import type { CallerRequest, CallerResponse } from "./types.ts";

/** Extra time after the deadline, in which a backend server can still respond with its own timeout error. */
const DEADLINE_MARGIN_MS = 60;

/** Request of a caller with its resolved route, service and organisation. */
export interface Call {
    request: CallerRequest;
    response: CallerResponse;
    route: Route;
    service: ServiceSpec;
    organisation: Organisation | undefined;
    /** Culprits that can be blamed if the request crashes its server, widest first; the last one is the request itself. */
    culpritIds: readonly string[];
    /** Lower numbers go first. */
    priority: number;
    /** Deadline of the caller or the route, whichever is earlier, in monotonic time. */
    deadlineAtMs: number;
}

/** Deadline of a request, in monotonic time. */
export const deadlineOf = (request: CallerRequest, route: Route): number =>
    request.receivedAtMs + Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);

/** Pause of a stream, or time before its first event, after which callers abandon it. */
export const callerPatienceMs = ({ targetMs, gapTargetMs }: Route): number =>
    Math.max(2_000, 4 * targetMs, 8 * (gapTargetMs ?? 0));

/** Time at which a call ends at the latest, in monotonic time. */
export const endsAtMs = ({ deadlineAtMs }: Call): number => deadlineAtMs + DEADLINE_MARGIN_MS;

export const remainingMs = (call: Call): number => call.deadlineAtMs - monotonicMs();

const SHUTDOWN_MESSAGE = "the daemon shuts down";

/** Reason why a call ended before its response was complete. */
export const EndReason = {
    /** The caller closed its connection. */
    Closed: "closed",
    Deadline: "deadline",
    /** The daemon shuts down. */
    Shutdown: "shutdown",
} as const;

export type EndReason = typeof EndReason[keyof typeof EndReason];

const endFailures: Record<EndReason, { kind: FailureKind; message: string; }> = {
    [EndReason.Closed]: { kind: FailureKind.Cancelled, message: "the caller closed its connection" },
    [EndReason.Deadline]: { kind: FailureKind.Deadline, message: "the deadline has passed" },
    [EndReason.Shutdown]: { kind: FailureKind.Cancelled, message: SHUTDOWN_MESSAGE },
};

/** Final error of a call by the reason for its end. */
const endErrors: Record<EndReason, (execution: CallExecution) => GreengageError> = {
    [EndReason.Closed]: ({ verdict }) =>
        new GreengageError("the caller closed its connection", { code: ErrorCode.Cancelled, verdict }),
    [EndReason.Deadline]: ({ verdict }) =>
        new GreengageError("the deadline of the request has passed", { code: ErrorCode.Timeout, verdict }),
    [EndReason.Shutdown]: ({ mayHaveRun }) =>
        mayHaveRun ? backendError(SHUTDOWN_MESSAGE) : drainingError(SHUTDOWN_MESSAGE),
};

/** Behaviour common to all kinds of call: ends with its caller or its deadline, and logs decisions. */
export class CallExecution {
    readonly deps: GatewayDependencies;
    readonly call: Call;
    /** The attempt that is running. */
    attempt: RunningAttempt | undefined;
    attemptCount = 0;
    /** Whether a backend server may have run the request. */
    mayHaveRun = false;
    endReason: EndReason | undefined;
    #hasReservedRetry = false;
    #notifyEnded: () => void = () => undefined;

    constructor(deps: GatewayDependencies, call: Call) {
        this.deps = deps;
        this.call = call;
    }

    /** Runs the attempts. An error that they throw is sent to the caller. */
    async run(runAttempts: () => Promise<void>): Promise<void> {
        const { calls } = this.deps;
        calls.add(this);
        this.call.response.onClosed(() => this.end(EndReason.Closed));
        const timer = setTimeout(
            () => this.end(EndReason.Deadline),
            Math.max(0, endsAtMs(this.call) - monotonicMs()),
        );
        const ended = new Promise<void>((resolve) => {
            this.#notifyEnded = resolve;
        });
        try {
            // A call that waits between two attempts ends at once, too.
            await Promise.race([runAttempts(), ended]);
            const error = this.#endError();
            if (error !== undefined) {
                throw error;
            }
        }
        catch (error) {
            // An error that the end of the attempt caused can have another verdict than the call.
            this.#fail(this.#endError() ?? error);
        }
        finally {
            calls.delete(this);
            clearTimeout(timer);
        }
    }

    get verdict(): Verdict {
        return this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    }

    /** Charges an attempt beyond the first to the retry budget. Returns false if the budget is exhausted. */
    reserveAttempt(): boolean {
        const isReserved = this.attemptCount === 0 || this.reserveRetry();
        this.#hasReservedRetry = false;
        return isReserved;
    }

    /** Frees the next attempt of charge, as nothing of the last one has reached a server. */
    returnAttempt(): void {
        this.#hasReservedRetry = true;
    }

    /** Charges the next attempt to the retry budget in advance. Returns false if the budget is exhausted. */
    reserveRetry(): boolean {
        this.#hasReservedRetry ||= this.deps.retryBudgets.forService(this.call.service.name)
            .takeRetry(monotonicMs());
        return this.#hasReservedRetry;
    }

    /** Ends the running attempt. The caller gets an error if it still waits for a response. */
    end(reason: EndReason): void {
        this.endReason ??= reason;
        this.#notifyEnded();
        this.attempt?.fail(endFailures[reason].kind, endFailures[reason].message);
    }

    record(event: string, fields: DecisionFields): void {
        const { request, route } = this.call;
        this.deps.context.decisions.record(event, {
            request: request.requestId,
            route: route.name,
            ageMs: Math.round(monotonicMs() - request.receivedAtMs),
            drainMs: this.deps.drainMs(),
            ...fields,
        });
    }

    #endError(): GreengageError | undefined {
        return this.endReason === undefined ? undefined : endErrors[this.endReason](this);
    }

    #fail(error: unknown): void {
        const failure = error instanceof GreengageError ? error : backendError(messageOf(error));
        const { code, verdict, message, retryAfterMs } = failure;
        const { response } = this.call;
        const outcome = outcomeOfError(response);
        this.record(outcome === RequestOutcome.Abandoned ? "request.abandoned" : "request.failed", {
            outcome,
            code,
            verdict,
            reason: message,
            attempts: this.attemptCount,
            retryAfterMs,
        });
        if (outcome !== RequestOutcome.Abandoned) {
            this.deps.context.metrics.count("gateway.failed", 1, { code });
        }
        response.fail(failure);
    }
}

/** Whether the caller retries after a rejection, which shows in a deadline shorter than the route's timeout. */
export const isCallerRetry = ({ request, route }: Call): boolean =>
    request.deadlineMs !== undefined && request.deadlineMs < route.timeoutMs * RETRY_DEADLINE_SHARE;

/** A retry has used up a larger share of the timeout than a first request loses in transit. */
const RETRY_DEADLINE_SHARE = 0.985;

export const backendError = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.BackendFailed, verdict: Verdict.MayHaveRun });
