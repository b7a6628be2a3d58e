import type { RoutingTable } from "@greengage/configuration";
import type { FleetView, GroupTarget, ServerTarget } from "@greengage/protocol";
import { GroupPhase, headIdOf } from "./group.ts";
import type { GroupTable } from "./grouptable.ts";
import type { ServerRegistry } from "./registry.ts";
import { SERVICE_EXPIRY_HEARTBEATS } from "./timing.ts";

export interface ViewInput {
    registry: ServerRegistry;
    groups: GroupTable;
    routing: RoutingTable | undefined;
    heartbeatMs: number;
    nowMs: number;
}

/** Groups that accept requests. A group with a member that drains is about to be closed. */
export const groupTargets = ({ groups, registry }: ViewInput): GroupTarget[] =>
    groups.all().filter((group) =>
        group.phase === GroupPhase.Open && group.headAddress !== ""
        && !group.memberIds.some((serverId) =>
            registry.isDraining(serverId, group.bornMs.get(serverId) ?? NaN)
        )
    )
        .map((group) => {
            const { groupName, epoch, service, model, headAddress, zone } = group;
            const headId = headIdOf(group);
            const bornMs = group.bornMs.get(headId);
            return { groupName, epoch, service, model, headId, headAddress, zone, bornMs };
        });

/** Backend servers that accept requests outside of groups. */
export const serverTargets = ({ registry, routing, heartbeatMs, nowMs }: ViewInput): ServerTarget[] =>
    registry.all()
        .filter(({ report, receivedAtMs }) =>
            !report.isDraining && report.fabricDomain === undefined
            && routing?.service(report.service)?.engine === undefined
            && nowMs - receivedAtMs < SERVICE_EXPIRY_HEARTBEATS * heartbeatMs
        )
        .map(({ report: { serverId, service, address, zone, slotCount, bornMs } }) => ({
            serverId,
            service,
            address,
            zone,
            slotCount,
            bornMs,
        }));

/** Whether `view` replaces `current`. */
export const isNewerView = (
    view: Pick<FleetView, "term" | "version">,
    current: Pick<FleetView, "term" | "version"> | undefined,
): boolean =>
    current === undefined || view.term > current.term
    || (view.term === current.term && view.version > current.version);
