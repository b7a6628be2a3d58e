import type { EngineProfile, ModelSpec } from "@greengage/configuration";

/** A VM that is in no group. */
export interface FreeVm {
    serverId: string;
    fabricDomain: string;
    zone: string;
    /** Model of its last group since its start: it joins a group of that model almost at once. */
    lastModel: string | undefined;
    stagedModels: readonly string[];
    /** Whether it loads weights onto its host now. */
    isStaging: boolean;
}

/** What the planner decides on for one service. */
export interface PlanInput {
    profile: EngineProfile;
    freeVms: readonly FreeVm[];
    /** Groups that are open or on their way, by model and by fabric domain. */
    groups: readonly { model: string; fabricDomain: string; }[];
    /** Need for capacity by model, in any unit; the configured shares until demand is known. */
    needs: ReadonlyMap<string, number>;
    /** Loads from the weight store that may begin now. */
    loadsAllowed: number;
}

export interface GroupPlan {
    model: ModelSpec;
    fabricDomain: string;
    members: FreeVm[];
    /** Members that load from the weight store. */
    loadCount: number;
    /** Expected time until all members are ready. */
    readyInMs: number;
}

export interface StagePlan {
    serverId: string;
    model: ModelSpec;
}

/** Join of a member whose last group had the same model. */
const REJOIN_MS = 200;
/** VMs that a fabric domain keeps as spares when groups are added: a lost member is replaced in about two seconds. */
const SPARES_PER_DOMAIN = 1;

/** Time until a VM is ready in a group of the model. */
export const joinTimeMs = (vm: FreeVm, model: ModelSpec): number => {
    if (vm.lastModel === model.name) {
        return REJOIN_MS;
    }
    return vm.stagedModels.includes(model.name) ? model.warmLoadMs : model.loadMs;
};

/** Whether a join would load from the weight store. */
export const needsLoad = (vm: FreeVm, model: ModelSpec): boolean => joinTimeMs(vm, model) === model.loadMs;

/**
 * The next group to form, or undefined. Answers the loss of members: the model that is served least for its need comes
 * first, in the fabric domain where its members are ready soonest, so that survivors and staged spares are used before
 * VMs that must load.
 */
export const planGroup = (input: PlanInput): GroupPlan | undefined => {
    const byNeed = [...input.profile.models].sort((a, b) => coverage(input, a) - coverage(input, b));
    for (const model of byNeed) {
        const plans = domainsOf(input.freeVms).map((domain) => planInDomain(input, model, domain))
            .filter((plan) => plan !== undefined);
        plans.sort((a, b) => a.readyInMs - b.readyInMs || a.loadCount - b.loadCount);
        if (plans[0] !== undefined) {
            return plans[0];
        }
    }
    return undefined;
};

/** Groups of a model in relation to its need. */
const coverage = ({ groups, needs }: PlanInput, model: ModelSpec): number => {
    const count = groups.filter((group) => group.model === model.name).length;
    const need = Math.max(1e-9, needs.get(model.name) ?? model.share);
    // Need is counted in VMs, as the shares of the work are.
    return count * model.vmCount / need;
};

const domainsOf = (vms: readonly FreeVm[]): string[] => [...new Set(vms.map((vm) => vm.fabricDomain))];

const planInDomain = (input: PlanInput, model: ModelSpec, domain: string): GroupPlan | undefined => {
    const free = input.freeVms.filter((vm) => vm.fabricDomain === domain);
    const isRestoring = !input.groups.some((group) => group.fabricDomain === domain && group.model === model.name);
    const spares = isRestoring ? 0 : SPARES_PER_DOMAIN;
    if (free.length < model.vmCount + spares) {
        return undefined;
    }
    const candidates = [...free].sort((a, b) => joinTimeMs(a, model) - joinTimeMs(b, model));
    const members = candidates.slice(0, model.vmCount);
    const loadCount = members.filter((vm) => needsLoad(vm, model)).length;
    if (loadCount > input.loadsAllowed) {
        return undefined;
    }
    const readyInMs = Math.max(...members.map((vm) => joinTimeMs(vm, model)));
    return { model, fabricDomain: domain, members, loadCount, readyInMs };
};

/**
 * Which spare loads which model onto its host, in advance of a loss. A fabric domain stages the model that has the
 * most members for each staged spare, since each member is lost equally often.
 */
export const planStaging = (input: PlanInput, memberCounts: ReadonlyMap<string, number>): StagePlan[] => {
    const plans: StagePlan[] = [];
    let allowed = input.loadsAllowed;
    for (const domain of domainsOf(input.freeVms)) {
        const spares = input.freeVms.filter((vm) => vm.fabricDomain === domain);
        const staged = new Map<string, number>();
        const idle: FreeVm[] = [];
        for (const vm of spares) {
            const model = input.profile.models.find(({ name }) => vm.stagedModels.includes(name));
            if (model !== undefined) {
                staged.set(model.name, (staged.get(model.name) ?? 0) + 1);
            }
            else if (!vm.isStaging) {
                idle.push(vm);
            }
        }
        for (const vm of idle.slice(0, Math.max(0, allowed))) {
            const model = mostExposed(input.profile.models, domain, memberCounts, staged);
            if (model === undefined) {
                break;
            }
            staged.set(model.name, (staged.get(model.name) ?? 0) + 1);
            plans.push({ serverId: vm.serverId, model });
            allowed -= 1;
        }
    }
    return plans;
};

const mostExposed = (
    models: readonly ModelSpec[],
    domain: string,
    memberCounts: ReadonlyMap<string, number>,
    staged: ReadonlyMap<string, number>,
): ModelSpec | undefined => {
    const exposure = (model: ModelSpec): number =>
        (memberCounts.get(memberKey(domain, model.name)) ?? model.vmCount * model.share)
        / ((staged.get(model.name) ?? 0) + 1);
    return [...models].sort((a, b) => exposure(b) - exposure(a))[0];
};

/** Key of the count of members of a model in a fabric domain. */
export const memberKey = (domain: string, model: string): string => `${domain}\n${model}`;
