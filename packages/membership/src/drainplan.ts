import type { Calls, DrainPlan } from "@greengage/protocol";
import { pickMembers } from "./forming.ts";
import type { Group } from "./group.ts";
import { pickSparesFor } from "./repair.ts";
import { desiredReplicas, retainedGroups, type ZoneState } from "./zonestate.ts";

/** Describes what draining or undraining a VM does to its group. */
export const planVmDrain = (zone: ZoneState, request: Calls["vm.drain"]["request"]): DrainPlan => {
    const { vmId, drain, dryRun } = request;
    const group = zone.groups.groupOf(vmId);
    const { replacement, replacementVmIds } = drain && group !== undefined
        ? planReplacement(zone, group)
        : { replacement: "notNeeded" as const, replacementVmIds: [] };
    return {
        vmId,
        zone: zone.context.zone,
        dryRun,
        alreadyDrained: zone.vms.drainedVmIds.has(vmId),
        groupId: group?.groupId,
        model: group?.model,
        replacement,
        replacementVmIds,
        inFlight: zone.daemons.inFlight(group?.groupId ?? vmId),
        summary: drain ? summaries[replacement] : "the VM can be used for groups again",
    };
};

type Replacement = Pick<DrainPlan, "replacement" | "replacementVmIds">;

const planReplacement = (zone: ZoneState, group: Group): Replacement => {
    const model = zone.table.model(group.model);
    const otherCount = retainedGroups(zone, group.model).filter((other) => other !== group).length;
    if (model === undefined || otherCount >= desiredReplicas(model)) {
        return { replacement: "notNeeded", replacementVmIds: [] };
    }
    const members = pickMembers(zone, model, otherCount);
    if (members !== undefined) {
        return { replacement: "group", replacementVmIds: members.map((vm) => vm.vmId) };
    }
    const spares = pickSparesFor(zone, group, 1);
    return spares === undefined
        ? { replacement: "none", replacementVmIds: [] }
        : { replacement: "spare", replacementVmIds: spares.map((vm) => vm.vmId) };
};

const summaries: Record<DrainPlan["replacement"], string> = {
    notNeeded: "the VM is kept out of groups; no replacement is needed",
    group: "a new group is formed first, then the VM's group finishes its requests and is dissolved",
    spare: "the VM's group finishes its requests, then a spare replaces the VM in a new generation",
    none: "the VM's group finishes its requests and is dissolved; no VMs are free to replace it",
};
