import { BackendKind, GroupState } from "@greengage/protocol";
import type { ModelRow } from "@greengage/table";
import { DowntimeCause, type Group } from "./group.ts";
import type { Vm } from "./vmregistry.ts";
import {
    desiredReplicas,
    freeVms,
    isAdopting,
    isServing,
    mayReassign,
    retainedGroups,
    type ZoneState,
} from "./zonestate.ts";

/** Seconds in total and by cause. */
export interface SecondsByCause {
    totalS: number;
    byCauseS: Partial<Record<DowntimeCause, number>>;
}

/** Sums group downtime and stranded accelerator time by cause. */
export class DowntimeTracker {
    readonly groupDowntime: SecondsByCause = { totalS: 0, byCauseS: {} };
    readonly strandedAccelerators: SecondsByCause = { totalS: 0, byCauseS: {} };

    /** Highest number of groups of each model that have served at the same time, up to the configured replicas. */
    readonly #peakServing = new Map<string, number>();

    /**
     * Number of groups of a model that should serve: those that exist or have served before. A configured group
     * that was never formed doesn't count as down; instead the accelerators that it could use count as stranded.
     */
    expectedGroups(zone: ZoneState, model: ModelRow): number {
        const retained = retainedGroups(zone, model.name);
        const serving = retained.filter(isServing).length;
        const peak = Math.min(
            desiredReplicas(model),
            Math.max(this.#peakServing.get(model.name) ?? 0, serving),
        );
        this.#peakServing.set(model.name, peak);
        return Math.min(desiredReplicas(model), Math.max(peak, retained.length));
    }

    addDowntime(cause: DowntimeCause, seconds: number): void {
        addSeconds(this.groupDowntime, cause, seconds);
    }

    /** Adds the `seconds` since the last call for every group and VM, by its current state. */
    addElapsed(zone: ZoneState, seconds: number): void {
        for (const model of zone.table.models()) {
            for (const cause of missingGroupCauses(zone, model.name, this.expectedGroups(zone, model))) {
                addSeconds(this.groupDowntime, cause, seconds);
            }
        }
        const freeCounts = new Map<string, number>();
        for (const { report } of freeVms(zone)) {
            freeCounts.set(report.fabricDomain, (freeCounts.get(report.fabricDomain) ?? 0) + 1);
        }
        for (const vm of zone.vms.all()) {
            const cause = strandedCause(zone, vm, freeCounts);
            if (cause !== undefined) {
                addSeconds(this.strandedAccelerators, cause, seconds * vm.report.accelerators);
            }
        }
    }
}

const addSeconds = (sum: SecondsByCause, cause: DowntimeCause, seconds: number): void => {
    sum.totalS += seconds;
    sum.byCauseS[cause] = (sum.byCauseS[cause] ?? 0) + seconds;
};

/** One cause per expected group that doesn't serve. A serving replacement compensates for a draining group. */
const missingGroupCauses = (zone: ZoneState, model: string, expected: number): DowntimeCause[] => {
    const groups = zone.groups.ofModel(model);
    const downCount = expected - groups.filter(isServing).length;
    if (downCount <= 0) {
        return [];
    }
    const causes = groups.filter((group) => !isServing(group)).map((group) => group.cause);
    const absentCount = Math.max(0, downCount - causes.length);
    return [...causes.slice(0, downCount), ...Array.from({ length: absentCount }, () => absenceCause(zone))];
};

/** Why an expected group doesn't exist. */
const absenceCause = (zone: ZoneState): DowntimeCause => {
    const free = zone.vms.all().filter((vm) =>
        vm.report.kind === BackendKind.Model && zone.vms.isFresh(vm)
        && zone.groups.groupOf(vm.vmId) === undefined
    );
    const causes = free.map((vm) => unusableCause(zone, vm));
    return causes.find((cause) => cause !== undefined) ?? DowntimeCause.NoSpare;
};

const unusableCause = (zone: ZoneState, vm: Vm): DowntimeCause | undefined => {
    if (isAdopting(zone) && vm.report.assignment !== undefined) {
        return DowntimeCause.NoController;
    }
    if (zone.vms.isQuarantined(vm)) {
        return DowntimeCause.Quarantined;
    }
    if (!mayReassign(zone, vm)) {
        return DowntimeCause.UnfencedWait;
    }
    return zone.vms.isUsable(vm) ? undefined : DowntimeCause.BackOff;
};

/** Why the accelerators of a healthy VM aren't used by a group; undefined if they are or the VM isn't healthy. */
const strandedCause = (
    zone: ZoneState,
    vm: Vm,
    freeCounts: Map<string, number>,
): DowntimeCause | undefined => {
    const isHealthy = vm.report.kind === BackendKind.Model && zone.vms.isFresh(vm)
        && !zone.vms.isLeaving(vm);
    if (!isHealthy) {
        return undefined;
    }
    const group = zone.groups.groupOf(vm.vmId);
    if (group !== undefined) {
        return nonServingCause(group);
    }
    return unusableCause(zone, vm) ?? spareCause(zone, freeCounts.get(vm.report.fabricDomain) ?? 0);
};

/** Cause for the members of a group. A draining group still runs requests, so its members aren't stranded. */
const nonServingCause = (group: Group): DowntimeCause | undefined =>
    isServing(group) || group.state === GroupState.Draining ? undefined : group.cause;

const spareCause = (zone: ZoneState, freeInDomain: number): DowntimeCause => {
    const underReplicated = zone.table.models().filter((model) =>
        retainedGroups(zone, model.name).length < desiredReplicas(model)
    );
    if (underReplicated.length === 0) {
        return DowntimeCause.NoDemand;
    }
    const canFormGroup = underReplicated.some((model) => model.vmsPerReplica <= freeInDomain);
    return canFormGroup ? DowntimeCause.ReservedSpare : DowntimeCause.NoSpare;
};
