import type { HlcTimestamp, Verdict } from "@greengage/base";
import type {
    GroupSuspicion,
    GroupUsage,
    LeavingServer,
    LimitPermitRequest,
    LimitPermitResponse,
    PartReport,
    PartReportResponse,
    PlacementRequest,
    PlacementResponse,
    ServerLimit,
    ServerReport,
    SuspectRecord,
    SuspicionResponse,
    WatchRequest,
    WatchResponse,
} from "./fleet.ts";
import type {
    PathReport,
    RelayCandidate,
    RelayedSignals,
    RelayList,
    RelayRefusal,
    RelayRequest,
} from "./relay.ts";
import type {
    Grant,
    InFlightCount,
    OrganisationDemand,
    ShareTransfer,
    VmReport,
    ZoneExchange,
} from "./views.ts";

/** Entry of the replicated log. `payload` is a command or a member configuration in msgpack. */
export interface LogEntry {
    index: number;
    term: number;
    kind: "command" | "configuration" | "noop";
    payload: Uint8Array;
}

/** Result of the attempt to replace a voter that is about to stop. */
export interface HandoverResponse {
    /** Whether another member votes in its place, and this is committed. */
    isReplaced: boolean;
    /** Whether another attempt may succeed. Former versions omit it. */
    mayRetry?: boolean;
}

/** Voter or learner of the replicated log. A daemon that lost its disk gets a new `memberId`. */
export interface Member {
    daemonId: string;
    memberId: string;
    voter: boolean;
}

export interface VoteRequest {
    term: number;
    /** Daemon id of the candidate. */
    candidateId: string;
    /** Member id of the candidate. */
    memberId: string;
    /** Member id of the intended recipient. A daemon with another member id rejects the request. */
    targetMemberId: string;
    lastLogIndex: number;
    lastLogTerm: number;
}

export interface VoteResponse {
    term: number;
    memberId: string;
    granted: boolean;
    /** Index of the last entry in the voter's log. */
    lastLogIndex: number;
    /** Set if the candidate's files are older than what it has acknowledged. It must rejoin with a new member id. */
    mustRejoin?: boolean;
}

/** Minimum state that a member must still have after a restart, because it has acknowledged that state. */
export interface HighWaterMark {
    memberId: string;
    /** Highest term that the member has acknowledged. */
    term: number;
    /** Highest committed log index that the member has acknowledged. */
    index: number;
}

export interface AppendRequest {
    term: number;
    leaderId: string;
    leaderMemberId: string;
    /** Member id of the intended recipient. A daemon with another member id rejects the request. */
    targetMemberId: string;
    prevLogIndex: number;
    prevLogTerm: number;
    entries: LogEntry[];
    commitIndex: number;
    /** High-water marks of the other members that the leader knows. Only sent with entries. */
    marks: HighWaterMark[];
}

export interface AppendResponse {
    term: number;
    memberId: string;
    success: boolean;
    /** Last index that matches the leader's log or, on failure, a hint for the leader's next attempt. */
    matchIndex: number;
    lastLogIndex: number;
}

export interface SnapshotRequest {
    term: number;
    leaderId: string;
    targetMemberId: string;
    lastIndex: number;
    lastTerm: number;
    /** Payload of the configuration entry that applies at `lastIndex`. */
    configuration: Uint8Array;
    /** Offset of `chunk` in the snapshot. */
    offsetBytes: number;
    chunk: Uint8Array;
    done: boolean;
}

export interface LearnerFetchResponse {
    /** Cluster of the parent. A learner accepts no data from another cluster. */
    clusterId: string | undefined;
    /** Index of the last entry that the parent has applied. */
    commitIndex: number;
    /** Set if the requested entries have been compacted out of the log. */
    snapshot?: { lastIndex: number; lastTerm: number; data: Uint8Array; };
    entries: LogEntry[];
    leaderId?: string;
    /** Time since the parent, or its own parents, last heard from the leader; undefined if they never did. */
    leaderContactAgeMs?: number;
}

/** Result of proposing a command. */
export type ProposeResponse =
    | { ok: true; index: number; result: unknown; }
    | {
        ok: false;
        leaderId?: string;
        verdict: Verdict;
        reason: string;
    };

export type ZoneAcquireResponse =
    | {
        granted: true;
        tableFloor: number;
        /** Other daemons that recently held the lease. */
        formerHolderIds: string[];
        /** Uptime of the acceptor, which keeps its state in memory only. */
        upMs: number;
        /** Time since the most recent lease of another holder ended. */
        idleMs?: number;
    }
    | { granted: false; highestFence: number; holderId?: string; };

/** Report that differs from the earlier full report `fullSequence` only in its sequence number. */
export interface UnchangedReport {
    vmId: string;
    incarnationId: string;
    sequence: number;
    fullSequence: number;
    ageMs: number;
}

/** Requests and responses of the calls between daemons, by `type`. */
export interface Calls {
    "raft.preVote": { request: VoteRequest; response: VoteResponse; };
    "raft.vote": { request: VoteRequest; response: VoteResponse; };
    "raft.append": { request: AppendRequest; response: AppendResponse; };
    "raft.snapshot": { request: SnapshotRequest; response: AppendResponse; };
    "raft.propose": { request: { command: Uint8Array; timeoutMs: number; }; response: ProposeResponse; };
    "raft.readIndex": {
        request: Record<string, never>;
        response: { ok: true; index: number; } | { ok: false; leaderId?: string; };
    };
    "raft.joinAs": { request: Member; response: { ok: boolean; leaderId?: string; reason?: string; }; };
    /**
     * A voter that is about to stop asks the leader to replace it. Daemons that don't know the call reject it; the voter is
     * then replaced once it has been silent for a while.
     */
    "raft.leave": { request: { memberId: string; timeoutMs: number; }; response: HandoverResponse; };
    /** A voter that has just started announces the state that its files contain. */
    "raft.status": {
        request: { memberId: string; term: number; lastLogIndex: number; };
        response: {
            clusterExists: boolean;
            memberId: string;
            leaderId?: string;
            /** Whether the caller's files are older than what it has acknowledged. */
            mustRejoin: boolean;
        };
    };
    /**
     * Responds once `waitForIndex` is applied, or after `waitMs`. `isCurrent` says whether the daemon has caught up
     * with the log since its start.
     */
    "raft.applied": {
        request: { waitForIndex: number; waitMs: number; };
        response: { appliedIndex: number; isCurrent: boolean; };
    };
    "learner.fetch": {
        request: { fromIndex: number; waitMs: number; };
        response: LearnerFetchResponse;
    };
    "zone.acquire": {
        request: { zone: string; fence: number; holderId: string; leaseMs: number; tableFloor: number; };
        response: ZoneAcquireResponse;
    };
    "zone.release": {
        request: { zone: string; fence: number; holderId: string; };
        response: Record<string, never>;
    };
    "zone.holder": {
        request: { zone: string; };
        response: { holderId?: string; highestFence: number; };
    };
    /** A new controller asks a former one whether it has stopped and has no orders in flight. */
    "zone.confirmStopped": { request: { zone: string; fence: number; }; response: { stopped: boolean; }; };
    "report.batch": {
        request: {
            daemonId: string;
            changed: { report: VmReport; ageMs: number; }[];
            unchanged: UnchangedReport[];
        };
        /** `needFull`: ids of VMs for which the controller needs the full report. */
        response: { accepted: boolean; needFull: string[]; releasedVmIds: string[]; };
    };
    "report.held": {
        request: { zone: string; };
        response: {
            reports: { report: VmReport; ageMs: number; }[];
            tableVersion: number;
            /** Time for which the daemon has been accepting reports. */
            upMs: number;
            transfers: ShareTransfer[];
            drainedVmIds: string[];
            suspects?: SuspectRecord[];
        };
    };
    "grant.renew": {
        request: {
            daemonId: string;
            daemonZone: string;
            zone: string;
            fence: number;
            viewVersion: number;
            /** Version of the suspects that the daemon holds; absent if it holds none. */
            suspectVersion?: number;
            tableVersion: number;
            demand: OrganisationDemand[];
            /** Requests in flight; absent if the daemon doesn't count them. */
            inFlight?: InFlightCount[];
            /** Set by the controller of another zone. */
            exchange?: ZoneExchange;
        };
        response: { grant?: Grant; holderId?: string; exchange?: ZoneExchange; };
    };
    /** An operator drains or undrains a VM. Only the zone's controller returns a plan. */
    "vm.drain": {
        request: { vmId: string; drain: boolean; dryRun: boolean; };
        response: { plan?: DrainPlan; };
    };
    /** Long poll that returns the configuration and fleet view once either is newer than the caller's. */
    "fleet.watch": { request: WatchRequest; response: WatchResponse; };
    /** Forwards reports of backend servers to the leader. Other daemons respond with `isAccepted: false`. */
    "fleet.report": {
        request: { reports: ServerReport[]; };
        response: { isAccepted: boolean; leaderId?: string; };
    };
    /** A backend server has ended, or is leaving without having reported it. */
    "fleet.depart": {
        request: { serverId: string; bornMs: number | undefined; };
        response: { isAccepted: boolean; leaderId?: string; };
    };
    /** An entry daemon has received an answer in which a backend server says that it leaves. */
    "fleet.leaving": {
        request: LeavingServer;
        response: { isAccepted: boolean; leaderId?: string; };
    };
    "fleet.suspect": {
        request: GroupSuspicion;
        response: SuspicionResponse;
    };
    /** Reports crashes of groups, and successes of suspect parts, to the leader. */
    "parts.report": { request: PartReport; response: PartReportResponse; };
    /** Asks the leader for permission to send one request with a quarantined part. */
    "parts.trial": { request: { service: string; partId: string; }; response: { isGranted: boolean; }; };
    /** Returns the suspect parts of the leader. */
    "parts.list": { request: object; response: { isAccepted: boolean; parts: SuspectRecord[]; }; };
    /** Clears a part on an operator's order. Returns the services in which it was a suspect. */
    "parts.lift": { request: { partId: string; }; response: { isAccepted: boolean; services: string[]; }; };
    /** An entry daemon sends its usage of the groups and receives that of all other entry daemons. */
    "usage.exchange": {
        request: { usage: GroupUsage[]; limits?: ServerLimit[]; paths?: PathReport; };
        response: { others: GroupUsage[]; limits?: ServerLimit[]; relays?: RelayList; };
    };
    /** Asks the control daemon responsible for a model's placement to choose a group. */
    "place.choose": { request: PlacementRequest; response: PlacementResponse; };
    /** Asks the daemon that divides the limit of a backend server for permission to send one request. */
    "limit.acquire": { request: LimitPermitRequest; response: LimitPermitResponse; };
    "operator.forward": {
        request: { method: string; path: string; body?: unknown; };
        response: { status: number; body: unknown; };
    };
}

/** Effect of draining a VM, or the expected effect if `dryRun` is set. */
export interface DrainPlan {
    vmId: string;
    zone: string;
    dryRun: boolean;
    /** Whether the VM was already drained before this call. */
    alreadyDrained: boolean;
    /** Group that the VM belongs to. */
    groupId?: string;
    model?: string;
    /** Replacement of the VM's group: a new group, a new generation with a spare VM, or none. */
    replacement: "none" | "group" | "spare" | "notNeeded";
    replacementVmIds: string[];
    /** Requests in flight at the group that daemons have reported. */
    inFlight: number;
    summary: string;
}

export type CallType = keyof Calls;

/** One-way messages, by `type`. */
export interface Notices {
    /** Sends a change before the next renewal. It doesn't extend the grant. */
    "grant.push": { grant: Grant; };
    /**
     * Total usage by the entry daemons that report to a control daemon, sent to the other control daemons. Now and then with
     * some of those entry daemons as candidates for relays.
     */
    "usage.share": { usage: GroupUsage[]; limits?: ServerLimit[]; candidates?: RelayCandidate[]; };
    /** What a backend server said in an answer that the recipient has relayed, and that concerns the recipient too. */
    "relay.observed": RelayedSignals;
}

export type NoticeType = keyof Notices;

/** First message from the side that opened the connection. */
export interface Hello {
    protocolVersion: number;
    daemonId: string;
    zone: string;
    /** Id of the intended recipient. */
    targetId: string;
    /** HMAC-SHA-256 of the accepting side's nonce, both daemon ids and `relay`, with the shared key. */
    proof: Uint8Array;
    /** Asks for a connection to a backend server, whose bytes follow on this connection in place of frames. */
    relay?: RelayRequest;
}

/** Answer to a hello with `relay`. After a refusal the connection closes. */
export type RelayAnswer = { isOpen: true; } | { isOpen: false; refusal: RelayRefusal; reason: string; };

/** Frames between daemons after the handshake. */
export type Frame =
    | { kind: "call"; callId: number; type: CallType; at: HlcTimestamp; body: unknown; }
    | { kind: "result"; callId: number; at: HlcTimestamp; body: unknown; }
    | { kind: "failure"; callId: number; at: HlcTimestamp; message: string; }
    | { kind: "notice"; type: NoticeType; at: HlcTimestamp; body: unknown; };

export const PROTOCOL_VERSION = 1;
