/** Model whose replica groups are packed into fabric domains. */
export interface PackedModel {
    vmsPerReplica: number;
    replicas: number;
}

/**
 * Maximum total value of the groups that fit into fabric domains with the given numbers of healthy VMs. `valueOf`
 * is the value of one group of a model: 1 maximises the number of groups, `vmsPerReplica` the number of used VMs.
 */
export const bestPacking = (
    healthyByDomain: number[],
    models: PackedModel[],
    valueOf: (model: PackedModel) => number,
): number => {
    const memo = new Map<string, number>();
    const solve = (domain: number, freeVms: number, model: number, remainingReplicas: number[]): number => {
        if (domain === healthyByDomain.length) {
            return 0;
        }
        const current = models[model];
        if (current === undefined) {
            return solve(domain + 1, healthyByDomain[domain + 1] ?? 0, 0, remainingReplicas);
        }
        const key = [domain, freeVms, model, ...remainingReplicas].join();
        const memoized = memo.get(key);
        if (memoized !== undefined) {
            return memoized;
        }
        let best = 0;
        const maxCount = Math.min(remainingReplicas[model] ?? 0, Math.floor(freeVms / current.vmsPerReplica));
        for (let count = 0; count <= maxCount; count += 1) {
            const rest = remainingReplicas.map((value, index) => index === model ? value - count : value);
            const value = count * valueOf(current)
                + solve(domain, freeVms - count * current.vmsPerReplica, model + 1, rest);
            best = Math.max(best, value);
        }
        memo.set(key, best);
        return best;
    };
    return solve(0, healthyByDomain[0] ?? 0, 0, models.map(({ replicas }) => replicas));
};
