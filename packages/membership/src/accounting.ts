import { BackendKind, GroupState } from "@greengage/protocol";
import type { ModelRow } from "@greengage/table";
import { Cause, type Group } from "./group.ts";
import type { Vm } from "./vms.ts";
import {
    freeVms,
    isAdopting,
    isServing,
    mayReassign,
    presentGroups,
    wantedReplicas,
    type ZoneState,
} from "./zone.ts";

/** Seconds by cause. */
export interface SecondsByCause {
    totalS: number;
    byCauseS: Partial<Record<Cause, number>>;
}

/** Adds up group downtime and stranded accelerators with the cause of each second. */
export class DowntimeAccount {
    readonly groupDowntime: SecondsByCause = { totalS: 0, byCauseS: {} };
    readonly strandedAccelerators: SecondsByCause = { totalS: 0, byCauseS: {} };

    /** Groups of each model that have served at once, while the table wanted as many. */
    readonly #reached = new Map<string, number>();

    /**
     * Groups of a model that should serve: those that exist or have served before. A wanted group that was never
     * formed isn't down; the accelerators that it could use are stranded.
     */
    expectedGroups(zone: ZoneState, model: ModelRow): number {
        const present = presentGroups(zone, model.name);
        const serving = present.filter(isServing).length;
        const reached = Math.min(
            wantedReplicas(model),
            Math.max(this.#reached.get(model.name) ?? 0, serving),
        );
        this.#reached.set(model.name, reached);
        return Math.min(wantedReplicas(model), Math.max(reached, present.length));
    }

    addDowntime(cause: Cause, seconds: number): void {
        add(this.groupDowntime, cause, seconds);
    }

    /** Counts the `seconds` since the last call for every group and VM in its present state. */
    tick(zone: ZoneState, seconds: number): void {
        for (const model of zone.table.models()) {
            for (const cause of missingGroupCauses(zone, model.name, this.expectedGroups(zone, model))) {
                add(this.groupDowntime, cause, seconds);
            }
        }
        const freeCounts = new Map<string, number>();
        for (const { report } of freeVms(zone)) {
            freeCounts.set(report.fabricDomain, (freeCounts.get(report.fabricDomain) ?? 0) + 1);
        }
        for (const vm of zone.vms.all()) {
            const cause = strandedCause(zone, vm, freeCounts);
            if (cause !== undefined) {
                add(this.strandedAccelerators, cause, seconds * vm.report.accelerators);
            }
        }
    }
}

const add = (sum: SecondsByCause, cause: Cause, seconds: number): void => {
    sum.totalS += seconds;
    sum.byCauseS[cause] = (sum.byCauseS[cause] ?? 0) + seconds;
};

/** One cause per expected group that doesn't serve. A replacement that serves makes up for a group that drains. */
const missingGroupCauses = (zone: ZoneState, model: string, expected: number): Cause[] => {
    const groups = zone.groups.ofModel(model);
    const down = expected - groups.filter(isServing).length;
    if (down <= 0) {
        return [];
    }
    const causes = groups.filter((group) => !isServing(group)).map((group) => group.cause);
    const absent = Math.max(0, down - causes.length);
    return [...causes.slice(0, down), ...Array.from({ length: absent }, () => absenceCause(zone))];
};

/** Why an expected group doesn't exist. */
const absenceCause = (zone: ZoneState): Cause => {
    const free = zone.vms.all().filter((vm) =>
        vm.report.kind === BackendKind.Model && zone.vms.isFresh(vm)
        && zone.groups.groupOf(vm.vmId) === undefined
    );
    const causes = free.map((vm) => unusableCause(zone, vm));
    return causes.find((cause) => cause !== undefined) ?? Cause.NoSpare;
};

const unusableCause = (zone: ZoneState, vm: Vm): Cause | undefined => {
    if (isAdopting(zone) && vm.report.assignment !== undefined) {
        return Cause.NoController;
    }
    if (zone.vms.isQuarantined(vm)) {
        return Cause.Quarantined;
    }
    if (!mayReassign(zone, vm)) {
        return Cause.UnfencedWait;
    }
    return zone.vms.isUsable(vm) ? undefined : Cause.BackOff;
};

/** Why the accelerators of a healthy VM are in no working group; undefined when they are, or aren't healthy. */
const strandedCause = (zone: ZoneState, vm: Vm, freeCounts: Map<string, number>): Cause | undefined => {
    const isHealthy = vm.report.kind === BackendKind.Model && zone.vms.isFresh(vm)
        && !zone.vms.isLeaving(vm);
    if (!isHealthy) {
        return undefined;
    }
    const group = zone.groups.groupOf(vm.vmId);
    if (group !== undefined) {
        return groupCause(group);
    }
    return unusableCause(zone, vm) ?? spareCause(zone, freeCounts.get(vm.report.fabricDomain) ?? 0);
};

/** A group that drains still runs its requests. */
const groupCause = (group: Group): Cause | undefined =>
    isServing(group) || group.state === GroupState.Draining ? undefined : group.cause;

const spareCause = (zone: ZoneState, freeInDomain: number): Cause => {
    const short = zone.table.models().filter((model) =>
        presentGroups(zone, model.name).length < wantedReplicas(model)
    );
    if (short.length === 0) {
        return Cause.NoDemand;
    }
    const fits = short.some((model) => model.vmsPerReplica <= freeInDomain);
    return fits ? Cause.ReservedSpare : Cause.NoSpare;
};
