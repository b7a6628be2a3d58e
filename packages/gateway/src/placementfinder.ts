import { monotonicMs } from "@greengage/base";
import type { EngineProfile, ModelSpec } from "@greengage/configuration";
import type { PlacementResponse } from "@greengage/protocol";
import { type AdmissionDecision, admissionLimitMs, admit } from "./admission.ts";
import { type Call, remainingMs } from "./call.ts";
import { permitOf } from "./controllers.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import { type GroupState, meanSlotOccupancyMs } from "./groupstates.ts";
import { choosePlacement } from "./placement.ts";
import { incarnationOf, waitForReturn } from "./serversignals.ts";
import type { GenerationParameters } from "./types.ts";

/** `retryAfterMs` for a request that was admitted but found no group. */
const NO_GROUP_RETRY_AFTER_MS = 150;
/** A stream that has begun resumes at the best group regardless of its load, as its caller is already waiting. */
const SEND: AdmissionDecision = { kind: "send" };

/** Group selected for one attempt. */
export interface ResolvedPlacement {
    group: GroupState;
    /** Predicted time to the first token. */
    firstTokenMs: number;
    /** Estimated number of requests running at the group. */
    runningCount: number | undefined;
    /** Time until the request may be sent, which is part of `firstTokenMs`. */
    startDelayMs: number;
    /** Kind of daemon that made the selection. */
    decidedBy: "control" | "entry";
}

export type PlacementDecision =
    | ({ kind: "place"; candidateCount: number; } & ResolvedPlacement)
    | Extract<AdmissionDecision, { kind: "reject"; }>;

export interface PlacementQuery {
    /** Groups already tried for the request; used again only if no other group is usable. */
    tried: ReadonlySet<string>;
    /** Whether the caller has received the response head. */
    hasHead: boolean;
    /** Whether the request has been rejected or has failed before. */
    isRetry: boolean;
}

/** Groups of one model that a request may be sent to. */
interface Candidates {
    all: readonly GroupState[];
    /** The first that aren't empty: untried groups, untried ones whose heads leave, tried groups. */
    usable: readonly GroupState[];
}

const limitedRejection = (retryAfterMs: number): PlacementDecision => ({
    kind: "reject",
    reason: "all groups are at the limits that their servers name",
    retryAfterMs,
});

/** Selects groups for the attempts of one request: asks a control daemon, or falls back to local load data. */
export class PlacementFinder {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;
    readonly #workload: { generation: GenerationParameters; profile: EngineProfile; model: ModelSpec; };
    #hasWaitedForReturn = false;

    constructor(
        deps: GatewayDependencies,
        call: Call,
        workload: { generation: GenerationParameters; profile: EngineProfile; model: ModelSpec; },
    ) {
        this.#deps = deps;
        this.#call = call;
        this.#workload = workload;
    }

    async choose(query: PlacementQuery): Promise<PlacementDecision> {
        const candidates = this.#candidates(query.tried);
        if (candidates.usable.length > 0) {
            return await this.#place(candidates, query);
        }
        const heads = candidates.all.map(({ target }) => incarnationOf(target));
        const wait = await waitForReturn(this.#deps, this.#call, heads, {
            isRetry: query.isRetry,
            hasWaited: this.#hasWaitedForReturn,
        });
        this.#hasWaitedForReturn = true;
        return wait.kind === "tooLate"
            ? { kind: "reject", reason: "all groups pause", retryAfterMs: wait.retryAfterMs, isSpread: true }
            : await this.#place(this.#candidates(query.tried), query);
    }

    #candidates(tried: ReadonlySet<string>): Candidates {
        const { groups, serverHolds } = this.#deps;
        const nowMs = monotonicMs();
        const all = groups.ofModel(this.#call.service.name, this.#workload.model.name);
        const usable = all.filter((state) =>
            state.isUsable(nowMs) && !serverHolds.isHeld(incarnationOf(state.target), nowMs)
        );
        const isLeaving = ({ target }: GroupState): boolean => serverHolds.isLeaving(incarnationOf(target));
        const staying = usable.filter((state) => !isLeaving(state));
        const untried = usable.filter((state) => !tried.has(state.target.groupName));
        const choices = [untried.filter((state) => !isLeaving(state)), untried, staying];
        return { all, usable: choices.find((states) => states.length > 0) ?? [] };
    }

    async #place(
        { all: modelGroups, usable: candidates }: Candidates,
        { hasHead, isRetry }: PlacementQuery,
    ): Promise<PlacementDecision> {
        const { firstTokenOffsets, placementClient, requestLimits, context } = this.#deps;
        const { route, service, request } = this.#call;
        const { model, generation } = this.#workload;
        const startedAtMs = monotonicMs();
        const admissionInput = {
            elapsedMs: startedAtMs - request.receivedAtMs,
            targetMs: route.targetMs,
            remainingMs: remainingMs(this.#call),
            isRetry,
        };
        const offsetMs = firstTokenOffsets.get(service.name, model.name);
        const slotOccupancyMs = meanSlotOccupancyMs(modelGroups);
        const avoided = modelGroups.filter((state) => !candidates.includes(state));
        const answer = candidates.length === 0 ? undefined : await placementClient.place({
            service: service.name,
            model: model.name,
            promptTokens: generation.promptTokens,
            zone: context.zone,
            offsetMs,
            limitMs: hasHead ? Infinity : admissionLimitMs(admissionInput),
            placeMs: slotOccupancyMs,
            avoidedEpochs: avoided.map(({ target }) => target.epoch),
            priority: this.#call.priority,
            limits: requestLimits.recent(),
        });
        if (answer !== undefined) {
            requestLimits.resetFallback();
        }
        if (answer?.retryAfterMs !== undefined) {
            return limitedRejection(answer.retryAfterMs);
        }
        const placement = this.#resolveAnswer(answer) ?? this.#chooseLocally(candidates, offsetMs);
        const decision = hasHead && placement !== undefined ? SEND : admit({
            ...admissionInput,
            firstTokenMs: placement?.firstTokenMs,
            slotOccupancyMs,
        });
        if (decision.kind === "reject") {
            return decision;
        }
        return placement === undefined
            ? { kind: "reject", reason: "no group is available", retryAfterMs: NO_GROUP_RETRY_AFTER_MS }
            : { kind: "place", candidateCount: candidates.length, ...placement };
    }

    /** Resolves the group selected by a control daemon; undefined if this daemon's view no longer contains it. */
    #resolveAnswer(answer: PlacementResponse | undefined): ResolvedPlacement | undefined {
        const group = this.#deps.groups.ofModel(this.#call.service.name, this.#workload.model.name)
            .find(({ target }) => target.epoch === answer?.epoch);
        return group === undefined || answer === undefined
            ? undefined
            : {
                group,
                firstTokenMs: answer.firstTokenMs ?? 0,
                runningCount: answer.runningCount,
                startDelayMs: answer.startDelayMs ?? 0,
                decidedBy: "control",
            };
    }

    /** Selects a group from local load data. */
    #chooseLocally(candidates: readonly GroupState[], offsetMs: number): ResolvedPlacement | undefined {
        const { context, groups, random, requestLimits } = this.#deps;
        const { profile, model, generation } = this.#workload;
        const nowMs = monotonicMs();
        const loads = candidates.flatMap((state) => {
            const startDelayMs = requestLimits.fallbackDelayMs(permitOf(state.target, this.#call.priority));
            return startDelayMs === undefined ? [] : [{ ...state.load(nowMs), startDelayMs }];
        });
        const immediate = loads.filter(({ startDelayMs }) => startDelayMs === 0);
        const placement = choosePlacement({
            profile,
            model,
            groups: immediate.length > 0 ? immediate : loads,
            promptTokens: generation.promptTokens,
            zone: context.zone,
            offsetMs,
            targetMs: this.#call.route.targetMs,
        }, random.nextFloat());
        const group = placement === undefined ? undefined : groups.get(placement.groupName);
        const load = loads.find(({ groupName }) => groupName === placement?.groupName);
        if (placement === undefined || group === undefined) {
            return undefined;
        }
        requestLimits.takeFallbackPermit(permitOf(group.target, this.#call.priority));
        return {
            group,
            firstTokenMs: placement.firstTokenMs,
            runningCount: load?.runningCount,
            startDelayMs: load?.startDelayMs ?? 0,
            decidedBy: "entry",
        };
    }
}
