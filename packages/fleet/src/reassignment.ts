import type { FleetState } from "./controller.ts";
import { headIdOf, type ManagedGroup } from "./group.ts";
import type { BackendServer } from "./registry.ts";
import { REPORT_DELAY_MS } from "./timing.ts";

type SharedState = Pick<FleetState, "groups" | "unansweredJoins">;

/** Notes which servers report that they have joined a known group, as they don't carry out earlier orders any more. */
export const recordReportedJoins = ({ registry, groups }: Pick<FleetState, "registry" | "groups">): void => {
    for (const { report: { serverId, bornMs, membership } } of registry.all()) {
        if (membership !== undefined && groups.get(membership.groupName)?.epoch === membership.epoch) {
            registry.recordCarriedOut(serverId, bornMs, membership.epoch);
        }
    }
};

/** Whether the server's latest report, unless it may have been sent before the server left, names the group. */
export const reportsMembership = (
    { report: { serverId, membership }, receivedAtMs, highestEpoch }: BackendServer,
    { groupName, epoch, leftAtMs }: ManagedGroup,
): boolean =>
    membership?.groupName === groupName && membership.epoch === epoch && epoch >= highestEpoch
    && receivedAtMs > (leftAtMs.get(serverId) ?? -Infinity) + REPORT_DELAY_MS;

/**
 * Whether a server can be ordered into `target`, or into a new group: it is in no other group that may be serving, and no earlier
 * order can still put it into one.
 */
export const mayReassign = (
    { groups, unansweredJoins }: SharedState,
    server: BackendServer,
    target?: ManagedGroup,
): boolean => {
    const { serverId, membership } = server.report;
    const reported = groups.get(membership?.groupName ?? "");
    const current = reported !== undefined && reportsMembership(server, reported) ? [reported] : [];
    const pending = unansweredJoins.groupNamesOf(serverId).map((groupName) => groups.get(groupName));
    return [...current, ...pending].every((group) =>
        group === undefined || group === target || !group.mayHaveOpened
    );
};

/**
 * Whether late orders can make a head that has left serve again: one to join and one to open that have got no answer. The head of
 * an ended group has no other way back.
 */
export const canReopen = ({ unansweredJoins }: SharedState, group: ManagedGroup): boolean =>
    group.hasUnansweredOpen && unansweredJoins.has(headIdOf(group), group);
