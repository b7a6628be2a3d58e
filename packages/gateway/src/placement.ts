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
    /** Whether the load includes what the other daemons have told of theirs. */
    isShared: boolean;
}

export interface PlacementInput {
    profile: EngineProfile;
    model: ModelSpec;
    groups: readonly GroupLoad[];
    promptTokens: number;
    zone: string;
    /** Time to the first token of an empty group beyond what its figures say; see FirstTokenOffsets. */
    offsetMs: number;
    /** Time to the first token that the caller expects. */
    targetMs: number;
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
    return input.offsetMs + waitMs + readMs + writeMs;
};

/** A full group keeps a small chance to be compared, as its load may be out of date. */
const MIN_FREE_PLACES = 0.3;

/**
 * Chooses the group for a request. Answers uneven load: groups fill up at different times, and a group that has just read
 * many prompts is slower than its count of requests tells.
 *
 * Daemons that share their loads decide on the same reports, some tenths of a second old. If each took the best group, that
 * group would get the requests of all of them until the next reports. So a request compares two groups, which are drawn by
 * their free places, and looks at all groups only when it would be late at these.
 */
export const choosePlace = (input: PlacementInput, fraction: number): Placement | undefined => {
    if (input.groups.some(({ isShared }) => isShared)) {
        const place = bestOf(input, drawTwo(input, fraction), fraction);
        if (place !== undefined && place.firstTokenMs <= input.targetMs) {
            return place;
        }
    }
    return bestOf(input, input.groups, fraction);
};

/** Two groups, or the only one, drawn with a chance in proportion to their free places. */
const drawTwo = ({ groups, profile }: PlacementInput, fraction: number): GroupLoad[] => {
    const left = groups.map((group) => ({
        group,
        weight: Math.max(MIN_FREE_PLACES, profile.slotCount - group.runningCount - group.waitingCount),
    }));
    const drawn: GroupLoad[] = [];
    // The second draw uses what the first one leaves of the fraction.
    let rest = fraction;
    while (drawn.length < 2 && left.length > 0) {
        let position = rest * left.reduce((sum, { weight }) => sum + weight, 0);
        let index = 0;
        while (index < left.length - 1 && position >= (left[index]?.weight ?? 0)) {
            position -= left[index]?.weight ?? 0;
            index += 1;
        }
        for (const { group, weight } of left.splice(index, 1)) {
            drawn.push(group);
            rest = Math.min(1, position / weight);
        }
    }
    return drawn;
};

/** The group with the shortest predicted time to the first token, for a daemon that decides alone. */
export const bestPlace = (input: PlacementInput): Placement | undefined => bestOf(input, input.groups, 0);

/** The group with the shortest predicted time to the first token. */
const bestOf = (
    input: PlacementInput,
    groups: readonly GroupLoad[],
    fraction: number,
): Placement | undefined => {
    let best: Placement | undefined;
    let bestCostMs = Infinity;
    // Groups with equal cost are taken in turn from a random one on, so that daemons don't act in step.
    const offset = Math.floor(fraction * groups.length);
    for (let index = 0; index < groups.length; index += 1) {
        const group = groups[(index + offset) % groups.length];
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
