import { monotonicMs, newId, sleep } from "@greengage/base";
import type { Calls, Member } from "@greengage/protocol";
import { encodeConfiguration } from "./configuration.ts";
import type { ConfiguredDaemon } from "./learner.ts";
import type { Replication } from "./replication.ts";
import type { RaftState } from "./state.ts";

const JOIN_RETRY_DELAY_MS = 250;
const JOIN_REQUEST_TTL_MS = 5_000;
const IDENTITY_CHECK_RETRY_DELAY_MS = 100;
const MARKS_SAVE_INTERVAL_MS = 1_000;
/** A voter without a leader for this many election timeouts asks whether it is still a voter. */
const REJOIN_AFTER_ELECTION_TIMEOUTS = 3;
/** A joining member becomes a voter when it lacks no more than this many entries. */
const MAX_JOIN_LAG_ENTRIES = 64;

type StatusResponse = Calls["raft.status"]["response"];

/** How voters are chosen where the settings don't list them. */
export interface DynamicVoters {
    /** Daemons that found the cluster at the first start, and that a daemon without members asks to join. */
    seedIds: () => readonly string[];
    /** The cluster grows to this many voters; further daemons wait to replace a lost one. */
    targetCount: number;
    /** A voter that has not answered for this long gives its vote to a daemon that waits. */
    replaceLostAfterMs: number;
}

export interface ClusterMembershipOptions {
    state: RaftState;
    replication: Replication;
    daemons: readonly ConfiguredDaemon[];
    /** Set where the settings don't list the voters. */
    dynamicVoters?: DynamicVoters;
    /** Whether this daemon may found a cluster together with the other voters of the settings. */
    bootstrap: boolean;
    /** Called when this daemon should campaign at once: no other voter does, and there is no leader. */
    onCampaignNeeded: () => void;
}

/** Identity of this member: check-in after a start, first start, joining, and replacement of voters. */
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

    /** Daemons that found a cluster and that can be asked to join one. */
    get #initialVoterIds(): string[] {
        const { dynamicVoters } = this.#options;
        return dynamicVoters === undefined ? this.#configuredVoterIds : [...dynamicVoters.seedIds()].sort();
    }

    /** Members that asked to join lately. */
    joiningMembers(): Member[] {
        const oldestMs = monotonicMs() - JOIN_REQUEST_TTL_MS;
        return [...this.#joinRequests.values()].filter(({ requestedAtMs: askedAtMs }) =>
            askedAtMs >= oldestMs
        )
            .map(({ member }) => member);
    }

    /** Task that checks in, and then makes this daemon a voter if it is none. */
    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        await this.#verifyIdentity(signal);
        let warnedAtMs = monotonicMs();
        while (!signal.aborted) {
            if (this.#shouldJoin() && !await this.#tryBootstrap()) {
                await this.#requestJoin();
                if (monotonicMs() - warnedAtMs > 5_000) {
                    warnedAtMs = monotonicMs();
                    state.log.warn("this daemon is no voter yet: no leader has accepted it");
                }
            }
            await sleep(JOIN_RETRY_DELAY_MS, signal);
        }
    }

    /** A voter that was replaced while it was cut off learns of it from the leader that it asks to join. */
    #shouldJoin(): boolean {
        const { isVoter, timing } = this.#state;
        const mayBeReplaced = this.#options.dynamicVoters !== undefined
            && this.#state.leaderContactAgeMs() > REJOIN_AFTER_ELECTION_TIMEOUTS * timing.electionTimeoutMs;
        return !isVoter || mayBeReplaced;
    }

    /** Task that keeps what the other members have acknowledged on the disk. */
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

    /** Gives up the member identity: a peer knows that the files are older than what the identity acknowledged. */
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
        state.log.warn("the data folder is an older copy; this daemon rejoins under a new member identity", {
            oldMemberId,
            memberId: state.memberId,
        });
        state.context.timeline.record("consensus", "raft.rejoin", { oldMemberId, memberId: state.memberId });
        await state.storage?.saveIdentity({ daemonId: state.daemonId, memberId: state.memberId });
        state.saveMetadata();
        await state.metadataSaved();
        // The new identity has never voted or acknowledged anything.
        state.isIdentityVerified = true;
        state.changed.notify();
    }

    /**
     * Asks all other voters whether they know this member with newer files. A majority is enough when the others do
     * not answer in time, so that one lost voter does not block a restart.
     */
    async #verifyIdentity(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        const startedAtMs = monotonicMs();
        const knownVoterIds = state.voters.map((member) => member.daemonId);
        if (knownVoterIds.length === 0 && state.term === 0 && this.#options.dynamicVoters !== undefined) {
            // A new identity has acknowledged nothing that its files could lack.
            state.isIdentityVerified = true;
            state.changed.notify();
            return;
        }
        const otherIds = (knownVoterIds.length > 0 ? knownVoterIds : this.#initialVoterIds).filter((id) =>
            id !== state.daemonId
        );
        // After a restart of all voters each of them is busy, so a single round rarely gets every answer in time.
        const responseById = new Map<string, StatusResponse>();
        while (!signal.aborted && !state.isIdentityVerified) {
            const unansweredIds = otherIds.filter((id) => !responseById.has(id));
            (await this.#requestStatus(unansweredIds)).forEach(([id, answer]) =>
                responseById.set(id, answer)
            );
            const responses = [...responseById.values()];
            if (responses.some((answer) => answer.mustRejoin)) {
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

    /** After a restart of all voters, the first of those that answer campaigns without the election timeout. */
    #campaignAfterRestart(responses: readonly StatusResponse[]): void {
        const { memberId, isVoter, voters } = this.#state;
        const respondedMemberIds = new Set(responses.map((answer) => answer.memberId));
        const reachable = voters.filter((voter) =>
            voter.memberId === memberId || respondedMemberIds.has(voter.memberId)
        );
        const isFirst = reachable.every((voter) => memberId <= voter.memberId);
        if (isVoter && isFirst && responses.every(({ leaderId }) => leaderId === undefined)) {
            this.#options.onCampaignNeeded();
        }
    }

    /** Answers by daemon. Those that don't answer in time are left out. */
    async #requestStatus(daemonIds: readonly string[]): Promise<[string, StatusResponse][]> {
        const { memberId, term, entries, peers, timing } = this.#state;
        const request = { memberId, term, lastLogIndex: entries.lastIndex };
        const options = { timeoutMs: timing.callTimeoutMs };
        const responses = await Promise.all(
            daemonIds.map(async (id): Promise<[string, StatusResponse] | undefined> => {
                const answer = await peers.call(id, "raft.status", request, options).catch(() => undefined);
                return answer === undefined ? undefined : [id, answer];
            }),
        );
        return responses.filter((answer) => answer !== undefined);
    }

    #handleStatus(request: Calls["raft.status"]["request"]): StatusResponse {
        const { clusterId, memberId, leaderId, marks } = this.#state;
        if (memberId === "") {
            throw new Error("the data folder has not been read yet");
        }
        return {
            clusterExists: clusterId !== undefined,
            memberId,
            leaderId,
            mustRejoin: marks.hasRegressed(request.memberId, request.term, request.lastLogIndex),
        };
    }

    /**
     * Founds a cluster if all voters of the settings answer and none of them knows one. A majority would not do: two
     * emptied disks would then found a second cluster while the third voter is cut off.
     */
    async #tryBootstrap(): Promise<boolean> {
        const state = this.#state;
        const isFirst = this.#initialVoterIds[0] === state.daemonId;
        if (!this.#options.bootstrap || !isFirst || state.clusterId !== undefined) {
            return false;
        }
        const otherIds = this.#initialVoterIds.slice(1);
        const members = await Promise.all(otherIds.map(async (daemonId): Promise<Member | undefined> => {
            const [[, answer] = []] = await this.#requestStatus([daemonId]);
            return answer === undefined || answer.clusterExists
                ? undefined
                : { daemonId, memberId: answer.memberId, voter: true };
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
        state.log.info("founded a cluster", { voters: this.#initialVoterIds });
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
            const answer = await peers.call(id, "raft.joinAs", request, { timeoutMs: timing.callTimeoutMs })
                .catch(() => undefined);
            if (answer?.ok) {
                return;
            }
        }
    }

    /** On the leader: lets a member catch up, then makes it a voter in place of its daemon's old identity. */
    #handleJoin(member: Member, from: string): Calls["raft.joinAs"]["response"] {
        const state = this.#state;
        const { leaderId } = state;
        if (!state.isLeader) {
            return { ok: false, leaderId, reason: "this daemon is not the leader" };
        }
        const isAllowed = this.#options.dynamicVoters !== undefined
            || this.#initialVoterIds.includes(member.daemonId);
        if (from !== member.daemonId || !isAllowed) {
            return { ok: false, leaderId, reason: `daemon ${member.daemonId} is no voter in the settings` };
        }
        if (state.voters.some((voter) => voter.memberId === member.memberId)) {
            return { ok: true };
        }
        this.#joinRequests.set(member.daemonId, { member, requestedAtMs: monotonicMs() });
        state.changed.notify();
        this.#proposeVoterChange(member);
        return { ok: true };
    }

    /** Appends the next configuration, one change at a time, as soon as the member has caught up. */
    #proposeVoterChange(member: Member): void {
        const state = this.#state;
        const { configurations, entries, commitIndex } = state;
        const lagEntries = entries.lastIndex - this.#options.replication.matchIndexOf(member.memberId);
        // A leader may change the voters only after an entry of its own term and the last change are committed.
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
        state.log.info("the voters change", { voters: next.map(({ daemonId }) => daemonId) });
        if (voterToRemove === undefined) {
            this.#joinRequests.delete(member.daemonId);
        }
        this.#options.replication.append("configuration", payload).catch(() => undefined);
    }

    /** Voter that must go before `joining` can become one. */
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
            replication.timeSinceResponseMs(memberId) >= dynamicVoters.replaceLostAfterMs
        );
        // The smaller cluster commits the change with all of its voters if there are two of them.
        const othersRespond = otherVoters.every((voter) =>
            voter === lostVoter || replication.timeSinceResponseMs(voter.memberId) < timing.electionTimeoutMs
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
