import { ErrorCode, GreengageError, messageOf, monotonicMs, Verdict } from "@greengage/base";
import type { Organisation, Route, ServiceSpec } from "@greengage/configuration";
import { FailureKind } from "@greengage/routing";
import type { Attempt } from "./attempt.ts";
import type { GatewayParts } from "./dependencies.ts";
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

/** Why a call ended before its answer. */
export const EndReason = {
    /** The caller has closed its connection. */
    Closed: "closed",
    Deadline: "deadline",
} as const;

export type EndReason = typeof EndReason[keyof typeof EndReason];

const endings: Record<EndReason, { kind: FailureKind; text: string; }> = {
    [EndReason.Closed]: { kind: FailureKind.Cancelled, text: "the caller has left" },
    [EndReason.Deadline]: { kind: FailureKind.Deadline, text: "the time is over" },
};

/** What each kind of call does alike: it ends with its caller or its deadline, and records what it decides. */
export class CallRun {
    readonly parts: GatewayParts;
    readonly call: Call;
    /** The attempt under way. */
    attempt: Attempt | undefined;
    attemptCount = 0;
    /** Whether a backend server may have run the request. */
    mayHaveRun = false;
    endReason: EndReason | undefined;

    constructor(parts: GatewayParts, call: Call) {
        this.parts = parts;
        this.call = call;
    }

    /** Runs the attempts. Whatever they throw is the caller's answer. */
    async run(runAttempts: () => Promise<void>): Promise<void> {
        this.call.response.onClosed(() => this.#end(EndReason.Closed));
        const timer = setTimeout(
            () => this.#end(EndReason.Deadline),
            Math.max(0, remainingMs(this.call)) + DEADLINE_MARGIN_MS,
        );
        try {
            await runAttempts();
            if (this.endReason === EndReason.Deadline) {
                throw timeoutError(this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun);
            }
        }
        catch (error) {
            this.#fail(error);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Whether an attempt beyond the first is within the common budget. */
    takeAttempt(): boolean {
        return this.attemptCount === 0
            || this.parts.budgets.of(this.call.service.name).takeRetry(monotonicMs());
    }

    record(event: string, fields: Record<string, string | number | undefined>): void {
        const { request, route } = this.call;
        this.parts.context.decisions.record(event, {
            request: request.requestId,
            route: route.name,
            ageMs: Math.round(monotonicMs() - request.receivedAtMs),
            ...fields,
        });
    }

    #end(reason: EndReason): void {
        this.endReason ??= reason;
        this.attempt?.fail(endings[reason].kind, endings[reason].text);
    }

    #fail(error: unknown): void {
        const failure = error instanceof GreengageError ? error : backendError(messageOf(error));
        const { code, verdict, message, retryAfterMs } = failure;
        this.record("request.failed", {
            code,
            verdict,
            reason: message,
            attempts: this.attemptCount,
            retryAfterMs,
        });
        this.parts.context.metrics.count("gateway.failed", 1, { code });
        this.call.response.fail(failure);
    }
}

/** Whether the caller was turned away before: it has less time left than the route allows. */
export const isReturning = ({ request, route }: Call): boolean =>
    request.deadlineMs !== undefined && request.deadlineMs < route.timeoutMs * RETURNING_SHARE;

/** A caller that comes back has used more of its time than a first attempt loses on its way. */
const RETURNING_SHARE = 0.985;

const timeoutError = (verdict: Verdict): GreengageError =>
    new GreengageError("the time for the request is over", { code: ErrorCode.Timeout, verdict });

export const backendError = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.BackendFailed, verdict: Verdict.MayHaveRun });
