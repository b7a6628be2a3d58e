import { type GroupIdentity, MemberState } from "@greengage/protocol";

/** Phase of a replica group as tracked by the controller. */
export const GroupPhase = {
    /** Members are loading the model and joining. */
    Joining: "joining",
    /** Every member is ready and the head has been ordered to open. */
    Opening: "opening",
    Open: "open",
    /** Accepts no new requests; the head finishes those in flight. */
    Closing: "closing",
    /** The head is ordered to leave, so that it can't serve once the other members are reassigned. */
    Leaving: "leaving",
    /** The head doesn't respond. The other members are ordered to leave individually; without them it can't serve. */
    Dissolving: "dissolving",
} as const;

export type GroupPhase = typeof GroupPhase[keyof typeof GroupPhase];

/** States of a head in which its group may be serving. */
export const servingStates: readonly MemberState[] = [MemberState.Open, MemberState.Closing];

/** A replica group managed by the controller. */
export interface ManagedGroup extends GroupIdentity {
    /** Server ids in rank order; the first is the head. */
    memberIds: string[];
    /** Start time of each member's incarnation, by server id. */
    bornMs: Map<string, number>;
    phase: GroupPhase;
    phaseSinceMs: number;
    /** Deadline for a joining group to become ready; members that miss it are replaced. */
    readyDeadlineMs: number;
    /** Time at which a joining group becomes ready unless its loads are slowed down. */
    expectedReadyAtMs: number;
    /** Reason for the last phase change, for logs. */
    phaseReason?: string;
    /** Whether the head may have been ordered to open; otherwise it can't serve. */
    mayHaveOpened: boolean;
    /** Whether an order to open has got no answer, so that the head may carry it out later. */
    hasUnansweredOpen: boolean;
    /** Monotonic time at which servers answered that they have left. Late orders can bring them back. */
    leftAtMs: Map<string, number>;
    /** Whether it was preempted so that its VMs serve another model. It is not replaced until it has ended. */
    isPreempted?: boolean;
    /** Number of suspicions with a stalled stream for which the probes found no fault. */
    suspicionCount: number;
    /** Monotonic time at which the members were last probed. */
    lastProbedAtMs: number;
}

export const headIdOf = (group: ManagedGroup): string => group.memberIds[0] ?? "";

/** Whether the group counts towards the capacity of its model. */
export const countsAsCapacity = (group: ManagedGroup): boolean =>
    group.phase === GroupPhase.Joining || group.phase === GroupPhase.Opening
    || group.phase === GroupPhase.Open;
