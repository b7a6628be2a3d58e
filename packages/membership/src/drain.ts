import { Invariant, monotonicMs } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import type { DaemonRecord } from "./daemonRegistry.ts";
import { DowntimeCause, DrainReason, type Group } from "./group.ts";
import { LEAVING_DEADLINE_MS } from "./timing.ts";
import type { Vm } from "./vmRegistry.ts";
import { isServing, type ZoneState } from "./zoneState.ts";

// Grants that no push has shortened end after grantMs; the rest is for the renewal and one control period.
const PUSH_MARGIN_MS = 200;
const REPLACEMENT_TIMEOUT_MS = 60_000;

/** How long a group that is to be drained may serve on while its replacement loads. */
const maxDrainDelayMs: Record<DrainReason, (grantMs: number) => number> = {
    [DrainReason.Leaving]: (grantMs) => Math.max(0, LEAVING_DEADLINE_MS - grantMs - PUSH_MARGIN_MS),
    [DrainReason.Operator]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Straggler]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Reshaped]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Surplus]: () => 0,
    [DrainReason.Donor]: () => 0,
    [DrainReason.Disabled]: () => 0,
};

/** Marks a group to be drained. It serves on until its replacement does, within the limit of the reason. */
export const planDrain = (zone: ZoneState, group: Group, reason: DrainReason): void => {
    const nowMs = monotonicMs();
    const startByMs = Math.min(nowMs, leavingSinceMs(zone, group))
        + maxDrainDelayMs[reason](zone.timing.grantMs);
    if (group.drain !== undefined) {
        group.drain.startByMs = Math.min(group.drain.startByMs, startByMs);
        return;
    }
    group.drain = { reason, plannedAtMs: nowMs, startByMs };
    zone.context.timeline.record("groups", "drain.planned", { groupId: group.groupId, reason });
};

/** Monotonic time at which the first member began to leave; infinite when none does. */
const leavingSinceMs = (zone: ZoneState, group: Group): number =>
    Math.min(
        ...group.memberVmIds.map((vmId) => zone.vms.get(vmId)?.leavingSinceMs ?? Number.POSITIVE_INFINITY),
    );

/** Starts the drain when the replacement serves, when there is none, or when the time is up. */
export const startDrainIfDue = (zone: ZoneState, group: Group): void => {
    const { drain } = group;
    if (drain === undefined || !isServing(group)) {
        return;
    }
    const replacement = drain.replacementGroupId === undefined
        ? undefined
        : zone.groups.get(drain.replacementGroupId);
    const isWaiting = replacement !== undefined && !isServing(replacement) && monotonicMs() < drain.startByMs;
    if (isWaiting) {
        return;
    }
    drain.startedAtMs = monotonicMs();
    zone.groups.setState(group, GroupState.Draining, DowntimeCause.Draining);
};

/**
 * Whether nothing of a draining group is in use: every daemon that could still dispatch has seen the change and
 * has nothing in flight, and the leader has reported since then that it runs nothing.
 */
export const isDrained = (zone: ZoneState, group: Group): boolean => {
    const { drain } = group;
    if (drain?.viewVersion === undefined || drain.startedAtMs === undefined) {
        return false;
    }
    const { viewVersion: version, startedAtMs } = drain;
    const daemons = zone.daemons.all().map((daemon) => ({
        daemon,
        endMs: lastDispatchMs(zone, daemon, version),
    }));
    const isBusy = daemons.some(({ daemon, endMs }) =>
        endMs === undefined || (!hasStoppedRenewing(zone, daemon) && inFlightOf(daemon, group.groupId) > 0)
    );
    if (isBusy) {
        return false;
    }
    const lastWorkMs = Math.max(startedAtMs, ...daemons.map(({ endMs }) => endMs ?? 0));
    return isIdleSince(zone.vms.get(group.memberVmIds[0] ?? ""), lastWorkMs);
};

/** Same question for a service's backend server that leaves. */
export const isServiceIdle = (zone: ZoneState, vm: Vm, leavingVersion: number | undefined): boolean => {
    if (leavingVersion === undefined || vm.leavingSinceMs === undefined) {
        return false;
    }
    const leftAtMs = Math.max(0, vm.leavingSinceMs);
    const ends = zone.daemons.all().map((daemon) => lastDispatchMs(zone, daemon, leavingVersion));
    const isBusy = ends.includes(undefined) || zone.daemons.inFlight(vm.vmId) > 0;
    return !isBusy && isIdleSince(vm, Math.max(leftAtMs, ...ends.map((endMs) => endMs ?? 0)));
};

/** Checks P6: a group with a leaving member is not offered after the bound. */
export const checkLeavingDeadline = (zone: ZoneState, group: Group): void => {
    for (const vmId of group.memberVmIds) {
        const vm = zone.vms.get(vmId);
        if (vm?.leavingSinceMs === undefined) {
            continue;
        }
        const leavingForMs = monotonicMs() - vm.leavingSinceMs;
        zone.context.invariants.check(
            Invariant.LeavingGetsNoWork,
            !isServing(group) || leavingForMs < LEAVING_DEADLINE_MS,
            () => `group ${group.groupId} is offered ${Math.round(leavingForMs)} ms after VM ${vmId} left`,
        );
    }
};

const inFlightOf = (daemon: DaemonRecord, id: string): number => daemon.inFlight?.get(id) ?? 0;

/** The counts of a daemon that no longer renews are out of date; then the leader's report decides alone. */
const hasStoppedRenewing = (zone: ZoneState, daemon: DaemonRecord): boolean =>
    monotonicMs() - daemon.renewedAtMs > 2 * zone.timing.grantMs;

/** Monotonic time after which the daemon has started no work; undefined when it may still start some. */
const lastDispatchMs = (zone: ZoneState, daemon: DaemonRecord, version: number): number | undefined => {
    if (daemon.viewVersion !== undefined && daemon.viewVersion >= version) {
        return 0;
    }
    const grantEndMs = daemon.renewedAtMs + zone.timing.grantMs;
    return grantEndMs <= monotonicMs() ? grantEndMs : undefined;
};

const isIdleSince = (vm: Vm | undefined, sinceMs: number): boolean =>
    vm === undefined
    || (vm.receivedAtMs > sinceMs && vm.report.load.runningRequests + vm.report.load.waitingRequests === 0);
