import type { EngineProfile, ModelSpec } from "@greengage/configuration";

/** A VM that can be planned into a group. */
export interface CandidateVm {
    serverId: string;
    fabricDomain: string;
    zone: string;
    /** Model of its last group since its start. It joins another group of this model almost immediately. */
    lastModel: string | undefined;
    stagedModels: readonly string[];
    /** Whether it is loading weights onto its host. */
    isStaging: boolean;
    /** Time since its first report; infinite if it may have reported to a previous leader. */
    knownForMs: number;
    /** Group that the VM belongs to while another member loads from the weight store. */
    heldByGroup?: string;
}

/** State of one service that planning is based on. */
export interface PlanInput {
    profile: EngineProfile;
    freeVms: readonly CandidateVm[];
    /** Groups that are open or being formed. */
    groups: readonly { model: string; fabricDomain: string; }[];
    /** Relative demand by model, in any unit; the configured shares until demand is known. */
    demandByModel: ReadonlyMap<string, number>;
    /** Number of loads from the weight store that may start now. */
    availableLoads: number;
    /** Whether callers have sent requests yet. */
    hasDemand: boolean;
}

export interface GroupPlan {
    model: ModelSpec;
    fabricDomain: string;
    members: CandidateVm[];
    /** Number of members that load from the weight store. */
    loadCount: number;
    /** Estimated time until all members are ready. */
    timeToReadyMs: number;
}

export interface StagingPlan {
    serverId: string;
    model: ModelSpec;
}

/** Join time of a VM whose last group ran the same model. */
const REJOIN_TIME_MS = 200;
/** Spare VMs that each fabric domain keeps when groups are added, to replace a lost member in about two seconds. */
const SPARES_PER_DOMAIN = 1;

/**
 * Above 1, so that equally useful spares stage different models and the first loss of any model finds a staged spare.
 */
const STAGED_SPARE_EXPONENT = 1.2;
/** Minimum ratio by which preemption must raise the lowest coverage among the two models. */
const MIN_PREEMPTION_GAIN = 1.2;
/** VMs of a recovering domain all report within one report period; until it has passed, none of them starts a load. */
const DOMAIN_SETTLE_MS = 1_500;

/** Estimated time until a VM is ready in a group of the model. */
export const estimateJoinMs = (vm: CandidateVm, model: ModelSpec): number => {
    if (vm.lastModel === model.name) {
        return REJOIN_TIME_MS;
    }
    return vm.stagedModels.includes(model.name) ? model.warmLoadMs : model.loadMs;
};

/** Whether joining requires a load from the weight store. */
export const needsLoad = (vm: CandidateVm, model: ModelSpec): boolean =>
    estimateJoinMs(vm, model) === model.loadMs;

/** Target number of groups per fabric domain and model, by `domainModelKey(domain, model)`. */
export type TargetGroupCounts = ReadonlyMap<string, number>;

/**
 * Divides the VMs of the fabric domains among the models. A domain may have room for either one large group or several
 * small ones, so the model with the lowest coverage is placed first, in the domain with the best fit.
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

/** VMs in a model's groups relative to its demand. */
const coverage = (
    groupCounts: ReadonlyMap<string, number>,
    demandByModel: ReadonlyMap<string, number>,
    model: ModelSpec,
): number =>
    (groupCounts.get(model.name) ?? 0) * model.vmCount
    / Math.max(1e-9, demandByModel.get(model.name) ?? model.share);

/** The smallest domain with room for a group and the domain's spares. */
const bestFitDomain = (unassignedVms: ReadonlyMap<string, number>, model: ModelSpec): string | undefined =>
    [...unassignedVms].filter(([, count]) => count >= model.vmCount + SPARES_PER_DOMAIN)
        .sort((a, b) => a[1] - b[1])[0]?.[0]
        // A domain that has lost its spares may still recreate its groups.
        ?? [...unassignedVms].find(([, count]) =>
            count >= model.vmCount && count < model.vmCount + SPARES_PER_DOMAIN
        )
            ?.[0];

/**
 * Plans the next group to form, or returns undefined. The model with the lowest coverage comes first, in the fabric
 * domain where its members are ready soonest. After the loss of a member, survivors and staged spares are therefore
 * used before VMs that have to load weights.
 */
export const planGroup = (input: PlanInput, targetCounts: TargetGroupCounts): GroupPlan | undefined => {
    const groupCounts = countGroupsByModel(input.groups);
    const byCoverage = [...input.profile.models].sort((a, b) =>
        coverage(groupCounts, input.demandByModel, a) - coverage(groupCounts, input.demandByModel, b)
    );
    const plans = byCoverage.flatMap((model) => fastestPlan(input, targetCounts, model) ?? []);
    // Plans without loads come first, so that no VM loads weights that another VM already has.
    return plans.find((plan) => plan.loadCount === 0)
        ?? plans.find((plan) => isDomainSettled(input, plan.fabricDomain));
};

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

/**
 * Whether all VMs of a domain have been known for a while. Not required before there is demand, when loads are fast.
 */
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

/** An open group that may be preempted, with its usable members. */
export interface PreemptibleGroup {
    groupName: string;
    model: string;
    fabricDomain: string;
    members: readonly CandidateVm[];
}

/**
 * Selects the group to preempt so that its VMs complete a group of a model with lower coverage, or returns undefined.
 * Once the staged spares of a domain are used up, the survivors of a large group would otherwise be idle while one VM
 * loads. The lower coverage of the two models must rise clearly, because the preempted VMs don't serve for some
 * seconds.
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
            const candidateModel = input.profile.models.find(({ name }) => name === group.model);
            if (candidateModel === undefined || candidateModel === model) {
                return false;
            }
            const freeVms = [...input.freeVms, ...group.members];
            const plan = planGroupInDomain(
                { ...input, freeVms, availableLoads: 0 },
                targetCounts,
                model,
                group.fabricDomain,
            );
            const remainingCoverage = coverage(
                groupCountsWithout(candidateModel),
                input.demandByModel,
                candidateModel,
            );
            return plan !== undefined && remainingCoverage >= MIN_PREEMPTION_GAIN * coverageOf(model);
        });
        if (victim !== undefined) {
            return victim;
        }
    }
    return undefined;
};

/**
 * Selects members of open groups to stage a different model on their hosts. A member can rejoin a group of its own
 * model without staged weights, so it can then join groups of either model. This covers losses beyond a domain's
 * spares.
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
 * Selects the model that each spare stages on its host before a loss occurs. All members are equally likely to fail, so
 * a fabric domain stages the model with the most members per staged spare. After a first loss, the only remaining spare
 * may have the weights of the less exposed model; it then loads those of the other one.
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
        // Spares without staged weights end up first in `idleSpares`, so they load first.
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

/** Models that `count` spares of a domain should stage. */
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

/** Key for counts per fabric domain and model. */
export const domainModelKey = (domain: string, model: string): string => `${domain}\n${model}`;
