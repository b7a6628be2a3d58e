import {
    type Context,
    ErrorCode,
    GreengageError,
    Invariant,
    monotonicMs,
    newId,
    Verdict,
} from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { Dispatcher, ServiceCall, ServiceResponse } from "@greengage/routing";
import { createHash } from "node:crypto";
import {
    ActionOutcome,
    type ActionRecord,
    type IntentResult,
    type OutcomeCommand,
    type SettleCommand,
    type SettleResult,
} from "./commands.ts";
import { OutcomeRecorder } from "./outcomerecorder.ts";
import type { ActionRecords } from "./records.ts";
import { rejectSpentKey, responseFromRecord } from "./replay.ts";

/** A call must be sent within this time after its intent was proposed, or not at all. */
const SEND_WINDOW_MS = 2_000;
const INTENT_TIMEOUT_MS = 1_500;
/** How long a response waits for its outcome to be recorded. Recording then continues in the background. */
const OUTCOME_TIMEOUT_MS = 2_000;
const SETTLE_TIMEOUT_MS = 5_000;
/** Larger response bodies are returned to the caller but not stored for replay. */
const MAX_STORED_BODY_BYTES = 16 * 1024;
const RETRY_AFTER_MS = 1_000;

export interface ActionServiceOptions {
    context: Context;
    log: ReplicatedLog;
    /** Local replica of the action records. */
    records: ActionRecords;
    dispatcher: Pick<Dispatcher, "admit" | "callService">;
}

interface Attempt {
    call: ServiceCall;
    key: string;
    attemptId: string;
    proposedAtMs: number;
}

/** An operator's decision on an action whose outcome is unknown. */
export type Settlement = Omit<SettleCommand, "type">;

/** Runs non-idempotent calls at most once per idempotency key. */
export class ActionService {
    readonly #options: ActionServiceOptions;
    readonly #outcomes: OutcomeRecorder;

    constructor(options: ActionServiceOptions) {
        this.#options = options;
        this.#outcomes = new OutcomeRecorder(options.context, options.log);
    }

    /** Waits a limited time for pending outcomes to be recorded. Must be called before the replicated log is closed. */
    close(): Promise<void> {
        return this.#outcomes.close();
    }

    /** Runs the call, or replays the response of an earlier call with the same key. Throws a GreengageError. */
    async run(call: ServiceCall, key: string, signal: AbortSignal): Promise<ServiceResponse> {
        const bodyHash = createHash("sha256").update(`${call.method} ${call.path}\n`).update(call.body)
            .digest("hex");
        const existing = this.#options.records.get(call.organisation, key);
        if (existing?.outcome !== undefined && existing.outcome !== ActionOutcome.NotRun) {
            // An outcome is final. An admission error here would wrongly tell the caller that the action was not run.
            return responseFromRecord(existing, bodyHash);
        }
        const release = this.#options.dispatcher.admit(call.organisation);
        try {
            const attempt = { call, key, attemptId: newId(), proposedAtMs: monotonicMs() };
            const intent = await this.#recordIntent(attempt, bodyHash);
            return intent.kind === "accepted"
                ? await this.#send(attempt, signal)
                : this.#respondWithoutSending(intent, bodyHash);
        }
        finally {
            release();
        }
    }

    /** Actions without an outcome in the local records, oldest first. */
    listUnknown(): ActionRecord[] {
        return this.#options.records.unknownOutcomes();
    }

    /** Settles an action whose outcome is unknown. Its key is never sent again. Idempotent. */
    async settle(settlement: Settlement): Promise<SettleResult> {
        if (settlement.reason.trim() === "" || settlement.operator.trim() === "") {
            throw new GreengageError("a settlement requires an operator and a reason", {
                code: ErrorCode.Invalid,
                verdict: Verdict.NotRun,
            });
        }
        const command: SettleCommand = { type: "action.settle", ...settlement };
        const { result } = await this.#options.log.propose(command, { timeoutMs: SETTLE_TIMEOUT_MS });
        const settled = result as SettleResult;
        const { organisation, key, outcome, operator, reason } = settlement;
        this.#options.context.timeline.record("actions", `action.settle.${settled.kind}`, {
            organisation,
            key,
            outcome,
            operator,
            reason,
        });
        return settled;
    }

    #respondWithoutSending(intent: IntentResult, bodyHash: string): ServiceResponse {
        const handlers = {
            accepted: () => rejectSpentKey(),
            refused: () => {
                throw notRunError("the attempt was abandoned");
            },
            spent: () => rejectSpentKey(),
            full: () => {
                throw notRunError("the limit of action records is reached; settle unknown outcomes");
            },
        };
        return intent.kind === "exists"
            ? responseFromRecord(intent.record, bodyHash)
            : handlers[intent.kind]();
    }

    async #recordIntent(attempt: Attempt, bodyHash: string): Promise<IntentResult> {
        const { context, log } = this.#options;
        const { call, key, attemptId } = attempt;
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
            if (error instanceof GreengageError && error.verdict === Verdict.NotRun) {
                throw notRunError("the action could not be recorded", error);
            }
            return await this.#voidAttempt(attempt, error);
        }
    }

    /** Voids an attempt whose intent may have been committed. The key may be used again once that is recorded. */
    async #voidAttempt(attempt: Attempt, cause: unknown): Promise<IntentResult> {
        const result = await this.#outcomes.record(
            this.#createOutcome(attempt, { outcome: ActionOutcome.NotRun }),
            OUTCOME_TIMEOUT_MS,
        );
        if (result === undefined) {
            throw new GreengageError(
                "the action could not be recorded, and its key can't be used again yet",
                {
                    code: ErrorCode.OutcomeUnknown,
                    verdict: Verdict.MayHaveRun,
                    retryAfterMs: RETRY_AFTER_MS,
                    cause,
                },
            );
        }
        const currentRecord = result.kind === "voided" ? result.record : undefined;
        if (currentRecord !== undefined && currentRecord.outcome !== ActionOutcome.NotRun) {
            return { kind: "exists", record: currentRecord };
        }
        throw notRunError("the action could not be recorded", cause);
    }

    async #send(attempt: Attempt, signal: AbortSignal): Promise<ServiceResponse> {
        const { call } = attempt;
        const mayStillSend = (): boolean => this.#mayStillSend(attempt);
        let response: ServiceResponse;
        try {
            response = await this.#options.dispatcher.callService({ ...call, mayStillSend }, signal);
        }
        catch (error) {
            if (error instanceof GreengageError && error.verdict === Verdict.NotRun) {
                const outcome = this.#createOutcome(attempt, { outcome: ActionOutcome.NotRun });
                await this.#outcomes.record(outcome, OUTCOME_TIMEOUT_MS);
            }
            throw error;
        }
        const isStored = response.body.length <= MAX_STORED_BODY_BYTES;
        const outcome = this.#createOutcome(attempt, {
            outcome: ActionOutcome.Ran,
            status: response.status,
            contentType: response.headers["content-type"],
            body: isStored ? response.body : undefined,
        });
        const result = await this.#outcomes.record(outcome, OUTCOME_TIMEOUT_MS);
        this.#checkRecordedOutcome(attempt, result?.kind === "known" ? result.record : undefined);
        return response;
    }

    /** Must be called synchronously with the write, so that the check still holds. */
    #mayStillSend(attempt: Attempt): boolean {
        if (monotonicMs() - attempt.proposedAtMs >= SEND_WINDOW_MS) {
            return false;
        }
        const record = this.#options.records.get(attempt.call.organisation, attempt.key);
        const isSettled = record?.attemptId === attempt.attemptId && record.outcome !== undefined;
        return !isSettled;
    }

    #checkRecordedOutcome(attempt: Attempt, known: ActionRecord | undefined): void {
        this.#options.context.invariants.check(
            Invariant.NotRunIsTrue,
            known?.outcome !== ActionOutcome.NotRun,
            () => `action ${attempt.key} ran but is recorded as not run`,
        );
        if (known?.outcome === ActionOutcome.SettledNotRun) {
            const { key, attemptId } = attempt;
            this.#options.context.timeline.record("actions", "action.ranAfterSettlement", { key, attemptId });
        }
    }

    #createOutcome(
        { call, key, attemptId }: Attempt,
        fields: Pick<OutcomeCommand, "outcome" | "status" | "contentType" | "body">,
    ): OutcomeCommand {
        return { type: "action.outcome", organisation: call.organisation, key, attemptId, ...fields };
    }
}

const notRunError = (message: string, cause?: unknown): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.Unavailable,
        verdict: Verdict.NotRun,
        retryAfterMs: RETRY_AFTER_MS,
        cause,
    });
