import { messageOf } from "@greengage/base";
import type { FleetState } from "./controller.ts";
import { servingStates } from "./group.ts";
import type { BackendServer } from "./registry.ts";
import { ORDER_RETRY_MS } from "./timing.ts";

/** Reports that a server sent before its group ended arrive within this time. */
export const REPORT_DELAY_MS = 500;

type SharedState = Pick<FleetState, "context" | "registry" | "groups" | "orders" | "mayAct" | "lifecycle">;

/**
 * Ended groups that late orders have opened again. Their members can't join another group until the head has left, as the
 * head could still use them.
 */
export class RevivedGroups {
    readonly #state: SharedState;
    #names: ReadonlySet<string> = new Set();
    /** Time of the last order to each head. */
    readonly #orderedAtMs = new Map<string, number>();

    constructor(state: SharedState) {
        this.#state = state;
    }

    has(groupName: string | undefined): boolean {
        return groupName !== undefined && this.#names.has(groupName);
    }

    /** Finds the revived groups in the latest reports, and orders their heads to leave. */
    update(nowMs: number): void {
        const heads = this.#state.registry.all().filter((server) => this.#isRevivedHead(server));
        this.#names = new Set(heads.map(({ report }) => report.membership?.groupName ?? ""));
        heads.forEach((head) => this.#leave(head, nowMs));
        for (const [serverId, orderedAtMs] of this.#orderedAtMs) {
            if (nowMs - orderedAtMs > ORDER_RETRY_MS) {
                this.#orderedAtMs.delete(serverId);
            }
        }
    }

    #isRevivedHead({ report: { serverId, membership }, receivedAtMs }: BackendServer): boolean {
        const { groups } = this.#state;
        const endedAtMs = groups.endedAtMs(membership?.groupName ?? "");
        return membership !== undefined && endedAtMs !== undefined && groups.groupOf(serverId) === undefined
            && servingStates.includes(membership.state) && receivedAtMs > endedAtMs + REPORT_DELAY_MS;
    }

    #leave({ report }: BackendServer, nowMs: number): void {
        const { context, lifecycle, orders, mayAct } = this.#state;
        const { serverId, membership } = report;
        if (membership === undefined || this.#orderedAtMs.has(serverId) || !mayAct()) {
            return;
        }
        this.#orderedAtMs.set(serverId, nowMs);
        const { groupName, epoch } = membership;
        context.decisions.record("group.revived", { group: groupName, epoch, server: serverId });
        lifecycle.run(async () => void await orders.leave(report, { groupName, epoch }), (error) => {
            context.decisions.record("group.order.failed", { group: groupName, reason: messageOf(error) });
        });
    }
}
