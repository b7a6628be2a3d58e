import { monotonicMs } from "@greengage/base";
import type { EngineProfile, ModelSpec } from "@greengage/configuration";
import type { PlaceAnswer } from "@greengage/protocol";
import { admissionLimitMs, type AdmissionVerdict, admit } from "./admission.ts";
import { type Call, remainingMs } from "./call.ts";
import type { GatewayParts } from "./dependencies.ts";
import { type GroupState, meanPlaceMs } from "./groupstates.ts";
import { choosePlace } from "./placement.ts";
import type { GenerationParameters } from "./types.ts";

/** Return of a caller whose request found no group, though it was in time for one. */
const NO_GROUP_RETRY_MS = 150;
/** A stream that has begun goes to the best group whatever its load: its caller has waited already. */
const SEND: AdmissionVerdict = { kind: "send" };

/** A group for one attempt. */
export interface Place {
    group: GroupState;
    /** Predicted time to the first token. */
    firstTokenMs: number;
    /** Requests that run there, as far as is known. */
    runningCount: number | undefined;
    /** Daemon that chose. */
    by: "control" | "entry";
}

export type PlaceChoice =
    | ({ kind: "place"; candidateCount: number; } & Place)
    | Extract<AdmissionVerdict, { kind: "reject"; }>;

export interface PlaceQuery {
    /** Groups that have had the request. Others come first. */
    tried: ReadonlySet<string>;
    /** Whether the caller has received the head of the answer. */
    hasHead: boolean;
    /** Whether the request was turned away or has failed before. */
    isReturning: boolean;
}

/** Finds groups for the attempts of one request: asks a control daemon, or chooses by what this daemon knows. */
export class PlaceFinder {
    readonly #parts: GatewayParts;
    readonly #call: Call;
    readonly #work: { generation: GenerationParameters; profile: EngineProfile; model: ModelSpec; };

    constructor(
        parts: GatewayParts,
        call: Call,
        work: { generation: GenerationParameters; profile: EngineProfile; model: ModelSpec; },
    ) {
        this.#parts = parts;
        this.#call = call;
        this.#work = work;
    }

    async choose({ tried, hasHead, isReturning }: PlaceQuery): Promise<PlaceChoice> {
        const { groups, offsets, placement, context } = this.#parts;
        const { route, service, request } = this.#call;
        const { model, generation } = this.#work;
        const startMs = monotonicMs();
        const all = groups.ofModel(service.name, model.name);
        const usable = all.filter((state) => state.isUsable(startMs));
        const untried = usable.filter((state) => !tried.has(state.target.groupName));
        const candidates = untried.length > 0 ? untried : usable;
        const admission = {
            waitedMs: startMs - request.receivedAtMs,
            targetMs: route.targetMs,
            remainingMs: remainingMs(this.#call),
            isReturning,
        };
        const offsetMs = offsets.get(service.name, model.name);
        const placeMs = meanPlaceMs(all);
        const avoided = all.filter((state) => !candidates.includes(state));
        const answer = candidates.length === 0 ? undefined : await placement.place({
            service: service.name,
            model: model.name,
            promptTokens: generation.promptTokens,
            zone: context.zone,
            offsetMs,
            limitMs: hasHead ? Infinity : admissionLimitMs(admission),
            placeMs,
            avoidedEpochs: avoided.map(({ target }) => target.epoch),
        });
        const place = this.#placeOf(answer) ?? this.#placeAlone(candidates, offsetMs);
        const verdict = hasHead && place !== undefined ? SEND : admit({
            ...admission,
            firstTokenMs: place?.firstTokenMs,
            placeMs,
        });
        if (verdict.kind === "reject") {
            return verdict;
        }
        return place === undefined
            ? { kind: "reject", reason: "no group takes requests", retryAfterMs: NO_GROUP_RETRY_MS }
            : { kind: "place", candidateCount: candidates.length, ...place };
    }

    /** The place that a control daemon has chosen, unless its group has been withdrawn here. */
    #placeOf(answer: PlaceAnswer | undefined): Place | undefined {
        const group = this.#parts.groups.ofModel(this.#call.service.name, this.#work.model.name)
            .find(({ target }) => target.epoch === answer?.epoch);
        return group === undefined || answer === undefined
            ? undefined
            : {
                group,
                firstTokenMs: answer.firstTokenMs ?? 0,
                runningCount: answer.runningCount,
                by: "control",
            };
    }

    /** Chooses by what this daemon knows. */
    #placeAlone(candidates: readonly GroupState[], offsetMs: number): Place | undefined {
        const { context, groups, random } = this.#parts;
        const { profile, model, generation } = this.#work;
        const nowMs = monotonicMs();
        const loads = candidates.map((state) => state.load(nowMs));
        const place = choosePlace({
            profile,
            model,
            groups: loads,
            promptTokens: generation.promptTokens,
            zone: context.zone,
            offsetMs,
            targetMs: this.#call.route.targetMs,
        }, random.fraction());
        const group = place === undefined ? undefined : groups.get(place.groupName);
        const load = loads.find(({ groupName }) => groupName === place?.groupName);
        return place === undefined || group === undefined
            ? undefined
            : { group, firstTokenMs: place.firstTokenMs, runningCount: load?.runningCount, by: "entry" };
    }
}
