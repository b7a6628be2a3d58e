import type { Random } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";

interface StrategyInput {
    score: (group: GroupView) => number;
    random: Random;
    /** Grows by one with each choice. */
    turn: number;
}

/** Picks one of the groups; there is at least one. */
type Strategy = (groups: GroupView[], input: StrategyInput) => GroupView;

const lessLoaded = (a: GroupView, b: GroupView, score: (group: GroupView) => number): GroupView =>
    score(b) < score(a) ? b : a;

/** The strategies by name. All but `twoChoices` are kept as baselines for measurements. */
export const strategies = {
    random: (groups, { random }) => random.pick(groups),
    roundRobin: (groups, { turn }) => groups[turn % groups.length] as GroupView,
    leastInFlight: (groups, { score, turn }) => {
        // The scan starts at another group each time, so that ties don't all go to the first one.
        const start = turn % groups.length;
        const rotated = [...groups.slice(start), ...groups.slice(0, start)];
        return rotated.reduce((best, group) => lessLoaded(best, group, score));
    },
    // Two random groups, not the least loaded of all: daemons with the same old reports would all pick that one.
    twoChoices: (groups, { score, random }) => {
        const first = random.below(groups.length);
        const second = groups.length > 1
            ? (first + 1 + random.below(groups.length - 1)) % groups.length
            : first;
        return lessLoaded(groups[first] as GroupView, groups[second] as GroupView, score);
    },
} as const satisfies Record<string, Strategy>;

export type StrategyName = keyof typeof strategies;
