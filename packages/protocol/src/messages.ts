import type { HlcTimestamp } from "@greengage/base";
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
    candidateId: string;
    memberId: string;
    lastLogIndex: number;
    lastLogTerm: number;
}

export interface VoteResponse {
    term: number;
    granted: boolean;
}

export interface AppendRequest {
    term: number;
    leaderId: string;
    leaderMemberId: string;
    prevLogIndex: number;
    prevLogTerm: number;
    entries: LogEntry[];
    commitIndex: number;
}

export interface AppendResponse {
    term: number;
    memberId: string;
    success: boolean;
    /** Last index that is known to match, or a hint where the leader should try next. */
    matchIndex: number;
}

export interface SnapshotRequest {
    term: number;
    leaderId: string;
    lastIndex: number;
    lastTerm: number;
    members: Member[];
    /** Position of `chunk` in the snapshot. */
    offsetBytes: number;
    chunk: Uint8Array;
    done: boolean;
}

export interface LearnerFetchResponse {
    commitIndex: number;
    /** Set when the entries that the learner needs are no longer in the log. */
    snapshot?: { lastIndex: number; lastTerm: number; data: Uint8Array; };
    entries: LogEntry[];
}

/** Result of a proposal on the leader. */
export type ProposeResponse =
    | { ok: true; index: number; result: unknown; }
    | { ok: false; leaderId?: string; };

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
    "raft.status": {
        request: Record<string, never>;
        response: {
            clusterExists: boolean;
            memberId: string;
            term: number;
            lastLogIndex: number;
            leaderId?: string;
        };
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
