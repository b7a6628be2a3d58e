import { type Context, GreengageError, Invariant, monotonicMs, sleep, Verdict } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import { GroupState, type GroupView } from "@greengage/protocol";
import { generationKey, type GroupAdmission, type Slot } from "./admission.ts";
import type { Cancellation } from "./cancellation.ts";
import type { ConnectionPools } from "./connectionpools.ts";
import { type BlamedRequest, blamedRequestOf, CRASH_FAILURES, type CrashBlame } from "./crashblame.ts";
import { DeliveredEvents } from "./deliveredevents.ts";
import { ExchangeError, FailureKind, noCapacity } from "./failures.ts";
import type { Flow } from "./fairqueue.ts";
import type { GroupLoads } from "./grouploads.ts";
import type { GroupSelector } from "./groupselector.ts";
import { MAX_PERMIT_WAIT_MS, type RequestLimits } from "./requestlimits.ts";
import type { RetryBudget } from "./retrybudget.ts";
import type { StallDetector } from "./stalldetector.ts";
import { StreamAttempt, type StreamLimits } from "./streamattempt.ts";
import type { EventSink, GenerateRequest } from "./types.ts";

const METHOD = "POST";
const PATH = "/v1/chat/completions";
const MAX_ATTEMPTS = 8;
const RETRY_AFTER_MS = 1_000;

export interface GenerationOptions {
    context: Context;
    directory: GroupDirectory;
    admission: GroupAdmission;
    selector: GroupSelector;
    loads: GroupLoads;
    budget: RetryBudget;
    pools: ConnectionPools;
    requestLimits: RequestLimits;
    blame: CrashBlame;
    stallDetector: StallDetector;
    limits: StreamLimits;
    backendKey: string;
}

/** Runs one generation request from admission to its end marker, with retries at other groups. */
export class GenerationCall {
    readonly #options: GenerationOptions;
    readonly #request: GenerateRequest;
    readonly #flow: Flow;
    readonly #sink: EventSink;
    readonly #cancellation: Cancellation;
    readonly #startedAtMs = monotonicMs();
    readonly #delivered = new DeliveredEvents();
    readonly #excluded = new Set<string>();
    readonly #blamed: BlamedRequest;
    /** Whether the request finds out if its content still crashes backend servers. */
    #isTrial = false;
    /** False once the request has crashed more than one backend server. */
    #mayRepeat = true;
    #hasDelivered = false;
    /** Whether an attempt was written and not confirmed as not run by its backend server. */
    #mayHaveRun = false;

    constructor(
        options: GenerationOptions,
        request: GenerateRequest,
        flow: Flow,
        sink: EventSink,
        cancellation: Cancellation,
    ) {
        this.#options = options;
        this.#request = request;
        this.#flow = flow;
        this.#sink = sink;
        this.#cancellation = cancellation;
        const { model, organisation, body } = request;
        this.#blamed = blamedRequestOf(`model/${model}`, {
            organisation,
            method: METHOD,
            target: PATH,
            body: Buffer.from(JSON.stringify(body)),
        });
    }

    async run(): Promise<void> {
        try {
            await this.#runAttempts();
        }
        finally {
            this.#delivered.clear();
        }
    }

    async #runAttempts(): Promise<void> {
        const { blame } = this.#options;
        for (let attempt = 1;; attempt += 1) {
            if (!this.#mayHaveRun && !this.#isTrial) {
                this.#isTrial = await blame.admit(this.#blamed);
            }
            const error = await this.#runAttempt();
            if (error === undefined || this.#hasFinishReason()) {
                blame.recordComplete(this.#blamed);
                return;
            }
            if (!(error instanceof ExchangeError) || !this.#mayRetry(error, attempt)) {
                throw this.#finalError(error);
            }
            this.#options.context.metrics.count("generation.retried", 1, { reason: error.kind });
        }
    }

    /** Runs one attempt. Returns its failure, or undefined on success. */
    async #runAttempt(): Promise<GreengageError | undefined> {
        let slot: Slot;
        try {
            slot = await this.#acquirePermittedSlot();
        }
        catch (error) {
            return error as GreengageError;
        }
        const stream = this.#createAttempt(slot.group);
        this.#cancellation.setListener((kind) => stream.abort(kind));
        try {
            await stream.run();
            this.#checkResponse(stream.isComplete, "ended before its end marker");
            return undefined;
        }
        catch (error) {
            return await this.#recordFailure(slot.group, error as ExchangeError, stream.hasMatchingId);
        }
        finally {
            slot.release();
            this.#recordLatency(slot.group, stream);
        }
    }

    /** Acquires a slot of a group that takes the request now. Waits for a limited group only if there is no other. */
    async #acquirePermittedSlot(): Promise<Slot> {
        const limited = new Set<string>();
        for (;;) {
            const slot = await this.#acquireSlot(new Set([...this.#excluded, ...limited]));
            const key = generationKey(slot.group);
            // Excluded groups are offered again once there are no others.
            const isOnlyLimited = limited.has(key);
            const { isGranted, delayMs } = await this.#options.requestLimits.acquire({
                placementKey: slot.group.zone,
                serverId: headIdOf(slot.group),
                priority: this.#flow.priority,
            }, isOnlyLimited ? Math.min(MAX_PERMIT_WAIT_MS, this.#request.deadlineAtMs - monotonicMs()) : 0);
            if (isGranted) {
                await this.#waitForPermit(slot, delayMs);
                return slot;
            }
            slot.release();
            if (isOnlyLimited) {
                throw noCapacity("all groups are at the limits that their servers name", delayMs);
            }
            limited.add(key);
        }
    }

    async #waitForPermit(slot: Slot, delayMs: number): Promise<void> {
        if (delayMs > 0) {
            await sleep(delayMs);
        }
        if (this.#cancellation.kind !== undefined) {
            slot.release();
            throw new ExchangeError(this.#cancellation.kind, "the request ended before it was sent", false);
        }
    }

    #acquireSlot(excluded: ReadonlySet<string>): Promise<Slot> {
        return this.#options.admission.acquire({
            flow: this.#flow,
            model: this.#request.model,
            prefixKey: this.#options.selector.affinityKey(this.#request.body),
            excluded,
            isResumed: this.#hasDelivered,
            deadlineAtMs: this.#request.deadlineAtMs,
        }, this.#cancellation);
    }

    #createAttempt(group: GroupView): StreamAttempt {
        const { context, directory, pools, stallDetector, limits, backendKey } = this.#options;
        const url = new URL(group.leaderUrl);
        const stream: StreamAttempt = new StreamAttempt({
            exchange: {
                client: pools.get(url.origin, monotonicMs()),
                name: `group ${group.groupId}`,
                method: METHOD,
                path: PATH,
                headers: {
                    "content-type": "application/json",
                    authorization: `Bearer ${backendKey}`,
                    "x-deadline-ms": String(
                        Math.max(0, Math.round(this.#request.deadlineAtMs - monotonicMs())),
                    ),
                    "x-group-id": group.groupId,
                    "x-group-generation": String(group.generation),
                },
                body: this.#requestBody(),
                requestId: this.#request.requestId,
                mayWrite: () => this.#mayWrite(group),
            },
            sink: this.#sink,
            delivered: this.#delivered,
            isResumption: this.#hasDelivered,
            stallDetector,
            limits,
            isSuspended: () => isSuspended(directory, group),
            onLimit: (limit, startedAtMs) =>
                this.#options.requestLimits.observe({
                    serverId: headIdOf(group),
                    limit,
                    sentAtMs: startedAtMs,
                    receivedAtMs: monotonicMs(),
                }),
            onFirstEvents: () => {
                this.#checkResponse(stream.hasMatchingId, "carries another request's id");
                if (!this.#hasDelivered) {
                    context.metrics.durationMs("generation.first_token", monotonicMs() - this.#startedAtMs);
                }
                this.#hasDelivered = true;
                this.#options.blame.recordServed(this.#blamed);
            },
        });
        return stream;
    }

    #checkResponse(isCorrect: boolean, fault: string): void {
        this.#options.context.invariants.check(
            Invariant.OwnWholeAnswer,
            isCorrect && this.#cancellation.kind !== FailureKind.Cancelled,
            () =>
                `the response to request ${this.#request.requestId} ${fault}, or its caller has disconnected`,
        );
    }

    /** Called synchronously before the write. */
    #mayWrite(group: GroupView): boolean {
        const { context, directory } = this.#options;
        const isAllowed = directory.isServing(group.zone, group.groupId, group.generation);
        if (!isAllowed || this.#isQuarantined()) {
            return false;
        }
        context.invariants.check(
            Invariant.WholeGroupServes,
            directory.isServing(group.zone, group.groupId, group.generation),
            () =>
                `request ${this.#request.requestId} was sent to group ${group.groupId} without a valid grant`,
        );
        return true;
    }

    #requestBody(): string {
        const { body } = this.#request;
        if (!this.#hasDelivered) {
            return JSON.stringify({ ...body, stream: true });
        }
        const { text, tokens } = this.#delivered.summary();
        const greengage = { resume_text: text, resume_tokens: tokens };
        return JSON.stringify({ ...body, stream: true, greengage });
    }

    async #recordFailure(group: GroupView, error: ExchangeError, hasHead: boolean): Promise<ExchangeError> {
        const { context, directory } = this.#options;
        this.#mayHaveRun ||= error.verdict !== Verdict.NotRun;
        if (error.rule.suspicionMs > 0) {
            directory.suspect(group, error.rule.suspicionMs);
        }
        this.#excluded.add(generationKey(group));
        context.timeline.record("routing", "attempt.failed", {
            requestId: this.#request.requestId,
            groupId: group.groupId,
            kind: error.kind,
        });
        if (error.verdict !== Verdict.NotRun && CRASH_FAILURES.has(error.kind)) {
            const target = { id: group.groupId, incarnation: String(group.generation) };
            const progress = { hasHead, ...(this.#hasDelivered ? { hasEvents: true } : {}) };
            this.#mayRepeat = await this.#options.blame.recordFailure(this.#blamed, target, progress);
        }
        return error;
    }

    #isQuarantined(): boolean {
        return !this.#isTrial && this.#options.blame.isQuarantined(this.#blamed);
    }

    /** Whether the caller has the event with the finish reason: the response is then complete without its end marker. */
    #hasFinishReason(): boolean {
        return this.#hasDelivered && this.#cancellation.kind === undefined
            && this.#delivered.summary().isFinished;
    }

    #mayRetry(error: ExchangeError, attempt: number): boolean {
        if (!error.rule.isRetryable || attempt >= MAX_ATTEMPTS || this.#cancellation.kind !== undefined) {
            return false;
        }
        if (this.#mayHaveRun && (!this.#mayRepeat || this.#isTrial || this.#isQuarantined())) {
            return false;
        }
        if (this.#hasDelivered) {
            // Not charged to the retry budget: a resumed stream repeats no work, and the caller can't resume it itself.
            return this.#delivered.summary().isResumable;
        }
        return error.verdict === Verdict.NotRun || this.#options.budget.takeRetry(monotonicMs());
    }

    /** Error for the caller, with a verdict that covers all attempts. */
    #finalError(error: GreengageError): GreengageError {
        const verdict = this.#mayHaveRun ? Verdict.MayHaveRun : error.verdict;
        this.#options.context.invariants.check(
            Invariant.NotRunIsTrue,
            verdict !== Verdict.NotRun || !this.#hasDelivered,
            () => `request ${this.#request.requestId} delivered tokens but has the verdict notRun`,
        );
        const { code, retryAfterMs } = error;
        const isUnserved = error instanceof ExchangeError && verdict === Verdict.NotRun
            && error.rule.isRetryable;
        return isUnserved
            ? noCapacity(error.message, RETRY_AFTER_MS)
            : new GreengageError(error.message, { code, verdict, retryAfterMs, cause: error });
    }

    #recordLatency(group: GroupView, stream: StreamAttempt): void {
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

/** Requests to a group are sent to its member of rank 0. */
const headIdOf = ({ memberVmIds, groupId }: GroupView): string => memberVmIds[0] ?? groupId;

const isSuspended = (directory: GroupDirectory, group: GroupView): boolean => {
    if (directory.isServing(group.zone, group.groupId, group.generation)) {
        return false;
    }
    const currentGroup = directory.allGroups().find(({ groupId }) => groupId === group.groupId);
    return currentGroup?.state === GroupState.Suspended || currentGroup?.state === GroupState.Dissolved;
};
