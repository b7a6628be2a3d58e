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
    /** Whether many daemons place requests by the same loads. */
    areLoadsShared: boolean;
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

/** A group that needs longer is full or reads many prompts. Callers expect the first token after 300 ms and more. */
const SLOW_FIRST_TOKEN_MS = 150;
const COMPARED_GROUPS = 2;
/** Power of the free places by which one of two groups is preferred: 1 fills up slow groups, 4 follows old news. */
const PREFERENCE = 2;
/** A first token that takes this long halves the preference of a group with equal places. */
const HALVING_MS = 100;
/** A full group keeps a small chance, as its load may be old news. */
const MIN_FREE_PLACES = 0.3;

/**
 * Chooses the group for a request. One of few daemons knows the loads by its own requests, and takes the group with the
 * shortest predicted time to the first token. Answers uneven load: groups fill up at different times, and a group that has just
 * read many prompts is slower than its count of requests tells.
 *
 * Many daemons know the same loads, some tenths of a second old: if each took the best group, that group would get
 * the requests of all of them until the next news. So a request compares two groups of its zone and prefers the one
 * with more free places. Two of other zones are compared when the choice is slow, and then all groups, so that nothing
 * is turned away beside free places.
 */
export const choosePlace = (input: PlacementInput, fraction: number): Placement | undefined => {
    const { groups, zone, areLoadsShared } = input;
    if (!areLoadsShared) {
        return bestOf(input, groups, fraction);
    }
    const own = pickOfTwo(input, groups.filter((group) => group.zone === zone), fraction);
    if (own !== undefined && own.firstTokenMs <= SLOW_FIRST_TOKEN_MS) {
        return own;
    }
    const other = pickOfTwo(input, groups.filter((group) => group.zone !== zone), fraction);
    const place =
        own === undefined || (other !== undefined && other.firstTokenMs + OTHER_ZONE_MS < own.firstTokenMs)
            ? other
            : own;
    return place !== undefined && place.firstTokenMs <= SLOW_FIRST_TOKEN_MS
        ? place
        : bestOf(input, groups, fraction);
};

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

/** One of two random groups, more often the one with more free places. */
const pickOfTwo = (
    input: PlacementInput,
    groups: readonly GroupLoad[],
    fraction: number,
): Placement | undefined => {
    const left = [...groups];
    const compared: { place: Placement; weight: number; }[] = [];
    // Each choice uses the digits of the fraction that the one before has left over.
    let rest = fraction;
    while (left.length > 0 && compared.length < COMPARED_GROUPS) {
        const position = rest * left.length;
        rest = position - Math.floor(position);
        for (const group of left.splice(Math.floor(position), 1)) {
            const firstTokenMs = predictFirstTokenMs(input, group);
            const freePlaces = Math.max(MIN_FREE_PLACES, input.profile.slotCount - group.runningCount);
            const weight = (freePlaces * HALVING_MS / (HALVING_MS + firstTokenMs)) ** PREFERENCE;
            compared.push({ place: { groupName: group.groupName, firstTokenMs }, weight });
        }
    }
    const [first, second] = compared;
    if (first === undefined || second === undefined) {
        return first?.place;
    }
    return rest * (first.weight + second.weight) < first.weight ? first.place : second.place;
};
