import { MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import type { GroupFormation } from "./formation.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import { mayReassign } from "./reassignment.ts";
import { type BackendServer, reportsState } from "./registry.ts";
import type { GroupTermination } from "./termination.ts";
import { CLOSE_TIMEOUT_MS, OPEN_TIMEOUT_MS, STALE_REPORT_HEARTBEATS } from "./timing.ts";

/** Checks one group and starts the phase change or orders that it needs. */
export const superviseGroup = (
    state: FleetState,
    termination: GroupTermination,
    formation: GroupFormation,
    group: ManagedGroup,
    nowMs: number,
): void => phaseHandlers[group.phase]({ state, termination, formation, group, nowMs });

interface SupervisionContext {
    state: FleetState;
    termination: GroupTermination;
    formation: GroupFormation;
    group: ManagedGroup;
    nowMs: number;
}

const phaseHandlers: Record<GroupPhase, (context: SupervisionContext) => void> = {
    [GroupPhase.Joining]: (context) => superviseJoining(context),
    [GroupPhase.Opening]: (context) => superviseOpening(context),
    [GroupPhase.Open]: (context) => superviseOpen(context),
    [GroupPhase.Closing]: (context) => superviseClosing(context),
    [GroupPhase.Leaving]: ({ termination, group }) => termination.leave(group),
    [GroupPhase.Dissolving]: ({ termination, group, nowMs }) => termination.dissolve(group, nowMs),
};

const memberOf = (state: FleetState, group: ManagedGroup, serverId: string): BackendServer | undefined =>
    state.registry.getIncarnation(serverId, group.bornMs.get(serverId) ?? NaN);

/** Whether a member's process is known to have ended or restarted. */
const hasEnded = (state: FleetState, group: ManagedGroup, serverId: string): boolean =>
    state.registry.hasEnded(serverId, group.bornMs.get(serverId) ?? NaN);

const isDraining = (state: FleetState, group: ManagedGroup): boolean =>
    group.memberIds.some((serverId) =>
        state.registry.isDraining(serverId, group.bornMs.get(serverId) ?? NaN)
    );

const vmCountOf = (state: FleetState, { service, model }: ManagedGroup): number | undefined =>
    state.routing()?.service(service)?.engine?.models.find(({ name }) => name === model)?.vmCount;

const superviseJoining = ({ state, termination, formation, group, nowMs }: SupervisionContext): void => {
    const maxReportAgeMs = STALE_REPORT_HEARTBEATS * state.timing.heartbeatMs;
    const members = group.memberIds.map((serverId) => memberOf(state, group, serverId));
    const unusable = group.memberIds.filter((_, index) => {
        const member = members[index];
        return member === undefined || member.report.isDraining
            || nowMs - member.receivedAtMs > maxReportAgeMs;
    });
    if (unusable.length > 0) {
        termination.abandon(group, `lost ${unusable.join(" ")} before the group was ready`, nowMs);
        return;
    }
    const isComplete = group.memberIds.length === vmCountOf(state, group);
    if (isComplete && members.every((member) => reportsState(member, group, MemberState.Ready))) {
        state.groups.setPhase(group, GroupPhase.Opening, "every member is ready", nowMs);
        formation.openHead(group);
        return;
    }
    const unavailable = members.filter((member) => member !== undefined)
        .find((member) => !mayReassign(state, member, group));
    if (unavailable !== undefined) {
        const { serverId } = unavailable.report;
        termination.abandon(group, `${serverId} may be in another group that is serving`, nowMs);
        return;
    }
    formation.orderMembersToJoin(group);
    if (nowMs > group.readyDeadlineMs) {
        const late = group.memberIds.filter((_, index) =>
            !reportsState(members[index], group, MemberState.Ready)
        );
        late.forEach((serverId) => state.lastFaultAtMs.set(serverId, nowMs));
        termination.abandon(group, `${late.join(" ")} did not become ready in time`, nowMs);
    }
};

const superviseOpening = ({ state, termination, group, nowMs }: SupervisionContext): void => {
    if (reportsState(memberOf(state, group, headIdOf(group)), group, MemberState.Open)) {
        state.groups.setPhase(group, GroupPhase.Open, "the head is open", nowMs);
        return;
    }
    if (group.memberIds.some((serverId) => hasEnded(state, group, serverId)) || isDraining(state, group)) {
        termination.beginLeaving(group, "a member was lost or drains before the group was open", nowMs);
        return;
    }
    if (nowMs - group.phaseSinceMs > OPEN_TIMEOUT_MS) {
        termination.beginLeaving(group, "the head did not open in time", nowMs);
    }
};

/** States of the head in which an open group doesn't serve. */
const nonServingHeadStates: readonly MemberState[] = [
    MemberState.Ready,
    MemberState.Broken,
    MemberState.Joining,
];

const superviseOpen = ({ state, termination, group, nowMs }: SupervisionContext): void => {
    const head = memberOf(state, group, headIdOf(group));
    if (hasEnded(state, group, headIdOf(group))) {
        state.groups.remove(group, "the head has ended");
        return;
    }
    state.headChecks.check(group, nowMs);
    if (group.memberIds.some((serverId) => hasEnded(state, group, serverId))) {
        termination.beginLeaving(group, "a member has ended", nowMs);
        return;
    }
    const membership = head?.report.membership;
    const isInOtherGroup = membership?.groupName !== group.groupName || membership.epoch !== group.epoch;
    if (head !== undefined && isInOtherGroup) {
        termination.beginLeaving(group, "the head reports another group", nowMs);
        return;
    }
    if (membership !== undefined && nonServingHeadStates.includes(membership.state)) {
        termination.beginLeaving(group, `the head reports ${membership.state}`, nowMs);
        return;
    }
    if (membership?.state === MemberState.Closing || isDraining(state, group)) {
        termination.beginClosing(group, "a member is draining", nowMs);
    }
};

const superviseClosing = ({ state, termination, group, nowMs }: SupervisionContext): void => {
    const headId = headIdOf(group);
    if (hasEnded(state, group, headId)) {
        state.groups.remove(group, "the head has ended");
        return;
    }
    const head = memberOf(state, group, headId);
    const membership = head?.report.membership;
    // A head that has announced its end to a former leader doesn't report to this one.
    const hasFinished = head !== undefined && membership?.state !== MemberState.Open
        && membership?.state !== MemberState.Closing;
    // Without streams, entry daemons can't detect a lost member; only its missing reports show the loss.
    const maxReportAgeMs = STALE_REPORT_HEARTBEATS * state.timing.heartbeatMs;
    const isMemberLost = group.memberIds.some((serverId) =>
        hasEnded(state, group, serverId)
        || nowMs - Math.max(group.phaseSinceMs, memberOf(state, group, serverId)?.receivedAtMs ?? 0)
            > maxReportAgeMs
    );
    if (hasFinished || isMemberLost || nowMs - group.phaseSinceMs > CLOSE_TIMEOUT_MS) {
        termination.beginLeaving(
            group,
            hasFinished ? "the head has finished" : "the head could not finish its requests",
            nowMs,
        );
        return;
    }
    termination.close(group);
};
