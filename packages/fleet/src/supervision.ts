import { MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import type { GroupFormation } from "./formation.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import { type BackendServer, reportsState } from "./registry.ts";
import type { GroupTermination } from "./termination.ts";
import { CLOSE_TIMEOUT_MS, OPEN_TIMEOUT_MS, STALE_REPORT_HEARTBEATS } from "./timing.ts";

/** Looks at one group and begins the next step of its life. */
export const superviseGroup = (
    state: FleetState,
    ending: GroupTermination,
    forming: GroupFormation,
    group: ManagedGroup,
    nowMs: number,
): void => phaseHandlers[group.phase]({ state, ending, forming, group, nowMs });

interface Supervision {
    state: FleetState;
    ending: GroupTermination;
    forming: GroupFormation;
    group: ManagedGroup;
    nowMs: number;
}

const phaseHandlers: Record<GroupPhase, (supervision: Supervision) => void> = {
    [GroupPhase.Joining]: (supervision) => superviseJoining(supervision),
    [GroupPhase.Opening]: (supervision) => superviseOpening(supervision),
    [GroupPhase.Open]: (supervision) => superviseOpen(supervision),
    [GroupPhase.Closing]: (supervision) => superviseClosing(supervision),
    [GroupPhase.Leaving]: ({ ending, group }) => ending.leave(group),
    [GroupPhase.Dissolving]: ({ ending, group, nowMs }) => ending.dissolve(group, nowMs),
};

const memberOf = (state: FleetState, group: ManagedGroup, serverId: string): BackendServer | undefined =>
    state.registry.getIncarnation(serverId, group.bornMs.get(serverId) ?? NaN);

/** Whether the process of a member has ended or restarted, or has announced its end. */
const hasEnded = (state: FleetState, group: ManagedGroup, serverId: string): boolean =>
    state.registry.hasEnded(serverId, group.bornMs.get(serverId) ?? NaN);

const isDraining = (state: FleetState, group: ManagedGroup): boolean =>
    group.memberIds.some((serverId) => memberOf(state, group, serverId)?.report.isDraining === true);

const vmCountOf = (state: FleetState, { service, model }: ManagedGroup): number | undefined =>
    state.routing()?.service(service)?.engine?.models.find(({ name }) => name === model)?.vmCount;

const superviseJoining = ({ state, ending, forming, group, nowMs }: Supervision): void => {
    const missingMs = STALE_REPORT_HEARTBEATS * state.timing.heartbeatMs;
    const members = group.memberIds.map((serverId) => memberOf(state, group, serverId));
    const unusable = group.memberIds.filter((_, index) => {
        const member = members[index];
        return member === undefined || member.report.isDraining || nowMs - member.receivedAtMs > missingMs;
    });
    if (unusable.length > 0) {
        ending.abandon(group, `lost ${unusable.join(" ")} before it was ready`, nowMs);
        return;
    }
    const isWhole = group.memberIds.length === vmCountOf(state, group);
    if (isWhole && members.every((member) => reportsState(member, group, MemberState.Ready))) {
        state.groups.setPhase(group, GroupPhase.Opening, "every member is ready", nowMs);
        forming.open(group);
        return;
    }
    forming.joinMembers(group);
    if (nowMs > group.readyDeadlineMs) {
        const late = group.memberIds.filter((_, index) =>
            !reportsState(members[index], group, MemberState.Ready)
        );
        late.forEach((serverId) => state.lastFaultAtMs.set(serverId, nowMs));
        ending.abandon(group, `${late.join(" ")} not ready in time`, nowMs);
    }
};

const superviseOpening = ({ state, ending, group, nowMs }: Supervision): void => {
    if (reportsState(memberOf(state, group, headIdOf(group)), group, MemberState.Open)) {
        state.groups.setPhase(group, GroupPhase.Open, "the head is open", nowMs);
        return;
    }
    if (group.memberIds.some((serverId) => hasEnded(state, group, serverId)) || isDraining(state, group)) {
        ending.beginLeaving(group, "a member was lost before the group was open", nowMs);
        return;
    }
    if (nowMs - group.phaseSinceMs > OPEN_TIMEOUT_MS) {
        ending.beginLeaving(group, "the head did not open in time", nowMs);
    }
};

/** States of a head in which an open group doesn't serve. */
const lostHeadStates: readonly MemberState[] = [MemberState.Ready, MemberState.Broken, MemberState.Joining];

const superviseOpen = ({ state, ending, group, nowMs }: Supervision): void => {
    const head = memberOf(state, group, headIdOf(group));
    if (hasEnded(state, group, headIdOf(group))) {
        state.groups.remove(group, "the head has ended");
        return;
    }
    if (group.memberIds.some((serverId) => hasEnded(state, group, serverId))) {
        ending.beginLeaving(group, "a member has ended", nowMs);
        return;
    }
    const membership = head?.report.membership;
    const isElsewhere = membership?.groupName !== group.groupName || membership.epoch !== group.epoch;
    if (head !== undefined && isElsewhere) {
        ending.beginLeaving(group, "the head reports another group", nowMs);
        return;
    }
    if (membership !== undefined && lostHeadStates.includes(membership.state)) {
        ending.beginLeaving(group, `the head reports ${membership.state}`, nowMs);
        return;
    }
    if (membership?.state === MemberState.Closing || isDraining(state, group)) {
        ending.beginClosing(group, "a member drains", nowMs);
    }
};

const superviseClosing = ({ state, ending, group, nowMs }: Supervision): void => {
    const headId = headIdOf(group);
    if (hasEnded(state, group, headId)) {
        state.groups.remove(group, "the head has ended");
        return;
    }
    const membership = memberOf(state, group, headId)?.report.membership;
    const isDone = membership?.state !== MemberState.Open && membership?.state !== MemberState.Closing;
    // Daemons see no streams of a group that has none, so only its reports tell that a member is gone.
    const missingMs = STALE_REPORT_HEARTBEATS * state.timing.heartbeatMs;
    const isMemberLost = group.memberIds.some((serverId) =>
        hasEnded(state, group, serverId)
        || nowMs - Math.max(group.phaseSinceMs, memberOf(state, group, serverId)?.receivedAtMs ?? 0)
            > missingMs
    );
    if (isDone || isMemberLost || nowMs - group.phaseSinceMs > CLOSE_TIMEOUT_MS) {
        ending.beginLeaving(group, isDone ? "the head has finished" : "the head could not finish", nowMs);
        return;
    }
    ending.close(group);
};
