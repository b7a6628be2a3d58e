import { messageOf, monotonicMs, Random, sleep } from "@greengage/base";
import type { Member, VoteRequest, VoteResponse } from "@greengage/protocol";
import { DiskFullError } from "./errors.ts";
import { LogRole } from "./replicatedlog.ts";
import type { RaftState } from "./state.ts";

const POLL_INTERVAL_MS = 50;
/** Delay before a failed vote request is retried; opening a connection takes a few milliseconds. */
const VOTE_RETRY_DELAY_MS = 20;

type VoteType = "raft.preVote" | "raft.vote";

export interface ElectionOptions {
    state: RaftState;
    /** Called synchronously when this daemon becomes the leader of `state.term`. */
    onElected: () => void;
    /** Called when a peer reports that this member has lost state that it acknowledged. */
    onMustRejoin: () => void;
}

/** Raft leader election with pre-votes. */
export class Election {
    readonly #state: RaftState;
    readonly #options: ElectionOptions;
    readonly #random = new Random();
    #timerStartedAtMs = monotonicMs();

    constructor(options: ElectionOptions) {
        this.#options = options;
        this.#state = options.state;
        const { peers } = this.#state;
        peers.handle("raft.preVote", (request) => this.#handlePreVote(request));
        peers.handle("raft.vote", (request) => this.#handleVote(request));
    }

    /** Starts a campaign whenever the election timer expires, until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const randomFactor = 1 + this.#random.nextFloat();
            // Evaluated repeatedly, because the estimate of the disk's speed may change during the wait.
            const timeoutMs = (): number => this.#state.extendedElectionTimeoutMs * randomFactor;
            while (!signal.aborted && this.#timerElapsedMs() < timeoutMs()) {
                await sleep(
                    Math.max(1, Math.min(POLL_INTERVAL_MS, timeoutMs() - this.#timerElapsedMs())),
                    signal,
                );
            }
            if (!signal.aborted && this.#mayCampaign()) {
                await this.#campaign();
            }
            this.#timerStartedAtMs = monotonicMs();
        }
    }

    /** Expires the election timer, so that a new or restarted cluster elects a leader at once. */
    campaignNow(): void {
        this.#timerStartedAtMs = -Infinity;
    }

    #mayCampaign(): boolean {
        const { isVoter, isLeader, isIdentityVerified, isDiskFull } = this.#state;
        return isVoter && !isLeader && isIdentityVerified && !isDiskFull;
    }

    #timerElapsedMs(): number {
        const contactAtMs = this.#state.leaderContactAtMs ?? -Infinity;
        return monotonicMs() - Math.max(this.#timerStartedAtMs, contactAtMs);
    }

    async #campaign(): Promise<void> {
        const state = this.#state;
        const termBefore = state.term;
        // Pre-vote: a candidate that can't win must not raise the term, which would depose a working leader.
        if (!await this.#collectVotes("raft.preVote", termBefore + 1)) {
            return;
        }
        if (state.term !== termBefore || !this.#mayCampaign()) {
            return;
        }
        const term = termBefore + 1;
        state.adoptTerm(term);
        state.voteFor(state.memberId);
        state.role = LogRole.Candidate;
        state.changed.notify();
        await state.metadataSaved();
        if (state.role !== LogRole.Candidate) {
            return;
        }
        const isElected = await this.#collectVotes("raft.vote", term);
        if (state.term !== term || state.role !== LogRole.Candidate) {
            return;
        }
        if (!isElected || !this.#mayCampaign()) {
            state.role = state.passiveRole;
            return;
        }
        state.role = LogRole.Leader;
        state.electedAtMs = monotonicMs();
        state.leaderId = state.daemonId;
        state.log.info(`elected leader of term ${term}`);
        state.context.timeline.record("consensus", "raft.leader", { term, memberId: state.memberId });
        this.#options.onElected();
        state.changed.notify();
    }

    /** Requests votes from all other voters. Resolves once a majority has granted its vote or all requests are done. */
    #collectVotes(type: VoteType, term: number): Promise<boolean> {
        const state = this.#state;
        const { otherVoters } = state;
        let grantedCount = 1;
        let pendingCount = otherVoters.length;
        return new Promise((resolve) => {
            const resolveIfDecided = (): void => {
                if (state.isMajority(grantedCount) || pendingCount === 0) {
                    resolve(state.isMajority(grantedCount));
                }
            };
            resolveIfDecided();
            for (const member of otherVoters) {
                void this.#requestVote(type, term, member).then((isGranted) => {
                    grantedCount += isGranted ? 1 : 0;
                    pendingCount -= 1;
                    resolveIfDecided();
                });
            }
        });
    }

    async #requestVote(type: VoteType, term: number, member: Member): Promise<boolean> {
        const state = this.#state;
        const request: VoteRequest = {
            term,
            candidateId: state.daemonId,
            memberId: state.memberId,
            targetMemberId: member.memberId,
            lastLogIndex: state.entries.lastIndex,
            lastLogTerm: state.entries.lastTerm,
        };
        const response = await this.#sendVoteRequest(type, member, request);
        if (response === undefined || response.memberId !== member.memberId) {
            return false;
        }
        if (response.mustRejoin) {
            this.#options.onMustRejoin();
            return false;
        }
        if (response.term > state.term && !response.granted) {
            state.adoptTerm(response.term);
            await state.metadataSaved();
            return false;
        }
        if (state.marks.hasRegressed(member.memberId, response.term, response.lastLogIndex)) {
            state.log.warn(
                `voter ${member.daemonId} has lost state that it acknowledged; ignoring its vote`,
            );
            return false;
        }
        if (type === "raft.vote" && response.granted) {
            state.marks.raise(member.memberId, response.term, 0);
        }
        return response.granted;
    }

    /**
     * Sends a vote request and retries it until the member responds or the election times out. A voter on a slow disk
     * may respond after the call timeout; a retry in the same term only confirms the vote that it has stored by then.
     */
    async #sendVoteRequest(
        type: VoteType,
        member: Member,
        request: VoteRequest,
    ): Promise<VoteResponse | undefined> {
        const state = this.#state;
        const { callTimeoutMs } = state.timing;
        const canRetry = (): boolean =>
            type === "raft.vote" && state.term === request.term && state.role === LogRole.Candidate;
        const deadlineMs = monotonicMs() + state.extendedElectionTimeoutMs;
        for (;;) {
            const response = await state.peers.call(member.daemonId, type, request, {
                timeoutMs: callTimeoutMs,
            })
                .catch((error: unknown) => {
                    state.log.debug(`${type} request to ${member.daemonId} failed`, {
                        reason: messageOf(error),
                    });
                    return undefined;
                });
            if (response !== undefined || !canRetry() || monotonicMs() >= deadlineMs) {
                return response;
            }
            await sleep(VOTE_RETRY_DELAY_MS, state.lifecycle.signal);
        }
    }

    /** Response that denies the vote. */
    #denial(mustRejoin = false): VoteResponse {
        const { term, memberId, entries } = this.#state;
        return { term, memberId, granted: false, lastLogIndex: entries.lastIndex, mustRejoin };
    }

    /** Whether to deny the vote regardless of terms and logs. */
    #mustDenyVote(request: VoteRequest): boolean {
        const state = this.#state;
        // A voter in contact with a leader takes no part in elections, so a member that was partitioned can't depose
        // the leader when it returns.
        const hasLeader = state.leaderContactAgeMs() < state.timing.electionTimeoutMs;
        return !state.isIdentityVerified || request.targetMemberId !== state.memberId || hasLeader
            || state.isDiskFull;
    }

    #isUpToDate(request: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.#state.entries;
        return request.lastLogTerm > lastTerm
            || (request.lastLogTerm === lastTerm && request.lastLogIndex >= lastIndex);
    }

    /** Whether the candidate has lost state that it acknowledged. Compares the term that it had before it campaigned. */
    #hasLostState(request: VoteRequest): boolean {
        return this.#state.marks.hasRegressed(request.memberId, request.term - 1, request.lastLogIndex);
    }

    #handlePreVote(request: VoteRequest): VoteResponse {
        const state = this.#state;
        if (request.targetMemberId === state.memberId && this.#hasLostState(request)) {
            return this.#denial(true);
        }
        if (this.#mustDenyVote(request) || request.term < state.term || !this.#isUpToDate(request)) {
            return this.#denial();
        }
        return { ...this.#denial(), granted: true };
    }

    async #handleVote(request: VoteRequest): Promise<VoteResponse> {
        const state = this.#state;
        if (this.#mustDenyVote(request) || request.term < state.term) {
            return this.#denial();
        }
        if (this.#hasLostState(request)) {
            return this.#denial(true);
        }
        state.adoptTerm(request.term);
        const canVote = state.votedFor === undefined || state.votedFor === request.memberId;
        const isGranted = canVote && this.#isUpToDate(request);
        if (isGranted) {
            if (state.votedFor === undefined) {
                state.voteFor(request.memberId);
            }
            this.#timerStartedAtMs = monotonicMs();
        }
        try {
            await state.unlessDiskFull(state.metadataSaved());
        }
        catch (error) {
            if (error instanceof DiskFullError) {
                return this.#denial();
            }
            throw error;
        }
        // A request with a higher term may have arrived during the write.
        const stillGranted = isGranted && state.term === request.term;
        return { ...this.#denial(), granted: stillGranted };
    }
}
