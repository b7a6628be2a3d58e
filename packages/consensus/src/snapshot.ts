import type { Member, SnapshotRequest } from "@greengage/protocol";
import { notCommittedError } from "./errors.ts";
import type { Follower } from "./follower.ts";
import type { StateMachine } from "./replicatedlog.ts";
import type { RaftState } from "./state.ts";
import type { StoredSnapshot } from "./storage.ts";
import { SNAPSHOT_CHUNK_BYTES } from "./timing.ts";

/** Takes snapshots of the applied state. Reuses the latest one until another entry is applied. */
export class SnapshotSource {
    readonly #state: RaftState;
    readonly #machine: StateMachine;
    #latest: StoredSnapshot | undefined;

    constructor(state: RaftState, machine: StateMachine) {
        this.#state = state;
        this.#machine = machine;
    }

    take(): StoredSnapshot {
        const { appliedIndex, entries, configurations } = this.#state;
        if (this.#latest?.lastIndex !== appliedIndex) {
            this.#latest = {
                lastIndex: appliedIndex,
                lastTerm: entries.termAt(appliedIndex) ?? 0,
                configuration: configurations.payloadAt(appliedIndex),
                data: this.#machine.snapshot(),
            };
        }
        return this.#latest;
    }
}

/** Sends snapshots to members that need entries which are no longer in the log. */
export class SnapshotSender {
    readonly #state: RaftState;
    readonly #source: SnapshotSource;

    constructor(state: RaftState, source: SnapshotSource) {
        this.#state = state;
        this.#source = source;
    }

    /** Sends a snapshot in chunks. Returns the index of its last entry. Throws if the member rejects a chunk. */
    async send(member: Member, term: number): Promise<number> {
        const state = this.#state;
        const { lastIndex, lastTerm, configuration, data } = this.#source.take();
        let offsetBytes = 0;
        let done = false;
        while (!done && state.isLeaderOf(term)) {
            const chunk = data.subarray(offsetBytes, offsetBytes + SNAPSHOT_CHUNK_BYTES);
            done = offsetBytes + chunk.length >= data.length;
            const request: SnapshotRequest = {
                term,
                leaderId: state.daemonId,
                targetMemberId: member.memberId,
                lastIndex,
                lastTerm,
                configuration,
                offsetBytes,
                chunk,
                done,
            };
            const response = await state.peers.call(member.daemonId, "raft.snapshot", request, {
                timeoutMs: 10 * state.timing.callTimeoutMs,
            });
            if (!response.success || response.memberId !== member.memberId) {
                throw notCommittedError(`member ${member.daemonId} rejected the snapshot`);
            }
            offsetBytes += chunk.length;
        }
        return lastIndex;
    }
}

/** Receives snapshots from the leader, and replaces the log and the state machine's state with them. */
export class SnapshotReceiver {
    readonly #state: RaftState;
    readonly #machine: StateMachine;
    readonly #follower: Follower;
    #chunks: Uint8Array[] = [];
    #transferKey = "";
    #receivedBytes = 0;

    constructor(state: RaftState, machine: StateMachine, follower: Follower) {
        this.#state = state;
        this.#machine = machine;
        this.#follower = follower;
        state.peers.handle("raft.snapshot", async (request) => {
            const isFollowing = await follower.follow(request.term, request.leaderId, request.targetMemberId);
            if (!isFollowing || state.isDiskFull || !this.#appendChunk(request)) {
                return follower.rejection();
            }
            if (request.done) {
                await this.#install(request);
            }
            return { ...this.#follower.rejection(request.lastIndex), success: true };
        });
    }

    /** Appends a chunk. Returns false if it does not follow the chunks received so far. */
    #appendChunk(request: SnapshotRequest): boolean {
        const key = `${request.term}/${request.leaderId}/${request.lastIndex}`;
        if (request.offsetBytes === 0) {
            this.#chunks = [];
            this.#transferKey = key;
            this.#receivedBytes = 0;
        }
        if (this.#transferKey !== key || this.#receivedBytes !== request.offsetBytes) {
            return false;
        }
        this.#chunks.push(request.chunk);
        this.#receivedBytes += request.chunk.length;
        return true;
    }

    async #install(request: SnapshotRequest): Promise<void> {
        const state = this.#state;
        const { lastIndex, lastTerm, configuration } = request;
        const data = Buffer.concat(this.#chunks);
        this.#chunks = [];
        this.#transferKey = "";
        if (lastIndex <= state.commitIndex) {
            return;
        }
        // Save the snapshot before the log: a log that starts after missing entries can't be loaded without it.
        await state.storage?.saveSnapshot({ lastIndex, lastTerm, configuration, data });
        if (lastIndex <= state.appliedIndex) {
            return;
        }
        if (state.entries.termAt(lastIndex) !== lastTerm) {
            state.entries.reset(lastIndex, lastTerm);
            void state.storage?.append({ kind: "base", index: lastIndex, term: lastTerm });
        }
        state.configurations.reset(lastIndex, configuration, state.entries);
        if (!state.isLeader) {
            state.role = state.passiveRole;
        }
        this.#machine.restore(data);
        state.appliedIndex = lastIndex;
        state.advanceCommitIndex(lastIndex);
        state.changed.notify();
        await state.storage?.append({ kind: "commit", index: lastIndex });
        state.durableCommitIndex = Math.max(state.durableCommitIndex, lastIndex);
        state.log.info(`installed a snapshot up to entry ${lastIndex}`);
    }
}
