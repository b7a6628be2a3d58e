import { messageOf, monotonicMs, sleep } from "@greengage/base";
import type { AppendRequest, LogEntry, Member } from "@greengage/protocol";
import type { FollowerResponse } from "./follower.ts";
import type { SnapshotSender } from "./snapshot.ts";
import type { RaftState } from "./state.ts";
import { MAX_BATCH_BYTES } from "./timing.ts";

/** Replication state of one other member, as tracked by the leader. */
interface Progress {
    member: Member;
    nextIndex: number;
    matchIndex: number;
    /** Term of the member's last response; 0 before the first one. */
    lastResponseTerm: number;
    sentCommitIndex: number;
    sentMarksVersion: number;
    /** Initially the start of the leadership, which gives each member time to respond. */
    lastResponseAtMs: number;
    /** As `lastResponseAtMs`, but without responses of a member whose disk is full. */
    lastWritableAtMs: number;
    /** Whether the member's disk was full at its last response. */
    isDiskFull: boolean;
    /** When the leader sent the request that the member last responded to. */
    answeredRequestSentAtMs: number;
    lastSentAtMs: number;
}

export interface ReplicationOptions {
    state: RaftState;
    snapshots: SnapshotSender;
    /** Members that are catching up before they become voters. */
    joiningMembers: () => Member[];
}

/** Leader side of replication: one task per other member sends entries, snapshots and heartbeats. */
export class Replication {
    readonly #state: RaftState;
    readonly #options: ReplicationOptions;
    readonly #progress = new Map<string, Progress>();
    #confirmationRequestedAtMs = 0;

    constructor(options: ReplicationOptions) {
        this.#options = options;
        this.#state = options.state;
    }

    /** Starts replicating as the leader of the current term. */
    startLeadership(): void {
        const state = this.#state;
        const { term } = state;
        this.#progress.clear();
        state.durableIndex = 0;
        void this.append("noop", new Uint8Array()).catch(() => undefined);
        state.lifecycle.run(() => this.#supervise(term), (error) => {
            state.log.error("replication failed", { reason: messageOf(error) });
        });
    }

    /** Appends an entry on the leader. Resolves when the entry is durable locally, which does not mean committed. */
    async append(kind: LogEntry["kind"], payload: Uint8Array): Promise<void> {
        const state = this.#state;
        const { term } = state;
        const index = state.entries.lastIndex + 1;
        await state.storeEntries([{ index, term, kind, payload }]);
        if (state.isLeaderOf(term)) {
            state.durableIndex = Math.max(state.durableIndex, index);
            this.#advanceCommitIndex();
        }
    }

    matchIndexOf(memberId: string): number {
        return this.#progress.get(memberId)?.matchIndex ?? 0;
    }

    /** Time since a member could last store entries; Infinity for an unknown member. */
    timeSinceWritableMs(memberId: string): number {
        return monotonicMs() - (this.#progress.get(memberId)?.lastWritableAtMs ?? -Infinity);
    }

    /** Votes of the leader: none once another member has replaced it. */
    get #ownVote(): number {
        return this.#state.isVoter ? 1 : 0;
    }

    /** Whether full disks leave fewer than a majority of the voters that can store entries. */
    get lacksWritableMajority(): boolean {
        const state = this.#state;
        const progress = state.otherVoters.map(({ memberId }) => this.#progress.get(memberId));
        const sinceMs = monotonicMs() - state.extendedElectionTimeoutMs;
        const writable = progress.filter((member) =>
            member !== undefined && !member.isDiskFull && member.lastResponseAtMs >= sinceMs
        );
        return progress.some((member) => member?.isDiskFull)
            && !state.isMajority(writable.length + this.#ownVote);
    }

    /** Whether a majority of the voters has responded to requests sent at or after `sinceMs`. */
    isLeadershipConfirmedSince(sinceMs: number): boolean {
        const confirmed = this.#state.otherVoters.filter((member) =>
            (this.#progress.get(member.memberId)?.answeredRequestSentAtMs ?? 0) >= sinceMs
        );
        return this.#state.isMajority(confirmed.length + this.#ownVote);
    }

    /** Triggers a request to each member, so that `isLeadershipConfirmedSince(sinceMs)` becomes true soon. */
    requestLeadershipConfirmation(sinceMs: number): void {
        this.#confirmationRequestedAtMs = Math.max(this.#confirmationRequestedAtMs, sinceMs);
        this.#state.changed.notify();
    }

    /** Starts a replication task per member, and steps down when fewer than a majority of the voters respond. */
    async #supervise(term: number): Promise<void> {
        const state = this.#state;
        const startedAtMs = monotonicMs();
        while (state.isLeaderOf(term)) {
            for (const member of [...state.otherVoters, ...this.#options.joiningMembers()]) {
                this.#startReplicationTo(member, term, startedAtMs);
            }
            if (!this.#hasQuorumContact()) {
                state.log.warn(`lost contact with a majority; stepping down as the leader of term ${term}`);
                state.stepDown();
                return;
            }
            await state.changed.wait(state.timing.heartbeatMs);
        }
    }

    #hasQuorumContact(): boolean {
        const sinceMs = monotonicMs() - this.#state.extendedElectionTimeoutMs;
        const responsive = this.#state.otherVoters.filter((member) =>
            (this.#progress.get(member.memberId)?.lastResponseAtMs ?? 0) >= sinceMs
        );
        return this.#state.isMajority(responsive.length + this.#ownVote);
    }

    #startReplicationTo(member: Member, term: number, startedAtMs: number): void {
        const state = this.#state;
        if (this.#progress.has(member.memberId)) {
            return;
        }
        const progress: Progress = {
            member,
            nextIndex: state.entries.lastIndex + 1,
            matchIndex: 0,
            lastResponseTerm: 0,
            sentCommitIndex: 0,
            sentMarksVersion: 0,
            lastResponseAtMs: startedAtMs,
            lastWritableAtMs: startedAtMs,
            isDiskFull: false,
            answeredRequestSentAtMs: 0,
            lastSentAtMs: 0,
        };
        this.#progress.set(member.memberId, progress);
        state.lifecycle.run(() => this.#replicate(progress, term), (error) => {
            state.log.error(`replication to ${member.daemonId} failed`, { reason: messageOf(error) });
        });
    }

    #isActive(progress: Progress, term: number): boolean {
        const { memberId } = progress.member;
        const state = this.#state;
        return state.isLeaderOf(term)
            && this.#progress.get(memberId) === progress
            && [...state.otherVoters, ...this.#options.joiningMembers()].some((member) =>
                member.memberId === memberId
            );
    }

    async #replicate(progress: Progress, term: number): Promise<void> {
        const { changed, timing, lifecycle } = this.#state;
        while (this.#isActive(progress, term)) {
            try {
                await this.#sendNext(progress, term);
            }
            catch {
                // The member is unreachable or did not respond in time.
                await sleep(timing.heartbeatMs / 2, lifecycle.signal);
                continue;
            }
            while (this.#isActive(progress, term) && !this.#isSendDue(progress)) {
                await changed.wait(Math.max(1, progress.lastSentAtMs + timing.heartbeatMs - monotonicMs()));
            }
        }
        if (this.#progress.get(progress.member.memberId) === progress) {
            this.#progress.delete(progress.member.memberId);
        }
    }

    #isSendDue(progress: Progress): boolean {
        const state = this.#state;
        return progress.nextIndex <= state.entries.lastIndex
            || progress.sentCommitIndex < state.commitIndex
            || progress.lastSentAtMs < this.#confirmationRequestedAtMs
            || monotonicMs() - progress.lastSentAtMs >= state.timing.heartbeatMs;
    }

    /** Sends new entries or a heartbeat, or a snapshot if the log no longer holds the entries that the member needs. */
    async #sendNext(progress: Progress, term: number): Promise<void> {
        const state = this.#state;
        const sentAtMs = monotonicMs();
        progress.lastSentAtMs = sentAtMs;
        // A member with a full disk gets heartbeats only, and tells by its responses when it has room.
        if (progress.nextIndex <= state.entries.baseIndex && !progress.isDiskFull) {
            const lastIndex = await this.#options.snapshots.send(progress.member, term);
            if (state.isLeaderOf(term)) {
                progress.lastResponseAtMs = monotonicMs();
                progress.lastWritableAtMs = progress.lastResponseAtMs;
                progress.isDiskFull = false;
                progress.lastResponseTerm = term;
                progress.matchIndex = Math.max(progress.matchIndex, lastIndex);
                progress.nextIndex = lastIndex + 1;
                this.#advanceCommitIndex();
            }
            return;
        }
        const request = this.#appendRequest(progress, term);
        const response = await state.peers.call(progress.member.daemonId, "raft.append", request, {
            timeoutMs: state.timing.callTimeoutMs,
        });
        if (state.isLeaderOf(term)) {
            await this.#handleAppendResponse(progress, response, sentAtMs);
        }
    }

    #appendRequest(progress: Progress, term: number): AppendRequest {
        const state = this.#state;
        const prevLogIndex = progress.nextIndex - 1;
        // Send no entries until the member has confirmed where its log matches; it would reject most of them.
        const isProbing = progress.matchIndex === 0 && prevLogIndex > 0;
        const entries = isProbing || progress.isDiskFull
            ? []
            : state.entries.slice(progress.nextIndex, state.entries.lastIndex, MAX_BATCH_BYTES);
        const includesMarks = progress.sentMarksVersion !== state.marks.version && entries.length > 0;
        if (includesMarks) {
            progress.sentMarksVersion = state.marks.version;
        }
        progress.sentCommitIndex = state.commitIndex;
        return {
            term,
            leaderId: state.daemonId,
            leaderMemberId: state.memberId,
            targetMemberId: progress.member.memberId,
            prevLogIndex,
            prevLogTerm: state.entries.termAt(prevLogIndex) ?? 0,
            entries,
            commitIndex: state.commitIndex,
            marks: includesMarks ? state.marks.all() : [],
        };
    }

    async #handleAppendResponse(
        progress: Progress,
        response: FollowerResponse,
        sentAtMs: number,
    ): Promise<void> {
        const state = this.#state;
        const { member } = progress;
        if (response.memberId !== member.memberId) {
            await sleep(state.timing.heartbeatMs, state.lifecycle.signal);
            return;
        }
        if (response.term > state.term) {
            state.log.info(`member ${member.daemonId} is in the higher term ${response.term}; stepping down`);
            state.adoptTerm(response.term);
            return;
        }
        if (state.marks.hasRegressed(member.memberId, response.term, response.lastLogIndex)) {
            // The member's identity check tells it to rejoin; its responses don't count until then.
            state.log.warn(
                `member ${member.daemonId} has lost state that it acknowledged; ignoring its response`,
            );
            await sleep(state.timing.heartbeatMs, state.lifecycle.signal);
            return;
        }
        progress.lastResponseAtMs = monotonicMs();
        progress.answeredRequestSentAtMs = sentAtMs;
        progress.lastResponseTerm = response.term;
        progress.isDiskFull = response.isDiskFull ?? false;
        if (progress.isDiskFull) {
            await sleep(state.timing.heartbeatMs / 2, state.lifecycle.signal);
            return;
        }
        progress.lastWritableAtMs = progress.lastResponseAtMs;
        if (!response.success) {
            progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, response.matchIndex + 1));
            return;
        }
        progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
        progress.nextIndex = Math.max(progress.nextIndex, response.matchIndex + 1);
        this.#advanceCommitIndex();
        state.changed.notify();
    }

    /** Commits entries of the current term that a majority has stored. */
    #advanceCommitIndex(): void {
        const state = this.#state;
        const storedIndexes = state.otherVoters.map((member) => this.matchIndexOf(member.memberId));
        if (state.isVoter) {
            storedIndexes.push(state.durableIndex);
        }
        storedIndexes.sort((a, b) => b - a);
        const majorityIndex = storedIndexes[Math.floor(storedIndexes.length / 2)] ?? 0;
        // Followers raise the leader's high-water mark to the commit index, so the leader must have stored it as well.
        const index = Math.min(majorityIndex, state.durableIndex);
        if (index > state.commitIndex && state.entries.termAt(index) === state.term) {
            state.advanceCommitIndex(index);
        }
        for (const { member, matchIndex, lastResponseTerm } of this.#progress.values()) {
            // A member that has not responded has acknowledged nothing, not even the term.
            if (lastResponseTerm > 0) {
                state.marks.raise(member.memberId, lastResponseTerm, Math.min(matchIndex, state.commitIndex));
            }
        }
    }
}
