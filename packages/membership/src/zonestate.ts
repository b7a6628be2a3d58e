import { type Context, monotonicMs } from "@greengage/base";
import { AssignmentState, BackendKind, GroupState, type VmReport } from "@greengage/protocol";
import type { ModelRow, TableState } from "@greengage/table";
import type { DaemonRegistry } from "./daemonregistry.ts";
import type { DowntimeTracker } from "./downtime.ts";
import { DowntimeCause, type Group } from "./group.ts";
import type { GroupRegistry } from "./groupregistry.ts";
import type { PlacementPolicy } from "./placement.ts";
import type { MembershipTiming } from "./timing.ts";
import type { ViewLog } from "./viewlog.ts";
import type { Vm, VmRegistry } from "./vmregistry.ts";
import type { WeightStoreLimiter } from "./weightstorelimiter.ts";

/** State of a zone that the parts of its controller share. */
export interface ZoneState {
    context: Context;
    timing: MembershipTiming;
    table: TableState;
    vms: VmRegistry;
    groups: GroupRegistry;
    daemons: DaemonRegistry;
    views: ViewLog;
    downtime: DowntimeTracker;
    weightStoreLimiter: WeightStoreLimiter;
    placement: PlacementPolicy;
    /** Monotonic time at which the last control step began. */
    stepStartedAtMs: number;
    /** Monotonic time until which reports of the former controller's groups may still arrive. */
    adoptionEndsAtMs: number;
    /** Whether VMs that don't check fencing tokens may move to other groups. */
    isHandoverDone: () => boolean;
    /** Highest table version that a daemon of the zone has reported. */
    tableFloor: () => number;
}

/**
 * Whether the table may be used to drain groups, or to dissolve a group that it no longer requires (`repairGroup`). Just
 * after a restart it may be empty or out of date.
 */
export const isTableCurrent = (zone: ZoneState): boolean =>
    zone.table.version > 0 && zone.table.version >= zone.tableFloor();

/** Status of a group member according to its last report. */
export const MemberStatus = {
    Ready: "ready",
    Loading: "loading",
    /** Reports another assignment or none. */
    Unassigned: "unassigned",
    Failed: "failed",
    Missing: "missing",
    /** Restarted, or another VM reports its address, so it can't return with its weights. */
    Lost: "lost",
    Quarantined: "quarantined",
    /** Carried out an order of a former controller, since it doesn't check fencing tokens. */
    Stray: "stray",
} as const;

export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus];

/** `VmOrder.key` of an order to leave the group. */
export const RELEASE_KEY = "release";

/** Whether a report names this group, generation and member list. */
export const reportsGroup = (report: VmReport, group: Group): boolean =>
    report.assignment?.groupId === group.groupId
    && report.assignment.generation === group.generation
    && report.assignment.memberVmIds.join() === group.memberVmIds.join();

/** Whether orders of a former controller may still reach a VM that ignores fencing tokens. */
export const isStray = (vm: Vm): boolean => monotonicMs() < vm.reassignableAtMs;

export const memberStatus = (zone: ZoneState, group: Group, vmId: string): MemberStatus => {
    const vm = zone.vms.get(vmId);
    if (vm === undefined) {
        return MemberStatus.Missing;
    }
    const incarnationId = group.incarnations.get(vmId);
    if (incarnationId !== undefined && incarnationId !== vm.report.incarnationId) {
        return MemberStatus.Lost;
    }
    if (vm.supersededAtMs !== undefined) {
        return MemberStatus.Lost;
    }
    if (zone.vms.isQuarantined(vm)) {
        return MemberStatus.Quarantined;
    }
    if (!zone.vms.isFresh(vm)) {
        return MemberStatus.Missing;
    }
    const { assignment } = vm.report;
    if (assignment === undefined || !reportsGroup(vm.report, group)) {
        return isStray(vm) ? MemberStatus.Stray : MemberStatus.Unassigned;
    }
    if (assignment.state === AssignmentState.Failed) {
        return MemberStatus.Failed;
    }
    const isConfirmed = vm.receivedAtMs >= group.confirmAfterMs;
    return isConfirmed && assignment.state === AssignmentState.Ready
        ? MemberStatus.Ready
        : MemberStatus.Loading;
};

/** Whether a VM may be ordered into another group or out of its own. VMs that don't check fencing tokens must wait. */
export const mayReassign = (zone: ZoneState, vm: Vm): boolean =>
    vm.report.checksFencing || (zone.isHandoverDone() && !isStray(vm));

export const isAdopting = (zone: ZoneState): boolean => monotonicMs() < zone.adoptionEndsAtMs;

/** VMs that are in no group and can be chosen for one now. */
export const freeVms = (zone: ZoneState): Vm[] =>
    zone.vms.all().filter((vm) =>
        zone.groups.groupOf(vm.vmId) === undefined && zone.vms.isUsable(vm) && mayReassign(zone, vm)
        && !(isAdopting(zone) && vm.report.assignment !== undefined)
    );

/** Number of healthy model VMs by fabric domain. */
export const vmCountByDomain = (zone: ZoneState): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const vm of zone.vms.all()) {
        if (zone.vms.isFresh(vm) && vm.report.kind === BackendKind.Model) {
            counts.set(vm.report.fabricDomain, (counts.get(vm.report.fabricDomain) ?? 0) + 1);
        }
    }
    return counts;
};

/** Groups of a model that count towards `replicas`: all without a planned drain. */
export const retainedGroups = (zone: ZoneState, model: string): Group[] =>
    zone.groups.ofModel(model).filter((group) => group.drain === undefined);

export const desiredReplicas = (model: ModelRow | undefined): number =>
    model === undefined || !model.enabled ? 0 : model.replicas;

/** Why a group can't serve, given its members' statuses; undefined if no member is lost. */
export const causeOfLoss = (statuses: MemberStatus[]): DowntimeCause | undefined => {
    const firstLoss = statuses.find((status) => lossCauses[status] !== undefined);
    return firstLoss === undefined ? undefined : lossCauses[firstLoss];
};

const lossCauses: Partial<Record<MemberStatus, DowntimeCause>> = {
    [MemberStatus.Missing]: DowntimeCause.MemberMissing,
    [MemberStatus.Lost]: DowntimeCause.MemberMissing,
    [MemberStatus.Quarantined]: DowntimeCause.Quarantined,
    [MemberStatus.Stray]: DowntimeCause.LateOrder,
    [MemberStatus.Failed]: DowntimeCause.LoadFailed,
};

export const isServing = (group: Group): boolean => group.state === GroupState.Serving;
