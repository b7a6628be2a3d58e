import { Invariant, monotonicMs } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import type { DaemonRecord } from "./daemonregistry.ts";
import { DowntimeCause, DrainReason, type Group } from "./group.ts";
import { LEAVING_DEADLINE_MS } from "./timing.ts";
import type { Vm } from "./vmregistry.ts";
import { isServing, type ZoneState } from "./zonestate.ts";

// A grant whose holder gets no push ends after grantMs; this margin is for the renewal and one control period.
const PUSH_MARGIN_MS = 200;
const REPLACEMENT_TIMEOUT_MS = 60_000;

/** How long a group with a planned drain may continue to serve while its replacement loads. */
const maxDrainDelayMs: Record<DrainReason, (grantMs: number) => number> = {
    [DrainReason.Leaving]: (grantMs) => Math.max(0, LEAVING_DEADLINE_MS - grantMs - PUSH_MARGIN_MS),
    [DrainReason.Operator]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Straggler]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Reshaped]: () => REPLACEMENT_TIMEOUT_MS,
    [DrainReason.Surplus]: () => 0,
    [DrainReason.Donor]: () => 0,
    [DrainReason.Disabled]: () => 0,
};

/** Plans the drain of a group. It continues to serve until its replacement serves, at most for the delay by reason. */
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

/** Monotonic time at which the first member began to leave; infinity if none is leaving. */
const leavingSinceMs = (zone: ZoneState, group: Group): number =>
    Math.min(
        ...group.memberVmIds.map((vmId) => zone.vms.get(vmId)?.leavingSinceMs ?? Number.POSITIVE_INFINITY),
    );

/** Starts the drain when the replacement serves, when there is none, or when the deadline has passed. */
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
 * Whether a draining group is idle: every daemon that could still dispatch to it has received the view in which it
 * drains and has no request in flight, and the leader has reported since then that it has no requests.
 */
export const isDrained = (zone: ZoneState, group: Group): boolean => {
    const { drain } = group;
    if (drain?.viewVersion === undefined || drain.startedAtMs === undefined) {
        return false;
    }
    const { viewVersion: version, startedAtMs } = drain;
    const daemons = zone.daemons.all().map((daemon) => ({
        daemon,
        lastMs: lastDispatchMs(zone, daemon, version),
    }));
    const isBusy = daemons.some(({ daemon, lastMs }) =>
        lastMs === undefined
        || (!hasStoppedRenewing(zone, daemon) && inFlightOf(daemon, group.groupId) > 0)
    );
    if (isBusy) {
        return false;
    }
    const lastWorkMs = Math.max(startedAtMs, ...daemons.map(({ lastMs }) => lastMs ?? 0));
    return isIdleSince(zone.vms.get(group.memberVmIds[0] ?? ""), lastWorkMs);
};

/** Like `isDrained`, for a leaving backend server of a service. */
export const isServiceIdle = (zone: ZoneState, vm: Vm, leavingVersion: number | undefined): boolean => {
    if (leavingVersion === undefined || vm.leavingSinceMs === undefined) {
        return false;
    }
    const leavingAtMs = Math.max(0, vm.leavingSinceMs);
    const lastTimesMs = zone.daemons.all().map((daemon) => lastDispatchMs(zone, daemon, leavingVersion));
    const isBusy = lastTimesMs.includes(undefined) || zone.daemons.inFlight(vm.vmId) > 0;
    return !isBusy && isIdleSince(vm, Math.max(leavingAtMs, ...lastTimesMs.map((lastMs) => lastMs ?? 0)));
};

/** Checks invariant P6: a group with a leaving member doesn't serve past the deadline. */
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
            () =>
                `group ${group.groupId} serves ${Math.round(leavingForMs)} ms after VM ${vmId} began leaving`,
        );
    }
};

const inFlightOf = (daemon: DaemonRecord, id: string): number => daemon.inFlight?.get(id) ?? 0;

/** The in-flight counts of a daemon that no longer renews are out of date, so only the leader's report counts. */
const hasStoppedRenewing = (zone: ZoneState, daemon: DaemonRecord): boolean =>
    monotonicMs() - daemon.renewedAtMs > 2 * zone.timing.grantMs;

/** Monotonic time after which the daemon can't have dispatched work; undefined while it still may. */
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
