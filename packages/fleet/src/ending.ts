import { monotonicMs, sleep } from "@greengage/base";
import type { ServerReport } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, headOf, type ManagedGroup } from "./group.ts";
import { OrderOutcome } from "./orders.ts";
import { LEAVE_ATTEMPTS, ORDER_RETRY_MS, STALL_MARGIN_MS } from "./timing.ts";

/**
 * Ends groups so that no head can serve while its members are used elsewhere: the head finishes or leaves first, and
 * where it can't be reached, its members are held until it must stand still for good.
 */
export class GroupEnding {
    readonly #state: FleetState;
    /** Groups with an order on its way, so that a step sends no second one. */
    readonly #busy = new Set<ManagedGroup>();

    constructor(state: FleetState) {
        this.#state = state;
    }

    beginClosing(group: ManagedGroup, reason: string, nowMs: number): void {
        this.#state.groups.setPhase(group, GroupPhase.Closing, reason, nowMs);
        this.close(group);
    }

    beginLeaving(group: ManagedGroup, reason: string, nowMs: number): void {
        this.#state.groups.setPhase(group, GroupPhase.Leaving, reason, nowMs);
        this.leave(group);
    }

    /** The head is lost for this daemon, but may serve on for others. */
    beginWaiting(group: ManagedGroup, reason: string, nowMs: number): void {
        this.#state.groups.setPhase(group, GroupPhase.Waiting, reason, nowMs);
        this.wait(group, nowMs);
    }

    close(group: ManagedGroup): void {
        this.#once(group, async () => {
            const head = this.#reportOf(group, headOf(group));
            if (head !== undefined && this.#state.mayAct()) {
                await this.#state.orders.close(head, group);
            }
            await sleep(ORDER_RETRY_MS, this.#state.lifecycle.signal);
        });
    }

    leave(group: ManagedGroup): void {
        this.#once(group, async () => {
            if (this.#hasEnded(group, headOf(group))) {
                this.#free(group, "the head has ended");
                return;
            }
            const head = this.#reportOf(group, headOf(group));
            for (let attempt = 0; attempt < LEAVE_ATTEMPTS && head !== undefined && this.#state.mayAct(); attempt += 1) {
                const outcome = await this.#state.orders.leave(head, group);
                if (isHeadOut[outcome]) {
                    this.#free(group, outcome === OrderOutcome.Accepted ? "the head has left" : "the head has ended");
                    return;
                }
                await sleep(ORDER_RETRY_MS, this.#state.lifecycle.signal);
            }
            if (this.#isIn(group, GroupPhase.Leaving) && this.#state.mayAct()) {
                this.#state.groups.setPhase(group, GroupPhase.Waiting, "the head doesn't answer", monotonicMs());
            }
        });
    }

    wait(group: ManagedGroup, nowMs: number): void {
        const headId = headOf(group);
        if (this.#hasEnded(group, headId)) {
            this.#free(group, "the head has ended");
            return;
        }
        if (nowMs >= group.freeAtMs) {
            this.#free(group, "the head must stand still");
            return;
        }
        const head = this.#state.registry.get(headId);
        if (head !== undefined && head.receivedAtMs > group.phaseSinceMs) {
            // It reports again, so it can be told.
            this.beginLeaving(group, "the head is back", nowMs);
            return;
        }
        if (group.freeAtMs === Infinity) {
            this.#removeOneMember(group);
        }
    }

    /** The loss of a member makes the head stand still, wherever it is. */
    #removeOneMember(group: ManagedGroup): void {
        this.#once(group, async () => {
            const { timing, orders, mayAct, lifecycle } = this.#state;
            const otherIds = group.memberIds.slice(1);
            const others = otherIds.map((serverId) => this.#reportOf(group, serverId));
            if (otherIds.some((serverId) => this.#hasEnded(group, serverId))) {
                group.freeAtMs = monotonicMs() + timing.stallMs + STALL_MARGIN_MS;
                return;
            }
            for (const report of others) {
                const outcome = report !== undefined && mayAct() ? await orders.leave(report, group) : undefined;
                if (outcome !== undefined && isHeadOut[outcome]) {
                    group.freeAtMs = monotonicMs() + timing.stallMs + STALL_MARGIN_MS;
                    return;
                }
            }
            await sleep(ORDER_RETRY_MS, lifecycle.signal);
        });
    }

    #free(group: ManagedGroup, reason: string): void {
        if (this.#state.groups.get(group.groupName) === group) {
            this.#state.groups.remove(group, `${group.reason ?? ""}; ${reason}`);
            this.#state.changed.notify();
        }
    }

    #isIn(group: ManagedGroup, phase: GroupPhase): boolean {
        return this.#state.groups.get(group.groupName) === group && group.phase === phase;
    }

    #reportOf(group: ManagedGroup, serverId: string): ServerReport | undefined {
        return this.#state.registry.incarnation(serverId, group.bornMs.get(serverId) ?? NaN)?.report;
    }

    #hasEnded(group: ManagedGroup, serverId: string): boolean {
        return this.#state.registry.hasEnded(serverId, group.bornMs.get(serverId) ?? NaN);
    }

    #once(group: ManagedGroup, task: () => Promise<void>): void {
        if (this.#busy.has(group)) {
            return;
        }
        this.#busy.add(group);
        const { lifecycle, context } = this.#state;
        lifecycle.run(async () => {
            try {
                await task();
            }
            finally {
                this.#busy.delete(group);
            }
        }, (error) => {
            context.decisions.record("group.order.failed", { group: group.groupName, reason: String(error) });
        });
    }
}

/** Whether a server is no longer a member after an order to leave. */
const isHeadOut: Record<OrderOutcome, boolean> = {
    [OrderOutcome.Accepted]: true,
    [OrderOutcome.Refused]: false,
    [OrderOutcome.WrongServer]: true,
    [OrderOutcome.NoListener]: true,
    [OrderOutcome.Unknown]: false,
};
