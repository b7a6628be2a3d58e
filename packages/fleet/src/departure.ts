import type { GroupTable } from "./grouptable.ts";
import type { ServerRegistry } from "./registry.ts";

/** Effect of a server's shutdown announcement. */
export const DepartureEffect = {
    /** The server is now treated as draining. */
    Draining: "draining",
    /**
     * It belongs to a group of the previous leader and has not reported to this one, so its group can't be closed yet.
     */
    UnknownMember: "unknownMember",
    /** The server is unknown, or the announcement is of another incarnation. */
    Nothing: "nothing",
} as const;

export type DepartureEffect = typeof DepartureEffect[keyof typeof DepartureEffect];

/**
 * Applies a server's shutdown announcement. Without `bornMs` it refers to the known incarnation. Every effect except
 * `unknownMember` may be acknowledged; after that one, daemons would still send requests to the server's group.
 */
export const applyDeparture = (
    registry: ServerRegistry,
    groups: GroupTable,
    { serverId, bornMs }: { serverId: string; bornMs: number | undefined; },
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
    // The server keeps serving for a while, like one that drains.
    registry.markLeaving(serverId, server.report.bornMs);
    return DepartureEffect.Draining;
};
