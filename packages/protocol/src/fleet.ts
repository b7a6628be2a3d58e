/** State of a backend server as a member of a replica group, as the server itself reports it. */
export const MemberState = {
    Joining: "joining",
    Ready: "ready",
    Open: "open",
    Closing: "closing",
    Broken: "broken",
} as const;

export type MemberState = typeof MemberState[keyof typeof MemberState];

/** Replica group that a backend server belongs to. */
export interface GroupMembership {
    groupName: string;
    /** Grows with each new list of members. */
    epoch: number;
    /** Position in the list of members; 0 is the head. */
    rank: number;
    state: MemberState;
}

/** What a backend server says about itself. */
export interface ServerReport {
    serverId: string;
    /** Wall clock start of the process, in whole milliseconds. Tells incarnations with one id apart. */
    bornMs: number;
    service: string;
    /** `host:port`. */
    address: string;
    zone: string;
    isDraining: boolean;
    /** Requests that the server runs at once. */
    slotCount: number;
    /** Grows with each report of one incarnation. */
    sequence: number;
    /** Missing on servers that don't run models. */
    fabricDomain?: string;
    /** Models in memory. */
    loadedModels: string[];
    /** Models whose weights are on the server's host, from where they load faster. */
    stagedModels: string[];
    membership?: GroupMembership;
}

/** A replica group that takes requests. */
export interface GroupTarget extends Omit<GroupIdentity, "fabricDomain"> {
    headId: string;
}

/** A backend server that takes requests by itself. */
export interface ServerTarget {
    serverId: string;
    service: string;
    address: string;
    zone: string;
    slotCount: number;
}

/** What entry daemons need to know of the backend servers. */
export interface FleetView {
    /** Term of the leader that made the view; a higher term replaces a lower one. */
    term: number;
    /** Number of the view within its term. */
    version: number;
    groups: GroupTarget[];
    servers: ServerTarget[];
    /** Entry daemons that watched the fleet lately, over all zones. */
    entryDaemonCount: number;
    /** Daemons that serve control, by zone. */
    controllers: { daemonId: string; zone: string; }[];
}

/** A replica group with what it runs, and where. */
export interface GroupIdentity {
    groupName: string;
    epoch: number;
    service: string;
    model: string;
    zone: string;
    fabricDomain: string;
    /** `host:port` of the head; empty while it isn't known. */
    headAddress: string;
}

/** A replica group as the leader knows it, for its successor. */
export interface GroupRecord extends GroupIdentity {
    /** In rank order, with the start of each member's process. */
    members: MemberRecord[];
    phase: string;
}

/** A member of a group, with the last report that the leader had of it. */
export interface MemberRecord {
    serverId: string;
    bornMs: number;
    address: string;
    sequence: number;
}

/** What a successor of the leader needs to go on at once, before servers have reported to it. */
export interface GroupRecords {
    /** Grows with each change of a group. */
    version: number;
    groups: GroupRecord[];
    /** Groups that ended lately, whose former members may still report them. */
    endedNames: string[];
    /** Backend servers that take requests by themselves. */
    servers: ServerTarget[];
    /** Entry daemons that watched the fleet lately. */
    entryDaemonCount: number;
}

/** A daemon asks for what has changed, and waits for it. */
export interface WatchRequest {
    /** Version of the configuration that the daemon holds; 0 without one. */
    configurationVersion: number;
    viewTerm: number;
    viewVersion: number;
    /** Version of the records that a daemon that serves control holds; 0 without any. */
    recordsVersion: number;
    waitMs: number;
    /** Zone of the daemon. */
    zone: string;
    /** Whether the daemon takes requests of callers. */
    isEntry: boolean;
    /** Entry daemons that watch this daemon, if it passes the fleet on. */
    entryIds: string[];
    /** Demand since the last call. */
    demand: ModelDemand[];
}

/** Requests that daemons have at one replica group. */
export interface GroupUsage {
    /** Epoch of the group, which no other group has. */
    epoch: number;
    /** Requests that wait or run there. */
    inFlightCount: number;
    /** Prompt tokens of the requests that have not begun to write. */
    pendingPromptTokens: number;
    /** Time since the last event of any of the group's streams, when the message was made; undefined without one. */
    progressAgeMs?: number;
}

/** An entry daemon asks for a place for one request. */
export interface PlacementRequest {
    service: string;
    model: string;
    promptTokens: number;
    /** Zone of the entry daemon. */
    zone: string;
    /** Time to the first token of an empty group beyond what its figures say. */
    offsetMs: number;
    /** Longest predicted time to the first token with which the request is sent. */
    limitMs: number;
    /** Mean time that a request of the model holds its place. */
    placeMs: number;
    /** Groups that don't count: those that stand still or have failed the request. */
    avoidedEpochs: number[];
}

export interface PlacementResponse {
    /** Epoch of the best group; undefined without any. */
    epoch?: number;
    /** Predicted time to the first token there. The place counts as taken when that is within the limit. */
    firstTokenMs?: number;
    /** Requests that run there, as far as is known. */
    runningCount?: number;
}

/** Demand for one model, as one daemon or several have seen it. */
export interface ModelDemand {
    service: string;
    model: string;
    /** Prompt and answer tokens that callers asked for. */
    tokens: number;
    /** Requests that were rejected for lack of capacity. */
    rejected: number;
}

/** A whole configuration on its way between daemons. */
export interface PackedConfiguration {
    version: number;
    /** Packed by `packConfiguration` of the package `fleet`. */
    bytes: Uint8Array;
}

export interface WatchResponse {
    /** Set when it is newer than the caller's. */
    configuration?: PackedConfiguration;
    /** Set when it is newer than the caller's. */
    view?: FleetView;
    /** Set for daemons that serve control, together with each answer. */
    records?: GroupRecords;
    zone: string;
    leaderId?: string;
    /** Time since the answering daemon last heard from the leader; undefined when it never did. */
    leaderContactAgeMs?: number;
}

/** What the controller has found out about a suspected group. */
export interface SuspicionResponse {
    isAccepted: boolean;
    leaderId?: string;
    /** Whether the group is in order, so that the suspicion ends. */
    isCleared: boolean;
}

/** An entry daemon has seen a group stand still, or its head fail. */
export interface GroupSuspicion {
    groupName: string;
    epoch: number;
    reason: string;
    /** Whether a stream that had begun stands still; a request that waits may only be queued. */
    hasRunningStream: boolean;
    /** Server that an answer named as the one at fault. */
    culpritId?: string;
}
