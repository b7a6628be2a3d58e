import {
    type Context,
    ErrorCode,
    GreengageError,
    LogPart,
    messageOf,
    monotonicMs,
    newId,
    Verdict,
} from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { Dispatcher, ServiceCall, ServiceResponse } from "@greengage/routing";
import { createHash } from "node:crypto";
import { ActionOutcome, type ActionRecord, type IntentResult, type OutcomeCommand } from "./records.ts";

/** A call is sent within this time after its intent was proposed, or never. */
const SEND_WINDOW_MS = 2_000;
const INTENT_TIMEOUT_MS = 1_500;
const OUTCOME_TIMEOUT_MS = 5_000;

export interface ActionServiceOptions {
    context: Context;
    log: ReplicatedLog;
    dispatcher: Dispatcher;
}

/** Runs non-idempotent calls at most once per idempotency key. */
export class ActionService {
    readonly #options: ActionServiceOptions;

    constructor(options: ActionServiceOptions) {
        this.#options = options;
    }

    /** Runs the call, or returns the answer of the earlier call with the same key. Throws a GreengageError. */
    async run(call: ServiceCall, key: string, signal: AbortSignal): Promise<ServiceResponse> {
        const bodyHash = createHash("sha256").update(`${call.method} ${call.path}\n`).update(call.body)
            .digest("hex");
        const attemptId = newId();
        const proposedAtMs = monotonicMs();
        const intent = await this.#recordIntent(call, key, bodyHash, attemptId);
        if (intent.kind === "exists") {
            return answerFromRecord(intent.record, bodyHash);
        }
        if (intent.kind === "refused") {
            throw notRun("the attempt was given up");
        }
        return await this.#send(call, key, attemptId, proposedAtMs, signal);
    }

    async #recordIntent(
        call: ServiceCall,
        key: string,
        bodyHash: string,
        attemptId: string,
    ): Promise<IntentResult> {
        const { context, log } = this.#options;
        const command = {
            type: "action.intent",
            organisation: call.organisation,
            key,
            bodyHash,
            service: call.service,
            attemptId,
            daemonId: context.daemonId,
            atMs: Date.now(),
        };
        try {
            const { result } = await log.propose(command, { timeoutMs: INTENT_TIMEOUT_MS });
            return result as IntentResult;
        }
        catch (error) {
            // Nothing was sent, and nothing will be under this attempt id.
            await this.#recordOutcome(call, key, attemptId, { outcome: ActionOutcome.NotRun });
            throw notRun("the action could not be recorded", error);
        }
    }

    async #send(
        call: ServiceCall,
        key: string,
        attemptId: string,
        proposedAtMs: number,
        signal: AbortSignal,
    ): Promise<ServiceResponse> {
        const mayStillSend = (): boolean => monotonicMs() - proposedAtMs < SEND_WINDOW_MS;
        let response: ServiceResponse;
        try {
            response = await this.#options.dispatcher.callService({ ...call, mayStillSend }, signal);
        }
        catch (error) {
            if (error instanceof GreengageError && error.verdict === Verdict.NotRun) {
                await this.#recordOutcome(call, key, attemptId, { outcome: ActionOutcome.NotRun });
            }
            throw error;
        }
        await this.#recordOutcome(call, key, attemptId, {
            outcome: ActionOutcome.Ran,
            status: response.status,
            contentType: response.headers["content-type"],
            body: response.body,
        });
        return response;
    }

    async #recordOutcome(
        call: ServiceCall,
        key: string,
        attemptId: string,
        outcome: Pick<OutcomeCommand, "outcome" | "status" | "contentType" | "body">,
    ): Promise<void> {
        const { context, log } = this.#options;
        const command = {
            type: "action.outcome",
            organisation: call.organisation,
            key,
            attemptId,
            ...outcome,
        };
        try {
            await log.propose(command, { timeoutMs: OUTCOME_TIMEOUT_MS });
        }
        catch (error) {
            context.logs(LogPart.Actions).warn("could not record the outcome of an action", {
                key,
                reason: messageOf(error),
            });
        }
    }
}

const answerFromRecord = (record: ActionRecord, bodyHash: string): ServiceResponse => {
    if (record.bodyHash !== bodyHash) {
        throw new GreengageError("the idempotency key was used with another request", {
            code: ErrorCode.KeyReused,
            verdict: Verdict.NotRun,
        });
    }
    if (record.outcome !== ActionOutcome.Ran) {
        throw new GreengageError("an earlier attempt with this idempotency key may have run", {
            code: ErrorCode.OutcomeUnknown,
            verdict: Verdict.MayHaveRun,
        });
    }
    return {
        status: record.status ?? 200,
        headers: { "content-type": record.contentType ?? "application/octet-stream" },
        body: record.body ?? new Uint8Array(),
        verdict: Verdict.Ran,
    };
};

const notRun = (message: string, cause?: unknown): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.Unavailable,
        verdict: Verdict.NotRun,
        retryAfterMs: 1_000,
        cause,
    });
