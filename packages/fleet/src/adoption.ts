import { type GroupMembership, type GroupRecords, type MemberRecord, MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, type ManagedGroup, servingStates } from "./group.ts";
import type { GroupRef } from "./orders.ts";
import { reportsMembership } from "./reassignment.ts";
import type { BackendServer } from "./registry.ts";
import { ASSUMED_ORDER_LIFETIME_MS, REPORT_DELAY_MS } from "./timing.ts";

/** Time that an adopted group has to become ready: the longest weight load while other loads run. */
const ADOPTED_JOIN_TIMEOUT_MS = 20_000;

/** The state of the groups that this leader's successor starts from. */
export const groupRecordsOf = (
    { groups, registry, unansweredJoins }: FleetState,
): Omit<GroupRecords, "servers" | "entryDaemonCount"> => ({
    version: groups.version,
    groups: groups.all().map((group) => ({
        groupName: group.groupName,
        epoch: group.epoch,
        service: group.service,
        model: group.model,
        zone: group.zone,
        fabricDomain: group.fabricDomain,
        headAddress: group.headAddress,
        members: group.memberIds.map((serverId) => ({
            serverId,
            bornMs: group.bornMs.get(serverId) ?? 0,
            address: registry.endpointOf(serverId)?.address ?? "",
            sequence: registry.endpointOf(serverId)?.sequence ?? 0,
            hasUnansweredJoin: unansweredJoins.has(serverId, group),
        })),
        phase: group.phase,
        // An order that is on its way when this leader ends may get no answer either.
        hasUnansweredOpen: group.hasUnansweredOpen || group.phase === GroupPhase.Opening,
    })),
    endedNames: groups.endedNames(),
});

/** Restores the groups from the previous leader's records. */
export const restoreGroups = (state: FleetState, records: GroupRecords, nowMs: number): void => {
    records.endedNames.forEach((groupName) => state.groups.markEnded(groupName));
    for (const { members, phase, hasUnansweredOpen = false, ...record } of records.groups) {
        members.forEach((member) => state.registry.addExpected(member));
        restoreUnansweredJoins(state, record, members, nowMs);
        state.groups.add({
            ...record,
            hasUnansweredOpen,
            memberIds: members.map(({ serverId }) => serverId),
            bornMs: new Map(members.map(({ serverId, bornMs }) => [serverId, bornMs])),
            phase: phase as GroupPhase,
            phaseSinceMs: nowMs,
            readyDeadlineMs: nowMs + ADOPTED_JOIN_TIMEOUT_MS,
            expectedReadyAtMs: nowMs,
            phaseReason: "restored from the previous leader's records",
            mayHaveOpened: true,
            leftAtMs: new Map(),
            suspicionCount: 0,
            lastProbedAtMs: 0,
        });
    }
};

/** Records of former versions don't name the orders without an answer, so each order counts as such. */
const restoreUnansweredJoins = (
    { unansweredJoins }: FleetState,
    { groupName, epoch }: GroupRef,
    members: readonly MemberRecord[],
    nowMs: number,
): void => {
    for (const { serverId, bornMs, hasUnansweredJoin } of members) {
        if (hasUnansweredJoin !== false) {
            const expiresAtMs = hasUnansweredJoin === true ? Infinity : nowMs + ASSUMED_ORDER_LIFETIME_MS;
            unansweredJoins.assume({ serverId, bornMs, groupName, epoch }, expiresAtMs);
        }
    }
};

interface UnknownGroup {
    groupName: string;
    epoch: number;
    members: BackendServer[];
}

/**
 * Adopts groups that members report but that this controller doesn't know: groups of a previous leader, and groups in a
 * zone that was partitioned.
 */
export const adoptGroups = (state: FleetState, nowMs: number): void => {
    for (const unknownGroup of findUnknownGroups(state, nowMs)) {
        adoptGroup(state, unknownGroup, nowMs);
    }
};

/**
 * Whether a group is left for its members to join another one. Former versions gave the same name to several groups above
 * their highest epoch, and couldn't open them.
 */
const isUnusable = ({ epochs }: FleetState, { epoch, state }: GroupMembership): boolean =>
    !epochs.mayHaveIssued(epoch) && !servingStates.includes(state);

/** Whether late orders have made the head of an ended group serve again, by a report that it sent after the end. */
const isRevived = (
    { groups }: FleetState,
    { report: { membership }, receivedAtMs, highestEpoch }: BackendServer,
): boolean =>
    membership !== undefined && servingStates.includes(membership.state) && membership.epoch >= highestEpoch
    && receivedAtMs > (groups.endedAtMs(membership.groupName) ?? Infinity) + REPORT_DELAY_MS;

/** Whether a report of an unknown group is evidence of it: it hasn't ended, or late orders have opened it again. */
const isAdoptable = (state: FleetState, server: BackendServer, membership: GroupMembership): boolean => {
    const { groups } = state;
    const isFree = groups.groupOf(server.report.serverId) === undefined;
    const isCurrent = isFree && !groups.hasEnded(membership.groupName);
    return !isUnusable(state, membership) && (isCurrent || isRevived(state, server));
};

/** Adds a server that is in no group to the known group that it reports, as one that late orders have brought back. */
const addReturnedMember = (
    state: FleetState,
    group: ManagedGroup,
    server: BackendServer,
    nowMs: number,
): void => {
    const { serverId, bornMs } = server.report;
    if (state.groups.groupOf(serverId) === undefined && reportsMembership(server, group)) {
        state.groups.addMember(group, serverId, bornMs);
        assumeUnansweredJoin(state, server, nowMs);
    }
};

const findUnknownGroups = (state: FleetState, nowMs: number): UnknownGroup[] => {
    const { registry, groups } = state;
    const unknownGroups = new Map<string, UnknownGroup>();
    for (const server of registry.all()) {
        const { membership } = server.report;
        if (membership === undefined) {
            continue;
        }
        const { groupName, epoch } = membership;
        const known = groups.get(groupName);
        if (known !== undefined) {
            addReturnedMember(state, known, server, nowMs);
            continue;
        }
        if (!isAdoptable(state, server, membership)) {
            continue;
        }
        const group = unknownGroups.get(groupName) ?? { groupName, epoch, members: [] };
        unknownGroups.set(groupName, group);
        if (epoch > group.epoch) {
            unknownGroups.set(groupName, { groupName, epoch, members: [server] });
        }
        else if (epoch === group.epoch) {
            group.members.push(server);
        }
    }
    return [...unknownGroups.values()];
};

/** Phase of an adopted group, by the state that its head reports. */
const adoptedPhaseByHeadState: Record<MemberState, GroupPhase> = {
    // Its members may have spent many seconds loading weights, so the group keeps joining.
    [MemberState.Joining]: GroupPhase.Joining,
    [MemberState.Ready]: GroupPhase.Joining,
    [MemberState.Open]: GroupPhase.Open,
    [MemberState.Closing]: GroupPhase.Closing,
    [MemberState.Broken]: GroupPhase.Leaving,
};

const adoptGroup = (state: FleetState, unknownGroup: UnknownGroup, nowMs: number): void => {
    const members = [...unknownGroup.members].sort((a, b) => rankOf(a) - rankOf(b));
    const lowestRanked = members[0];
    if (lowestRanked === undefined) {
        return;
    }
    const hasHead = rankOf(lowestRanked) === 0;
    const headState = lowestRanked.report.membership?.state ?? MemberState.Broken;
    const { service, zone, fabricDomain = "", stagedModels } = lowestRanked.report;
    // The weights staged on a host may be of a different model than the one its VM runs.
    const loadedModel = members.map(({ report }) => report.loadedModels[0]).find((model) =>
        model !== undefined
    );
    const { groupName, epoch } = unknownGroup;
    const hasEnded = state.groups.hasEnded(groupName);
    if (hasEnded) {
        const { serverId } = lowestRanked.report;
        state.context.decisions.record("group.revived", { group: groupName, epoch, server: serverId });
    }
    const headPhase = hasEnded ? GroupPhase.Leaving : adoptedPhaseByHeadState[headState];
    const group: ManagedGroup = {
        groupName,
        epoch,
        service,
        model: loadedModel ?? stagedModels[0] ?? "",
        zone,
        fabricDomain,
        headAddress: hasHead ? lowestRanked.report.address : "",
        // A head that doesn't report may still be serving, so rank 0 stays reserved for it.
        memberIds: [...(hasHead ? [] : [""]), ...members.map(({ report }) => report.serverId)],
        bornMs: new Map(members.map(({ report }) => [report.serverId, report.bornMs])),
        phase: hasHead ? headPhase : GroupPhase.Dissolving,
        phaseSinceMs: nowMs,
        readyDeadlineMs: nowMs + ADOPTED_JOIN_TIMEOUT_MS,
        expectedReadyAtMs: nowMs,
        phaseReason: hasEnded ? "late orders opened the ended group again" : "adopted from member reports",
        mayHaveOpened: true,
        hasUnansweredOpen: false,
        leftAtMs: new Map(),
        suspicionCount: 0,
        lastProbedAtMs: 0,
    };
    state.groups.add(group);
    members.forEach((member) => assumeUnansweredJoin(state, member, nowMs));
};

/** For a member of a group whose orders this leader doesn't know. */
const assumeUnansweredJoin = (
    { unansweredJoins }: FleetState,
    { report: { serverId, bornMs, membership } }: BackendServer,
    nowMs: number,
): void => {
    if (membership !== undefined) {
        const { groupName, epoch } = membership;
        const target = { serverId, bornMs, groupName, epoch };
        unansweredJoins.assume(target, nowMs + ASSUMED_ORDER_LIFETIME_MS);
    }
};

const rankOf = (server: BackendServer): number => server.report.membership?.rank ?? Infinity;
