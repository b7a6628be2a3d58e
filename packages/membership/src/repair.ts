import { Cause, DrainReason, type Group } from "./group.ts";
import type { Vm } from "./vms.ts";
import {
    freeVms,
    isTableCurrent,
    MemberStatus,
    memberStatus,
    presentGroups,
    wantedReplicas,
    type ZoneState,
} from "./zone.ts";

/** Members that a new generation can keep. */
export const stayingMembers = (zone: ZoneState, group: Group): Vm[] =>
    group.memberVmIds.filter((vmId) => canStay[memberStatus(zone, group, vmId)])
        .map((vmId) => zone.vms.get(vmId))
        .filter((vm): vm is Vm => vm !== undefined && !zone.vms.isLeaving(vm))
        .filter((vm) => group.drain?.reason !== DrainReason.Straggler || vm.stragglerSinceMs === undefined);

/** Spares that would complete a group, by the placement policy. */
export const sparesFor = (zone: ZoneState, group: Group, count: number): Vm[] | undefined => {
    const candidates = freeVms(zone).filter((vm) => vm.report.fabricDomain === group.fabricDomain);
    return zone.policy.pickSpares(group.model, candidates, count);
};

/**
 * Replaces the members that can't stay by spares of the same fabric domain, in a new generation. Without spares,
 * or when the group isn't wanted any more, the group is dissolved and its VMs are free.
 */
export const repair = (zone: ZoneState, group: Group): void => {
    const model = zone.table.model(group.model);
    const others = presentGroups(zone, group.model).filter((other) => other !== group).length;
    const isWanted = !isTableCurrent(zone)
        || (others < wantedReplicas(model) && model?.vmsPerReplica === group.memberVmIds.length);
    const staying = stayingMembers(zone, group);
    const lostCount = group.memberVmIds.length - staying.length;
    const spares = isWanted ? sparesFor(zone, group, lostCount) : undefined;
    if (spares === undefined) {
        zone.groups.remove(group, isWanted ? Cause.NoSpare : Cause.NoDemand);
        return;
    }
    const queue = [...spares];
    const members = group.memberVmIds.map((vmId) =>
        staying.find((vm) => vm.vmId === vmId) ?? queue.shift() as Vm
    );
    zone.context.timeline.record("groups", "group.repaired", {
        groupId: group.groupId,
        spares: spares.map((vm) => vm.vmId).join(" "),
    });
    zone.groups.replaceMembers(
        group,
        new Map(members.map((vm) => [vm.vmId, vm.report.incarnationId])),
    );
};

const canStay: Record<MemberStatus, boolean> = {
    [MemberStatus.Ready]: true,
    [MemberStatus.Loading]: true,
    [MemberStatus.Unassigned]: true,
    [MemberStatus.Failed]: false,
    [MemberStatus.Missing]: false,
    [MemberStatus.Lost]: false,
    [MemberStatus.Quarantined]: false,
    [MemberStatus.Stray]: false,
};
