import { Random } from "@greengage/base";
import type { GroupView } from "@greengage/protocol";
import { prefixKey, rendezvousGroups } from "./affinity.ts";
import type { GroupLoads } from "./grouploads.ts";
import { strategies, type StrategyName } from "./strategies.ts";

/** A group loaded above this multiple of the mean passes its prefixes on to the next group (bounded-load hashing). */
const MAX_LOAD_FACTOR = 1.25;

export interface GroupSelectorOptions {
    loads: GroupLoads;
    zone: string;
    /** Default: `twoChoices`. */
    strategy?: StrategyName;
    /** Sends conversations with the same prefix to the same group. Default: true. */
    affinity?: boolean;
    /** Default: true. */
    avoidStragglers?: boolean;
    random?: Random;
    /** Load of a group relative to its capacity. Default: `loads.score`. */
    score?: (group: GroupView) => number;
}

/** Selects a group for a request by zone, straggler state, prefix affinity and load. */
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

    /** Affinity key for `select`; equal for conversations with the same prefix. */
    affinityKey(body: Record<string, unknown>): number | undefined {
        return this.#options.affinity === false ? undefined : prefixKey(body);
    }

    /**
     * Selects one of the groups in `free`, the non-empty subset of the model's `serving` groups with free slots.
     */
    select(serving: GroupView[], free: GroupView[], key: number | undefined): GroupView {
        const sameZone = free.filter((group) => group.zone === this.#options.zone);
        const zoneCandidates = sameZone.length > 0 ? sameZone : free;
        const candidates = this.#options.avoidStragglers === false
            ? zoneCandidates
            : this.#options.loads.withoutStragglers(zoneCandidates, serving);
        return (key === undefined ? undefined : this.#preferredByPrefix(candidates, key))
            ?? this.#pickByStrategy(candidates);
    }

    #pickByStrategy(candidates: GroupView[]): GroupView {
        this.#turn += 1;
        const strategy = strategies[this.#options.strategy ?? "twoChoices"];
        return strategy(candidates, { score: this.#score, random: this.#random, choiceIndex: this.#turn });
    }

    /** First group in the key's preference order whose load stays within the bound; undefined if there is none. */
    #preferredByPrefix(candidates: GroupView[], key: number): GroupView | undefined {
        const scores = new Map(candidates.map((group) => [group.groupId, this.#score(group)]));
        const total = [...scores.values()].reduce((sum, score) => sum + score, 0);
        return rendezvousGroups(candidates, key).find((group) => {
            const slot = 1 / Math.max(1, group.maxConcurrent);
            const bound = MAX_LOAD_FACTOR * (total + slot) / candidates.length;
            return (scores.get(group.groupId) ?? 0) + slot <= Math.max(bound, slot);
        });
    }
}
