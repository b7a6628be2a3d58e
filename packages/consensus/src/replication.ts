import { messageOf, monotonicMs, sleep } from "@greengage/base";
import type { AppendRequest, AppendResponse, LogEntry, Member } from "@greengage/protocol";
import type { SnapshotSender } from "./snapshot.ts";
import type { RaftState } from "./state.ts";
import { MAX_BATCH_BYTES } from "./timing.ts";

/** What the leader knows of one other member. */
interface Progress {
    member: Member;
    nextIndex: number;
    matchIndex: number;
    /** Term of the member's last answer; 0 before the first one. */
    answeredTerm: number;
    sentCommitIndex: number;
    sentMarksVersion: number;
    /** When the last answer came, and when the request that it answers was sent. */
    answeredAtMs: number;
    answeredSentAtMs: number;
    lastSentAtMs: number;
}

export interface ReplicationOptions {
    state: RaftState;
    snapshots: SnapshotSender;
    /** Members that catch up before they become voters. */
    joiningMembers: () => Member[];
}

/** The leader's side: one task per other member sends entries, snapshots and heartbeats. */
export class Replication {
    readonly #state: RaftState;
    readonly #options: ReplicationOptions;
    readonly #progress = new Map<string, Progress>();
    #barrierAtMs = 0;

    constructor(options: ReplicationOptions) {
        this.#options = options;
        this.#state = options.state;
    }

    /** Begins the leadership of the present term. */
    lead(): void {
        const state = this.#state;
        const { term } = state;
        this.#progress.clear();
        state.syncedIndex = 0;
        void this.append("noop", new Uint8Array()).catch(() => undefined);
        state.lifecycle.run(() => this.#supervise(term), (error) => {
            state.log.error("replication failed", { reason: messageOf(error) });
        });
    }

    /** Appends an entry on the leader. Resolves when the entry is durable here; it is not committed then. */
    async append(kind: LogEntry["kind"], payload: Uint8Array): Promise<void> {
        const state = this.#state;
        const { term } = state;
        const index = state.entries.lastIndex + 1;
        await state.putEntries([{ index, term, kind, payload }]);
        if (state.leads(term)) {
            state.syncedIndex = Math.max(state.syncedIndex, index);
            this.#advanceCommit();
        }
    }

    matchIndexOf(memberId: string): number {
        return this.#progress.get(memberId)?.matchIndex ?? 0;
    }

    /** Time since the last answer of a member; Infinity for a member that this leader doesn't know. */
    silentForMs(memberId: string): number {
        return monotonicMs() - (this.#progress.get(memberId)?.answeredAtMs ?? -Infinity);
    }

    /** Whether a majority of the voters has answered requests that were sent after `sinceMs`. */
    isConfirmedSince(sinceMs: number): boolean {
        const confirmed = this.#state.otherVoters.filter((member) =>
            (this.#progress.get(member.memberId)?.answeredSentAtMs ?? 0) >= sinceMs
        );
        return this.#state.isMajority(confirmed.length + 1);
    }

    /** Makes the tasks ask all members at once, so that `isConfirmedSince(sinceMs)` becomes true soon. */
    requestConfirmation(sinceMs: number): void {
        this.#barrierAtMs = Math.max(this.#barrierAtMs, sinceMs);
        this.#state.changed.notify();
    }

    /** Starts a task for each member of the configuration, and ends the leadership without a majority. */
    async #supervise(term: number): Promise<void> {
        const state = this.#state;
        const startedAtMs = monotonicMs();
        while (state.leads(term)) {
            for (const member of [...state.otherVoters, ...this.#options.joiningMembers()]) {
                this.#startTask(member, term, startedAtMs);
            }
            if (!this.#hasMajority()) {
                state.log.warn(`no answer from a majority, leadership of term ${term} ends`);
                state.role = state.restingRole;
                state.leaderId = undefined;
                state.changed.notify();
                return;
            }
            await state.changed.wait(state.timing.heartbeatMs);
        }
    }

    #hasMajority(): boolean {
        const oldestMs = monotonicMs() - this.#state.electionPatienceMs;
        const answering = this.#state.otherVoters.filter((member) =>
            (this.#progress.get(member.memberId)?.answeredAtMs ?? 0) >= oldestMs
        );
        return this.#state.isMajority(answering.length + 1);
    }

    #startTask(member: Member, term: number, startedAtMs: number): void {
        const state = this.#state;
        if (this.#progress.has(member.memberId)) {
            return;
        }
        const progress: Progress = {
            member,
            nextIndex: state.entries.lastIndex + 1,
            matchIndex: 0,
            answeredTerm: 0,
            sentCommitIndex: 0,
            sentMarksVersion: 0,
            answeredAtMs: startedAtMs,
            answeredSentAtMs: 0,
            lastSentAtMs: 0,
        };
        this.#progress.set(member.memberId, progress);
        state.lifecycle.run(() => this.#replicate(progress, term), (error) => {
            state.log.error(`replication to ${member.daemonId} failed`, { reason: messageOf(error) });
        });
    }

    #isCurrent(progress: Progress, term: number): boolean {
        const { memberId } = progress.member;
        const state = this.#state;
        return state.leads(term)
            && this.#progress.get(memberId) === progress
            && [...state.otherVoters, ...this.#options.joiningMembers()].some((member) =>
                member.memberId === memberId
            );
    }

    async #replicate(progress: Progress, term: number): Promise<void> {
        const { changed, timing, lifecycle } = this.#state;
        while (this.#isCurrent(progress, term)) {
            try {
                await this.#sendNext(progress, term);
            }
            catch {
                // The member can't be reached, or it does not answer.
                await sleep(timing.heartbeatMs / 2, lifecycle.signal);
                continue;
            }
            while (this.#isCurrent(progress, term) && !this.#hasNews(progress)) {
                await changed.wait(Math.max(1, progress.lastSentAtMs + timing.heartbeatMs - monotonicMs()));
            }
        }
        if (this.#progress.get(progress.member.memberId) === progress) {
            this.#progress.delete(progress.member.memberId);
        }
    }

    #hasNews(progress: Progress): boolean {
        const state = this.#state;
        return progress.nextIndex <= state.entries.lastIndex
            || progress.sentCommitIndex < state.commitIndex
            || progress.lastSentAtMs < this.#barrierAtMs
            || monotonicMs() - progress.lastSentAtMs >= state.timing.heartbeatMs;
    }

    async #sendNext(progress: Progress, term: number): Promise<void> {
        const state = this.#state;
        const sentAtMs = monotonicMs();
        progress.lastSentAtMs = sentAtMs;
        if (progress.nextIndex <= state.entries.baseIndex) {
            const lastIndex = await this.#options.snapshots.send(progress.member, term);
            if (state.leads(term)) {
                progress.answeredAtMs = monotonicMs();
                progress.answeredTerm = term;
                progress.matchIndex = Math.max(progress.matchIndex, lastIndex);
                progress.nextIndex = lastIndex + 1;
                this.#advanceCommit();
            }
            return;
        }
        const request = this.#appendRequest(progress, term);
        const response = await state.peers.call(progress.member.daemonId, "raft.append", request, {
            timeoutMs: state.timing.callTimeoutMs,
        });
        if (state.leads(term)) {
            await this.#takeAnswer(progress, response, sentAtMs);
        }
    }

    #appendRequest(progress: Progress, term: number): AppendRequest {
        const state = this.#state;
        const prevLogIndex = progress.nextIndex - 1;
        // Until the member has confirmed where its log matches, entries would mostly be sent in vain.
        const isProbing = progress.matchIndex === 0 && prevLogIndex > 0;
        const entries = isProbing
            ? []
            : state.entries.slice(progress.nextIndex, state.entries.lastIndex, MAX_BATCH_BYTES);
        const hasNewMarks = progress.sentMarksVersion !== state.marks.version && entries.length > 0;
        if (hasNewMarks) {
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
            marks: hasNewMarks ? state.marks.all() : [],
        };
    }

    async #takeAnswer(
        progress: Progress,
        response: AppendResponse,
        sentAtMs: number,
    ): Promise<void> {
        const state = this.#state;
        const { member } = progress;
        if (response.memberId !== member.memberId) {
            await sleep(state.timing.heartbeatMs, state.lifecycle.signal);
            return;
        }
        if (response.term > state.term) {
            state.log.info(`member ${member.daemonId} is in term ${response.term}, leadership ends`);
            state.adoptTerm(response.term);
            return;
        }
        if (state.marks.isBelow(member.memberId, response.term, response.lastLogIndex)) {
            // The check-in of that member tells it to rejoin; until then its answers do not count.
            state.log.warn(`member ${member.daemonId} has an older copy of its files`);
            await sleep(state.timing.heartbeatMs, state.lifecycle.signal);
            return;
        }
        progress.answeredAtMs = monotonicMs();
        progress.answeredSentAtMs = sentAtMs;
        progress.answeredTerm = response.term;
        if (!response.success) {
            progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, response.matchIndex + 1));
            return;
        }
        progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
        progress.nextIndex = Math.max(progress.nextIndex, response.matchIndex + 1);
        this.#advanceCommit();
        state.changed.notify();
    }

    /** Commits what a majority has stored, if it is of this term. */
    #advanceCommit(): void {
        const state = this.#state;
        const stored = state.otherVoters.map((member) => this.matchIndexOf(member.memberId));
        stored.push(state.isVoter ? state.syncedIndex : 0);
        stored.sort((a, b) => b - a);
        const majorityIndex = stored[Math.floor(stored.length / 2)] ?? 0;
        // Peers expect of a leader that it has what it calls committed, so its own disk counts too.
        const index = Math.min(majorityIndex, state.syncedIndex);
        if (index > state.commitIndex && state.entries.termAt(index) === state.term) {
            state.raiseCommitIndex(index);
        }
        for (const { member, matchIndex, answeredTerm } of this.#progress.values()) {
            // A member that has not answered has acknowledged nothing, not even the term.
            if (answeredTerm > 0) {
                state.marks.raise(member.memberId, answeredTerm, Math.min(matchIndex, state.commitIndex));
            }
        }
    }
}
