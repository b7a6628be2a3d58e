import { type GroupMembership, type GroupRecords, MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, type ManagedGroup, servingStates } from "./group.ts";
import type { BackendServer } from "./registry.ts";

/** Time that an adopted group has to become ready: the longest weight load while other loads run. */
const ADOPTED_JOIN_TIMEOUT_MS = 20_000;

/** The state of the groups that this leader's successor starts from. */
export const groupRecordsOf = (
    { groups, registry }: FleetState,
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
        members: group.memberIds.filter((serverId) => !group.departedIds.has(serverId)).map((serverId) => ({
            serverId,
            bornMs: group.bornMs.get(serverId) ?? 0,
            address: registry.get(serverId)?.report.address ?? "",
            sequence: registry.get(serverId)?.report.sequence ?? 0,
        })),
        phase: group.phase,
    })),
    endedNames: groups.endedNames(),
});

/** Restores the groups from the previous leader's records. */
export const restoreGroups = (state: FleetState, records: GroupRecords, nowMs: number): void => {
    records.endedNames.forEach((groupName) => state.groups.markEnded(groupName));
    for (const { members, phase, ...record } of records.groups) {
        members.forEach((member) => state.registry.addExpected(member));
        state.groups.add({
            ...record,
            memberIds: members.map(({ serverId }) => serverId),
            bornMs: new Map(members.map(({ serverId, bornMs }) => [serverId, bornMs])),
            phase: phase as GroupPhase,
            phaseSinceMs: nowMs,
            readyDeadlineMs: nowMs + ADOPTED_JOIN_TIMEOUT_MS,
            expectedReadyAtMs: nowMs,
            phaseReason: "restored from the previous leader's records",
            mayHaveOpened: true,
            departedIds: new Set(),
            suspicionCount: 0,
            lastProbedAtMs: 0,
        });
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
    for (const unknownGroup of findUnknownGroups(state)) {
        adoptGroup(state, unknownGroup, nowMs);
    }
};

/**
 * Whether a group is left for its members to join another one. Former versions gave the same name to several groups above
 * their highest epoch, and couldn't open them.
 */
const isUnusable = ({ epochs }: FleetState, { epoch, state }: GroupMembership): boolean =>
    !epochs.mayHaveIssued(epoch) && !servingStates.includes(state);

const findUnknownGroups = (state: FleetState): UnknownGroup[] => {
    const { registry, groups } = state;
    const unknownGroups = new Map<string, UnknownGroup>();
    for (const server of registry.all()) {
        const { membership } = server.report;
        if (
            membership === undefined || groups.hasEnded(membership.groupName) || isUnusable(state, membership)
        ) {
            continue;
        }
        if (groups.groupOf(server.report.serverId) !== undefined) {
            continue;
        }
        const { groupName, epoch } = membership;
        const known = groups.get(groupName);
        if (known !== undefined) {
            if (known.epoch === epoch && !known.memberIds.includes(server.report.serverId)) {
                groups.addMember(known, server.report.serverId, server.report.bornMs);
            }
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
    const group: ManagedGroup = {
        groupName: unknownGroup.groupName,
        epoch: unknownGroup.epoch,
        service,
        model: loadedModel ?? stagedModels[0] ?? "",
        zone,
        fabricDomain,
        headAddress: hasHead ? lowestRanked.report.address : "",
        // A head that doesn't report may still be serving, so rank 0 stays reserved for it.
        memberIds: [...(hasHead ? [] : [""]), ...members.map(({ report }) => report.serverId)],
        bornMs: new Map(members.map(({ report }) => [report.serverId, report.bornMs])),
        phase: hasHead ? adoptedPhaseByHeadState[headState] : GroupPhase.Dissolving,
        phaseSinceMs: nowMs,
        readyDeadlineMs: nowMs + ADOPTED_JOIN_TIMEOUT_MS,
        expectedReadyAtMs: nowMs,
        phaseReason: "adopted from member reports",
        mayHaveOpened: true,
        departedIds: new Set(),
        suspicionCount: 0,
        lastProbedAtMs: 0,
    };
    state.groups.add(group);
};

const rankOf = (server: BackendServer): number => server.report.membership?.rank ?? Infinity;
