import { monotonicMs, newId, sleep } from "@greengage/base";
import type { Calls, Member } from "@greengage/protocol";
import { encodeConfiguration } from "./configuration.ts";
import { MAX_JOIN_LAG_ENTRIES } from "./handover.ts";
import type { ConfiguredDaemon } from "./learner.ts";
import type { Replication } from "./replication.ts";
import type { RaftState } from "./state.ts";

const JOIN_RETRY_DELAY_MS = 250;
const JOIN_REQUEST_TTL_MS = 5_000;
const IDENTITY_CHECK_RETRY_DELAY_MS = 100;
const MARKS_SAVE_INTERVAL_MS = 1_000;
/** A dynamic voter asks to join again after this many election timeouts without a leader: it may have been replaced. */
const REPEAT_JOIN_AFTER_ELECTION_TIMEOUTS = 3;

type StatusResponse = Calls["raft.status"]["response"];

/** How voters are chosen when the settings don't list them. */
export interface DynamicVoters {
    /** Daemons that bootstrap the cluster. A daemon that knows no members sends them its requests to join. */
    seedIds: () => readonly string[];
    /** Number of voters that the cluster grows to. Further daemons wait to replace a lost voter. */
    targetCount: number;
    /** A voter that has not responded, or whose disk has been full, for this long is replaced by a waiting daemon. */
    replaceLostAfterMs: number;
}

export interface ClusterMembershipOptions {
    state: RaftState;
    replication: Replication;
    daemons: readonly ConfiguredDaemon[];
    /** Set if the settings don't list the voters. */
    dynamicVoters?: DynamicVoters;
    /** Whether this daemon may bootstrap a cluster together with the other initial voters. */
    bootstrap: boolean;
    /** Called when this daemon should campaign at once because there is no leader and no other candidate. */
    onCampaignNeeded: () => void;
}

/** Manages this member's identity and cluster membership: verification, bootstrap, joining and voter replacement. */
export class ClusterMembership {
    readonly #options: ClusterMembershipOptions;
    readonly #state: RaftState;
    readonly #configuredVoterIds: string[];
    readonly #joinRequests = new Map<string, { member: Member; requestedAtMs: number; }>();
    #rejoining: Promise<void> | undefined;
    #savedMarksVersion = 0;

    constructor(options: ClusterMembershipOptions) {
        this.#options = options;
        this.#state = options.state;
        this.#configuredVoterIds = options.daemons.filter((daemon) => daemon.voter).map(({ daemonId }) =>
            daemonId
        );
        const { peers } = this.#state;
        peers.handle("raft.status", (request) => this.#handleStatus(request));
        peers.handle("raft.joinAs", (request, from) => this.#handleJoin(request, from));
    }

    /** Daemons that bootstrap the cluster and accept requests to join it. */
    get #initialVoterIds(): string[] {
        const { dynamicVoters } = this.#options;
        return dynamicVoters === undefined ? this.#configuredVoterIds : [...dynamicVoters.seedIds()].sort();
    }

    /** Members with a recent request to join. */
    joiningMembers(): Member[] {
        const oldestMs = monotonicMs() - JOIN_REQUEST_TTL_MS;
        return [...this.#joinRequests.values()].filter(({ requestedAtMs }) => requestedAtMs >= oldestMs)
            .map(({ member }) => member);
    }

    /**
     * On the leader: whether each waiting member has had the time since the election to ask for a place. It asks the voters one
     * after the other, and some of them may not respond.
     */
    get hasHeardWaitingMembers(): boolean {
        const { electedAtMs, timing, voters } = this.#state;
        return monotonicMs() - electedAtMs >= JOIN_RETRY_DELAY_MS + voters.length * timing.callTimeoutMs;
    }

    /** Verifies the member identity, then bootstraps or joins the cluster whenever this daemon is not a voter. */
    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        await this.#verifyIdentity(signal);
        let warnedAtMs = monotonicMs();
        while (!signal.aborted) {
            if (this.#shouldJoin() && !await this.#tryBootstrap()) {
                await this.#requestJoin();
                if (monotonicMs() - warnedAtMs > 5_000) {
                    warnedAtMs = monotonicMs();
                    state.log.warn(
                        "this daemon is not a voter yet: no leader has accepted its request to join",
                    );
                }
            }
            await sleep(JOIN_RETRY_DELAY_MS, signal);
        }
    }

    /** Whether to ask to join. A voter that may have been replaced while it was partitioned asks too, to find out. */
    #shouldJoin(): boolean {
        const { isVoter, timing } = this.#state;
        const mayHaveBeenReplaced = this.#options.dynamicVoters !== undefined
            && this.#state.leaderContactAgeMs()
                > REPEAT_JOIN_AFTER_ELECTION_TIMEOUTS * timing.electionTimeoutMs;
        return !isVoter || mayHaveBeenReplaced;
    }

    /** Periodically saves the high-water marks, until `signal` aborts. */
    async saveMarks(signal: AbortSignal): Promise<void> {
        const { marks, storage } = this.#state;
        while (!signal.aborted) {
            await sleep(MARKS_SAVE_INTERVAL_MS, signal);
            if (marks.version !== this.#savedMarksVersion) {
                this.#savedMarksVersion = marks.version;
                await storage?.saveMarks(marks.all());
            }
        }
    }

    /** Adopts a new member identity, because a peer reported that this member lost state that it acknowledged. */
    rejoin(): Promise<void> {
        this.#rejoining ??= this.#adoptNewIdentity().finally(() => {
            this.#rejoining = undefined;
        });
        return this.#rejoining;
    }

    async #adoptNewIdentity(): Promise<void> {
        const state = this.#state;
        const oldMemberId = state.memberId;
        state.isIdentityVerified = false;
        state.memberId = newId();
        state.votedFor = undefined;
        state.role = state.passiveRole;
        state.log.warn("the data folder is out of date; rejoining under a new member identity", {
            oldMemberId,
            memberId: state.memberId,
        });
        state.context.timeline.record("consensus", "raft.rejoin", { oldMemberId, memberId: state.memberId });
        await state.storage?.saveIdentity({ daemonId: state.daemonId, memberId: state.memberId });
        state.saveMetadata();
        await state.metadataSaved();
        // The new identity has never voted or acknowledged anything, so it needs no verification.
        state.isIdentityVerified = true;
        state.changed.notify();
    }

    /**
     * Asks all other voters whether this member acknowledged more than its data folder holds. If some do not respond
     * within `identityCheckMs`, a majority suffices, so that one lost voter does not block a restart.
     */
    async #verifyIdentity(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        const startedAtMs = monotonicMs();
        const knownVoterIds = state.voters.map((member) => member.daemonId);
        if (knownVoterIds.length === 0 && state.term === 0 && this.#options.dynamicVoters !== undefined) {
            // A new identity has acknowledged nothing, so nothing can have been lost.
            state.isIdentityVerified = true;
            state.changed.notify();
            return;
        }
        const otherIds = (knownVoterIds.length > 0 ? knownVoterIds : this.#initialVoterIds).filter((id) =>
            id !== state.daemonId
        );
        // Responses accumulate over rounds: when all voters restart together, each is busy and may miss a round.
        const responseById = new Map<string, StatusResponse>();
        while (!signal.aborted && !state.isIdentityVerified) {
            const pendingIds = otherIds.filter((id) => !responseById.has(id));
            (await this.#requestStatus(pendingIds)).forEach(([id, response]) =>
                responseById.set(id, response)
            );
            const responses = [...responseById.values()];
            if (responses.some((response) => response.mustRejoin)) {
                await this.rejoin();
                return;
            }
            const isMajority = (responses.length + 1) * 2 > otherIds.length + 1;
            const hasTimedOut = monotonicMs() - startedAtMs >= state.timing.identityCheckMs;
            if (responses.length === otherIds.length || (isMajority && hasTimedOut)) {
                state.isIdentityVerified = true;
                state.changed.notify();
                this.#campaignAfterRestart(responses);
                return;
            }
            await sleep(IDENTITY_CHECK_RETRY_DELAY_MS, signal);
        }
    }

    /** After a restart of all voters, the responding voter with the lowest id campaigns at once. */
    #campaignAfterRestart(responses: readonly StatusResponse[]): void {
        const { memberId, isVoter, voters } = this.#state;
        const respondedMemberIds = new Set(responses.map((response) => response.memberId));
        const reachable = voters.filter((voter) =>
            voter.memberId === memberId || respondedMemberIds.has(voter.memberId)
        );
        const hasLowestId = reachable.every((voter) => memberId <= voter.memberId);
        if (isVoter && hasLowestId && responses.every(({ leaderId }) => leaderId === undefined)) {
            this.#options.onCampaignNeeded();
        }
    }

    /** Responses by daemon id, without daemons that did not respond in time. */
    async #requestStatus(daemonIds: readonly string[]): Promise<[string, StatusResponse][]> {
        const { memberId, term, entries, peers, timing } = this.#state;
        const request = { memberId, term, lastLogIndex: entries.lastIndex };
        const options = { timeoutMs: timing.callTimeoutMs };
        const responses = await Promise.all(
            daemonIds.map(async (id): Promise<[string, StatusResponse] | undefined> => {
                const response = await peers.call(id, "raft.status", request, options).catch(() => undefined);
                return response === undefined ? undefined : [id, response];
            }),
        );
        return responses.filter((response) => response !== undefined);
    }

    #handleStatus(request: Calls["raft.status"]["request"]): StatusResponse {
        const { clusterId, memberId, leaderId, marks } = this.#state;
        if (memberId === "") {
            throw new Error("the data folder is not loaded yet");
        }
        return {
            clusterExists: clusterId !== undefined,
            memberId,
            leaderId,
            mustRejoin: marks.hasRegressed(request.memberId, request.term, request.lastLogIndex),
        };
    }

    /**
     * Bootstraps a cluster if all initial voters respond and none of them belongs to one. A majority is not enough: two
     * voters with emptied disks could then bootstrap a second cluster while the third one is partitioned.
     */
    async #tryBootstrap(): Promise<boolean> {
        const state = this.#state;
        const isFirst = this.#initialVoterIds[0] === state.daemonId;
        if (!this.#options.bootstrap || !isFirst || state.clusterId !== undefined) {
            return false;
        }
        const otherIds = this.#initialVoterIds.slice(1);
        const members = await Promise.all(otherIds.map(async (daemonId): Promise<Member | undefined> => {
            const [[, response] = []] = await this.#requestStatus([daemonId]);
            return response === undefined || response.clusterExists
                ? undefined
                : { daemonId, memberId: response.memberId, voter: true };
        }));
        const eligible = members.filter((member) => member !== undefined);
        if (
            eligible.length < otherIds.length || state.clusterId !== undefined || state.entries.lastIndex > 0
        ) {
            return false;
        }
        const self: Member = { daemonId: state.daemonId, memberId: state.memberId, voter: true };
        const payload = encodeConfiguration({ clusterId: newId(), members: [self, ...eligible] });
        state.adoptTerm(1);
        await state.metadataSaved();
        await state.storeEntries([{ index: 1, term: 1, kind: "configuration", payload }]);
        state.log.info("bootstrapped a new cluster", { voters: this.#initialVoterIds });
        this.#options.onCampaignNeeded();
        return true;
    }

    async #requestJoin(): Promise<void> {
        const { daemonId, memberId, leaderId, peers, timing } = this.#state;
        const request: Member = { daemonId, memberId, voter: true };
        const knownIds = this.#state.voters.map((voter) => voter.daemonId);
        const candidates = [...new Set([leaderId, ...knownIds, ...this.#initialVoterIds])].filter((id) =>
            id !== undefined
        );
        for (const id of candidates.filter((candidate) => candidate !== daemonId)) {
            const response = await peers.call(id, "raft.joinAs", request, { timeoutMs: timing.callTimeoutMs })
                .catch(() => undefined);
            if (response?.ok) {
                return;
            }
        }
    }

    /**
     * On the leader: starts replication to the member and, once it has caught up, makes it a voter in place of its old
     * identity. The member repeats its request until then.
     */
    #handleJoin(member: Member, from: string): Calls["raft.joinAs"]["response"] {
        const state = this.#state;
        const { leaderId } = state;
        if (!state.isLeader) {
            return { ok: false, leaderId, reason: "this daemon is not the leader" };
        }
        const isAllowed = this.#options.dynamicVoters !== undefined
            || this.#initialVoterIds.includes(member.daemonId);
        if (from !== member.daemonId || !isAllowed) {
            return {
                ok: false,
                leaderId,
                reason: `daemon ${member.daemonId} is not a voter in the settings`,
            };
        }
        if (state.voters.some((voter) => voter.memberId === member.memberId)) {
            return { ok: true };
        }
        this.#joinRequests.set(member.daemonId, { member, requestedAtMs: monotonicMs() });
        state.changed.notify();
        this.#proposeVoterChange(member);
        return { ok: true };
    }

    /**
     * Makes the member a voter or, if another voter has to leave first, removes that one. Does nothing before the member
     * has caught up and the previous change is committed.
     */
    #proposeVoterChange(member: Member): void {
        const state = this.#state;
        const { configurations, entries, commitIndex } = state;
        const lagEntries = entries.lastIndex - this.#options.replication.matchIndexOf(member.memberId);
        // A leader may change voters only after it has committed an entry of its own term and the previous change.
        const canChangeVoters = entries.termAt(commitIndex) === state.term
            && configurations.currentIndex <= commitIndex;
        if (!canChangeVoters || lagEntries > MAX_JOIN_LAG_ENTRIES) {
            return;
        }
        const { clusterId, members } = configurations.current;
        const voterToRemove = this.#findVoterToRemove(member);
        if (voterToRemove === undefined && !this.#canAddVoter(member)) {
            return;
        }
        const next = voterToRemove === undefined
            ? [...members.filter(({ daemonId }) => daemonId !== member.daemonId), member]
            : members.filter((other) => other !== voterToRemove);
        const payload = encodeConfiguration({ clusterId, members: next });
        state.log.info("changing the voters", { voters: next.map(({ daemonId }) => daemonId) });
        if (voterToRemove === undefined) {
            this.#joinRequests.delete(member.daemonId);
        }
        this.#options.replication.append("configuration", payload).catch(() => undefined);
    }

    /** Voter that has to be removed before `joining` can become a voter. */
    #findVoterToRemove(joining: Member): Member | undefined {
        const { members } = this.#state.configurations.current;
        const { dynamicVoters } = this.#options;
        if (dynamicVoters === undefined) {
            return members.find(({ daemonId }) => !this.#initialVoterIds.includes(daemonId));
        }
        const isReturning = members.some(({ daemonId }) => daemonId === joining.daemonId);
        if (isReturning || members.length < dynamicVoters.targetCount) {
            return undefined;
        }
        const { replication } = this.#options;
        const { otherVoters, timing } = this.#state;
        const lostVoter = otherVoters.find(({ memberId }) =>
            replication.timeSinceWritableMs(memberId) >= dynamicVoters.replaceLostAfterMs
        );
        // The remaining voters have to commit the change; if there are only two, both must respond.
        const othersRespond = otherVoters.every((voter) =>
            voter === lostVoter || replication.timeSinceWritableMs(voter.memberId) < timing.electionTimeoutMs
        );
        return othersRespond ? lostVoter : undefined;
    }

    #canAddVoter(joining: Member): boolean {
        const { members } = this.#state.configurations.current;
        const { dynamicVoters } = this.#options;
        return dynamicVoters === undefined || members.length < dynamicVoters.targetCount
            || members.some(({ daemonId }) => daemonId === joining.daemonId);
    }
}
