import type { HlcTimestamp, Verdict } from "@greengage/base";
import type {
    GroupSuspicion,
    GroupUsage,
    PlacementRequest,
    PlacementResponse,
    ServerReport,
    SuspicionResponse,
    WatchRequest,
    WatchResponse,
} from "./fleet.ts";
import type {
    Grant,
    InFlightCount,
    OrganisationDemand,
    ShareTransfer,
    VmReport,
    ZoneExchange,
} from "./views.ts";

/** One entry of the replicated log. `payload` is a command in msgpack, or a configuration of members. */
export interface LogEntry {
    index: number;
    term: number;
    kind: "command" | "configuration" | "noop";
    payload: Uint8Array;
}

/** A voter or learner of the replicated log. A daemon whose disk was lost gets a new `memberId`. */
export interface Member {
    daemonId: string;
    memberId: string;
    voter: boolean;
}

export interface VoteRequest {
    term: number;
    /** Daemon and member identity of the candidate. */
    candidateId: string;
    memberId: string;
    /** Identity whose vote is asked for. A daemon with another identity refuses. */
    targetMemberId: string;
    lastLogIndex: number;
    lastLogTerm: number;
}

export interface VoteResponse {
    term: number;
    memberId: string;
    granted: boolean;
    /** End of the voter's log. */
    lastLogIndex: number;
    /** The candidate's files are older than what it has acknowledged: it must rejoin under a new identity. */
    mustRejoin?: boolean;
}

/** The least that a member must still have after a restart. */
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
    /** Identity that the entries are meant for. A daemon with another identity refuses. */
    targetMemberId: string;
    prevLogIndex: number;
    prevLogTerm: number;
    entries: LogEntry[];
    commitIndex: number;
    /** What the leader knows of the other members; sent together with entries. */
    marks: HighWaterMark[];
}

export interface AppendResponse {
    term: number;
    memberId: string;
    success: boolean;
    /** Last index that is known to match, or a hint where the leader should try next. */
    matchIndex: number;
    lastLogIndex: number;
}

export interface SnapshotRequest {
    term: number;
    leaderId: string;
    targetMemberId: string;
    lastIndex: number;
    lastTerm: number;
    /** Payload of the configuration entry in force at `lastIndex`. */
    configuration: Uint8Array;
    /** Position of `chunk` in the snapshot. */
    offsetBytes: number;
    chunk: Uint8Array;
    done: boolean;
}

export interface LearnerFetchResponse {
    /** Identity of the cluster; a learner takes nothing of another cluster. */
    clusterId: string | undefined;
    /** Last entry that the parent has applied. */
    commitIndex: number;
    /** Set when the entries that the learner needs are no longer in the log. */
    snapshot?: { lastIndex: number; lastTerm: number; data: Uint8Array; };
    entries: LogEntry[];
    leaderId?: string;
    /** Time since the parent, or its parents, last heard from the leader; undefined when they never did. */
    leaderContactAgeMs?: number;
}

/** Result of a proposal on the leader. */
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
        /** Other daemons that held the lease lately. */
        formerHolderIds: string[];
        /** Age of the acceptor's memory. */
        upMs: number;
        /** Time since the lease of the former holder ended. */
        idleMs?: number;
    }
    | { granted: false; highestFence: number; holderId?: string; };

/** A report that differs from an earlier full one, `fullSequence`, by its sequence number alone. */
export interface UnchangedReport {
    vmId: string;
    incarnationId: string;
    sequence: number;
    fullSequence: number;
    ageMs: number;
}

/** All requests of the inner protocol with their responses, by `type`. */
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
    /** A voter that has just started tells what its files contain. */
    "raft.status": {
        request: { memberId: string; term: number; lastLogIndex: number; };
        response: {
            clusterExists: boolean;
            memberId: string;
            leaderId?: string;
            /** The caller's files are older than what it has acknowledged. */
            mustRejoin: boolean;
        };
    };
    /** What the daemon has applied, after a wait for an index, and whether it has caught up since its start. */
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
    /** A successor asks a former controller whether it has stopped and has no order in flight. */
    "zone.confirmStopped": { request: { zone: string; fence: number; }; response: { stopped: boolean; }; };
    "report.batch": {
        request: {
            daemonId: string;
            changed: { report: VmReport; ageMs: number; }[];
            unchanged: UnchangedReport[];
        };
        /** `needFull`: VM ids whose full report the controller lacks. */
        response: { accepted: boolean; needFull: string[]; releasedVmIds: string[]; };
    };
    "report.held": {
        request: { zone: string; };
        response: {
            reports: { report: VmReport; ageMs: number; }[];
            tableVersion: number;
            /** Time for which the daemon has taken reports. */
            upMs: number;
            transfers: ShareTransfer[];
            drainedVmIds: string[];
        };
    };
    "grant.renew": {
        request: {
            daemonId: string;
            daemonZone: string;
            zone: string;
            fence: number;
            viewVersion: number;
            tableVersion: number;
            demand: OrganisationDemand[];
            /** Requests in flight; absent while the daemon doesn't count them. */
            inFlight?: InFlightCount[];
            /** Set by the controller of another zone. */
            exchange?: ZoneExchange;
        };
        response: { grant?: Grant; holderId?: string; exchange?: ZoneExchange; };
    };
    /** An operator drains a VM, or ends that. Answered by the zone's controller alone. */
    "vm.drain": {
        request: { vmId: string; drain: boolean; dryRun: boolean; };
        response: { plan?: DrainPlan; };
    };
    /** Configuration and fleet view, as soon as either is newer than what the caller holds. */
    "fleet.watch": { request: WatchRequest; response: WatchResponse; };
    /** Reports of backend servers, passed on to the leader. `isAccepted` is false on any other daemon. */
    "fleet.report": {
        request: { reports: ServerReport[]; };
        response: { isAccepted: boolean; leaderId?: string; };
    };
    /** A backend server has ended, or leaves without a report that says so. */
    "fleet.depart": {
        request: { serverId: string; bornMs: number | undefined; };
        response: { isAccepted: boolean; leaderId?: string; };
    };
    "fleet.suspect": {
        request: GroupSuspicion;
        response: SuspicionResponse;
    };
    /** An entry daemon tells what it has at the groups, and learns what all the others have there. */
    "usage.exchange": {
        request: { usage: GroupUsage[]; };
        response: { others: GroupUsage[]; };
    };
    /** The control daemon that places the requests of a model chooses a group. */
    "place.choose": { request: PlacementRequest; response: PlacementResponse; };
    "operator.forward": {
        request: { method: string; path: string; body?: unknown; };
        response: { status: number; body: unknown; };
    };
}

/** What draining a VM does, or would do. */
export interface DrainPlan {
    vmId: string;
    zone: string;
    dryRun: boolean;
    /** Whether the VM was already kept out of groups before this call. */
    alreadyDrained: boolean;
    /** Group that the VM belongs to. */
    groupId?: string;
    model?: string;
    /** What takes the place of the VM's group: a new group, a new generation with a spare, or nothing. */
    replacement: "none" | "group" | "spare" | "notNeeded";
    replacementVmIds: string[];
    /** Requests in flight on the group, as far as daemons have reported them. */
    inFlight: number;
    summary: string;
}

export type CallType = keyof Calls;

/** One-way messages, by `type`. */
export interface Notices {
    /** A change that must not wait for the next renewal. It does not lengthen the grant. */
    "grant.push": { grant: Grant; };
    /** What the entry daemons of one control daemon have at the groups, for the other control daemons. */
    "usage.share": { usage: GroupUsage[]; };
}

export type NoticeType = keyof Notices;

/** First frame of a connection, sent by the side that opened it. */
export interface Hello {
    protocolVersion: number;
    daemonId: string;
    zone: string;
    /** Daemon that the connection is meant for. */
    targetId: string;
    /** HMAC-SHA-256 of the nonce of the accepting side with the peers' key. */
    proof: Uint8Array;
}

/** Frames of the inner protocol after the handshake. */
export type Frame =
    | { kind: "call"; callId: number; type: CallType; at: HlcTimestamp; body: unknown; }
    | { kind: "result"; callId: number; at: HlcTimestamp; body: unknown; }
    | { kind: "failure"; callId: number; at: HlcTimestamp; message: string; }
    | { kind: "notice"; type: NoticeType; at: HlcTimestamp; body: unknown; };

export const PROTOCOL_VERSION = 1;
