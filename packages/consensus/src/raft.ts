import {
    type Context,
    ErrorCode,
    GreengageError,
    Lifecycle,
    messageOf,
    monotonicMs,
    Verdict,
} from "@greengage/base";
import type { Peers } from "@greengage/protocol";
import { Applier } from "./applier.ts";
import { CatchUpCheck } from "./catchup.ts";
import { Election } from "./election.ts";
import type { DiskFullError } from "./errors.ts";
import type { SyncFile, WriteFile } from "./files.ts";
import { Follower } from "./follower.ts";
import { VoterHandover } from "./handover.ts";
import { type ConfiguredDaemon, Learner } from "./learner.ts";
import { ClusterMembership, type DynamicVoters } from "./members.ts";
import { Proposals } from "./proposals.ts";
import {
    type Command,
    LogRole,
    type LogStatus,
    type ReplicatedLog,
    type StateMachine,
    type TimeoutOptions,
} from "./replicatedlog.ts";
import { Replication } from "./replication.ts";
import { SnapshotReceiver, SnapshotSender, SnapshotSource } from "./snapshot.ts";
import { RaftState } from "./state.ts";
import { RaftStorage } from "./storage.ts";
import { DEFAULT_RAFT_TIMING, type RaftTiming } from "./timing.ts";

/** Part of the election timeout that a lease lasts. The rest allows for clock rate differences between daemons. */
const LEASE_FRACTION = 0.8;

export interface RaftLogOptions {
    context: Context;
    peers: Peers;
    machine: StateMachine;
    /** All daemons, in the order of the settings. */
    daemons: readonly ConfiguredDaemon[];
    /** Set if the settings don't list the voters: any daemon with a data folder can then become a voter. */
    dynamicVoters?: DynamicVoters;
    /** Folder for a voter's files. A daemon without it is a learner. */
    dataFolder?: string;
    /** Whether the initial voters may bootstrap a cluster. Default: false. */
    bootstrap?: boolean;
    timing?: Partial<RaftTiming>;
    /** Called when a write or sync fails. Default: exits the process with an error. */
    onStorageFailure?: (error: unknown) => void;
    /** Default: `FileHandle.sync`. */
    syncFile?: SyncFile;
    /** Default: `FileHandle.writeFile`. */
    writeFile?: WriteFile;
}

/** Replicated log: Raft among the voters, and learners that fetch committed entries. */
export class RaftLog implements ReplicatedLog {
    readonly #options: RaftLogOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #state: RaftState;
    readonly #applier: Applier;
    readonly #proposals: Proposals;
    readonly #learner: Learner;
    readonly #catchUp: CatchUpCheck;
    readonly #election: Election | undefined;
    readonly #membership: ClusterMembership | undefined;
    readonly #handover: VoterHandover | undefined;
    readonly #replication: Replication;

    constructor(options: RaftLogOptions) {
        this.#options = options;
        const { context, peers, machine, daemons } = options;
        const timing = { ...DEFAULT_RAFT_TIMING, ...options.timing };
        const state = new RaftState({ context, peers, timing, lifecycle: this.#lifecycle });
        this.#state = state;
        const snapshots = new SnapshotSource(state, machine);
        const replication = new Replication({
            state,
            snapshots: new SnapshotSender(state, snapshots),
            joiningMembers: () => this.#membership?.joiningMembers() ?? [],
        });
        this.#replication = replication;
        this.#applier = new Applier(state, machine, snapshots);
        const configuredVoterIds = daemons.filter((daemon) => daemon.voter).map((daemon) => daemon.daemonId);
        const voterIds = (): readonly string[] => options.dynamicVoters?.seedIds() ?? configuredVoterIds;
        this.#proposals = new Proposals({ state, replication, applier: this.#applier, voterIds });
        this.#learner = new Learner({ state, machine, snapshots, daemons });
        this.#catchUp = new CatchUpCheck({ state, proposals: this.#proposals, daemons });
        if (options.dataFolder === undefined) {
            return;
        }
        new SnapshotReceiver(state, machine, new Follower(state));
        const election = new Election({
            state,
            onElected: () => replication.startLeadership(),
            onMustRejoin: () => void this.#membership?.rejoin(),
        });
        this.#election = election;
        this.#membership = new ClusterMembership({
            state,
            replication,
            daemons,
            dynamicVoters: options.dynamicVoters,
            bootstrap: options.bootstrap ?? false,
            onCampaignNeeded: () => election.campaignNow(),
        });
        if (options.dynamicVoters !== undefined) {
            this.#handover = new VoterHandover({
                state,
                replication,
                joiningMembers: () => this.#membership?.joiningMembers() ?? [],
                hasHeardWaitingMembers: () => this.#membership?.hasHeardWaitingMembers ?? false,
                targetCount: options.dynamicVoters.targetCount,
                removeLostAfterMs: options.dynamicVoters.replaceLostAfterMs,
            });
        }
    }

    get appliedIndex(): number {
        return this.#state.appliedIndex;
    }

    get isCurrent(): boolean {
        return this.#catchUp.isCurrent;
    }

    get role(): LogRole {
        return this.#state.role;
    }

    /**
     * Whether this daemon is the leader and no other daemon can have been elected: a majority has responded within the
     * time for which voters refuse to elect another leader.
     */
    get holdsLeaderLease(): boolean {
        const { timing, isLeader } = this.#state;
        return isLeader
            && this.#replication.isLeadershipConfirmedSince(
                monotonicMs() - LEASE_FRACTION * timing.electionTimeoutMs,
            );
    }

    /** Loads the data folder and starts the background tasks. Throws StorageError if the data folder is unusable. */
    async start(): Promise<void> {
        const { log } = this.#state;
        const run = (name: string, task: (signal: AbortSignal) => Promise<void>): void =>
            this.#lifecycle.run(task, (error) => log.error(`${name} failed`, { reason: messageOf(error) }));
        const { dataFolder } = this.#options;
        if (dataFolder === undefined) {
            run("fetching entries", (signal) => this.#learner.run(signal));
        }
        else {
            await this.#openStorage(dataFolder);
            run("membership", async (signal) => this.#membership?.run(signal));
            run("handing over votes", async (signal) => this.#handover?.run(signal));
            run("saving marks", async (signal) => this.#membership?.saveMarks(signal));
            run("election", async (signal) => this.#election?.run(signal));
        }
        run("applying entries", (signal) => this.#applier.run(signal));
        run("catching up", (signal) => this.#catchUp.run(signal));
    }

    /**
     * Prepares for the end of the process: a member that waits to become a voter replaces this one, if there is one.
     * Resolves to whether it has within `timeoutMs`.
     */
    async handOverVote({ timeoutMs }: TimeoutOptions): Promise<boolean> {
        const { log, memberId } = this.#state;
        const startedAtMs = monotonicMs();
        try {
            const isReplaced = await this.#handover?.handOver(timeoutMs) ?? false;
            log.info("handed over the vote before the end of the process", {
                memberId,
                isReplaced,
                durationMs: Math.round(monotonicMs() - startedAtMs),
            });
            return isReplaced;
        }
        catch (error) {
            log.warn("could not hand over the vote before the end of the process", {
                memberId,
                reason: messageOf(error),
            });
            return false;
        }
    }

    async close(): Promise<void> {
        this.#applier.close();
        const closed = this.#lifecycle.close();
        this.#state.changed.notify();
        await closed;
    }

    propose(command: Command, options: TimeoutOptions): Promise<{ index: number; result: unknown; }> {
        return this.#proposals.propose(command, options);
    }

    readBarrier(options: TimeoutOptions): Promise<number> {
        return this.#proposals.readBarrier(options);
    }

    async waitForApplied(index: number, options: TimeoutOptions): Promise<void> {
        const deadlineMs = monotonicMs() + options.timeoutMs;
        while (this.appliedIndex < index) {
            const remainingMs = deadlineMs - monotonicMs();
            if (remainingMs <= 0 || this.#lifecycle.isClosed) {
                throw new GreengageError(`index ${index} was not applied within ${options.timeoutMs} ms`, {
                    code: ErrorCode.Timeout,
                    verdict: Verdict.MayHaveRun,
                });
            }
            await this.#state.changed.wait(remainingMs);
        }
    }

    status(): LogStatus {
        const { role, leaderId, term, commitIndex, appliedIndex, entries, memberId, voters } = this.#state;
        return {
            role,
            leaderId,
            term,
            commitIndex,
            appliedIndex,
            firstLogIndex: entries.baseIndex + 1,
            memberId: memberId || undefined,
            voterIds: voters.map((voter) => voter.daemonId),
            parentId: memberId ? undefined : this.#learner.parentId,
            isCurrent: this.isCurrent,
            leaderContactAgeMs: this.#state.passedOnStateAgeMs(),
            joiningIds: this.#membership?.joiningMembers().map((member) => member.daemonId) ?? [],
            isDiskFull: this.#state.isDiskFull,
        };
    }

    async #openStorage(folder: string): Promise<void> {
        const { context, peers, syncFile, writeFile } = this.#options;
        context.metrics.gauge("storage.disk_full", 0);
        const { storage, state: stored } = await RaftStorage.open({
            folder,
            daemonId: peers.daemonId,
            onFailure: (error) => this.#handleStorageFailure(error),
            onDiskFull: (error) => this.#handleFullDisk(error),
            onDiskFreed: (fullMs) => this.#handleFreedDisk(fullMs),
            signal: this.#lifecycle.signal,
            sync: syncFile,
            write: writeFile,
        });
        this.#lifecycle.onClose(() => storage.close());
        if (stored.truncatedBytes > 0) {
            this.#state.log.warn("truncated an incomplete write at the end of the log file", {
                sizeBytes: stored.truncatedBytes,
            });
        }
        if (stored.isLogRepaired) {
            this.#state.log.warn("the log file did not continue the snapshot; rewriting it", {
                snapshotIndex: stored.snapshot?.lastIndex,
                lastLogIndex: stored.log.lastIndex,
                commitIndex: stored.commitIndex,
            });
        }
        this.#state.load(storage, stored);
        this.#applier.restoreFromStorage(stored.snapshot?.data);
    }

    #handleFullDisk(error: DiskFullError): void {
        const { context } = this.#options;
        const { role, term, log } = this.#state;
        log.error(
            "a write to the data folder was refused; this daemon doesn't lead, vote or store entries until it succeeds",
            { reason: error.message, role, term },
        );
        context.timeline.record("consensus", "storage.full", { reason: error.message });
        context.metrics.count("storage.disk_fills");
        context.metrics.gauge("storage.disk_full", 1);
        if (role === LogRole.Leader || role === LogRole.Candidate) {
            this.#state.stepDown();
        }
    }

    #handleFreedDisk(fullMs: number): void {
        const { context } = this.#options;
        this.#state.log.info("the data folder accepts writes again", {
            fullMs: Math.round(fullMs),
        });
        context.timeline.record("consensus", "storage.freed", { fullMs: Math.round(fullMs) });
        context.metrics.gauge("storage.disk_full", 0);
        this.#state.changed.notify();
    }

    #handleStorageFailure(error: unknown): void {
        this.#state.log.error("a write to the data folder failed; its outcome is unknown", {
            reason: messageOf(error),
        });
        if (this.#options.onStorageFailure !== undefined) {
            this.#options.onStorageFailure(error);
            return;
        }
        process.exit(1);
    }
}
