import { monotonicMs } from "@greengage/base";
import { type Assignment, GroupState } from "@greengage/protocol";
import { DowntimeCause, type Group } from "./group.ts";
import type { Vm } from "./vmregistry.ts";
import { desiredReplicas, isAdopting, RELEASE_KEY, retainedGroups, type ZoneState } from "./zonestate.ts";

/**
 * Adopts the groups that VMs report and the controller doesn't know. Members must not contradict each other: no
 * member reports another group or a higher generation, and all reports of this generation name the same members.
 *
 * Just after a takeover a member without a report counts as missing, so that its group is repaired instead of loaded
 * again. Later, and for groups that this controller has dissolved, every member must report the group and the table
 * must still require it: a fabric domain that returns needs no reload, and an unneeded group isn't restored.
 */
export const adoptGroups = (zone: ZoneState): void => {
    const candidates = new Map<string, Assignment>();
    for (const vm of zone.vms.all()) {
        const assignment = adoptableAssignment(zone, vm);
        const known = assignment === undefined ? undefined : candidates.get(assignment.groupId);
        if (assignment !== undefined && (known === undefined || known.generation < assignment.generation)) {
            candidates.set(assignment.groupId, assignment);
        }
    }
    for (const assignment of candidates.values()) {
        const isTakeover = isAdopting(zone) && !zone.groups.wasDissolved(assignment.groupId);
        if (isConsistent(zone, assignment) && (isTakeover || isNeededAndComplete(zone, assignment))) {
            adopt(zone, assignment);
        }
    }
};

const adoptableAssignment = (zone: ZoneState, vm: Vm): Assignment | undefined => {
    const { assignment } = vm.report;
    const isKnown = assignment === undefined || zone.groups.get(assignment.groupId) !== undefined;
    const isUnreliable = !zone.vms.isFresh(vm) || zone.vms.isQuarantined(vm) || vm.order?.key === RELEASE_KEY;
    return isKnown || isUnreliable ? undefined : assignment;
};

const isConsistent = (zone: ZoneState, assignment: Assignment): boolean =>
    assignment.memberVmIds.every((vmId) => {
        if (zone.groups.groupOf(vmId) !== undefined) {
            return false;
        }
        const reported = zone.vms.get(vmId)?.report.assignment;
        if (reported === undefined) {
            return true;
        }
        const isSame = reported.generation === assignment.generation
            && reported.memberVmIds.join() === assignment.memberVmIds.join();
        return reported.groupId === assignment.groupId
            && (isSame || reported.generation < assignment.generation);
    });

const isNeededAndComplete = (zone: ZoneState, assignment: Assignment): boolean => {
    const model = zone.table.model(assignment.model);
    const isComplete = assignment.memberVmIds.every((vmId) => {
        const vm = zone.vms.get(vmId);
        return vm !== undefined && adoptableAssignment(zone, vm)?.groupId === assignment.groupId
            && vm.report.assignment?.generation === assignment.generation && !zone.vms.isLeaving(vm);
    });
    return isComplete && model?.vmsPerReplica === assignment.memberVmIds.length
        && retainedGroups(zone, assignment.model).length < desiredReplicas(model);
};

const adopt = (zone: ZoneState, assignment: Assignment): void => {
    const { groupId, generation, model, memberVmIds } = assignment;
    const reports = memberVmIds.map((vmId) => zone.vms.get(vmId)?.report);
    const incarnations = memberVmIds.flatMap((vmId, index): [string, string][] => {
        const incarnationId = reports[index]?.incarnationId;
        return incarnationId === undefined ? [] : [[vmId, incarnationId]];
    });
    const group: Group = {
        groupId,
        generation,
        model,
        fabricDomain: reports.find((report) => report !== undefined)?.fabricDomain ?? "",
        memberVmIds: [...memberVmIds],
        incarnations: new Map(incarnations),
        state: GroupState.Loading,
        stateSinceMs: monotonicMs(),
        confirmAfterMs: 0,
        cause: DowntimeCause.NoController,
    };
    zone.groups.add(group);
};
