import { Random } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";
import { prefixKey, rendezvousOrder } from "./affinity.ts";
import type { GroupLoads } from "./grouploads.ts";
import { strategies, type StrategyName } from "./strategies.ts";

/** A group may hold this many times the mean load before its prefixes go to the next group. */
const LOAD_BOUND = 1.25;

export interface GroupSelectorOptions {
    loads: GroupLoads;
    zone: string;
    /** Default: `twoChoices`. */
    strategy?: StrategyName;
    /** Sends conversations with the same first part to the same group. Default: true. */
    affinity?: boolean;
    /** Default: true. */
    avoidStragglers?: boolean;
    random?: Random;
    /** Requests of a group per request of its capacity. Default: `loads.score`. */
    score?: (group: GroupView) => number;
}

/** Chooses the group for a request from those that may take it. */
export class GroupSelector {
    readonly #options: GroupSelectorOptions;
    readonly #random: Random;
    readonly #score: (group: GroupView) => number;
    #turn = 0;

    constructor(options: GroupSelectorOptions) {
        this.#options = options;
        this.#random = options.random ?? new Random();
        this.#score = options.score ?? ((group) => options.loads.score(group));
    }

    /** Key for `choose`: equal for conversations with the same first part. */
    affinityKey(body: Record<string, unknown>): number | undefined {
        return this.#options.affinity === false ? undefined : prefixKey(body);
    }

    /**
     * `serving`: all groups of the model that serve. `free`: those of them with room, at least one.
     */
    select(serving: GroupView[], free: GroupView[], key: number | undefined): GroupView {
        const own = free.filter((group) => group.zone === this.#options.zone);
        const near = own.length > 0 ? own : free;
        const candidates = this.#options.avoidStragglers === false
            ? near
            : this.#options.loads.withoutStragglers(near, serving);
        return (key === undefined ? undefined : this.#preferred(candidates, key)) ?? this.#pick(candidates);
    }

    #pick(candidates: GroupView[]): GroupView {
        this.#turn += 1;
        const strategy = strategies[this.#options.strategy ?? "twoChoices"];
        return strategy(candidates, { score: this.#score, random: this.#random, turn: this.#turn });
    }

    /** First group in the order of the key that is not above the bound; none above it when all are. */
    #preferred(candidates: GroupView[], key: number): GroupView | undefined {
        const scores = new Map(candidates.map((group) => [group.groupId, this.#score(group)]));
        const total = [...scores.values()].reduce((sum, score) => sum + score, 0);
        return rendezvousOrder(candidates, key).find((group) => {
            const slot = 1 / Math.max(1, group.maxConcurrent);
            const bound = LOAD_BOUND * (total + slot) / candidates.length;
            return (scores.get(group.groupId) ?? 0) + slot <= Math.max(bound, slot);
        });
    }
}
