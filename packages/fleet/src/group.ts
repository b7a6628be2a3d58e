import type { GroupIdentity } from "@greengage/protocol";

/** Phase of a replica group, as its controller sees it. */
export const GroupPhase = {
    /** Members load the model and join. */
    Joining: "joining",
    /** Every member is ready; the head was ordered to open. */
    Opening: "opening",
    Open: "open",
    /** Takes no new requests; the head finishes what it has. */
    Closing: "closing",
    /** A member is lost; the head is ordered to leave, so that it can't serve when the others are used elsewhere. */
    Leaving: "leaving",
    /** The head doesn't answer. The other members are ordered to leave, one by one; without them it stands still. */
    Dissolving: "dissolving",
} as const;

export type GroupPhase = typeof GroupPhase[keyof typeof GroupPhase];

/** A replica group under its controller. */
export interface ManagedGroup extends GroupIdentity {
    /** In rank order; the first is the head. */
    memberIds: string[];
    /** Incarnation of each member, by id. */
    bornMs: Map<string, number>;
    phase: GroupPhase;
    phaseSinceMs: number;
    /** Time by which a joining group should be ready; late members are replaced. */
    readyDeadlineMs: number;
    /** Time at which a joining group is ready if its loads are not slowed down. */
    expectedReadyAtMs: number;
    /** Why the group ends, for logs. */
    phaseReason?: string;
    /** Whether the head may have been ordered to open. Only then can it serve. */
    mayHaveOpened: boolean;
    /** Members that have left by order. */
    departedIds: Set<string>;
    /** Whether it ends so that its VMs serve another model. Until it has ended, none takes its place. */
    isPreempted?: boolean;
    /** Number of the suspicions that have not led to a change. */
    suspicionCount: number;
    /** Monotonic time of the last probe of all members. */
    lastProbedAtMs: number;
}

export const headIdOf = (group: ManagedGroup): string => group.memberIds[0] ?? "";

/** Whether the group counts towards the capacity of its model. */
export const countsAsCapacity = (group: ManagedGroup): boolean =>
    group.phase === GroupPhase.Joining || group.phase === GroupPhase.Opening
    || group.phase === GroupPhase.Open;
