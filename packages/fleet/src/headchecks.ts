import { messageOf } from "@greengage/base";
import type { FleetState } from "./controller.ts";
import { headIdOf, type ManagedGroup } from "./group.ts";
import { HEAD_CHECK_INTERVAL_MS, STALE_REPORT_HEARTBEATS } from "./timing.ts";

type SharedState = Pick<
    FleetState,
    "context" | "registry" | "orders" | "timing" | "mayAct" | "lifecycle" | "wakeSignal" | "activeSinceMs"
>;

/**
 * Probes the heads of open groups that don't report. A new process at the address of a head shows that the head has ended; without
 * this, a group that was restored from records would stay open for as long as no entry daemon suspects it.
 */
export class HeadChecks {
    readonly #state: SharedState;
    /** Time of the last probe of each group's head. */
    readonly #probedAtMs = new WeakMap<ManagedGroup, number>();

    constructor(state: SharedState) {
        this.#state = state;
    }

    check(group: ManagedGroup, nowMs: number): void {
        const { context, registry, timing, activeSinceMs, lifecycle } = this.#state;
        const headId = headIdOf(group);
        const reportedAtMs = registry.getIncarnation(headId, group.bornMs.get(headId) ?? NaN)?.receivedAtMs;
        const silentMs = nowMs - Math.max(reportedAtMs ?? -Infinity, activeSinceMs());
        const isDue = nowMs - (this.#probedAtMs.get(group) ?? -Infinity) >= HEAD_CHECK_INTERVAL_MS;
        if (silentMs <= STALE_REPORT_HEARTBEATS * timing.heartbeatMs || !isDue) {
            return;
        }
        this.#probedAtMs.set(group, nowMs);
        lifecycle.run(() => this.#probe(group, headId, Math.round(silentMs), nowMs), (error) => {
            const fields = { group: group.groupName, reason: messageOf(error) };
            context.decisions.record("group.checkFailed", fields);
        });
    }

    async #probe(group: ManagedGroup, headId: string, silentMs: number, nowMs: number): Promise<void> {
        const { context, registry, orders, mayAct, wakeSignal } = this.#state;
        const address = registry.endpointOf(headId)?.address ?? group.headAddress;
        const bornMs = group.bornMs.get(headId);
        if (address === "" || bornMs === undefined) {
            return;
        }
        const { kind } = await orders.probe({ serverId: headId, address });
        const { groupName, epoch } = group;
        context.decisions.record("group.headProbed", {
            group: groupName,
            epoch,
            head: headId,
            silentMs,
            outcome: kind,
        });
        if (kind === "ended" && mayAct()) {
            registry.recordEnded(headId, bornMs, nowMs);
            wakeSignal.notify();
        }
    }
}
