import { type Context, type Lifecycle, type Log, LogPart, monotonicMs } from "@greengage/base";
import type { LogEntry, Member, Peers } from "@greengage/protocol";
import { ChangeSignal } from "./changesignal.ts";
import { ConfigurationHistory } from "./configuration.ts";
import { EntryList } from "./entrylist.ts";
import { HighWaterMarks } from "./marks.ts";
import { LogRole } from "./replicatedlog.ts";
import type { RaftStorage, StoredState } from "./storage.ts";
import type { RaftTiming } from "./timing.ts";

/** Sequential durable writes: the candidate's term, a voter's vote, the leader's first entry, and one already begun. */
const WRITES_PER_ELECTION = 4;
/** Number of election timeouts after which a completed write no longer indicates the speed of the disk. */
const WRITE_DURATION_MAX_AGE_TIMEOUTS = 10;
/** Maximum extension for slow writes, in election timeouts. A longer stall is treated as a failed disk. */
const MAX_WRITE_ALLOWANCE_TIMEOUTS = 20;

export interface RaftStateOptions {
    context: Context;
    peers: Peers;
    timing: RaftTiming;
    lifecycle: Lifecycle;
}

/** State of one member, shared by its tasks and handlers. Related fields change without an `await` in between. */
export class RaftState {
    readonly context: Context;
    readonly peers: Peers;
    readonly timing: RaftTiming;
    readonly lifecycle: Lifecycle;
    readonly log: Log;
    readonly changed = new ChangeSignal();
    readonly configurations = new ConfigurationHistory();
    marks = new HighWaterMarks();
    entries = new EntryList();
    /** Undefined on daemons without a data folder. */
    storage: RaftStorage | undefined;
    memberId = "";
    /** Monotonic time of the last election that this member has won. */
    electedAtMs = -Infinity;
    term = 0;
    votedFor: string | undefined;
    role: LogRole = LogRole.Learner;
    /** Daemon id of the leader, if known. */
    leaderId: string | undefined;
    commitIndex = 0;
    /** Commit index that is durable on this daemon. */
    durableCommitIndex = 0;
    appliedIndex = 0;
    /** Highest commit index that a leader has named, also while a full disk keeps this daemon from following it. */
    leaderCommitIndex = 0;
    /** Index of the last entry that is durable on this daemon. Only maintained on the leader. */
    durableIndex = 0;
    /** When this daemon, or the parent that it fetches from, last heard from the leader. */
    leaderContactAtMs: number | undefined;
    /** Whether the identity is new, or voters have confirmed that this member kept the state that it acknowledged. */
    isIdentityVerified = false;
    /** Cluster that a learner has fetched entries from. */
    learnedClusterId: string | undefined;
    #metadataSaved: Promise<void> = Promise.resolve();

    constructor(options: RaftStateOptions) {
        this.context = options.context;
        this.peers = options.peers;
        this.timing = options.timing;
        this.lifecycle = options.lifecycle;
        this.log = options.context.logs(LogPart.Consensus);
    }

    /** Restores the state from the data folder. */
    load(storage: RaftStorage, stored: StoredState): void {
        this.storage = storage;
        this.memberId = stored.identity.memberId;
        this.term = stored.metadata.term;
        this.votedFor = stored.metadata.votedFor;
        this.entries = stored.log;
        this.marks = new HighWaterMarks(stored.marks);
        this.commitIndex = stored.commitIndex;
        this.durableCommitIndex = stored.commitIndex;
        this.appliedIndex = stored.snapshot?.lastIndex ?? 0;
        this.configurations.reset(this.appliedIndex, stored.snapshot?.configuration, this.entries);
        this.role = this.passiveRole;
    }

    get daemonId(): string {
        return this.peers.daemonId;
    }

    get clusterId(): string | undefined {
        return this.configurations.current.clusterId || this.learnedClusterId;
    }

    get voters(): Member[] {
        return this.configurations.current.members.filter((member) => member.voter);
    }

    get otherVoters(): Member[] {
        return this.voters.filter((member) => member.memberId !== this.memberId);
    }

    get isVoter(): boolean {
        return this.voters.some((member) => member.memberId === this.memberId);
    }

    get isLeader(): boolean {
        return this.role === LogRole.Leader;
    }

    /** Role of a member that is neither candidate nor leader. */
    get passiveRole(): LogRole {
        return this.isVoter ? LogRole.Follower : LogRole.Learner;
    }

    /** Whether `count` voters are a majority of the current configuration. */
    isMajority(count: number): boolean {
        return count * 2 > this.voters.length;
    }

    isLeaderOf(term: number): boolean {
        return this.isLeader && this.term === term && !this.lifecycle.isClosed;
    }

    /** Moves to a higher term. The caller must await `metadataSaved` before it responds. */
    adoptTerm(term: number): void {
        if (term <= this.term) {
            return;
        }
        this.term = term;
        this.votedFor = undefined;
        this.leaderId = undefined;
        this.role = this.passiveRole;
        this.saveMetadata();
        this.changed.notify();
    }

    voteFor(memberId: string): void {
        this.votedFor = memberId;
        this.saveMetadata();
    }

    saveMetadata(): void {
        const { term, votedFor } = this;
        if (this.storage === undefined) {
            return;
        }
        this.#metadataSaved = this.storage.saveMetadata({ term, votedFor });
        // Callers that depend on the write await `metadataSaved`; the storage reports failures.
        this.#metadataSaved.catch(() => undefined);
    }

    /**
     * Election timeout plus time for the writes of candidate and voters, assuming that their disks are as slow as this
     * member's disk has recently been.
     */
    get extendedElectionTimeoutMs(): number {
        const { electionTimeoutMs } = this.timing;
        const writeMs = this.storage?.estimatedWriteMs(WRITE_DURATION_MAX_AGE_TIMEOUTS * electionTimeoutMs)
            ?? 0;
        const writeAllowanceMs = WRITES_PER_ELECTION * writeMs;
        return electionTimeoutMs
            + Math.min(writeAllowanceMs, MAX_WRITE_ALLOWANCE_TIMEOUTS * electionTimeoutMs);
    }

    /** Whether the disk refuses writes for lack of room. The member then neither leads, votes nor stores entries. */
    get isDiskFull(): boolean {
        return this.storage?.isDiskFull ?? false;
    }

    /** Waits until `write` is durable. Throws a DiskFullError at once when the disk is full. */
    async unlessDiskFull(write: Promise<void>): Promise<void> {
        await (this.storage?.unlessDiskFull(write) ?? write);
    }

    /**
     * Age of the state that this daemon can pass on: time since the last contact with the leader, or Infinity while a
     * full disk keeps it from storing and applying what the leader has committed.
     */
    passedOnStateAgeMs(): number {
        const isBehind = Math.max(this.commitIndex, this.leaderCommitIndex) > this.appliedIndex;
        return this.isDiskFull && isBehind ? Infinity : this.leaderContactAgeMs();
    }

    /** Resigns as leader or candidate. */
    stepDown(): void {
        this.role = this.passiveRole;
        this.leaderId = undefined;
        this.changed.notify();
    }

    /** Resolves when the current term and vote are durable. */
    metadataSaved(): Promise<void> {
        return this.#metadataSaved;
    }

    /** Stores entries after removing those at the same or higher indexes. Resolves when the new ones are durable. */
    storeEntries(entries: LogEntry[]): Promise<void> {
        this.entries.truncateAndAppend(entries);
        this.configurations.truncateAndAppend(entries);
        if (!this.isLeader) {
            this.role = this.passiveRole;
        }
        this.changed.notify();
        return this.storage?.append({ kind: "entries", entries }) ?? Promise.resolve();
    }

    advanceCommitIndex(index: number): void {
        if (index > this.commitIndex) {
            this.commitIndex = index;
            this.changed.notify();
        }
    }

    recordLeaderContact(ageMs = 0): void {
        this.leaderContactAtMs = Math.max(this.leaderContactAtMs ?? -Infinity, monotonicMs() - ageMs);
    }

    /** Time since the last contact with a leader; 0 on the leader itself, Infinity if there was none. */
    leaderContactAgeMs(): number {
        return this.isLeader ? 0 : monotonicMs() - (this.leaderContactAtMs ?? -Infinity);
    }
}
