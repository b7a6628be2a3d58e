import type { Random } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";

interface StrategyInput {
    score: (group: GroupView) => number;
    random: Random;
    /** Incremented with each choice. */
    choiceIndex: number;
}

/** Picks one of the groups, of which there is at least one. */
type Strategy = (groups: GroupView[], input: StrategyInput) => GroupView;

const lowerScore = (a: GroupView, b: GroupView, score: (group: GroupView) => number): GroupView =>
    score(b) < score(a) ? b : a;

/** Load-balancing strategies by name. Those other than `twoChoices` serve as baselines in benchmarks. */
export const strategies = {
    random: (groups, { random }) => random.pick(groups),
    roundRobin: (groups, { choiceIndex }) => groups[choiceIndex % groups.length] as GroupView,
    leastInFlight: (groups, { score, choiceIndex }) => {
        // The scan starts at a different group each time, so that ties are not always won by the first one.
        const start = choiceIndex % groups.length;
        const rotated = [...groups.slice(start), ...groups.slice(0, start)];
        return rotated.reduce((best, group) => lowerScore(best, group, score));
    },
    // Power of two choices: daemons with the same stale reports would all pick the globally least loaded group.
    twoChoices: (groups, { score, random }) => {
        const first = random.nextInt(groups.length);
        const second = groups.length > 1
            ? (first + 1 + random.nextInt(groups.length - 1)) % groups.length
            : first;
        return lowerScore(groups[first] as GroupView, groups[second] as GroupView, score);
    },
} as const satisfies Record<string, Strategy>;

export type StrategyName = keyof typeof strategies;
