import { Invariant } from "@greengage/base";
import {
    BackendKind,
    type BackendLoad,
    GroupState,
    type GroupView,
    type ServiceView,
} from "@greengage/protocol";
import type { Group } from "./group.ts";
import { isServing, type ZoneState } from "./zonestate.ts";

const NO_LOAD: BackendLoad = { runningRequests: 0, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 };

/** Group views for grants. Checks invariant P1: every member of a serving group has a fresh report. */
export const groupViews = (zone: ZoneState): GroupView[] =>
    zone.groups.all().map((group) => {
        const leader = zone.vms.get(group.memberVmIds[0] ?? "")?.report;
        checkAllMembersFresh(zone, group);
        return {
            groupId: group.groupId,
            generation: group.generation,
            model: group.model,
            zone: zone.context.zone,
            fabricDomain: group.fabricDomain,
            state: group.state,
            memberVmIds: group.memberVmIds,
            leaderUrl: leader?.url ?? "",
            maxConcurrent: maxConcurrentOf(zone, group, leader?.maxConcurrent ?? 0),
            load: leader?.load ?? NO_LOAD,
        };
    });

export const serviceViews = (zone: ZoneState): ServiceView[] =>
    zone.vms.all().filter(({ report }) => report.kind === BackendKind.Service).map((vm) => ({
        vmId: vm.vmId,
        incarnationId: vm.report.incarnationId,
        service: vm.report.service ?? "",
        zone: vm.report.zone,
        url: vm.report.url,
        maxConcurrent: vm.report.maxConcurrent,
        available: zone.vms.isFresh(vm) && !zone.vms.isLeaving(vm) && !zone.vms.isQuarantined(vm),
    }));

/** Monotonic time at which the first report that a serving group or a service relies on becomes stale. */
export const reportsFreshUntilMs = (zone: ZoneState): number => {
    const vmIds = zone.groups.all().filter(isServing).flatMap((group) => group.memberVmIds);
    const services = zone.vms.all().filter((vm) =>
        vm.report.kind === BackendKind.Service && zone.vms.isFresh(vm)
    );
    const receivedAtMs = [
        ...vmIds.map((vmId) => zone.vms.get(vmId)?.receivedAtMs ?? 0),
        ...services.map((vm) => vm.receivedAtMs),
    ];
    return Math.min(...receivedAtMs) + zone.timing.missingAfterMs;
};

/** Records the first view version that shows a group as draining or a service as unavailable because it leaves. */
export const recordDrainVersions = (zone: ZoneState): void => {
    for (const { state, drain } of zone.groups.all()) {
        if (state === GroupState.Draining && drain !== undefined) {
            drain.viewVersion ??= zone.views.version;
        }
    }
    for (const vm of zone.vms.all()) {
        vm.leavingVersion = zone.vms.isLeaving(vm) ? vm.leavingVersion ?? zone.views.version : undefined;
    }
};

const checkAllMembersFresh = (zone: ZoneState, group: Group): void => {
    if (!isServing(group)) {
        return;
    }
    // Freshness is judged at the start of the step: a report can become stale during it. Renewals check again.
    const staleVmIds = group.memberVmIds.filter((vmId) =>
        !zone.vms.isFresh(zone.vms.get(vmId), zone.stepStartedAtMs)
    );
    zone.context.invariants.check(
        Invariant.WholeGroupServes,
        staleVmIds.length === 0,
        () => `group ${group.groupId} serves without a fresh report from ${staleVmIds.join(", ")}`,
    );
};

const maxConcurrentOf = (zone: ZoneState, group: Group, leaderLimit: number): number =>
    Math.min(leaderLimit, zone.table.model(group.model)?.maxConcurrentPerReplica ?? leaderLimit);
