/** A model as the packing sees it. */
export interface PackedModel {
    vmsPerReplica: number;
    replicas: number;
}

/**
 * Largest value of groups that fit into fabric domains with these numbers of healthy VMs. `valueOf` weighs a group
 * of a model: 1 counts groups, its VMs count accelerators.
 */
export const bestPacking = (
    healthyByDomain: number[],
    models: PackedModel[],
    valueOf: (model: PackedModel) => number,
): number => {
    const memory = new Map<string, number>();
    const solve = (domain: number, left: number, model: number, remaining: number[]): number => {
        if (domain === healthyByDomain.length) {
            return 0;
        }
        const current = models[model];
        if (current === undefined) {
            return solve(domain + 1, healthyByDomain[domain + 1] ?? 0, 0, remaining);
        }
        const key = [domain, left, model, ...remaining].join();
        const known = memory.get(key);
        if (known !== undefined) {
            return known;
        }
        let best = 0;
        const most = Math.min(remaining[model] ?? 0, Math.floor(left / current.vmsPerReplica));
        for (let count = 0; count <= most; count += 1) {
            const rest = remaining.map((value, index) => index === model ? value - count : value);
            const value = count * valueOf(current)
                + solve(domain, left - count * current.vmsPerReplica, model + 1, rest);
            best = Math.max(best, value);
        }
        memory.set(key, best);
        return best;
    };
    return solve(0, healthyByDomain[0] ?? 0, 0, models.map(({ replicas }) => replicas));
};
