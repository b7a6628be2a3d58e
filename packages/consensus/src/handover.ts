import { monotonicMs, sleep } from "@greengage/base";
import type { Member } from "@greengage/protocol";
import { type Configuration, encodeConfiguration } from "./configuration.ts";
import type { Replication } from "./replication.ts";
import type { RaftState } from "./state.ts";

/** Number of entries by which a member may lag when it becomes a voter. */
export const MAX_JOIN_LAG_ENTRIES = 64;
/** Interval at which a leader checks whether a handover that was begun, maybe by its predecessor, can be completed. */
const SURPLUS_CHECK_INTERVAL_MS = 250;

export interface VoterHandoverOptions {
    state: RaftState;
    replication: Replication;
    /** Members that wait to become voters. */
    joiningMembers: () => Member[];
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
        this.#state.peers.handle("raft.leave", async ({ memberId, timeoutMs }) => ({
            isReplaced: this.#state.isLeader && await this.#replace(memberId, timeoutMs),
        }));
    }

    /** Hands over the vote of this member. Resolves to whether another member has replaced it within `timeoutMs`. */
    async handOver(timeoutMs: number): Promise<boolean> {
        const { isVoter, isLeader, leaderId, memberId, peers } = this.#state;
        if (!isVoter) {
            return false;
        }
        if (isLeader) {
            return await this.#replace(memberId, timeoutMs);
        }
        if (leaderId === undefined) {
            return false;
        }
        const { isReplaced } = await peers.call(leaderId, "raft.leave", { memberId, timeoutMs }, {
            timeoutMs,
        });
        return isReplaced;
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

    /** On the leader: resolves to whether the voter has been replaced and the change is committed. */
    async #replace(memberId: string, timeoutMs: number): Promise<boolean> {
        const { changed, lifecycle, log } = this.#state;
        const deadlineMs = monotonicMs() + timeoutMs;
        const isPending = (): boolean =>
            this.#state.isLeader && !lifecycle.isClosed && monotonicMs() < deadlineMs;
        while (isPending() && this.#isVoter(memberId)) {
            if (this.#canChangeVoters) {
                const successor = this.#hasSurplus ? undefined : this.#successor;
                if (!this.#hasSurplus && this.#waitingMembers.length === 0) {
                    log.info("a voter stops, and no other member waits to replace it", { memberId });
                    return false;
                }
                this.#leavingIds.add(memberId);
                if (successor !== undefined) {
                    this.#propose([...this.#configuration.members, successor]);
                }
                else {
                    // Does nothing while a waiting member still catches up.
                    this.#removeSurplusVoter();
                }
            }
            await changed.wait(deadlineMs - monotonicMs());
        }
        while (isPending() && !this.#canChangeVoters) {
            await changed.wait(deadlineMs - monotonicMs());
        }
        return !this.#isVoter(memberId) && this.#canChangeVoters;
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
