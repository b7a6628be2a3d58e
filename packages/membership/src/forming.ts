import { newId } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import type { ModelRow } from "@greengage/table";
import { planDrain } from "./drain.ts";
import { DowntimeCause, DrainReason, type Group } from "./group.ts";
import type { Vm } from "./vmregistry.ts";
import {
    desiredReplicas,
    freeVms,
    isServing,
    isTableCurrent,
    retainedGroups,
    vmCountByDomain,
    type ZoneState,
} from "./zonestate.ts";

/** Plans the drain of groups that the table no longer requires, or that have a leaving or drained member. */
export const planDrains = (zone: ZoneState): void => {
    for (const group of zone.groups.all()) {
        const reason = drainReasonOf(zone, group);
        if (reason !== undefined) {
            planDrain(zone, group, reason);
        }
    }
    if (!isTableCurrent(zone)) {
        return;
    }
    for (const model of zone.table.models()) {
        planSurplusDrains(zone, model);
    }
};

/** Forms the groups that the table requests, as far as free VMs allow. */
export const formGroups = (zone: ZoneState): void => {
    for (const model of zone.placement.orderModels(zone.table.models())) {
        let retainedCount = retainedGroups(zone, model.name).length;
        while (retainedCount < desiredReplicas(model)) {
            const members = pickMembers(zone, model, retainedCount);
            if (members === undefined) {
                break;
            }
            formGroup(zone, model, members);
            retainedCount += 1;
        }
    }
};

/** VMs that the next group of a model would get. */
export const pickMembers = (zone: ZoneState, model: ModelRow, retainedCount: number): Vm[] | undefined =>
    zone.placement.pickGroup({
        model,
        freeVms: freeVms(zone),
        vmCountByDomain: vmCountByDomain(zone),
        retainedGroupCount: retainedCount,
        isRestoring: retainedCount < zone.downtime.expectedGroups(zone, model),
        downtimeWeight: zone.table.fleetSettings().downtimeWeight,
    });

const formGroup = (zone: ZoneState, model: ModelRow, members: Vm[]): void => {
    const group: Group = {
        groupId: newId(),
        generation: 1,
        model: model.name,
        fabricDomain: members[0]?.report.fabricDomain ?? "",
        memberVmIds: members.map((vm) => vm.vmId),
        incarnations: new Map(members.map((vm) => [vm.vmId, vm.report.incarnationId])),
        state: GroupState.Forming,
        stateSinceMs: performance.now(),
        confirmAfterMs: 0,
        cause: DowntimeCause.Loading,
    };
    const replaced = zone.groups.ofModel(model.name).find((other) =>
        other.drain !== undefined && isServing(other) && other.drain.replacementGroupId === undefined
    );
    if (replaced?.drain !== undefined) {
        replaced.drain.replacementGroupId = group.groupId;
    }
    zone.groups.add(group);
};

const drainReasonOf = (zone: ZoneState, group: Group): DrainReason | undefined => {
    const members = group.memberVmIds.map((vmId) => zone.vms.get(vmId));
    if (members.some((vm) => vm?.report.leaving)) {
        return DrainReason.Leaving;
    }
    if (group.memberVmIds.some((vmId) => zone.vms.drainedVmIds.has(vmId))) {
        return DrainReason.Operator;
    }
    return isTableCurrent(zone) ? drainReasonByTable(zone, group) : undefined;
};

const drainReasonByTable = (zone: ZoneState, group: Group): DrainReason | undefined => {
    const model = zone.table.model(group.model);
    if (desiredReplicas(model) === 0) {
        return DrainReason.Disabled;
    }
    return model?.vmsPerReplica === group.memberVmIds.length ? undefined : DrainReason.Reshaped;
};

/** Plans the drain of surplus groups, those that don't serve or run the fewest requests first. */
const planSurplusDrains = (zone: ZoneState, model: ModelRow): void => {
    const retained = retainedGroups(zone, model.name);
    const surplus = retained.length - desiredReplicas(model);
    if (surplus <= 0) {
        return;
    }
    const leastUsedFirst = [...retained].sort((a, b) =>
        Number(isServing(a)) - Number(isServing(b)) || runningRequestsOf(zone, a) - runningRequestsOf(zone, b)
        || b.stateSinceMs - a.stateSinceMs
    );
    for (const group of leastUsedFirst.slice(0, surplus)) {
        planDrain(zone, group, DrainReason.Surplus);
    }
};

const runningRequestsOf = (zone: ZoneState, group: Group): number =>
    zone.vms.get(group.memberVmIds[0] ?? "")?.report.load.runningRequests ?? 0;
