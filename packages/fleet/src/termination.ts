import { monotonicMs, sleep } from "@greengage/base";
import type { ServerReport } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import { OrderOutcome } from "./orders.ts";
import { canReopen, reportsMembership } from "./reassignment.ts";
import { HEAD_BREAK_MARGIN_MS, MAX_LEAVE_ATTEMPTS, ORDER_RETRY_MS, SERVER_EXPIRY_MS } from "./timing.ts";

/**
 * Terminates groups without reassigning a VM that the group's head may still be using: either the head leaves, after
 * which the group can't serve any request, or each member leaves individually before it is released.
 */
export class GroupTermination {
    readonly #state: FleetState;
    /** Groups with orders in flight, for which a reconciliation sends no further ones. */
    readonly #busyGroups = new Set<ManagedGroup>();

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

    /** For a head that doesn't respond to this daemon but may still be serving others. */
    beginDissolving(group: ManagedGroup, reason: string, nowMs: number): void {
        this.#state.groups.setPhase(group, GroupPhase.Dissolving, reason, nowMs);
        this.dissolve(group, nowMs);
    }

    /**
     * Terminates a group that is not ready. Its members are released immediately if the head was never ordered to open.
     */
    abandon(group: ManagedGroup, reason: string, nowMs: number): void {
        if (group.mayHaveOpened) {
            this.beginLeaving(group, reason, nowMs);
            return;
        }
        this.#state.groups.remove(group, reason);
    }

    /** Orders the head to reject new requests and finish the ones in flight. */
    close(group: ManagedGroup): void {
        this.#runExclusively(group, async () => {
            const head = this.#reportOf(group, headIdOf(group));
            if (head !== undefined && this.#state.mayAct()) {
                await this.#state.orders.close(head, group);
            }
            await sleep(ORDER_RETRY_MS, this.#state.lifecycle.signal);
        });
    }

    leave(group: ManagedGroup): void {
        this.#runExclusively(group, async () => {
            const headId = headIdOf(group);
            if (this.#hasEnded(group, headId)) {
                this.#removeGroup(group, "the head has ended");
                return;
            }
            const head = this.#reportOf(group, headId);
            for (let attempt = 0; attempt < MAX_LEAVE_ATTEMPTS && head !== undefined; attempt += 1) {
                const outcome = await this.#orderToLeave(group, head);
                if (outcome !== undefined && endsMembership[outcome]) {
                    this.#handleHeadLeft(group, outcome);
                    return;
                }
                await sleep(ORDER_RETRY_MS, this.#state.lifecycle.signal);
            }
            if (this.#isInPhase(group, GroupPhase.Leaving) && this.#state.mayAct()) {
                const reason = "the head does not respond";
                this.#state.groups.setPhase(group, GroupPhase.Dissolving, reason, monotonicMs());
            }
        });
    }

    /**
     * Releases each member of a group whose head may be serving, or may serve again, once it has left and no order can bring it
     * back.
     */
    dissolve(group: ManagedGroup, nowMs: number): void {
        const headId = headIdOf(group);
        if (this.#hasEnded(group, headId)) {
            this.#removeGroup(group, "the head has ended");
            return;
        }
        if (group.leftAtMs.has(headId) && !canReopen(this.#state, group)) {
            this.#removeGroup(group, "the head has left");
            return;
        }
        if (this.#hasHeadReturned(group)) {
            if (group.leftAtMs.has(headId)) {
                // The head has opened the group again, and stalls only from then on.
                group.leftAtMs.clear();
            }
            this.beginLeaving(group, "the head reports again", nowMs);
            return;
        }
        if (this.#isHeadBroken(group, nowMs)) {
            this.#removeGroup(group, "the head has been without its members for so long that it is broken");
            return;
        }
        const members = group.memberIds.slice(1).filter((serverId) => !this.#hasEnded(group, serverId));
        const remaining = members.filter((serverId) => !this.#hasLeft(group, serverId));
        if (remaining.length === 0 && nowMs - group.phaseSinceMs > SERVER_EXPIRY_MS) {
            this.#removeGroup(group, "the head has not reported since");
            return;
        }
        members.filter((serverId) => !remaining.includes(serverId)).forEach((serverId) =>
            this.#releaseUnlessReserved(group, serverId)
        );
        this.#runExclusively(group, async () => {
            await Promise.all(remaining.map((serverId) => this.#removeMember(group, serverId)));
            await sleep(ORDER_RETRY_MS, this.#state.lifecycle.signal);
        });
    }

    #handleHeadLeft(group: ManagedGroup, outcome: OrderOutcome): void {
        if (outcome !== OrderOutcome.Accepted) {
            this.#removeGroup(group, "the head has ended");
            return;
        }
        if (!canReopen(this.#state, group)) {
            this.#removeGroup(group, "the head has left");
            return;
        }
        const nowMs = monotonicMs();
        group.leftAtMs.set(headIdOf(group), nowMs);
        this.beginDissolving(group, "late orders may open the group again after its head has left", nowMs);
    }

    /** Whether an unresponsive head reports, or one that has left reports this group again. */
    #hasHeadReturned(group: ManagedGroup): boolean {
        const headId = headIdOf(group);
        const head = this.#state.registry.get(headId);
        if (head === undefined) {
            return false;
        }
        return group.leftAtMs.has(headId)
            ? reportsMembership(head, group)
            : head.receivedAtMs > group.phaseSinceMs;
    }

    /** Whether an unresponsive head must have broken, as it stalls once a member has left, even if that one joins again. */
    #isHeadBroken(group: ManagedGroup, nowMs: number): boolean {
        const { groupStallMs } = this.#state.timing;
        const firstLeftAtMs = Math.min(...group.leftAtMs.values());
        return groupStallMs !== undefined && !group.leftAtMs.has(headIdOf(group))
            && nowMs - firstLeftAtMs > groupStallMs + HEAD_BREAK_MARGIN_MS;
    }

    /** Whether a member has answered that it has left, and hasn't reported the group since. */
    #hasLeft(group: ManagedGroup, serverId: string): boolean {
        const server = this.#state.registry.get(serverId);
        return group.leftAtMs.has(serverId) && (server === undefined || !reportsMembership(server, group));
    }

    /** Releases a member that has left, unless an order without an answer can bring it back. */
    #releaseUnlessReserved(group: ManagedGroup, serverId: string): void {
        if (!this.#state.unansweredJoins.has(serverId, group)) {
            this.#state.groups.releaseMember(group, serverId);
        }
    }

    async #removeMember(group: ManagedGroup, serverId: string): Promise<void> {
        const report = this.#reportOf(group, serverId);
        const outcome = report === undefined ? undefined : await this.#orderToLeave(group, report);
        const isMember = this.#isInPhase(group, GroupPhase.Dissolving) && group.memberIds.includes(serverId);
        if (isMember && outcome !== undefined && endsMembership[outcome]) {
            group.leftAtMs.set(serverId, monotonicMs());
            this.#releaseUnlessReserved(group, serverId);
            this.#state.wakeSignal.notify();
            if (group.memberIds.includes(serverId)) {
                this.#recordReservation(group, serverId);
            }
        }
    }

    #recordReservation({ groupName, epoch }: ManagedGroup, serverId: string): void {
        this.#state.context.decisions.record("group.memberReserved", {
            group: groupName,
            epoch,
            server: serverId,
            reason: "an order to join has no answer",
        });
    }

    async #orderToLeave(group: ManagedGroup, report: ServerReport): Promise<OrderOutcome | undefined> {
        return this.#state.mayAct() ? await this.#state.orders.leave(report, group) : undefined;
    }

    #removeGroup(group: ManagedGroup, reason: string): void {
        if (this.#state.groups.get(group.groupName) === group) {
            this.#state.groups.remove(group, `${group.phaseReason ?? ""}; ${reason}`);
            this.#state.wakeSignal.notify();
        }
    }

    #isInPhase(group: ManagedGroup, phase: GroupPhase): boolean {
        return this.#state.groups.get(group.groupName) === group && group.phase === phase;
    }

    #reportOf(group: ManagedGroup, serverId: string): ServerReport | undefined {
        return this.#state.registry.getIncarnation(serverId, group.bornMs.get(serverId) ?? NaN)?.report;
    }

    #hasEnded(group: ManagedGroup, serverId: string): boolean {
        return this.#state.registry.hasEnded(serverId, group.bornMs.get(serverId) ?? NaN);
    }

    #runExclusively(group: ManagedGroup, task: () => Promise<void>): void {
        if (this.#busyGroups.has(group)) {
            return;
        }
        this.#busyGroups.add(group);
        const { lifecycle, context } = this.#state;
        lifecycle.run(async () => {
            try {
                await task();
            }
            finally {
                this.#busyGroups.delete(group);
            }
        }, (error) => {
            context.decisions.record("group.order.failed", { group: group.groupName, reason: String(error) });
        });
    }
}

/** Whether the outcome of a leave order means that the server is no longer a member. */
const endsMembership: Record<OrderOutcome, boolean> = {
    [OrderOutcome.Accepted]: true,
    [OrderOutcome.Refused]: false,
    [OrderOutcome.WrongServer]: true,
    [OrderOutcome.Unknown]: false,
};
