import { type GreengageError, monotonicMs, sleep } from "@greengage/base";
import type { EngineProfile, ModelSpec } from "@greengage/configuration";
import { FailureKind, noCapacity } from "@greengage/routing";
import { rejectionRetryAfterMs, spreadRetryAfterMs } from "./admission.ts";
import { type AttemptOutcome, wholeMsUntil } from "./attempt.ts";
import {
    backendError,
    type Call,
    callerPatienceMs,
    CallExecution,
    isCallerRetry,
    remainingMs,
} from "./call.ts";
import { StreamDelivery } from "./delivery.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import { EmptyStreams } from "./emptystreams.ts";
import { lastEventIdOf } from "./eventsequence.ts";
import type { GroupState, InFlightRequest } from "./groupstates.ts";
import { isUnopened, PathAttempt } from "./pathattempt.ts";
import { PlacementFinder, type ResolvedPlacement } from "./placementfinder.ts";
import { ExtraAttempts, isOrderlyRejection } from "./rejections.ts";
import { incarnationOf, observeServer } from "./serversignals.ts";
import { StreamQuarantine } from "./streamquarantine.ts";
import type { GenerationParameters, ServerHead } from "./types.ts";

/** Delay before another attempt after a rejection or a failed placement. */
const RETRY_DELAY_MS = 30;
/** A stream must be resumed this long before its caller abandons it. */
const RESUME_MARGIN_MS = 200;
/** Minimum remaining time for a retry; also the shortest retry delay that a rejected caller is given. */
const MIN_RETRY_MS = 100;

interface AttemptResult {
    outcome: AttemptOutcome;
    /** Whether the engine has begun to answer. */
    hasHead: boolean;
    /** Whether the attempt has failed only because its path was lost. */
    isPathLost: boolean;
    /** Fields about the path for the decision log. */
    pathFields: PathAttempt["pathFields"];
}

/** Handles a request to a replica group, and resumes its event stream at another group if the group fails. */
export class StreamCall {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;
    readonly #generation: GenerationParameters;
    readonly #model: ModelSpec;
    readonly #placementFinder: PlacementFinder;
    readonly #execution: CallExecution;
    readonly #delivery: StreamDelivery;
    readonly #emptyStreams = new EmptyStreams();
    #head: ServerHead | undefined;
    readonly #extraAttempts = new ExtraAttempts();
    readonly #quarantine: StreamQuarantine;

    constructor(
        deps: GatewayDependencies,
        call: Call,
        generation: GenerationParameters,
        profile: EngineProfile,
        model: ModelSpec,
    ) {
        this.#deps = deps;
        this.#call = call;
        this.#execution = new CallExecution(deps, call);
        this.#generation = generation;
        this.#model = model;
        this.#placementFinder = new PlacementFinder(deps, call, { generation, profile, model });
        this.#delivery = new StreamDelivery(call.request);
        this.#quarantine = new StreamQuarantine(deps, this.#execution, this.#delivery);
    }

    run(): Promise<void> {
        const { promptTokens, maxAnswerTokens, model } = this.#generation;
        this.#deps.demandMeter.addTokens(this.#call.service.name, model, promptTokens + maxAnswerTokens);
        return this.#execution.run(() => this.#runAttempts());
    }

    async #runAttempts(): Promise<void> {
        const tried = new Set<string>();
        while (this.#execution.endReason === undefined) {
            await this.#quarantine.check();
            const { group, firstTokenMs, startDelayMs } = await this.#waitForPlacement(tried);
            if (startDelayMs > 0) {
                await sleep(startDelayMs);
            }
            // The caller may have disconnected during placement, or while the request waited for a permit.
            if (this.#execution.endReason !== undefined) {
                break;
            }
            if (!this.#execution.reserveAttempt()) {
                throw this.#finalError("the retry budget is exhausted");
            }
            tried.add(group.target.groupName);
            this.#execution.attemptCount += 1;
            const { outcome, hasHead, isPathLost, pathFields } = await this.#runAttempt(
                group,
                firstTokenMs - startDelayMs,
            );
            if (this.#execution.endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#deliverResponse(outcome)) {
                return;
            }
            const reason = outcome.kind === "complete"
                ? `responded with status ${outcome.head.status}`
                : outcome.reason;
            this.#execution.record("request.attemptFailed", { outcome: outcome.kind, reason, ...pathFields });
            if (isPathLost) {
                tried.delete(group.target.groupName);
            }
            const mayRepeat = isPathLost || this.#quarantine.mayRepeat(group, outcome, hasHead);
            if (!this.#mayRetry(outcome) || !await mayRepeat) {
                throw this.#finalError(reason);
            }
            if (outcome.kind === "notRun") {
                await sleep(RETRY_DELAY_MS);
            }
        }
    }

    /** Waits for a group for a stream that has begun, as long as its caller waits; rejects other requests immediately. */
    async #waitForPlacement(tried: ReadonlySet<string>): Promise<ResolvedPlacement> {
        for (;;) {
            try {
                return await this.#choosePlacement(tried);
            }
            catch (error) {
                const silentMs = monotonicMs() - this.#delivery.lastEventAtMs;
                if (
                    !this.#delivery.hasHead || this.#execution.endReason !== undefined
                    || silentMs > callerPatienceMs(this.#call.route) - RESUME_MARGIN_MS
                ) {
                    throw error;
                }
            }
            await sleep(RETRY_DELAY_MS);
        }
    }

    /** Selects a group. Throws if the request is rejected. */
    async #choosePlacement(tried: ReadonlySet<string>): Promise<ResolvedPlacement> {
        const { demandMeter, random } = this.#deps;
        const decision = await this.#placementFinder.choose({
            tried,
            hasHead: this.#delivery.hasHead,
            isRetry: isCallerRetry(this.#call) || this.#execution.attemptCount > 0,
        });
        if (decision.kind === "reject") {
            demandMeter.addRejected(this.#call.service.name, this.#model.name);
            if (this.#execution.mayHaveRun) {
                throw backendError(decision.reason);
            }
            const remainingTimeMs = remainingMs(this.#call);
            throw noCapacity(
                decision.reason,
                rejectionRetryAfterMs(decision, remainingTimeMs, random.nextFloat()),
            );
        }
        const { group, runningCount, firstTokenMs, startDelayMs, candidateCount, decidedBy } = decision;
        this.#execution.record("request.placed", {
            group: group.target.groupName,
            epoch: group.target.epoch,
            groupZone: group.target.zone,
            running: runningCount === undefined ? undefined : Math.round(runningCount),
            server: group.target.headId,
            predictedMs: Math.round(firstTokenMs),
            startDelayMs: startDelayMs > 0 ? Math.round(startDelayMs) : undefined,
            candidates: candidateCount,
            placedBy: decidedBy,
        });
        return decision;
    }

    async #runAttempt(group: GroupState, predictedMs: number): Promise<AttemptResult> {
        const { groups, serverHolds } = this.#deps;
        const { request, organisation, priority, deadlineAtMs } = this.#call;
        const { target } = group;
        const head = incarnationOf(target);
        const sentAtMs = monotonicMs();
        let hasHead = false;
        const mayHaveRunBefore = this.#execution.mayHaveRun;
        const attempt = new PathAttempt(this.#deps, {
            server: { serverId: target.headId, address: target.headAddress },
            bornMs: target.bornMs,
            name: `group ${target.groupName}`,
            createRequest: () => ({
                request,
                serverId: target.headId,
                deadlineMs: wholeMsUntil(deadlineAtMs),
                organisation: organisation?.name,
                priority,
                lastEventId: this.#delivery.lastEventId,
            }),
            usesPool: true,
            closesConnection: false,
            isResumption: this.#delivery.lastEventId !== undefined,
            // The group may have been withdrawn while the connection was opening.
            mayWrite: () => {
                if (
                    this.#execution.endReason !== undefined || groups.get(target.groupName) !== group
                    || this.#quarantine.isQuarantined || serverHolds.isHeld(head, monotonicMs())
                ) {
                    return false;
                }
                this.#execution.mayHaveRun = true;
                return true;
            },
            onSignals: (response, writtenAtMs) => observeServer(this.#deps, head, response, writtenAtMs),
            onHead: (response) => {
                hasHead = true;
                this.#onHead(group, response);
            },
            onEvents: (events, hasFields) => this.#onEvents(group, inFlight, events, hasFields),
            record: (event, fields) => this.#execution.record(event, fields),
        });
        const inFlight: InFlightRequest = {
            promptTokens: this.#generation.promptTokens,
            sentAtMs,
            expectedAtMs: sentAtMs + predictedMs,
            failOver: (reason) => {
                if (this.#canMove(group) && this.#execution.reserveRetry()) {
                    attempt.fail(FailureKind.Stalled, reason);
                }
            },
            isOnDirectPath: () => attempt.isOnDirectPath,
            losePath: (reason) => {
                if (this.#canResume() && this.#extraAttempts.mayLosePath && this.#execution.reserveRetry()) {
                    attempt.losePath(reason);
                }
            },
        };
        group.add(inFlight);
        this.#execution.attempt = attempt;
        const outcome = this.#emptyStreams.check(target.groupName, await attempt.run());
        this.#execution.attempt = undefined;
        if (outcome.kind === "notRun") {
            this.#execution.mayHaveRun = mayHaveRunBefore;
        }
        if (outcome.kind === "complete") {
            this.#deps.crashSuspects.recordComplete(
                this.#call.service.name,
                this.#call.culpritIds,
                monotonicMs(),
            );
        }
        group.end(inFlight, outcome.kind === "complete", monotonicMs());
        if (isUnopened(outcome)) {
            this.#execution.returnAttempt();
        }
        if (attempt.isPathLost) {
            this.#extraAttempts.recordLostPath();
        }
        else {
            this.#penalizeGroup(group, outcome);
            this.#extraAttempts.record(outcome);
        }
        const { isPathLost, pathFields } = attempt;
        return { outcome, hasHead, isPathLost, pathFields };
    }

    #onHead(group: GroupState, head: ServerHead): void {
        if (head.load !== undefined) {
            group.recordLoad(head.load, monotonicMs());
        }
        this.#head = head;
    }

    #onEvents(group: GroupState, inFlight: InFlightRequest, events: Buffer, hasFields: boolean): void {
        const { response } = this.#call;
        if (hasFields) {
            this.#recordProgress(group, inFlight);
        }
        if (!this.#delivery.hasHead && this.#head !== undefined) {
            this.#delivery.hasHead = true;
            response.sendHead(this.#head.status, this.#head.headers);
        }
        this.#delivery.lastEventId = lastEventIdOf(events) ?? this.#delivery.lastEventId;
        if (!response.write(events)) {
            const attempt = this.#execution.attempt;
            attempt?.pause();
            response.onDrained(() => attempt?.resume());
        }
    }

    #recordProgress(group: GroupState, inFlight: InFlightRequest): void {
        const nowMs = monotonicMs();
        const isFirst = this.#delivery.firstEventMs === undefined;
        this.#delivery.recordEvents(nowMs);
        if (isFirst) {
            this.#deps.context.metrics.durationMs("gateway.first_event", this.#delivery.firstEventMs ?? 0);
        }
        if (inFlight.lastEventAtMs === undefined) {
            this.#recordFirstToken(inFlight, nowMs);
            this.#deps.crashSuspects.recordServed(this.#call.service.name, this.#call.culpritIds, nowMs);
        }
        group.recordProgress(inFlight, nowMs);
    }

    #recordFirstToken({ sentAtMs, expectedAtMs }: InFlightRequest, nowMs: number): void {
        const { firstTokenOffsets } = this.#deps;
        const { service, route } = this.#call;
        const predictedMs = expectedAtMs - sentAtMs - firstTokenOffsets.get(service.name, this.#model.name);
        firstTokenOffsets.record(service.name, this.#model.name, {
            measuredMs: nowMs - sentAtMs,
            predictedMs,
            targetMs: route.targetMs,
        });
    }

    /** Sends a complete response to the caller. Returns false if the request should be retried instead. */
    #deliverResponse(outcome: Extract<AttemptOutcome, { kind: "complete"; }>): boolean {
        const { head, body } = outcome;
        const { response } = this.#call;
        if (head.status < 300) {
            if (!this.#delivery.hasHead) {
                this.#delivery.hasHead = true;
                response.sendHead(head.status, head.headers);
            }
            response.end();
            this.#execution.record("request.answered", {
                attempts: this.#execution.attemptCount,
                firstEventMs: Math.round(this.#delivery.firstEventMs ?? 0),
                longestGapMs: Math.round(this.#delivery.longestGapMs),
                targetMs: this.#call.route.targetMs,
                gapTargetMs: this.#call.route.gapTargetMs,
            });
            return true;
        }
        if (this.#delivery.hasHead) {
            return false;
        }
        if (head.status >= 500 && this.#mayRetry(outcome)) {
            return false;
        }
        response.send(head.status, head.headers, body);
        this.#execution.record("request.answeredFailure", {
            status: head.status,
            attempts: this.#execution.attemptCount,
        });
        return true;
    }

    #penalizeGroup(group: GroupState, outcome: AttemptOutcome): void {
        if (
            outcome.kind === "complete" || isOrderlyRejection(outcome)
            || this.#execution.endReason !== undefined
        ) {
            return;
        }
        const nowMs = monotonicMs();
        group.avoid(nowMs);
        const culpritId = outcome.kind === "notRun" ? outcome.head?.culpritId : undefined;
        const isUnreachable = outcome.kind === "notRun" && outcome.head === undefined;
        if (culpritId !== undefined || isUnreachable) {
            const { reason } = outcome;
            this.#deps.suspect(group, { reason, hasRunningStream: false, culpritId });
        }
    }

    #hasAttemptsLeft(): boolean {
        const allowedCount = this.#call.route.maxAttempts + this.#extraAttempts.count;
        return this.#execution.attemptCount < allowedCount && remainingMs(this.#call) > MIN_RETRY_MS;
    }

    #mayRetry(outcome: AttemptOutcome): boolean {
        if (!this.#hasAttemptsLeft() || this.#call.response.isClosed) {
            return false;
        }
        if (outcome.kind === "notRun") {
            return true;
        }
        return this.#canResume();
    }

    /** A stream that has begun can only be resumed, and one that has not begun is rerun in the same way. */
    #canResume(): boolean {
        return this.#call.route.canResume && !this.#delivery.hasEventsWithoutId;
    }

    /** Whether another group can take the request over. If none can, it stays with its group, which may only be silent. */
    #canMove(group: GroupState): boolean {
        return this.#canResume() && this.#hasAttemptsLeft()
            && this.#deps.groups.hasAlternative(group, monotonicMs());
    }

    #finalError(reason: string): GreengageError {
        if (!this.#execution.mayHaveRun && !this.#delivery.hasHead) {
            const fraction = this.#deps.random.nextFloat();
            return noCapacity(reason, spreadRetryAfterMs(MIN_RETRY_MS, remainingMs(this.#call), fraction));
        }
        return backendError(reason);
    }
}
