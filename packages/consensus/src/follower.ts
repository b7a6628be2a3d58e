import { Invariant } from "@greengage/base";
import type { AppendRequest, AppendResponse, LogEntry } from "@greengage/protocol";
import { DiskFullError } from "./errors.ts";
import type { RaftState } from "./state.ts";

/** Response to a leader. */
export interface FollowerResponse extends AppendResponse {
    /** Whether the member follows the leader but refuses entries, because its disk is full. */
    isDiskFull?: boolean;
}

/** Follower side of replication: validates and stores the leader's entries. */
export class Follower {
    readonly #state: RaftState;

    constructor(state: RaftState) {
        this.#state = state;
        state.peers.handle("raft.append", (request) => this.#handleAppend(request));
    }

    /**
     * Accepts `leaderId` as the leader of `term`. Returns false if the request is stale or for another member. Throws a
     * DiskFullError if the term can't be stored.
     */
    async follow(term: number, leaderId: string, targetMemberId: string): Promise<boolean> {
        const state = this.#state;
        const isTarget = state.isIdentityVerified && targetMemberId === state.memberId;
        if (!isTarget || term < state.term) {
            return false;
        }
        if (state.isLeaderOf(term)) {
            throw new Error(`daemon ${leaderId} claims to be the leader of term ${term}, but this daemon is`);
        }
        state.adoptTerm(term);
        state.role = state.passiveRole;
        if (state.leaderId !== leaderId) {
            state.leaderId = leaderId;
            state.changed.notify();
        }
        state.recordLeaderContact();
        await state.unlessDiskFull(state.metadataSaved());
        return state.term === term;
    }

    /** Response that rejects the leader's request. */
    rejection(matchIndex = 0): AppendResponse {
        const { term, memberId, entries } = this.#state;
        return { term, memberId, success: false, matchIndex, lastLogIndex: entries.lastIndex };
    }

    async #handleAppend(request: AppendRequest): Promise<FollowerResponse> {
        const state = this.#state;
        state.leaderCommitIndex = Math.max(state.leaderCommitIndex, request.commitIndex);
        if (!await this.follow(request.term, request.leaderId, request.targetMemberId)) {
            return this.rejection();
        }
        state.marks.raise(request.leaderMemberId, request.term, request.commitIndex);
        for (const mark of request.marks) {
            if (mark.memberId !== state.memberId) {
                state.marks.raise(mark.memberId, mark.term, mark.index);
            }
        }
        if (state.isDiskFull) {
            return this.#diskFullResponse();
        }
        const { prevLogIndex, prevLogTerm } = request;
        if (prevLogIndex > state.entries.lastIndex) {
            return this.rejection(state.entries.lastIndex);
        }
        const localTerm = state.entries.termAt(prevLogIndex);
        if (prevLogIndex > state.entries.baseIndex && localTerm !== prevLogTerm) {
            return this.rejection(this.#indexBeforeTerm(prevLogIndex));
        }
        const matchIndex = prevLogIndex + request.entries.length;
        const stored = this.#store(request.entries);
        state.advanceCommitIndex(Math.min(request.commitIndex, matchIndex));
        try {
            await state.unlessDiskFull(stored);
        }
        catch (error) {
            if (error instanceof DiskFullError) {
                return this.#diskFullResponse();
            }
            throw error;
        }
        return { ...this.rejection(matchIndex), success: true };
    }

    #diskFullResponse(): FollowerResponse {
        return { ...this.rejection(this.#state.commitIndex), isDiskFull: true };
    }

    /** Stores entries that are missing from the log. Resolves when all of `entries` are durable. */
    #store(entries: LogEntry[]): Promise<void> {
        const state = this.#state;
        const firstNewPosition = entries.findIndex((entry) =>
            entry.index > state.entries.baseIndex && state.entries.termAt(entry.index) !== entry.term
        );
        if (firstNewPosition < 0) {
            // Entries that are already in the log may not be durable yet.
            return state.storage?.flushed() ?? Promise.resolve();
        }
        const newEntries = entries.slice(firstNewPosition);
        const firstIndex = newEntries[0]?.index ?? 0;
        const keepsCommitted = firstIndex > state.commitIndex;
        state.context.invariants.check(
            Invariant.TableNeverReverts,
            keepsCommitted,
            () => `a leader tried to replace the committed entry ${firstIndex}`,
        );
        if (!keepsCommitted) {
            throw new Error(`entry ${firstIndex} is committed and must not be replaced`);
        }
        return state.storeEntries(newEntries);
    }

    /** Last index before the entries with the same term as the entry at `index`; at least the commit index. */
    #indexBeforeTerm(index: number): number {
        const { entries, commitIndex } = this.#state;
        const term = entries.termAt(index);
        let candidate = index - 1;
        while (candidate > commitIndex && entries.termAt(candidate) === term) {
            candidate -= 1;
        }
        return candidate;
    }
}
