import { type Context, GreengageError, Invariant, monotonicMs, Verdict } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import { GroupState, type GroupView } from "@greengage/protocol";
import { generationKey, type GroupAdmission, type Slot } from "./admission.ts";
import type { Cancellation } from "./cancellation.ts";
import type { Pools } from "./connectionpools.ts";
import { DeliveredEvents } from "./deliveredevents.ts";
import { ExchangeError, FailureKind, noCapacity } from "./failures.ts";
import type { Party } from "./fairqueue.ts";
import type { GroupLoads } from "./grouploads.ts";
import type { GroupSelector } from "./groupselector.ts";
import type { RetryBudget } from "./retrybudget.ts";
import type { StallWatch } from "./stalldetector.ts";
import { StreamAttempt, type StreamLimits } from "./streamattempt.ts";
import type { EventSink, GenerateRequest } from "./types.ts";

const MAX_ATTEMPTS = 8;
const RETRY_AFTER_MS = 1_000;

export interface GenerationOptions {
    context: Context;
    directory: GroupDirectory;
    admission: GroupAdmission;
    chooser: GroupSelector;
    loads: GroupLoads;
    budget: RetryBudget;
    pools: Pools;
    watch: StallWatch;
    limits: StreamLimits;
    backendKey: string;
}

/** One generation request from its admission to its end marker, over as many attempts as it takes. */
export class Generation {
    readonly #options: GenerationOptions;
    readonly #request: GenerateRequest;
    readonly #party: Party;
    readonly #sink: EventSink;
    readonly #cancellation: Cancellation;
    readonly #startedAtMs = monotonicMs();
    readonly #delivered = new DeliveredEvents();
    readonly #excluded = new Set<string>();
    #hasDelivered = false;
    /** Whether an attempt was written that no backend server has answered as not run. */
    #mayHaveRun = false;

    constructor(
        options: GenerationOptions,
        request: GenerateRequest,
        party: Party,
        sink: EventSink,
        cancellation: Cancellation,
    ) {
        this.#options = options;
        this.#request = request;
        this.#party = party;
        this.#sink = sink;
        this.#cancellation = cancellation;
    }

    async run(): Promise<void> {
        for (let attempt = 1;; attempt += 1) {
            const error = await this.#attempt();
            if (error === undefined || this.#isFinished()) {
                return;
            }
            if (!(error instanceof ExchangeError) || !this.#mayRetry(error, attempt)) {
                throw this.#final(error);
            }
            this.#options.context.metrics.count("generation.retried", 1, { reason: error.kind });
        }
    }

    /** Runs one attempt and returns its failure. */
    async #attempt(): Promise<GreengageError | undefined> {
        let slot: Slot;
        try {
            slot = await this.#options.admission.acquire({
                party: this.#party,
                model: this.#request.model,
                prefixKey: this.#options.chooser.affinityKey(this.#request.body),
                excluded: this.#excluded,
                isResumed: this.#hasDelivered,
                deadlineAtMs: this.#request.deadlineAtMs,
            }, this.#cancellation);
        }
        catch (error) {
            return error as GreengageError;
        }
        const stream = this.#stream(slot.group);
        this.#cancellation.listen((kind) => stream.abort(kind));
        try {
            await stream.run();
            this.#checkAnswer(stream.isWhole, "ends before its end marker");
            return undefined;
        }
        catch (error) {
            return this.#failed(slot.group, error as ExchangeError);
        }
        finally {
            slot.release();
            this.#measure(slot.group, stream);
        }
    }

    #stream(group: GroupView): StreamAttempt {
        const { context, directory, pools, watch, limits, backendKey } = this.#options;
        const url = new URL(group.leaderUrl);
        const stream: StreamAttempt = new StreamAttempt({
            exchange: {
                client: pools.get(url.origin, monotonicMs()),
                name: `group ${group.groupId}`,
                method: "POST",
                path: "/v1/chat/completions",
                headers: {
                    "content-type": "application/json",
                    authorization: `Bearer ${backendKey}`,
                    "x-deadline-ms": String(
                        Math.max(0, Math.round(this.#request.deadlineAtMs - monotonicMs())),
                    ),
                    "x-group-id": group.groupId,
                    "x-group-generation": String(group.generation),
                },
                body: this.#body(),
                requestId: this.#request.requestId,
                mayWrite: () => this.#mayWrite(group),
            },
            sink: this.#sink,
            delivered: this.#delivered,
            watch,
            limits,
            isSuspended: () => isSuspended(directory, group),
            onFirstEvents: () => {
                this.#checkAnswer(stream.hasOwnId, "has another request's id");
                if (!this.#hasDelivered) {
                    context.metrics.durationMs("generation.first_token", monotonicMs() - this.#startedAtMs);
                }
                this.#hasDelivered = true;
            },
        });
        return stream;
    }

    #checkAnswer(holds: boolean, fault: string): void {
        this.#options.context.invariants.check(
            Invariant.OwnWholeAnswer,
            holds && this.#cancellation.kind !== FailureKind.Cancelled,
            () => `the answer to request ${this.#request.requestId} ${fault}, or its caller has gone`,
        );
    }

    /** Runs in the same step as the write. */
    #mayWrite(group: GroupView): boolean {
        const { context, directory } = this.#options;
        const isAllowed = directory.isServing(group.zone, group.groupId, group.generation);
        if (!isAllowed) {
            return false;
        }
        context.invariants.check(
            Invariant.WholeGroupServes,
            directory.isServing(group.zone, group.groupId, group.generation),
            () => `request ${this.#request.requestId} goes to group ${group.groupId} without a grant`,
        );
        return true;
    }

    #body(): string {
        const { body } = this.#request;
        if (!this.#hasDelivered) {
            return JSON.stringify({ ...body, stream: true });
        }
        const { text, tokens } = this.#delivered.summary();
        const greengage = { resume_text: text, resume_tokens: tokens };
        return JSON.stringify({ ...body, stream: true, greengage });
    }

    #failed(group: GroupView, error: ExchangeError): ExchangeError {
        const { context, directory } = this.#options;
        this.#mayHaveRun ||= error.verdict !== Verdict.NotRun;
        if (error.rule.suspectMs > 0) {
            directory.suspect(group, error.rule.suspectMs);
        }
        this.#excluded.add(generationKey(group));
        context.timeline.record("routing", "attempt.failed", {
            requestId: this.#request.requestId,
            groupId: group.groupId,
            kind: error.kind,
        });
        return error;
    }

    /** The answer is whole without its end marker when the caller has its last event. */
    #isFinished(): boolean {
        return this.#hasDelivered && this.#cancellation.kind === undefined
            && this.#delivered.summary().isFinished;
    }

    #mayRetry(error: ExchangeError, attempt: number): boolean {
        if (!error.rule.isRetried || attempt >= MAX_ATTEMPTS || this.#cancellation.kind !== undefined) {
            return false;
        }
        if (this.#hasDelivered) {
            // A resumed stream repeats no work of the engines, and its caller has no other way to the rest.
            return this.#delivered.summary().isResumable;
        }
        return error.verdict === Verdict.NotRun || this.#options.budget.takeRetry(monotonicMs());
    }

    /** The error for the caller: its verdict covers all attempts. */
    #final(error: GreengageError): GreengageError {
        const verdict = this.#mayHaveRun ? Verdict.MayHaveRun : error.verdict;
        this.#options.context.invariants.check(
            Invariant.NotRunIsTrue,
            verdict !== Verdict.NotRun || !this.#hasDelivered,
            () => `request ${this.#request.requestId} has tokens and the verdict notRun`,
        );
        const { code, retryAfterMs } = error;
        const isUnserved = error instanceof ExchangeError && verdict === Verdict.NotRun
            && error.rule.isRetried;
        return isUnserved
            ? noCapacity(error.message, RETRY_AFTER_MS)
            : new GreengageError(error.message, { code, verdict, retryAfterMs, cause: error });
    }

    #measure(group: GroupView, stream: StreamAttempt): void {
        const { loads, context } = this.#options;
        if (stream.firstTokenMs !== undefined) {
            loads.recordFirstToken(group.groupId, stream.firstTokenMs);
        }
        if (stream.tokenGapMs !== undefined) {
            loads.recordTokenGap(group.groupId, stream.tokenGapMs);
            context.metrics.durationMs("generation.token_gap", stream.tokenGapMs);
        }
    }
}

const isSuspended = (directory: GroupDirectory, group: GroupView): boolean => {
    if (directory.isServing(group.zone, group.groupId, group.generation)) {
        return false;
    }
    const known = directory.allGroups().find(({ groupId }) => groupId === group.groupId);
    return known?.state === GroupState.Suspended || known?.state === GroupState.Dissolved;
};
