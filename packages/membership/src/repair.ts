import { GroupState } from "@greengage/protocol";
import { planDrain } from "./drain.ts";
import { DowntimeCause, DrainReason, type Group } from "./group.ts";
import type { GroupSummary } from "./placement.ts";
import type { Vm } from "./vmregistry.ts";
import {
    desiredReplicas,
    freeVms,
    isServing,
    isTableCurrent,
    MemberStatus,
    memberStatus,
    retainedGroups,
    type ZoneState,
} from "./zonestate.ts";

/** Members that stay in the next generation. */
export const retainedMembers = (zone: ZoneState, group: Group): Vm[] =>
    group.memberVmIds.filter((vmId) => canBeRetained[memberStatus(zone, group, vmId)])
        .map((vmId) => zone.vms.get(vmId))
        .filter((vm): vm is Vm => vm !== undefined && !zone.vms.isLeaving(vm))
        .filter((vm) => group.drain?.reason !== DrainReason.Straggler || vm.stragglerSinceMs === undefined);

/** Spares that would complete a group, as chosen by the placement policy. */
export const pickSparesFor = (zone: ZoneState, group: Group, count: number): Vm[] | undefined => {
    const candidates = freeVms(zone).filter((vm) => vm.report.fabricDomain === group.fabricDomain);
    return zone.placement.pickSpares(group.model, candidates, count);
};

/**
 * Starts a new generation in which spares of the same fabric domain replace the members that can't stay. Without
 * spares, or if the table no longer requires the group, it is dissolved and its VMs become free.
 */
export const repairGroup = (zone: ZoneState, group: Group): void => {
    const model = zone.table.model(group.model);
    const otherCount = retainedGroups(zone, group.model).filter((other) => other !== group).length;
    const isDonor = group.drain?.reason === DrainReason.Donor;
    const isNeeded = !isDonor && (!isTableCurrent(zone)
        || (otherCount < desiredReplicas(model) && model?.vmsPerReplica === group.memberVmIds.length));
    const retained = retainedMembers(zone, group);
    const lostCount = group.memberVmIds.length - retained.length;
    const spares = isNeeded ? pickSparesFor(zone, group, lostCount) : undefined;
    if (spares === undefined && isNeeded && ensureDonor(zone, group, lostCount)) {
        zone.groups.setState(group, GroupState.Suspended, DowntimeCause.NoSpare);
        return;
    }
    if (spares === undefined) {
        zone.groups.dissolve(group, isNeeded ? DowntimeCause.NoSpare : DowntimeCause.NoDemand);
        return;
    }
    const unusedSpares = [...spares];
    const members = group.memberVmIds.map((vmId) =>
        retained.find((vm) => vm.vmId === vmId) ?? unusedSpares.shift() as Vm
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

/** Whether a group of the fabric domain releases its VMs. If none does, picks a donor and plans its drain. */
const ensureDonor = (zone: ZoneState, group: Group, lostCount: number): boolean => {
    const inDomain = zone.groups.all().filter((other) =>
        other !== group && other.fabricDomain === group.fabricDomain
    );
    if (inDomain.some((other) => other.drain?.reason === DrainReason.Donor)) {
        return true;
    }
    const candidates = inDomain.filter((other) => other.drain === undefined && isServing(other));
    const freeCount = freeVms(zone).filter((vm) => vm.report.fabricDomain === group.fabricDomain).length;
    const { downtimeWeight } = zone.table.fleetSettings();
    const criteria = { lostCount, freeCount, downtimeWeight };
    const donor = zone.placement.pickDonor(
        summaryOf(zone, group),
        candidates.map((other) => summaryOf(zone, other)),
        criteria,
    );
    const donorGroup = donor === undefined ? undefined : zone.groups.get(donor.groupId);
    if (donorGroup !== undefined) {
        planDrain(zone, donorGroup, DrainReason.Donor);
    }
    return donorGroup !== undefined;
};

const summaryOf = (zone: ZoneState, group: Group): GroupSummary => ({
    groupId: group.groupId,
    vmCount: group.memberVmIds.length,
    priority: zone.table.model(group.model)?.priority ?? 0,
});

const canBeRetained: Record<MemberStatus, boolean> = {
    [MemberStatus.Ready]: true,
    [MemberStatus.Loading]: true,
    [MemberStatus.Unassigned]: true,
    [MemberStatus.Failed]: false,
    [MemberStatus.Missing]: false,
    [MemberStatus.Lost]: false,
    [MemberStatus.Quarantined]: false,
    [MemberStatus.Stray]: false,
};
