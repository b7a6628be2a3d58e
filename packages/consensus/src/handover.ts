import { messageOf, monotonicMs, sleep } from "@greengage/base";
import type { HandoverResponse, Member } from "@greengage/protocol";
import { type Configuration, encodeConfiguration } from "./configuration.ts";
import type { Replication } from "./replication.ts";
import type { RaftState } from "./state.ts";

/** Number of entries by which a member may lag when it becomes a voter. */
export const MAX_JOIN_LAG_ENTRIES = 64;
/** Interval at which a leader checks whether a handover that was begun, maybe by its predecessor, can be completed. */
const SURPLUS_CHECK_INTERVAL_MS = 250;
/** Delay before a voter that stops asks the leader again to be replaced. */
const HANDOVER_RETRY_DELAY_MS = 100;

export interface VoterHandoverOptions {
    state: RaftState;
    replication: Replication;
    /** Members that wait to become voters. */
    joiningMembers: () => Member[];
    /** Whether the members that wait have had the time to ask this leader for a place. */
    hasHeardWaitingMembers: () => boolean;
    /** Number of voters that the cluster grows to. */
    targetCount: number;
    /** Time without a response after which a surplus voter is removed, though it hasn't announced that it stops. */
    removeLostAfterMs: number;
}

/**
 * Replaces a voter that is about to stop by a waiting member. That one is added first, so that one disk may be lost at any
 * step. Without a waiting member the voter keeps its vote, because it may only restart.
 */
export class VoterHandover {
    readonly #options: VoterHandoverOptions;
    readonly #state: RaftState;
    /** Voters that have announced that they stop, by member id. */
    readonly #leavingIds = new Set<string>();

    constructor(options: VoterHandoverOptions) {
        this.#options = options;
        this.#state = options.state;
        this.#state.peers.handle(
            "raft.leave",
            ({ memberId, timeoutMs }) => this.#replace(memberId, timeoutMs),
        );
    }

    /**
     * Hands over the vote of this member. Asks again, the next leader too, while an attempt may still succeed. Resolves to
     * whether another member has replaced it within `timeoutMs`.
     */
    async handOver(timeoutMs: number): Promise<boolean> {
        const { isVoter, lifecycle } = this.#state;
        const deadlineMs = monotonicMs() + timeoutMs;
        if (!isVoter) {
            return false;
        }
        while (monotonicMs() < deadlineMs && !lifecycle.isClosed) {
            const { isReplaced, mayRetry } = await this.#askLeader(deadlineMs - monotonicMs());
            if (isReplaced || !mayRetry) {
                return isReplaced;
            }
            await sleep(HANDOVER_RETRY_DELAY_MS, lifecycle.signal);
        }
        return false;
    }

    /** Asks the current leader once to replace this member. A leader that doesn't respond delays the next attempt only briefly. */
    async #askLeader(remainingMs: number): Promise<HandoverResponse> {
        const { isLeader, leaderId, log, memberId, peers, timing } = this.#state;
        if (isLeader) {
            return await this.#replace(memberId, remainingMs);
        }
        if (leaderId === undefined) {
            return { isReplaced: false, mayRetry: true };
        }
        const timeoutMs = Math.min(timing.electionTimeoutMs, remainingMs);
        const options = { timeoutMs: Math.min(timeoutMs + timing.callTimeoutMs, remainingMs) };
        try {
            const response = await peers.call(leaderId, "raft.leave", { memberId, timeoutMs }, options);
            // A former version answers finally, unless it has lost the leadership.
            return { mayRetry: leaderId !== this.#state.leaderId, ...response };
        }
        catch (error) {
            log.warn("the leader did not respond to a voter that stops", {
                leaderId,
                remainingMs: Math.round(remainingMs),
                reason: messageOf(error),
            });
            return { isReplaced: false, mayRetry: true };
        }
    }

    /** While this member leads, removes surplus voters that an interrupted handover has left, until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.#state.isLeader) {
                this.#removeSurplusVoter();
            }
            else {
                this.#leavingIds.clear();
            }
            await sleep(SURPLUS_CHECK_INTERVAL_MS, signal);
        }
    }

    /** On the leader: replaces the voter and waits until the change is committed. */
    async #replace(memberId: string, timeoutMs: number): Promise<HandoverResponse> {
        const { lifecycle, log } = this.#state;
        const deadlineMs = monotonicMs() + timeoutMs;
        const isPending = (): boolean =>
            this.#state.isLeader && !lifecycle.isClosed && monotonicMs() < deadlineMs;
        while (isPending() && this.#isVoter(memberId)) {
            if (this.#canChangeVoters) {
                if (this.#lacksSuccessor) {
                    log.info("a voter stops, and no other member waits to replace it", { memberId });
                    return { isReplaced: false, mayRetry: false };
                }
                this.#leavingIds.add(memberId);
                this.#changeVoters();
            }
            await this.#waitForChange(deadlineMs);
        }
        while (isPending() && !this.#canChangeVoters) {
            await this.#waitForChange(deadlineMs);
        }
        return { isReplaced: !this.#isVoter(memberId) && this.#canChangeVoters, mayRetry: true };
    }

    /** Whether no member waits for the place of a voter that stops. */
    get #lacksSuccessor(): boolean {
        return !this.#hasSurplus && this.#waitingMembers.length === 0
            && this.#options.hasHeardWaitingMembers();
    }

    /** Adds a waiting member, or removes a voter that stops once there is one too many. Does nothing while the member catches up. */
    #changeVoters(): void {
        const successor = this.#hasSurplus ? undefined : this.#successor;
        if (successor !== undefined) {
            this.#propose([...this.#configuration.members, successor]);
            return;
        }
        this.#removeSurplusVoter();
    }

    async #waitForChange(deadlineMs: number): Promise<void> {
        await this.#state.changed.wait(Math.min(deadlineMs - monotonicMs(), SURPLUS_CHECK_INTERVAL_MS));
    }

    get #configuration(): Configuration {
        return this.#state.configurations.current;
    }

    get #hasSurplus(): boolean {
        return this.#state.voters.length > this.#options.targetCount;
    }

    /** A leader may change voters only after it has committed an entry of its own term and the previous change. */
    get #canChangeVoters(): boolean {
        const { isLeader, term, entries, commitIndex, configurations } = this.#state;
        return isLeader && entries.termAt(commitIndex) === term && configurations.currentIndex <= commitIndex;
    }

    #isVoter(memberId: string): boolean {
        return this.#state.voters.some((voter) => voter.memberId === memberId);
    }

    /** Members on daemons without a voter. A voter that has lost its disk gets its own place back. */
    get #waitingMembers(): Member[] {
        const { voters } = this.#state;
        return this.#options.joiningMembers().filter(({ daemonId }) =>
            voters.every((voter) => voter.daemonId !== daemonId)
        );
    }

    /** A waiting member that has caught up and responds. */
    get #successor(): Member | undefined {
        const { replication } = this.#options;
        const { entries, timing } = this.#state;
        return this.#waitingMembers.find(({ memberId }) =>
            replication.matchIndexOf(memberId) > 0
            && entries.lastIndex - replication.matchIndexOf(memberId) <= MAX_JOIN_LAG_ENTRIES
            && replication.timeSinceWritableMs(memberId) < timing.electionTimeoutMs
        );
    }

    #removeSurplusVoter(): void {
        if (!this.#hasSurplus || !this.#canChangeVoters) {
            return;
        }
        const { replication, removeLostAfterMs } = this.#options;
        const { voters, memberId: ownId } = this.#state;
        const surplus = voters.find(({ memberId }) => this.#leavingIds.has(memberId))
            ?? voters.find(({ memberId }) =>
                memberId !== ownId && replication.timeSinceWritableMs(memberId) >= removeLostAfterMs
            );
        if (surplus !== undefined) {
            this.#propose(
                this.#configuration.members.filter(({ memberId }) => memberId !== surplus.memberId),
            );
        }
    }

    #propose(members: Member[]): void {
        const { clusterId } = this.#configuration;
        this.#state.log.info("changing the voters, as one of them stops", {
            voters: members.map(({ daemonId }) => daemonId),
        });
        void this.#options.replication.append("configuration", encodeConfiguration({ clusterId, members }))
            .catch((error: unknown) => {
                this.#state.log.warn("the change of the voters was not stored", { reason: String(error) });
            });
    }
}
