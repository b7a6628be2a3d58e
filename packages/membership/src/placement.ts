import type { ModelRow } from "@greengage/table";
import type { Vm } from "./vmregistry.ts";

/** Input for the choice of the members of a new group. */
export interface PlacementInput {
    model: ModelRow;
    freeVms: Vm[];
    /** Healthy VMs of each fabric domain, free or not. */
    vmCountByDomain: Map<string, number>;
    /** Groups of the model without a planned drain. */
    retainedGroupCount: number;
    /** Whether the model has had more groups before. */
    isRestoring: boolean;
    /** Weight of group downtime against stranded accelerators: 1 counts only downtime, 0 only stranded accelerators. */
    downtimeWeight: number;
}

/** Properties of a group that matter for the choice of a donor. */
export interface GroupSummary {
    groupId: string;
    vmCount: number;
    /** Priority of its model; 0 is the most urgent. */
    priority: number;
}

export interface DonorCriteria {
    /** Members to replace in the larger group. */
    lostCount: number;
    /** Free VMs of the fabric domain. */
    freeCount: number;
    downtimeWeight: number;
}

export interface PlacementPolicy {
    /** Sorts the models in the order in which they get VMs. */
    orderModels(models: ModelRow[]): ModelRow[];
    /** Members of a new group, all of one fabric domain. */
    pickGroup(input: PlacementInput): Vm[] | undefined;
    /** Spares that replace `count` members of a group. `candidates` are free VMs of its fabric domain. */
    pickSpares(model: string, candidates: Vm[], count: number): Vm[] | undefined;
    /**
     * Group to dissolve, of the same fabric domain, so that its VMs complete a larger group that lost members.
     */
    pickDonor(group: GroupSummary, others: GroupSummary[], input: DonorCriteria): GroupSummary | undefined;
    /** Number of VMs of a fabric domain to keep out of groups for quick repairs. */
    reservedSpares(vmCount: number, downtimeWeight: number): number;
}

export const PlacementName = { FirstFit: "firstFit", BestFit: "bestFit" } as const;

export type PlacementName = typeof PlacementName[keyof typeof PlacementName];

// One spare per ten VMs covers the loss of one VM of a fabric domain between two replacements.
const VMS_PER_SPARE = 10;

const MAX_DONOR_DOWNTIME_WEIGHT = 0.5;

const groupByDomain = (vms: Vm[]): Map<string, Vm[]> => {
    const domains = new Map<string, Vm[]>();
    for (const vm of vms) {
        const domain = domains.get(vm.report.fabricDomain) ?? [];
        domain.push(vm);
        domains.set(vm.report.fabricDomain, domain);
    }
    return domains;
};

const isCached = (vm: Vm, model: string): boolean => vm.report.cachedModels.includes(model);

/** Sorts VMs with cached weights first, then those that have failed least often. */
const sortByPreference = (vms: Vm[], model: string): Vm[] =>
    [...vms].sort((a, b) =>
        Number(isCached(b, model)) - Number(isCached(a, model)) || a.flaps - b.flaps
        || a.vmId.localeCompare(b.vmId)
    );

/** Takes the first fabric domain with enough free VMs, and the first VMs of it. */
const firstFit: PlacementPolicy = {
    orderModels: (models) => models,
    pickGroup: ({ model, freeVms }) =>
        [...groupByDomain(freeVms).values()].find((vms) => vms.length >= model.vmsPerReplica)
            ?.slice(0, model.vmsPerReplica),
    pickSpares: (_, candidates, count) => candidates.length >= count ? candidates.slice(0, count) : undefined,
    pickDonor: () => undefined,
    reservedSpares: () => 0,
};

const reservedSpares = (vmCount: number, downtimeWeight: number): number =>
    Math.round(downtimeWeight * Math.ceil(vmCount / VMS_PER_SPARE));

/** Urgent models first, then large groups; the fabric domain with fewest VMs left over, then most cached weights. */
const bestFit: PlacementPolicy = {
    orderModels: (models) =>
        [...models].sort((a, b) => a.priority - b.priority || b.vmsPerReplica - a.vmsPerReplica),
    pickGroup: (input) => {
        const { model, freeVms, downtimeWeight } = input;
        const size = model.vmsPerReplica;
        const candidates = [...groupByDomain(freeVms)].filter(([domain, vms]) => {
            // The first group of a model, or one that was lost, has precedence over reserved spares.
            const reserved = input.retainedGroupCount === 0 || input.isRestoring
                ? 0
                : reservedSpares(input.vmCountByDomain.get(domain) ?? 0, downtimeWeight);
            return vms.length - reserved >= size;
        }).map(([, vms]) => sortByPreference(vms, model.name));
        const cachedCount = (vms: Vm[]): number =>
            vms.slice(0, size).filter((vm) => isCached(vm, model.name)).length;
        candidates.sort((a, b) =>
            (a.length % size) - (b.length % size) || cachedCount(b) - cachedCount(a) || a.length - b.length
        );
        return candidates[0]?.slice(0, size);
    },
    pickSpares: (model, candidates, count) =>
        candidates.length >= count ? sortByPreference(candidates, model).slice(0, count) : undefined,
    pickDonor: (group, others, { lostCount, freeCount, downtimeWeight }) => {
        // Either way one group is down. A donor strands fewer accelerators, but its drain and a second load cost time.
        if (downtimeWeight > MAX_DONOR_DOWNTIME_WEIGHT) {
            return undefined;
        }
        const needed = lostCount - freeCount;
        const strandedWithoutDonor = group.vmCount - lostCount;
        const candidates = others.filter((other) =>
            other.priority >= group.priority && other.vmCount >= needed
            && other.vmCount - needed < strandedWithoutDonor && other.vmCount < group.vmCount
        );
        return candidates.sort((a, b) => b.priority - a.priority || a.vmCount - b.vmCount)[0];
    },
    reservedSpares,
};

export const placementPolicies: Record<PlacementName, PlacementPolicy> = { firstFit, bestFit };
