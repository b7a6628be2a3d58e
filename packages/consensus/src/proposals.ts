import { GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import { encode, PeerTimeoutError, PeerUnreachableError, type ProposeResponse } from "@greengage/protocol";
import type { Applier } from "./applier.ts";
import { notCommittedError, outcomeUnknownError } from "./errors.ts";
import type { Command, TimeoutOptions } from "./replicatedlog.ts";
import type { Replication } from "./replication.ts";
import type { RaftState } from "./state.ts";
import { MAX_PENDING_PROPOSALS } from "./timing.ts";

const RETRY_DELAY_MS = 50;
/** A learner hears from the leader through its parents, each of which adds a delay of up to half a second. */
const LEARNER_CONTACT_AGE_FACTOR = 2;

export interface ProposalsOptions {
    state: RaftState;
    replication: Replication;
    applier: Applier;
    /** Daemons to ask for the leader while none is known. */
    voterIds: () => readonly string[];
}

/** Proposes commands and confirms reads. Forwards both to the leader if that is another daemon. */
export class Proposals {
    readonly #options: ProposalsOptions;
    readonly #state: RaftState;

    constructor(options: ProposalsOptions) {
        this.#options = options;
        this.#state = options.state;
        const { peers } = this.#state;
        peers.handle("raft.propose", ({ command, timeoutMs }) => this.#proposeLocally(command, timeoutMs));
        peers.handle("raft.readIndex", async () => {
            const index = await this.#confirmedCommitIndex();
            const { leaderId } = this.#state;
            return index === undefined ? { ok: false, leaderId } : { ok: true, index };
        });
    }

    async propose(command: Command, options: TimeoutOptions): Promise<{ index: number; result: unknown; }> {
        const payload = encode(command);
        const deadlineMs = monotonicMs() + options.timeoutMs;
        let reason = "there is no leader";
        while (monotonicMs() < deadlineMs && !this.#state.lifecycle.isClosed) {
            const timeoutMs = Math.max(1, deadlineMs - monotonicMs());
            const leaderId = this.#recentLeaderId();
            if (leaderId === undefined) {
                // Wait for a leader: a command sent to a partitioned member would have an unknown outcome.
                reason = this.#state.isDiskFull
                    ? "there is no leader, and the disk of this daemon is full"
                    : "there is no leader";
                await this.#state.changed.wait(Math.min(RETRY_DELAY_MS, timeoutMs));
                continue;
            }
            const response = await this.#proposeTo(leaderId, payload, timeoutMs);
            if (response.ok) {
                return response;
            }
            if (response.verdict !== Verdict.NotRun) {
                throw outcomeUnknownError(response.reason);
            }
            reason = response.reason;
            this.#updateLeaderId(response.leaderId);
            await this.#state.changed.wait(RETRY_DELAY_MS);
        }
        throw notCommittedError(`the command was not accepted within ${options.timeoutMs} ms: ${reason}`);
    }

    async readBarrier(options: TimeoutOptions): Promise<number> {
        const deadlineMs = monotonicMs() + options.timeoutMs;
        for (let attempt = 0; monotonicMs() < deadlineMs && !this.#state.lifecycle.isClosed; attempt += 1) {
            const timeoutMs = Math.max(1, deadlineMs - monotonicMs());
            const response = await this.#state.peers.call(
                this.#readIndexTarget(attempt),
                "raft.readIndex",
                {},
                {
                    timeoutMs: Math.min(timeoutMs, this.#state.timing.electionTimeoutMs),
                },
            ).catch(() => undefined);
            if (response?.ok) {
                return response.index;
            }
            this.#updateLeaderId(response?.leaderId);
            await sleep(RETRY_DELAY_MS, this.#state.lifecycle.signal);
        }
        throw notCommittedError(`no leader confirmed the read within ${options.timeoutMs} ms`);
    }

    /** Leader, if this daemon or its parent has recently heard from it. */
    #recentLeaderId(): string | undefined {
        const { isVoter, leaderId, timing } = this.#state;
        const limitMs = (isVoter ? 1 : LEARNER_CONTACT_AGE_FACTOR) * timing.electionTimeoutMs;
        return this.#state.leaderContactAgeMs() <= limitMs ? leaderId : undefined;
    }

    /** Daemon to ask: the known leader on even attempts, and otherwise the voters in turn. */
    #readIndexTarget(attempt: number): string {
        const { leaderId, daemonId } = this.#state;
        const knownIds = this.#state.voters.map((voter) => voter.daemonId);
        const voterIds = [...new Set([...knownIds, ...this.#options.voterIds()])];
        if (leaderId !== undefined && attempt % 2 === 0) {
            return leaderId;
        }
        return voterIds[Math.floor(attempt / 2) % voterIds.length] ?? daemonId;
    }

    #updateLeaderId(leaderId: string | undefined): void {
        if (leaderId !== undefined && !this.#state.isLeader && !this.#state.isVoter) {
            this.#state.leaderId = leaderId;
        }
    }

    async #proposeTo(daemonId: string, command: Uint8Array, timeoutMs: number): Promise<ProposeResponse> {
        if (daemonId === this.#state.daemonId) {
            return this.#proposeLocally(command, timeoutMs);
        }
        try {
            const request = { command, timeoutMs };
            return await this.#state.peers.call(daemonId, "raft.propose", request, { timeoutMs });
        }
        catch (error) {
            if (error instanceof PeerUnreachableError) {
                return { ok: false, verdict: Verdict.NotRun, reason: error.message };
            }
            const reason = error instanceof PeerTimeoutError ? error.message : String(error);
            return { ok: false, verdict: Verdict.MayHaveRun, reason };
        }
    }

    /** Commits and applies a command if this daemon is the leader; rejects it otherwise. */
    async #proposeLocally(command: Uint8Array, timeoutMs: number): Promise<ProposeResponse> {
        const state = this.#state;
        const { applier, replication } = this.#options;
        const { leaderId } = state;
        if (!state.isLeader || state.lifecycle.isClosed) {
            const reason = state.isDiskFull
                ? "the disk of this daemon is full"
                : "this daemon is not the leader";
            return { ok: false, leaderId, verdict: Verdict.NotRun, reason };
        }
        if (replication.lacksWritableMajority) {
            return {
                ok: false,
                leaderId,
                verdict: Verdict.NotRun,
                reason: "full disks leave no majority of voters that can store the command",
            };
        }
        if (applier.pendingCount >= MAX_PENDING_PROPOSALS) {
            return {
                ok: false,
                verdict: Verdict.NotRun,
                reason: "too many commands are waiting to be committed",
            };
        }
        const { term } = state;
        const index = state.entries.lastIndex + 1;
        const result = applier.waitForResult(index, term);
        replication.append("command", command).catch(() => undefined);
        try {
            return { ok: true, index, result: await withTimeout(result, timeoutMs) };
        }
        catch (error) {
            const verdict = error instanceof GreengageError ? error.verdict : Verdict.MayHaveRun;
            return { ok: false, verdict, reason: (error as Error).message };
        }
    }

    /**
     * Commit index of this daemon, once a majority has confirmed after the call that it is the leader. Undefined if no
     * majority does so in time, because another leader may have committed more.
     */
    async #confirmedCommitIndex(): Promise<number | undefined> {
        const state = this.#state;
        const { replication } = this.#options;
        const { term } = state;
        const requestedAtMs = monotonicMs();
        const deadlineMs = requestedAtMs + state.timing.electionTimeoutMs;
        // A leader's commit index may lag behind until it has committed an entry of its own term.
        while (
            state.isLeaderOf(term) && state.entries.termAt(state.commitIndex) !== term
            && monotonicMs() < deadlineMs
        ) {
            await state.changed.wait(state.timing.heartbeatMs);
        }
        if (state.entries.termAt(state.commitIndex) !== term) {
            return undefined;
        }
        const index = state.commitIndex;
        replication.requestLeadershipConfirmation(requestedAtMs);
        while (
            state.isLeaderOf(term) && !replication.isLeadershipConfirmedSince(requestedAtMs)
            && monotonicMs() < deadlineMs
        ) {
            await state.changed.wait(state.timing.heartbeatMs);
        }
        return state.isLeaderOf(term) && replication.isLeadershipConfirmedSince(requestedAtMs)
            ? index
            : undefined;
    }
}

const withTimeout = <T>(promise: Promise<T>, timeoutMs: number): Promise<T> =>
    new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(outcomeUnknownError(`no commit within ${Math.round(timeoutMs)} ms`)),
            timeoutMs,
        );
        promise.then(resolve, reject).finally(() => clearTimeout(timer));
    });
