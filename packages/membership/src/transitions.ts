import { monotonicMs } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import { isDrained } from "./drain.ts";
import { DowntimeCause, DrainReason, type Group } from "./group.ts";
import { repairGroup } from "./repair.ts";
import { causeOfLoss, isAdopting, MemberStatus, memberStatus, type ZoneState } from "./zonestate.ts";

/** Groups by priority, in which they get spares. Draining ones come first, as they may free VMs in the same step. */
export const groupsByUrgency = (zone: ZoneState): Group[] => {
    const priorities = new Map(zone.table.models().map(({ name, priority }) => [name, priority]));
    const priorityOf = (group: Group): number => priorities.get(group.model) ?? Number.MAX_SAFE_INTEGER;
    const isDraining = (group: Group): boolean => group.state === GroupState.Draining;
    return zone.groups.all().sort((a, b) =>
        Number(isDraining(b)) - Number(isDraining(a)) || priorityOf(a) - priorityOf(b)
    );
};

/** Updates the state of a group from the reports of its members. */
export const stepGroup = (zone: ZoneState, group: Group): void => {
    const statuses = group.memberVmIds.map((vmId) => memberStatus(zone, group, vmId));
    handlers[group.state](zone, group, statuses);
};

type StateHandler = (zone: ZoneState, group: Group, statuses: MemberStatus[]) => void;

const stepActive: StateHandler = (zone, group, statuses) => {
    if (statuses.includes(MemberStatus.Failed)) {
        backOffFailedLoads(zone, group, statuses);
    }
    const loss = causeOfLoss(statuses);
    if (loss !== undefined) {
        zone.groups.setState(group, GroupState.Suspended, loss);
        stepSuspended(zone, group, statuses);
        return;
    }
    const next = statuses.every((status) => status === MemberStatus.Ready)
        ? GroupState.Serving
        : statuses.includes(MemberStatus.Unassigned)
        ? GroupState.Forming
        : GroupState.Loading;
    zone.groups.setState(group, next, DowntimeCause.Loading);
    skipDrainIfIdle(zone, group);
};

const stepSuspended: StateHandler = (zone, group, statuses) => {
    const loss = causeOfLoss(statuses);
    if (loss === undefined) {
        zone.groups.setState(group, GroupState.Loading, DowntimeCause.Loading);
        stepActive(zone, group, statuses);
        return;
    }
    if (group.cause !== DowntimeCause.NoSpare) {
        group.cause = loss;
    }
    // A missing member may return with its weights in memory; members that were lost otherwise can't.
    const isPermanent = statuses.some((status) => permanentLosses.includes(status));
    const hasWaited = monotonicMs() - group.stateSinceMs >= zone.timing.repairAfterMs;
    if (isPermanent || (hasWaited && !isAdopting(zone))) {
        repairGroup(zone, group);
    }
};

const stepDraining: StateHandler = (zone, group, statuses) => {
    if (causeOfLoss(statuses) !== undefined || isDrained(zone, group)) {
        backOffStragglers(zone, group);
        repairGroup(zone, group);
    }
};

const handlers: Record<GroupState, StateHandler> = {
    [GroupState.Forming]: stepActive,
    [GroupState.Loading]: stepActive,
    [GroupState.Serving]: stepActive,
    [GroupState.Suspended]: stepSuspended,
    [GroupState.Draining]: stepDraining,
    [GroupState.Dissolved]: () => undefined,
};

const permanentLosses: MemberStatus[] = [
    MemberStatus.Lost,
    MemberStatus.Quarantined,
    MemberStatus.Stray,
    MemberStatus.Failed,
];

/** A group with a planned drain that doesn't serve has no requests to finish: repairs or dissolves it immediately. */
const skipDrainIfIdle = (zone: ZoneState, group: Group): void => {
    const isIdle = group.state === GroupState.Forming || group.state === GroupState.Loading;
    if (group.drain !== undefined && isIdle) {
        repairGroup(zone, group);
    }
};

const backOffFailedLoads = (zone: ZoneState, group: Group, statuses: MemberStatus[]): void => {
    for (const [index, vmId] of group.memberVmIds.entries()) {
        const vm = zone.vms.get(vmId);
        if (statuses[index] === MemberStatus.Failed && vm !== undefined) {
            // Backs off from the first failure on, so that the VM isn't chosen as its own spare.
            vm.flaps = Math.max(1, vm.flaps);
            zone.vms.recordFlap(vm);
            zone.context.timeline.record("groups", "vm.loadFailed", { vmId, groupId: group.groupId });
        }
    }
};

/** Backs off replaced stragglers, so that they stay out of groups for a while. */
const backOffStragglers = (zone: ZoneState, group: Group): void => {
    if (group.drain?.reason !== DrainReason.Straggler) {
        return;
    }
    for (const vmId of group.memberVmIds) {
        const vm = zone.vms.get(vmId);
        if (vm?.stragglerSinceMs !== undefined) {
            vm.flaps = Math.max(2, vm.flaps);
            zone.vms.recordFlap(vm);
        }
    }
};
