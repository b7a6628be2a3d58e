import type { EngineProfile, ModelSpec } from "@greengage/configuration";

/** What a daemon knows of one group when it places a request. */
export interface GroupLoad {
    groupName: string;
    zone: string;
    /** Requests that run, of all daemons: the last report and own sends and ends since. */
    runningCount: number;
    /** Requests that wait in the engine. */
    waitingCount: number;
    /** Prompt tokens of own requests that have not begun to write. */
    pendingPromptTokens: number;
    /** Mean time that a request held its place lately. */
    placeMs: number;
}

export interface PlacementInput {
    profile: EngineProfile;
    model: ModelSpec;
    groups: readonly GroupLoad[];
    promptTokens: number;
    zone: string;
}

export interface Placement {
    groupName: string;
    /** Predicted time to the first token. */
    firstTokenMs: number;
}

/**
 * A group of another zone must be faster by this much: its answers cross zones, which adds to each pause and is billed.
 */
const OTHER_ZONE_MS = 25;
const PAIRS_PER_UNIT = 1e6;

/** Duration of one step of a group with `runningCount` requests. */
export const stepMs = (profile: EngineProfile, model: ModelSpec, runningCount: number): number => {
    const contextTokens = profile.usualPromptTokens + profile.usualAnswerTokens / 2;
    const perRequestMs = profile.stepPerRequestMs + profile.stepPerContextMs * contextTokens / 1_000;
    return model.pace * (profile.stepMs + perRequestMs * Math.max(0, runningCount - 1));
};

/** Time to read a prompt. */
export const prefillMs = (profile: EngineProfile, model: ModelSpec, tokens: number): number =>
    model.pace * (tokens / profile.prefillTokensPerMs
        + profile.prefillPairsMs * tokens * tokens / 2 / PAIRS_PER_UNIT);

/**
 * Predicted time to the first token of a prompt. A free place costs the prompts before it and the passes that write in
 * between; without one, a place must become free first.
 */
export const predictFirstTokenMs = (input: PlacementInput, group: GroupLoad): number => {
    const { profile, model, promptTokens } = input;
    const queuedTokens = group.pendingPromptTokens + promptTokens;
    const passMs = profile.stepsPerPass * stepMs(profile, model, group.runningCount);
    const passCount = Math.ceil(queuedTokens / profile.prefillChunkTokens);
    const readMs = prefillMs(profile, model, group.pendingPromptTokens)
        + prefillMs(profile, model, promptTokens);
    const writeMs = group.runningCount > 0 ? passMs * passCount : 0;
    const ahead = group.runningCount + group.waitingCount + 1 - profile.slotCount;
    const waitMs = ahead > 0 ? ahead * group.placeMs / profile.slotCount : 0;
    return waitMs + readMs + writeMs;
};

/**
 * Chooses the group with the shortest predicted time to the first token. Answers uneven load: groups fill up at
 * different times, and a group that has just read many prompts is slower than its count of requests tells.
 */
export const choosePlace = (input: PlacementInput, fraction: number): Placement | undefined => {
    let best: Placement | undefined;
    let bestCostMs = Infinity;
    // Groups with equal cost are taken in turn from a random one on, so that daemons don't act in step.
    const offset = Math.floor(fraction * input.groups.length);
    for (let index = 0; index < input.groups.length; index += 1) {
        const group = input.groups[(index + offset) % input.groups.length];
        if (group === undefined) {
            continue;
        }
        const firstTokenMs = predictFirstTokenMs(input, group);
        const costMs = firstTokenMs + (group.zone === input.zone ? 0 : OTHER_ZONE_MS);
        if (costMs < bestCostMs) {
            bestCostMs = costMs;
            best = { groupName: group.groupName, firstTokenMs };
        }
    }
    return best;
};
