import type { GroupTable } from "./grouptable.ts";
import type { ServerRegistry } from "./registry.ts";

/** What the announcement of a server's end has changed. */
export const DepartureEffect = {
    /** The server counts as draining. */
    Draining: "draining",
    /** It belongs to a group of the former leader and has not reported here, so the group can't be closed yet. */
    UnknownMember: "unknownMember",
    /** Nothing is known of the server. */
    Nothing: "nothing",
} as const;

export type DepartureEffect = typeof DepartureEffect[keyof typeof DepartureEffect];

/**
 * Takes the announcement of a server that it ends, without `bornMs` that of the known incarnation. Only one with the
 * effect `unknownMember` must not be acknowledged: daemons would still send requests to its group.
 */
export const applyDeparture = (
    registry: ServerRegistry,
    groups: GroupTable,
    { serverId, bornMs }: { serverId: string; bornMs: number | undefined; },
    nowMs: number,
): DepartureEffect => {
    const server = registry.get(serverId);
    if (server === undefined) {
        return groups.groupOf(serverId) === undefined
            ? DepartureEffect.Nothing
            : DepartureEffect.UnknownMember;
    }
    if (bornMs !== undefined && bornMs !== server.report.bornMs) {
        return DepartureEffect.Nothing;
    }
    // It serves on for a while, as a server does that drains.
    const report = { ...server.report, isDraining: true, sequence: Number.MAX_SAFE_INTEGER };
    registry.accept(report, nowMs);
    return DepartureEffect.Draining;
};
