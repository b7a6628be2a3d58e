import { type GreengageError, monotonicMs } from "@greengage/base";
import type { EngineProfile, ModelSpec } from "@greengage/configuration";
import { FailureKind, noCapacity } from "@greengage/routing";
import { spreadRetryAfterMs } from "./admission.ts";
import { Attempt, type AttemptOutcome, leftMs } from "./attempt.ts";
import { backendError, type Call, CallRun, isReturning, remainingMs } from "./call.ts";
import type { GatewayParts } from "./dependencies.ts";
import type { GroupState, GroupUse } from "./groupstates.ts";
import { type Place, PlaceFinder } from "./placementfinder.ts";
import type { GenerationParameters, ServerHead } from "./types.ts";

/** Wait before the same request is tried again when every group was busy or out of reach at once. */
const NEXT_TRY_MS = 30;
/** Callers leave a stream after a pause of two seconds, so it must be resumed before. */
const RESUME_LIMIT_MS = 1_700;
/** Below this rest of its time a request isn't sent again. */
const MIN_RETRY_MS = 100;
/** Id of the last event in a run of whole events. */
const EVENT_ID = /(?:^|\n)id: ?([^\r\n]*)/g;

/** What the caller has received so far. */
interface Delivered {
    hasHead: boolean;
    lastEventId: string | undefined;
    /** Time from the request to the first event. */
    firstEventMs: number | undefined;
    eventAtMs: number;
    longestGapMs: number;
}

/** A request to a replica group, answered by a stream that goes on at another group when its own fails. */
export class StreamCall {
    readonly #parts: GatewayParts;
    readonly #call: Call;
    readonly #generation: GenerationParameters;
    readonly #model: ModelSpec;
    readonly #places: PlaceFinder;
    readonly #run: CallRun;
    readonly #delivered: Delivered;
    #head: ServerHead | undefined;
    #wasRejected = false;

    constructor(
        parts: GatewayParts,
        call: Call,
        generation: GenerationParameters,
        profile: EngineProfile,
        model: ModelSpec,
    ) {
        this.#parts = parts;
        this.#call = call;
        this.#run = new CallRun(parts, call);
        this.#generation = generation;
        this.#model = model;
        this.#places = new PlaceFinder(parts, call, { generation, profile, model });
        this.#delivered = {
            hasHead: false,
            lastEventId: call.request.lastEventId,
            firstEventMs: undefined,
            eventAtMs: 0,
            longestGapMs: 0,
        };
    }

    run(): Promise<void> {
        const { promptTokens, maxAnswerTokens, model } = this.#generation;
        this.#parts.demand.add(this.#call.service.name, model, promptTokens + maxAnswerTokens);
        return this.#run.run(() => this.#runAttempts());
    }

    async #runAttempts(): Promise<void> {
        const tried = new Set<string>();
        while (this.#run.endReason === undefined) {
            const { group, firstTokenMs } = await this.#findPlace(tried);
            // The caller may have left while a place was looked for.
            if (this.#run.endReason !== undefined) {
                break;
            }
            if (!this.#run.takeAttempt()) {
                throw this.#giveUp("the budget for retries is spent");
            }
            tried.add(group.target.groupName);
            this.#run.attemptCount += 1;
            const outcome = await this.#runAt(group, firstTokenMs);
            if (this.#run.endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#finish(outcome)) {
                return;
            }
            const reason = outcome.kind === "complete" ? `answered ${outcome.head.status}` : outcome.reason;
            this.#run.record("request.attemptFailed", { outcome: outcome.kind, reason });
            if (!this.#canTryAgain(outcome)) {
                throw this.#giveUp(reason);
            }
            if (outcome.kind === "notRun") {
                await new Promise((resolve) => setTimeout(resolve, NEXT_TRY_MS));
            }
        }
    }

    /** A stream that has begun waits for a group, as long as its caller does; other requests are turned away at once. */
    async #findPlace(tried: ReadonlySet<string>): Promise<Place> {
        for (;;) {
            try {
                return await this.#place(tried);
            }
            catch (error) {
                const silentMs = monotonicMs() - this.#delivered.eventAtMs;
                if (
                    !this.#delivered.hasHead || this.#run.endReason !== undefined
                    || silentMs > RESUME_LIMIT_MS
                ) {
                    throw error;
                }
            }
            await new Promise((resolve) => setTimeout(resolve, NEXT_TRY_MS));
        }
    }

    /** Chooses a group, or throws the rejection. */
    async #place(tried: ReadonlySet<string>): Promise<Place> {
        const { demand, random } = this.#parts;
        const choice = await this.#places.choose({
            tried,
            hasHead: this.#delivered.hasHead,
            isReturning: isReturning(this.#call) || this.#run.attemptCount > 0,
        });
        if (choice.kind === "reject") {
            demand.addRejected(this.#call.service.name, this.#model.name);
            if (this.#run.mayHaveRun) {
                throw backendError(choice.reason);
            }
            const leftMs = remainingMs(this.#call);
            throw noCapacity(
                choice.reason,
                spreadRetryAfterMs(choice.retryAfterMs, leftMs, random.fraction()),
            );
        }
        const { group, runningCount, firstTokenMs, candidateCount, by } = choice;
        this.#run.record("request.placed", {
            group: group.target.groupName,
            epoch: group.target.epoch,
            groupZone: group.target.zone,
            running: runningCount === undefined ? undefined : Math.round(runningCount),
            predictedMs: Math.round(firstTokenMs),
            candidates: candidateCount,
            placedBy: by,
        });
        return choice;
    }

    async #runAt(group: GroupState, predictedMs: number): Promise<AttemptOutcome> {
        const { pools, dialect, groups } = this.#parts;
        const { request, organisation, priority, deadlineAtMs } = this.#call;
        const { target } = group;
        const sentAtMs = monotonicMs();
        const attempt = new Attempt({
            client: pools.get(`http://${target.headAddress}`, sentAtMs),
            dialect,
            name: `group ${target.groupName}`,
            serverRequest: {
                request,
                serverId: target.headId,
                deadlineMs: leftMs(deadlineAtMs),
                organisation: organisation?.name,
                priority,
                lastEventId: this.#delivered.lastEventId,
            },
            closesConnection: false,
            // The group may have been withdrawn while the connection was opened.
            mayWrite: () => this.#run.endReason === undefined && groups.get(target.groupName) === group,
            onHead: (head) => this.#onHead(group, head),
            onEvents: (events) => this.#onEvents(group, use, events),
        });
        const use: GroupUse = {
            promptTokens: this.#generation.promptTokens,
            sentAtMs,
            expectedAtMs: sentAtMs + predictedMs,
            move: (reason) => attempt.fail(FailureKind.Stalled, reason),
        };
        group.add(use);
        this.#run.attempt = attempt;
        const outcome = await attempt.run();
        this.#run.attempt = undefined;
        group.end(use, outcome.kind === "complete", monotonicMs());
        this.#judge(group, outcome);
        this.#wasRejected ||= outcome.kind === "notRun";
        return outcome;
    }

    #onHead(group: GroupState, head: ServerHead): void {
        this.#run.mayHaveRun = true;
        if (head.load !== undefined) {
            group.report(head.load, monotonicMs());
        }
        this.#head = head;
    }

    #onEvents(group: GroupState, use: GroupUse, events: Buffer): void {
        const { response, request } = this.#call;
        const nowMs = monotonicMs();
        if (this.#delivered.firstEventMs === undefined) {
            this.#delivered.firstEventMs = nowMs - request.receivedAtMs;
            this.#parts.context.metrics.durationMs("gateway.first_event", this.#delivered.firstEventMs);
        }
        else {
            this.#delivered.longestGapMs = Math.max(
                this.#delivered.longestGapMs,
                nowMs - this.#delivered.eventAtMs,
            );
        }
        this.#delivered.eventAtMs = nowMs;
        if (use.eventAtMs === undefined) {
            this.#noteFirstToken(use, nowMs);
        }
        group.progress(use, nowMs);
        if (!this.#delivered.hasHead && this.#head !== undefined) {
            this.#delivered.hasHead = true;
            response.sendHead(this.#head.status, this.#head.headers);
        }
        this.#delivered.lastEventId = lastIdOf(events) ?? this.#delivered.lastEventId;
        if (!response.write(events)) {
            const attempt = this.#run.attempt;
            attempt?.pause();
            response.onDrained(() => attempt?.resume());
        }
    }

    #noteFirstToken({ sentAtMs, expectedAtMs }: GroupUse, nowMs: number): void {
        const { offsets } = this.#parts;
        const { service, route } = this.#call;
        const figuresMs = expectedAtMs - sentAtMs - offsets.get(service.name, this.#model.name);
        offsets.note(service.name, this.#model.name, {
            actualMs: nowMs - sentAtMs,
            figuresMs,
            targetMs: route.targetMs,
        });
    }

    /** Gives a complete answer to the caller. Returns false when another attempt may do better. */
    #finish({ head, body }: Extract<AttemptOutcome, { kind: "complete"; }>): boolean {
        const { response } = this.#call;
        if (head.status < 300) {
            if (!this.#delivered.hasHead) {
                this.#delivered.hasHead = true;
                response.sendHead(head.status, head.headers);
            }
            response.end();
            this.#run.record("request.answered", {
                attempts: this.#run.attemptCount,
                firstEventMs: Math.round(this.#delivered.firstEventMs ?? 0),
                longestGapMs: Math.round(this.#delivered.longestGapMs),
                targetMs: this.#call.route.targetMs,
                gapTargetMs: this.#call.route.gapTargetMs,
            });
            return true;
        }
        if (this.#delivered.hasHead) {
            return false;
        }
        if (head.status >= 500 && this.#mayRepeat()) {
            return false;
        }
        response.send(head.status, head.headers, body);
        this.#run.record("request.answeredFailure", {
            status: head.status,
            attempts: this.#run.attemptCount,
        });
        return true;
    }

    #judge(group: GroupState, outcome: AttemptOutcome): void {
        if (outcome.kind === "complete" || this.#run.endReason !== undefined) {
            return;
        }
        const nowMs = monotonicMs();
        group.avoid(nowMs);
        const culpritId = outcome.kind === "notRun" ? outcome.head?.culpritId : undefined;
        const isUnreachable = outcome.kind === "notRun" && outcome.head === undefined;
        if (culpritId !== undefined || isUnreachable) {
            const { reason } = outcome;
            this.#parts.suspect(group, { reason, hasRunningStream: false, culpritId });
        }
    }

    /** A group that has rejected the request has not run it, so it leaves one more attempt. */
    #mayRepeat(): boolean {
        const allowedCount = this.#call.route.maxAttempts + (this.#wasRejected ? 1 : 0);
        return this.#run.attemptCount < allowedCount && remainingMs(this.#call) > MIN_RETRY_MS;
    }

    #canTryAgain(outcome: AttemptOutcome): boolean {
        if (!this.#mayRepeat() || this.#call.response.isClosed) {
            return false;
        }
        if (outcome.kind === "notRun") {
            return true;
        }
        // A stream that has begun can only be resumed; one that has not is run again in the same way.
        return this.#call.route.canResume;
    }

    #giveUp(reason: string): GreengageError {
        if (!this.#run.mayHaveRun && !this.#delivered.hasHead) {
            const { random } = this.#parts;
            const retryAfterMs = spreadRetryAfterMs(MIN_RETRY_MS, remainingMs(this.#call), random.fraction());
            return noCapacity(reason, retryAfterMs);
        }
        return backendError(reason);
    }
}

const lastIdOf = (events: Buffer): string | undefined =>
    [...events.toString("latin1").matchAll(EVENT_ID)].at(-1)?.[1]?.trim();
