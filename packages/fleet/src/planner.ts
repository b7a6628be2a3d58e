import type { EngineProfile, ModelSpec } from "@greengage/configuration";

/** A VM that is in no group. */
export interface CandidateVm {
    serverId: string;
    fabricDomain: string;
    zone: string;
    /** Model of its last group since its start: it joins a group of that model almost at once. */
    lastModel: string | undefined;
    stagedModels: readonly string[];
    /** Whether it loads weights onto its host now. */
    isStaging: boolean;
    /** Time since its first report. */
    knownForMs: number;
    /** Group that holds the VM while another member loads from the weight store. */
    heldByGroup?: string;
}

/** What the planner decides on for one service. */
export interface PlanInput {
    profile: EngineProfile;
    freeVms: readonly CandidateVm[];
    /** Groups that are open or on their way, by model and by fabric domain. */
    groups: readonly { model: string; fabricDomain: string; }[];
    /** Need for capacity by model, in any unit; the configured shares until demand is known. */
    demandByModel: ReadonlyMap<string, number>;
    /** Loads from the weight store that may begin now. */
    availableLoads: number;
    /** Whether callers have sent requests. */
    hasDemand: boolean;
}

export interface GroupPlan {
    model: ModelSpec;
    fabricDomain: string;
    members: CandidateVm[];
    /** Members that load from the weight store. */
    loadCount: number;
    /** Expected time until all members are ready. */
    timeToReadyMs: number;
}

export interface StagingPlan {
    serverId: string;
    model: ModelSpec;
}

/** Join of a member whose last group had the same model. */
const REJOIN_TIME_MS = 200;
/** VMs that a fabric domain keeps as spares when groups are added: a lost member is replaced in about two seconds. */
const SPARES_PER_DOMAIN = 1;

/** Above 1, so that spares of equal use are staged with different models: any first loss then finds its spare. */
const STAGED_SPARE_EXPONENT = 1.2;
/** Ratio by which the coverage of the worse covered model must grow when a group is given up for it. */
const MIN_PREEMPTION_GAIN = 1.2;
/** VMs of a domain that returns appear within a period of their reports; before that, none of them loads. */
const DOMAIN_SETTLE_MS = 1_500;

/** Time until a VM is ready in a group of the model. */
export const estimateJoinMs = (vm: CandidateVm, model: ModelSpec): number => {
    if (vm.lastModel === model.name) {
        return REJOIN_TIME_MS;
    }
    return vm.stagedModels.includes(model.name) ? model.warmLoadMs : model.loadMs;
};

/** Whether a join would load from the weight store. */
export const needsLoad = (vm: CandidateVm, model: ModelSpec): boolean =>
    estimateJoinMs(vm, model) === model.loadMs;

/** Groups of each model that each fabric domain should have: count by `memberKey(domain, model)`. */
export type TargetGroupCounts = ReadonlyMap<string, number>;

/**
 * Shares the VMs of the fabric domains out among the models. Answers domains that have room for either one large group
 * or several small ones: the model that is covered least for its need comes first, in the domain that it fills best.
 */
export const planGroupCounts = (
    profile: EngineProfile,
    demandByModel: ReadonlyMap<string, number>,
    vmCounts: ReadonlyMap<string, number>,
): TargetGroupCounts => {
    const unassignedVms = new Map(vmCounts);
    const targetCounts = new Map<string, number>();
    const groupCounts = new Map<string, number>();
    for (;;) {
        const byCoverage = [...profile.models].sort((a, b) =>
            coverage(groupCounts, demandByModel, a) - coverage(groupCounts, demandByModel, b)
        );
        const next = byCoverage.map((model) => ({ model, domain: bestFitDomain(unassignedVms, model) }))
            .find(({ domain }) => domain !== undefined);
        if (next?.domain === undefined) {
            return targetCounts;
        }
        const { model, domain } = next;
        const key = domainModelKey(domain, model.name);
        unassignedVms.set(domain, (unassignedVms.get(domain) ?? 0) - model.vmCount);
        targetCounts.set(key, (targetCounts.get(key) ?? 0) + 1);
        groupCounts.set(model.name, (groupCounts.get(model.name) ?? 0) + 1);
    }
};

/** VMs of a model's groups in relation to its need, which is a share of the work. */
const coverage = (
    groupCounts: ReadonlyMap<string, number>,
    demandByModel: ReadonlyMap<string, number>,
    model: ModelSpec,
): number =>
    (groupCounts.get(model.name) ?? 0) * model.vmCount
    / Math.max(1e-9, demandByModel.get(model.name) ?? model.share);

/** The domain with the fewest VMs that has room for a group and its spares. */
const bestFitDomain = (unassignedVms: ReadonlyMap<string, number>, model: ModelSpec): string | undefined =>
    [...unassignedVms].filter(([, count]) => count >= model.vmCount + SPARES_PER_DOMAIN)
        .sort((a, b) => a[1] - b[1])[0]?.[0]
        // A domain that has lost its spares still restores its groups.
        ?? [...unassignedVms].find(([, count]) =>
            count >= model.vmCount && count < model.vmCount + SPARES_PER_DOMAIN
        )
            ?.[0];

/**
 * The next group to form, or undefined. Answers the loss of members: the model that is served least for its need comes
 * first, in the fabric domain where its members are ready soonest, so that survivors and staged spares are used before
 * VMs that must load.
 */
export const planGroup = (input: PlanInput, targetCounts: TargetGroupCounts): GroupPlan | undefined => {
    const groupCounts = countGroupsByModel(input.groups);
    const byCoverage = [...input.profile.models].sort((a, b) =>
        coverage(groupCounts, input.demandByModel, a) - coverage(groupCounts, input.demandByModel, b)
    );
    const plans = byCoverage.flatMap((model) => fastestPlan(input, targetCounts, model) ?? []);
    // VMs whose weights are at hand come first, so that none of them loads what another one has.
    return plans.find((plan) => plan.loadCount === 0)
        ?? plans.find((plan) => isDomainSettled(input, plan.fabricDomain));
};

/** Number of groups by model. */
const countGroupsByModel = (groups: PlanInput["groups"]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { model } of groups) {
        counts.set(model, (counts.get(model) ?? 0) + 1);
    }
    return counts;
};

const fastestPlan = (
    input: PlanInput,
    targetCounts: TargetGroupCounts,
    model: ModelSpec,
): GroupPlan | undefined =>
    domainsOf(input.freeVms).map((domain) => planGroupInDomain(input, targetCounts, model, domain))
        .filter((plan) => plan !== undefined)
        .sort((a, b) => a.timeToReadyMs - b.timeToReadyMs || a.loadCount - b.loadCount)[0];

/** Whether no VM of a domain has just appeared. Before there is demand, loads take little time. */
const isDomainSettled = ({ freeVms, hasDemand }: PlanInput, domain: string): boolean =>
    !hasDemand || freeVms.every((vm) => vm.fabricDomain !== domain || vm.knownForMs >= DOMAIN_SETTLE_MS);

const domainsOf = (vms: readonly CandidateVm[]): string[] => [...new Set(vms.map((vm) => vm.fabricDomain))];

const planGroupInDomain = (
    input: PlanInput,
    targetCounts: TargetGroupCounts,
    model: ModelSpec,
    domain: string,
): GroupPlan | undefined => {
    const free = input.freeVms.filter((vm) => vm.fabricDomain === domain);
    const groupCount =
        input.groups.filter((group) => group.fabricDomain === domain && group.model === model.name).length;
    if (
        free.length < model.vmCount
        || groupCount >= (targetCounts.get(domainModelKey(domain, model.name)) ?? 0)
    ) {
        return undefined;
    }
    const hasStagedModel = (vm: CandidateVm): number => Number(vm.stagedModels.length > 0);
    const candidates = [...free].sort((a, b) =>
        estimateJoinMs(a, model) - estimateJoinMs(b, model) || hasStagedModel(a) - hasStagedModel(b)
    );
    const members = candidates.slice(0, model.vmCount);
    const loadCount = members.filter((vm) => needsLoad(vm, model)).length;
    if (loadCount > input.availableLoads) {
        return undefined;
    }
    const timeToReadyMs = Math.max(...members.map((vm) => estimateJoinMs(vm, model)));
    return { model, fabricDomain: domain, members, loadCount, timeToReadyMs };
};

/** A group that serves, with what its members could join. */
export interface PreemptibleGroup {
    groupName: string;
    model: string;
    fabricDomain: string;
    members: readonly CandidateVm[];
}

/**
 * The group to give up so that its VMs complete one of a model that is served less for its need, or undefined. Answers
 * losses that use up the staged spares of a domain: the survivors of a large group would stand idle while one VM loads.
 * The worse covered of the two models must gain clearly, as the group that is given up stands still for some seconds.
 */
export const planPreemption = (
    input: PlanInput,
    targetCounts: TargetGroupCounts,
    candidates: readonly PreemptibleGroup[],
): PreemptibleGroup | undefined => {
    const groupCounts = countGroupsByModel(input.groups);
    const groupCountsWithout = (model: ModelSpec): ReadonlyMap<string, number> =>
        new Map(groupCounts).set(model.name, (groupCounts.get(model.name) ?? 0) - 1);
    const coverageOf = (model: ModelSpec): number => coverage(groupCounts, input.demandByModel, model);
    const byCoverage = [...input.profile.models].sort((a, b) => coverageOf(a) - coverageOf(b));
    for (const model of byCoverage) {
        const victim = candidates.find((group) => {
            const victimModel = input.profile.models.find(({ name }) => name === group.model);
            if (victimModel === undefined || victimModel === model) {
                return false;
            }
            const freeVms = [...input.freeVms, ...group.members];
            const plan = planGroupInDomain(
                { ...input, freeVms, availableLoads: 0 },
                targetCounts,
                model,
                group.fabricDomain,
            );
            const victimCoverage = coverage(
                groupCountsWithout(victimModel),
                input.demandByModel,
                victimModel,
            );
            return plan !== undefined && victimCoverage >= MIN_PREEMPTION_GAIN * coverageOf(model);
        });
        if (victim !== undefined) {
            return victim;
        }
    }
    return undefined;
};

/**
 * Which member of a serving group loads which other model onto its host. It joins its own model again without the
 * weights on the host, so it can then be used for either. Answers losses beyond the spares of a domain.
 */
export const planMemberStaging = (input: PlanInput, members: readonly CandidateVm[]): StagingPlan[] => {
    const plans: StagingPlan[] = [];
    for (const vm of members) {
        const otherModels = input.profile.models.filter(({ name }) => name !== vm.lastModel);
        const hasOtherStaged = otherModels.some(({ name }) => vm.stagedModels.includes(name));
        const [model] = otherModels.sort((a, b) => b.loadMs - a.loadMs);
        if (model !== undefined && !hasOtherStaged && !vm.isStaging && plans.length < input.availableLoads) {
            plans.push({ serverId: vm.serverId, model });
        }
    }
    return plans;
};

/**
 * Which spare loads which model onto its host, in advance of a loss. A fabric domain stages the model that has the most
 * members for each staged spare, since each member is lost equally often. Answers a second loss: when the only spare
 * left has the weights of the less exposed model, it loads the other ones.
 */
export const planSpareStaging = (
    input: PlanInput,
    memberCounts: ReadonlyMap<string, number>,
): StagingPlan[] => {
    const plans: StagingPlan[] = [];
    for (const domain of domainsOf(input.freeVms)) {
        const spares = input.freeVms.filter((vm) => vm.fabricDomain === domain);
        const unstagedModels = selectModelsToStage(input.profile.models, domain, memberCounts, spares.length);
        const idleSpares: CandidateVm[] = [];
        // Spares with nothing staged are the first to load.
        for (const vm of [...spares].sort((a, b) => b.stagedModels.length - a.stagedModels.length)) {
            const modelIndex = unstagedModels.findIndex((model) =>
                vm.isStaging || vm.stagedModels.includes(model.name)
            );
            if (modelIndex < 0) {
                idleSpares.unshift(vm);
                continue;
            }
            unstagedModels.splice(modelIndex, 1);
        }
        for (const [index, model] of unstagedModels.entries()) {
            const vm = idleSpares[index];
            if (vm !== undefined && plans.length < input.availableLoads) {
                plans.push({ serverId: vm.serverId, model });
            }
        }
    }
    return plans;
};

/** Models that `count` spares of a domain should have staged. */
const selectModelsToStage = (
    models: readonly ModelSpec[],
    domain: string,
    memberCounts: ReadonlyMap<string, number>,
    count: number,
): ModelSpec[] => {
    const stagedCounts = new Map<string, number>();
    const selected: ModelSpec[] = [];
    for (let index = 0; index < count; index += 1) {
        const model = mostExposedModel(models, domain, memberCounts, stagedCounts);
        if (model !== undefined) {
            stagedCounts.set(model.name, (stagedCounts.get(model.name) ?? 0) + 1);
            selected.push(model);
        }
    }
    return selected;
};

const mostExposedModel = (
    models: readonly ModelSpec[],
    domain: string,
    memberCounts: ReadonlyMap<string, number>,
    stagedCounts: ReadonlyMap<string, number>,
): ModelSpec | undefined => {
    const exposure = (model: ModelSpec): number =>
        (memberCounts.get(domainModelKey(domain, model.name)) ?? model.vmCount * model.share)
        / ((stagedCounts.get(model.name) ?? 0) + 1) ** STAGED_SPARE_EXPONENT;
    return [...models].sort((a, b) => exposure(b) - exposure(a))[0];
};

/** Key of the count of members of a model in a fabric domain. */
export const domainModelKey = (domain: string, model: string): string => `${domain}\n${model}`;
