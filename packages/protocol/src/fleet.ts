/** State that a backend server reports for its membership in a replica group. */
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
    /** Increases with each new list of members. Unique across groups. */
    epoch: number;
    /** Index in the list of members. Rank 0 is the head. */
    rank: number;
    state: MemberState;
}

/** Status report of a backend server. */
export interface ServerReport {
    serverId: string;
    /** Wall clock start time of the process in whole milliseconds. Distinguishes incarnations of the same id. */
    bornMs: number;
    service: string;
    /** `host:port`. */
    address: string;
    zone: string;
    isDraining: boolean;
    /** Number of requests that the server can run concurrently. */
    slotCount: number;
    /** Increases with each report of an incarnation. */
    sequence: number;
    /** Absent for servers that don't run models. */
    fabricDomain?: string;
    /** Models that are loaded into memory. */
    loadedModels: string[];
    /** Models whose weights are stored on the server's host and therefore load faster. */
    stagedModels: string[];
    membership?: GroupMembership;
}

/** A process of a backend server that says in its answers that it is about to end. */
export interface LeavingServer {
    serverId: string;
    /** Start time of the process. */
    bornMs: number;
}

/** Replica group that accepts requests. */
export interface GroupTarget extends Omit<GroupIdentity, "fabricDomain"> {
    headId: string;
    /** Start time of the head's process. Absent in views of daemons that don't name it. */
    bornMs?: number;
}

/** Backend server that accepts requests on its own, outside of any group. */
export interface ServerTarget {
    serverId: string;
    service: string;
    address: string;
    zone: string;
    slotCount: number;
    /** Start time of its process. Absent in views of daemons that don't name it. */
    bornMs?: number;
}

/** State of the fleet that entry daemons need to route requests. */
export interface FleetView {
    /** Term of the leader that created the view. A view of a higher term replaces one of a lower term. */
    term: number;
    /** Version of the view within its term. */
    version: number;
    groups: GroupTarget[];
    servers: ServerTarget[];
    /** Number of entry daemons in all zones that watched the fleet recently. */
    entryDaemonCount: number;
    /** Control daemons with their zones. */
    controllers: { daemonId: string; zone: string; }[];
    /** Prompt parts that may crash engines. Absent in views of daemons that don't track them. */
    suspectParts?: Suspect[];
}

/**
 * Possible cause of crashes: a prompt part, or the content of a request. Requests with it had not been served when their
 * servers crashed.
 */
export interface Suspect {
    service: string;
    /** Id of the prompt part, or `requestCulpritId` of the request. */
    partId: string;
    /** Whether requests with this part, or this content, are rejected. */
    isQuarantined: boolean;
    /** Whether one request may be sent, with the leader's permission, to check whether the part still crashes engines. */
    isTrialDue: boolean;
    /** Time between the quarantine, or a failed trial, and the next trial. */
    trialDelayMs: number;
}

/** Prefix that tells requests from prompt parts, whose ids contain no colon. */
const REQUEST_CULPRIT_PREFIX = "request:";

/** Id by which the content of a request is blamed for crashes. */
export const requestCulpritId = (fingerprint: string): string => `${REQUEST_CULPRIT_PREFIX}${fingerprint}`;

/** Whether a culprit is the content of a request, and not a prompt part. */
export const isRequestCulprit = (partId: string): boolean => partId.startsWith(REQUEST_CULPRIT_PREFIX);

/** Report that the connections to a group failed before some of its requests were complete. */
export interface GroupCrash {
    service: string;
    groupName: string;
    epoch: number;
    requests: UnservedRequest[];
}

/** Report that the connections to a server of a plain service failed before some of its requests were answered. */
export interface ServerCrash {
    service: string;
    serverId: string;
    requests: UnservedRequest[];
}

/** Request whose connection failed before it was answered completely. */
export interface UnservedRequest {
    /** Possible culprits, widest first: prompt parts that other requests may share, in order, then the request itself. */
    partIds: string[];
    /** Whether the server had begun its response; otherwise the request may have been queued. */
    hasHead: boolean;
    /** Whether the response had produced events, which clears the prompt parts. Absent if not. */
    hasEvents?: boolean;
}

/** Culprits of requests that have been served. */
export interface ServedParts {
    service: string;
    partIds: string[];
    /** Time since the event. */
    ageMs: number;
    /** Whether the response was complete. Absent after its first event. */
    isComplete?: boolean;
}

/** Observations of an entry daemon about possible causes of crashes. */
export interface PartReport {
    crashes: GroupCrash[];
    /** Absent in reports of daemons that don't track requests to plain services. */
    serverCrashes?: ServerCrash[];
    /** Suspects only. */
    served: ServedParts[];
}

export interface PartReportResponse {
    isAccepted: boolean;
    leaderId?: string;
    /** Epochs of the reported groups that have ended or whose head doesn't respond. */
    crashedEpochs: number[];
    /** Reported servers of plain services that have ended or don't respond. Absent if there are none. */
    crashedServerIds?: string[];
}

/** Identity of a crash: the epoch of the group, or id and start time of the server. */
export type CrashId = number | string;

/** State of a suspect part, kept for the leader's successor and shown to operators. Times are ages, as clocks differ. */
export interface SuspectRecord {
    service: string;
    partId: string;
    /** Index among the culprits of its requests, the widest first. */
    position: number;
    /** Groups and servers that crashed since a request with the part was last served. */
    crashedEpochs: CrashId[];
    /** Those that had begun the response to a request with the part, and had produced no event. */
    answeringEpochs: CrashId[];
    /** Those in the middle of the events of a request with the part. Absent if there are none. */
    streamingEpochs?: CrashId[];
    firstCrashAgeMs: number;
    lastCrashAgeMs: number;
    /** Whether a request with the part had produced an event shortly before the first crash. */
    wasServedBefore: boolean;
    /** Number of trials that have failed. */
    failedTrialCount: number;
    /** Whether the part can't be told from another one of the same requests. */
    isAmbiguous: boolean;
    /** Time until the next trial, 0 if one is due. Undefined if the part is not quarantined. */
    nextTrialMs?: number;
}

/** Identity, model and location of a replica group. */
export interface GroupIdentity {
    groupName: string;
    epoch: number;
    service: string;
    model: string;
    zone: string;
    fabricDomain: string;
    /** `host:port` of the head. Empty while unknown. */
    headAddress: string;
}

/** State of a replica group as known to the leader, kept for its successor. */
export interface GroupRecord extends GroupIdentity {
    /** In rank order. */
    members: MemberRecord[];
    phase: string;
    /**
     * Whether an order to open has got no answer, so that the head may carry it out later. Absent in records of daemons that
     * don't track it.
     */
    hasUnansweredOpen?: boolean;
}

/** Member of a group as of its latest report to the leader. */
export interface MemberRecord {
    serverId: string;
    /** Start time of the member's process, as in its report. */
    bornMs: number;
    address: string;
    sequence: number;
    /**
     * Whether an order to join the group has got no answer, so that the member may carry it out later, even after it has left.
     * Absent in records of daemons that don't track it.
     */
    hasUnansweredJoin?: boolean;
}

/** State that lets a new leader manage the groups immediately, before any server has reported to it. */
export interface GroupRecords {
    /** Increases with each change of a group or a suspect part. */
    version: number;
    groups: GroupRecord[];
    /** Groups that ended recently. Former members may still report them. */
    endedNames: string[];
    /** Backend servers that accept requests on their own. */
    servers: ServerTarget[];
    /** Number of entry daemons that watched the fleet recently. */
    entryDaemonCount: number;
    /** Absent in records that were written by daemons that don't track suspect parts. */
    suspectParts?: SuspectRecord[];
}

/** Long poll for changes of the configuration, fleet view and group records. */
export interface WatchRequest {
    /** Version of the caller's configuration, or 0 if it has none. */
    configurationVersion: number;
    viewTerm: number;
    viewVersion: number;
    /** Version of the group records of a control daemon, or 0 if it has none. */
    recordsVersion: number;
    waitMs: number;
    /** Zone of the calling daemon. */
    zone: string;
    /** Whether the calling daemon is an entry daemon, which accepts requests from callers. */
    isEntry: boolean;
    /** Entry daemons that watch the fleet through the calling daemon. */
    entryIds: string[];
    /** Demand since the previous watch request. */
    demand: ModelDemand[];
}

/** Rate of requests that a backend server takes from all daemons together, as named in its responses. */
export interface ServerLimit {
    serverId: string;
    requestsPerS: number;
    /** Time since the response that first named a limit. */
    sinceAgeMs: number;
    /** Time since the latest response that named the limit, or that ended it, when the message was created. */
    ageMs: number;
    /** Daemon that received the latest response. */
    daemonId: string;
    /** Whether the latest response named no limit any more. */
    hasEnded: boolean;
}

/** Request of a daemon to send one request to a backend server that names a limit. */
export interface LimitPermitRequest {
    /** Name by which the control daemon that hands out the permits is selected. */
    placementKey: string;
    serverId: string;
    /** Maximum delay with which a permit is still of use. */
    maxDelayMs: number;
    /** Lower numbers go first. */
    priority: number;
    /** Limits that the daemon has learnt recently. */
    limits: ServerLimit[];
}

export interface LimitPermitResponse {
    isGranted: boolean;
    /** Time until the request may be sent, or until the next permit if none was granted. */
    delayMs: number;
}

/** Load that one or more daemons have placed on a replica group. */
export interface GroupUsage {
    /** Epoch of the group, which is unique across groups. */
    epoch: number;
    /** Number of requests that are queued or running in the group. */
    inFlightCount: number;
    /** Prompt tokens of the requests that haven't produced a token yet. */
    pendingPromptTokens: number;
    /** Age of the latest event of the group's streams when the message was created; undefined if there was no event. */
    progressAgeMs?: number;
}

/** Request of an entry daemon to choose a replica group for a generation request. */
export interface PlacementRequest {
    service: string;
    model: string;
    promptTokens: number;
    /** Zone of the entry daemon. */
    zone: string;
    /** Measured time to first token beyond the prediction from the engine profile. */
    offsetMs: number;
    /** Maximum predicted time to first token at which the entry daemon sends the request to a group. */
    limitMs: number;
    /** Mean time that a request of the model occupies a slot. */
    placeMs: number;
    /** Epochs of groups to exclude because they are stalled or have already failed the request. */
    avoidedEpochs: number[];
    /** Lower numbers go first. Absent in requests of daemons that know no limits of servers. */
    priority?: number;
    /** Limits that the entry daemon has learnt recently. */
    limits?: ServerLimit[];
}

export interface PlacementResponse {
    /** Epoch of the chosen group; undefined if no group is available. */
    epoch?: number;
    /** Predicted time to first token there. If it is within `limitMs`, the request is added to the group's load. */
    firstTokenMs?: number;
    /** Number of requests known to be running in that group. */
    runningCount?: number;
    /** Time until the request may be sent, included in `firstTokenMs`; undefined if it may be sent at once. */
    startDelayMs?: number;
    /** Time until a group accepts another request, if all of them are limited. */
    retryAfterMs?: number;
}

/** Demand for a model as measured by one or more daemons. */
export interface ModelDemand {
    service: string;
    model: string;
    /** Number of prompt and completion tokens that callers requested. */
    tokens: number;
    /** Number of requests rejected for lack of capacity. */
    rejected: number;
}

/** Complete configuration, encoded for transfer between daemons. */
export interface PackedConfiguration {
    version: number;
    /** Output of `packConfiguration` in the `fleet` package. */
    bytes: Uint8Array;
}

export interface WatchResponse {
    /** Set if it is newer than the caller's. */
    configuration?: PackedConfiguration;
    /** Set if it is newer than the caller's. */
    view?: FleetView;
    /** Set in each response of the leader to a control daemon. */
    records?: GroupRecords;
    zone: string;
    leaderId?: string;
    /** Time since the responding daemon last heard from the leader; undefined if it never has. */
    leaderContactAgeMs?: number;
}

/** Result of the leader's check of a suspected group. */
export interface SuspicionResponse {
    isAccepted: boolean;
    leaderId?: string;
    /** Whether the group is healthy and the suspicion is withdrawn. */
    isCleared: boolean;
}

/** Report of an entry daemon that a group is stalled or its head has failed. */
export interface GroupSuspicion {
    groupName: string;
    epoch: number;
    reason: string;
    /** Whether a stream stalled after its first event. A request without an event may merely be queued. */
    hasRunningStream: boolean;
    /** Server that a response identified as the cause. */
    culpritId?: string;
    /** Whether the group may only be silent for a moment. Only a member that has ended is then a reason to act. */
    isEarly?: boolean;
}
