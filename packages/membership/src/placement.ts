import type { ModelRow } from "@greengage/table";
import type { Vm } from "./vmRegistry.ts";

/** What a policy decides on: the free VMs that can be used now. */
export interface PlacementInput {
    model: ModelRow;
    freeVms: Vm[];
    /** Healthy VMs of each fabric domain, free or not. */
    vmCountByDomain: Map<string, number>;
    /** Groups of the model that serve or load. */
    retainedGroupCount: number;
    /** The model has had more groups before. */
    isRestoring: boolean;
    /** 1 weighs group downtime alone, 0 stranded accelerators alone. */
    downtimeWeight: number;
}

/** A group as the choice of a donor sees it. */
export interface GroupSummary {
    groupId: string;
    vmCount: number;
    /** Priority of its model; 0 is the most urgent. */
    priority: number;
}

export interface DonorCriteria {
    lostCount: number;
    freeCount: number;
    downtimeWeight: number;
}

export interface PlacementPolicy {
    /** Order in which models get VMs. */
    orderModels(models: ModelRow[]): ModelRow[];
    /** Members of a new group, all of one fabric domain. */
    pickGroup(input: PlacementInput): Vm[] | undefined;
    /** Spares that replace `count` members of a group. `candidates` are free VMs of its fabric domain. */
    pickSpares(model: string, candidates: Vm[], count: number): Vm[] | undefined;
    /**
     * Group of the same fabric domain that is given up, so that its VMs complete a larger group that lost members.
     * `freeCount` VMs of the domain are free.
     */
    pickDonor(group: GroupSummary, others: GroupSummary[], input: DonorCriteria): GroupSummary | undefined;
    /** VMs of a fabric domain that are kept out of groups for quick repair. */
    reservedSpares(vmCount: number, downtimeWeight: number): number;
}

export const PlacementName = { FirstFit: "firstFit", BestFit: "bestFit" } as const;

export type PlacementName = typeof PlacementName[keyof typeof PlacementName];

// One spare per ten VMs covers the loss of one VM of a fabric domain between two replacements.
const VMS_PER_SPARE = 10;

const MAX_DONOR_WEIGHT = 0.5;

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

/** VMs that hold the weights first, then those that have failed least. */
const sortByPreference = (vms: Vm[], model: string): Vm[] =>
    [...vms].sort((a, b) =>
        Number(isCached(b, model)) - Number(isCached(a, model)) || a.flaps - b.flaps
        || a.vmId.localeCompare(b.vmId)
    );

/** Takes the first fabric domain and the first VMs that suffice. */
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

/** Urgent models first, then large groups; the fabric domain with most cached weights and least left over. */
const bestFit: PlacementPolicy = {
    orderModels: (models) =>
        [...models].sort((a, b) => a.priority - b.priority || b.vmsPerReplica - a.vmsPerReplica),
    pickGroup: (input) => {
        const { model, freeVms, downtimeWeight } = input;
        const size = model.vmsPerReplica;
        const fitting = [...groupByDomain(freeVms)].filter(([domain, vms]) => {
            // The first group of a model, or one that was lost, is worth more than a spare.
            const reserved = input.retainedGroupCount === 0 || input.isRestoring
                ? 0
                : reservedSpares(input.vmCountByDomain.get(domain) ?? 0, downtimeWeight);
            return vms.length - reserved >= size;
        }).map(([, vms]) => sortByPreference(vms, model.name));
        const cachedCount = (vms: Vm[]): number =>
            vms.slice(0, size).filter((vm) => isCached(vm, model.name)).length;
        fitting.sort((a, b) =>
            (a.length % size) - (b.length % size) || cachedCount(b) - cachedCount(a) || a.length - b.length
        );
        return fitting[0]?.slice(0, size);
    },
    pickSpares: (model, candidates, count) =>
        candidates.length >= count ? sortByPreference(candidates, model).slice(0, count) : undefined,
    pickDonor: (group, others, { lostCount, freeCount, downtimeWeight }) => {
        // Either way one group is down. The donor's drain and a second load cost time, so downtime weighs against it.
        if (downtimeWeight > MAX_DONOR_WEIGHT) {
            return undefined;
        }
        const needed = lostCount - freeCount;
        const strandedWithout = group.vmCount - lostCount;
        const fitting = others.filter((other) =>
            other.priority >= group.priority && other.vmCount >= needed
            && other.vmCount - needed < strandedWithout && other.vmCount < group.vmCount
        );
        return fitting.sort((a, b) => b.priority - a.priority || a.vmCount - b.vmCount)[0];
    },
    reservedSpares,
};

export const placementPolicies: Record<PlacementName, PlacementPolicy> = { firstFit, bestFit };
