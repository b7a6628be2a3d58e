import type { EngineProfile, ModelSpec } from "@greengage/configuration";

/** Estimated load of a group when a request is placed. */
export interface GroupLoad {
    groupName: string;
    zone: string;
    /** Running requests of all daemons: the last report, adjusted by own requests sent and ended since. */
    runningCount: number;
    /** Requests queued in the engine. */
    waitingCount: number;
    /** Prompt tokens of requests that have not produced their first token yet. */
    pendingPromptTokens: number;
    /** Recent mean time that a request occupies its slot. */
    slotOccupancyMs: number;
    /** Whether the load includes usage reported by other daemons. */
    includesRemoteUsage: boolean;
    /** Time until the group takes another request, if it names a limit. Default: 0. */
    startDelayMs?: number;
}

export interface PlacementInput {
    profile: EngineProfile;
    model: ModelSpec;
    groups: readonly GroupLoad[];
    promptTokens: number;
    zone: string;
    /** Correction of the prediction for an idle group; see FirstTokenOffsets. */
    offsetMs: number;
    /** Target for the time to the first token. */
    targetMs: number;
}

export interface Placement {
    groupName: string;
    /** Predicted time to the first token. */
    firstTokenMs: number;
}

/** Penalty for a group of another zone, because cross-zone responses add latency to each token and are billed. */
const OTHER_ZONE_PENALTY_MS = 25;
const TOKEN_PAIRS_PER_UNIT = 1e6;

/** Duration of one decode step of a group with `runningCount` running requests. */
export const stepMs = (profile: EngineProfile, model: ModelSpec, runningCount: number): number => {
    const contextTokens = profile.usualPromptTokens + profile.usualAnswerTokens / 2;
    const perRequestMs = profile.stepPerRequestMs + profile.stepPerContextMs * contextTokens / 1_000;
    return model.pace * (profile.stepMs + perRequestMs * Math.max(0, runningCount - 1));
};

/** Prefill time of a prompt. */
export const prefillMs = (profile: EngineProfile, model: ModelSpec, tokens: number): number =>
    model.pace * (tokens / profile.prefillTokensPerMs
        + profile.prefillPairsMs * tokens * tokens / 2 / TOKEN_PAIRS_PER_UNIT);

/**
 * Predicted time to the first token of a prompt: the wait for a permit of a limited group, prefill of the pending prompts
 * and of this one, interleaved decode passes for the running requests, and the wait for a slot if none is free.
 */
export const predictFirstTokenMs = (input: PlacementInput, group: GroupLoad): number => {
    const { profile, model, promptTokens } = input;
    const queuedTokens = group.pendingPromptTokens + promptTokens;
    const passMs = profile.stepsPerPass * stepMs(profile, model, group.runningCount);
    const passCount = Math.ceil(queuedTokens / profile.prefillChunkTokens);
    const totalPrefillMs = prefillMs(profile, model, group.pendingPromptTokens)
        + prefillMs(profile, model, promptTokens);
    const decodeMs = group.runningCount > 0 ? passMs * passCount : 0;
    const queuePosition = group.runningCount + group.waitingCount + 1 - profile.slotCount;
    const waitMs = queuePosition > 0 ? queuePosition * group.slotOccupancyMs / profile.slotCount : 0;
    return input.offsetMs + (group.startDelayMs ?? 0) + waitMs + totalPrefillMs + decodeMs;
};

/** Minimum sampling weight of a full group, as its load data may be stale. */
const MIN_SAMPLING_WEIGHT = 0.3;

/**
 * Chooses the group with the shortest predicted time to the first token. The request count alone is no sufficient measure
 * of load, as a group that prefills many prompts is slower than its count suggests.
 *
 * Daemons that share usage decide on the same reports, which are some tenths of a second old. If each chose the best group,
 * all of them would send their requests there until the next reports (herding). So only two groups are compared, sampled
 * by their free slots; all groups are considered only if the request would miss its target at both. `fraction` is a random
 * number in `[0, 1)`.
 */
export const choosePlacement = (input: PlacementInput, fraction: number): Placement | undefined => {
    if (input.groups.some(({ includesRemoteUsage }) => includesRemoteUsage)) {
        const placement = findBest(input, sampleTwoGroups(input, fraction), fraction);
        if (placement !== undefined && placement.firstTokenMs <= input.targetMs) {
            return placement;
        }
    }
    return findBest(input, input.groups, fraction);
};

/** Samples two distinct groups, or the only one, with weights proportional to their free slots. */
const sampleTwoGroups = ({ groups, profile }: PlacementInput, fraction: number): GroupLoad[] => {
    const candidates = groups.map((group) => ({
        group,
        weight: Math.max(MIN_SAMPLING_WEIGHT, profile.slotCount - group.runningCount - group.waitingCount),
    }));
    const sampled: GroupLoad[] = [];
    // The second draw reuses the remainder of the random fraction.
    let remainder = fraction;
    while (sampled.length < 2 && candidates.length > 0) {
        let position = remainder * candidates.reduce((sum, { weight }) => sum + weight, 0);
        let index = 0;
        while (index < candidates.length - 1 && position >= (candidates[index]?.weight ?? 0)) {
            position -= candidates[index]?.weight ?? 0;
            index += 1;
        }
        for (const { group, weight } of candidates.splice(index, 1)) {
            sampled.push(group);
            remainder = Math.min(1, position / weight);
        }
    }
    return sampled;
};

/** Chooses the best of all groups, for a daemon that makes all placement decisions of a model. */
export const bestPlacement = (input: PlacementInput): Placement | undefined =>
    findBest(input, input.groups, 0);

/** Finds the group with the shortest predicted time to the first token, plus a penalty for another zone. */
const findBest = (
    input: PlacementInput,
    groups: readonly GroupLoad[],
    fraction: number,
): Placement | undefined => {
    let best: Placement | undefined;
    let bestCostMs = Infinity;
    // The scan starts at a random group, so that daemons do not all break ties in the same way.
    const offset = Math.floor(fraction * groups.length);
    for (let index = 0; index < groups.length; index += 1) {
        const group = groups[(index + offset) % groups.length];
        if (group === undefined) {
            continue;
        }
        const firstTokenMs = predictFirstTokenMs(input, group);
        const costMs = firstTokenMs + (group.zone === input.zone ? 0 : OTHER_ZONE_PENALTY_MS);
        if (costMs < bestCostMs) {
            bestCostMs = costMs;
            best = { groupName: group.groupName, firstTokenMs };
        }
    }
    return best;
};
