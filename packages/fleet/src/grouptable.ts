import { type Context, monotonicMs } from "@greengage/base";
import { type GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";

/** Number of ended groups in the records for a successor. Their former members report them only briefly. */
const ENDED_NAMES_IN_RECORDS = 60;
/** Members report an ended group until they join another one or restart. */
const MAX_TRACKED_ENDED_NAMES = 2_000;

/** The groups of all zones, and the names of groups that have ended. */
export class GroupTable {
    readonly #context: Context;
    readonly #groups = new Map<string, ManagedGroup>();
    readonly #groupByMember = new Map<string, ManagedGroup>();
    /** Time at which each group ended, by name. */
    readonly #endedNames = new Map<string, number>();
    #version = 1;

    constructor(context: Context) {
        this.#context = context;
    }

    /** Incremented with each change to a group. */
    get version(): number {
        return this.#version;
    }

    all(): ManagedGroup[] {
        return [...this.#groups.values()];
    }

    get(groupName: string): ManagedGroup | undefined {
        return this.#groups.get(groupName);
    }

    groupOf(serverId: string): ManagedGroup | undefined {
        return this.#groupByMember.get(serverId);
    }

    /** Whether the group has ended, so that it can't serve any request. */
    hasEnded(groupName: string): boolean {
        return this.#endedNames.has(groupName);
    }

    /** Monotonic time at which the group ended, or at which this leader learned that it has. */
    endedAtMs(groupName: string): number | undefined {
        return this.#endedNames.get(groupName);
    }

    /** Names of the groups that ended most recently. */
    endedNames(): string[] {
        return [...this.#endedNames.keys()].slice(-ENDED_NAMES_IN_RECORDS);
    }

    markEnded(groupName: string): void {
        this.#endedNames.set(groupName, monotonicMs());
        const [oldest] = this.#endedNames.keys();
        if (oldest !== undefined && this.#endedNames.size > MAX_TRACKED_ENDED_NAMES) {
            this.#endedNames.delete(oldest);
        }
    }

    add(group: ManagedGroup): void {
        this.#groups.set(group.groupName, group);
        for (const serverId of group.memberIds) {
            this.#groupByMember.set(serverId, group);
        }
        this.#record("group.added", group, {});
    }

    /** Releases a member that has left on order, while the other members still belong to the group. */
    releaseMember(group: ManagedGroup, serverId: string): void {
        group.memberIds = group.memberIds.filter((memberId) => memberId !== serverId);
        if (this.#groupByMember.get(serverId) === group) {
            this.#groupByMember.delete(serverId);
        }
        this.#record("group.memberLeft", group, { server: serverId });
    }

    addMember(group: ManagedGroup, serverId: string, bornMs: number): void {
        group.memberIds.push(serverId);
        group.bornMs.set(serverId, bornMs);
        group.leftAtMs.delete(serverId);
        this.#groupByMember.set(serverId, group);
        this.#record("group.memberAdded", group, { server: serverId });
    }

    /** Notes for the records that a head may carry out an order to open later. */
    recordUnansweredOpen(): void {
        this.#version += 1;
    }

    setPhase(group: ManagedGroup, phase: GroupPhase, reason: string, nowMs: number): void {
        const heldMs = Math.round(nowMs - group.phaseSinceMs);
        this.#record("group.phase", group, { from: group.phase, to: phase, reason, heldMs });
        group.phase = phase;
        group.phaseSinceMs = nowMs;
        group.phaseReason = reason;
    }

    /** Removes a group that can't serve any request any more and releases its members. */
    remove(group: ManagedGroup, reason: string): void {
        this.#groups.delete(group.groupName);
        this.markEnded(group.groupName);
        for (const serverId of group.memberIds) {
            if (this.#groupByMember.get(serverId) === group) {
                this.#groupByMember.delete(serverId);
            }
        }
        this.#record("group.removed", group, { reason });
    }

    clear(): void {
        this.#groups.clear();
        this.#groupByMember.clear();
        this.#endedNames.clear();
    }

    #record(event: string, group: ManagedGroup, fields: Record<string, string | number>): void {
        this.#version += 1;
        const { groupName, epoch, model, fabricDomain, zone, memberIds } = group;
        const details = {
            group: groupName,
            epoch,
            model,
            fabricDomain,
            groupZone: zone,
            head: headIdOf(group),
        };
        this.#context.decisions.record(event, { ...details, ...fields, members: memberIds });
        this.#context.timeline.record("groups", event, { ...details, ...fields });
    }
}
