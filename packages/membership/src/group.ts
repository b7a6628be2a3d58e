import type { GroupState } from "@greengage/protocol";

/** Why a group doesn't serve, or why a healthy accelerator isn't used by a group. */
export const DowntimeCause = {
    MemberMissing: "memberMissing",
    Quarantined: "quarantined",
    LoadFailed: "loadFailed",
    LateOrder: "lateOrder",
    Loading: "loading",
    WeightStore: "weightStore",
    NoSpare: "noSpare",
    Draining: "draining",
    NoController: "noController",
    UnfencedWait: "unfencedWait",
    BackOff: "backOff",
    ReservedSpare: "reservedSpare",
    NoDemand: "noDemand",
} as const;

export type DowntimeCause = typeof DowntimeCause[keyof typeof DowntimeCause];

/** Why a group that could serve is drained. */
export const DrainReason = {
    Leaving: "leaving",
    Operator: "operator",
    Straggler: "straggler",
    Surplus: "surplus",
    Disabled: "disabled",
    Reshaped: "reshaped",
    /** Releases its VMs to a larger group that lost a member. */
    Donor: "donor",
} as const;

export type DrainReason = typeof DrainReason[keyof typeof DrainReason];

export interface GroupDrain {
    reason: DrainReason;
    plannedAtMs: number;
    /** The group stops serving at this time, or earlier when a replacement serves. */
    startByMs: number;
    /** First view version that shows the group as draining. */
    viewVersion?: number;
    startedAtMs?: number;
    /** Group formed to take over before this one drains. */
    replacementGroupId?: string;
}

/** The controller's record of a replica group. */
export interface Group {
    groupId: string;
    generation: number;
    model: string;
    fabricDomain: string;
    memberVmIds: string[];
    /** Incarnation of each member when it was chosen. A later incarnation has lost the weights in memory. */
    incarnations: Map<string, string>;
    state: GroupState;
    /** Monotonic time of the last change of `state`. */
    stateSinceMs: number;
    /** Monotonic time before which a report doesn't make its member count as ready. */
    confirmAfterMs: number;
    /** Why the group doesn't serve, while it doesn't. */
    cause: DowntimeCause;
    drain?: GroupDrain;
}
