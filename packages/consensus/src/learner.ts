import { messageOf, monotonicMs, sleep } from "@greengage/base";
import type { LearnerFetchResponse } from "@greengage/protocol";
import type { StateMachine } from "./replicatedlog.ts";
import type { SnapshotSource } from "./snapshot.ts";
import type { RaftState } from "./state.ts";
import { MAX_BATCH_BYTES } from "./timing.ts";

/** How long a parent waits for new entries before it responds to a fetch. */
const FETCH_WAIT_MS = 500;
const RETRY_DELAY_MS = 100;
const TREE_DEGREE = 8;
/** Delay before a learner returns from another parent to its nearest one. */
const NEAREST_PARENT_RETRY_MS = 5_000;
/** A learner switches parents when its parent has had no contact with the leader for this long. */
const PARENT_STALE_AFTER_MS = 1_500;

/** A daemon as listed in the settings. */
export interface ConfiguredDaemon {
    daemonId: string;
    zone: string;
    voter: boolean;
}

/**
 * Daemons that a learner may fetch entries from, nearest first: its ancestors in the zone's tree, which has degree 8
 * and the zone's voter as its root, and then the voters of all zones.
 */
export const parentCandidates = (daemonId: string, daemons: readonly ConfiguredDaemon[]): string[] => {
    const self = daemons.find((daemon) => daemon.daemonId === daemonId);
    const inZone = daemons.filter((daemon) => daemon.zone === self?.zone);
    const tree = [...inZone.filter((daemon) => daemon.voter), ...inZone.filter((daemon) => !daemon.voter)];
    const parents: string[] = [];
    let position = tree.findIndex((daemon) => daemon.daemonId === daemonId);
    while (position > 0) {
        position = Math.floor((position - 1) / TREE_DEGREE);
        parents.push(tree[position]?.daemonId ?? "");
    }
    const voters = daemons.filter((daemon) => daemon.voter && daemon.daemonId !== daemonId);
    return [...new Set([...parents, ...voters.map((daemon) => daemon.daemonId)])];
};

export interface LearnerOptions {
    state: RaftState;
    machine: StateMachine;
    snapshots: SnapshotSource;
    daemons: readonly ConfiguredDaemon[];
}

/** Fetches committed entries from a parent daemon, and serves applied entries to other learners. */
export class Learner {
    readonly #state: RaftState;
    readonly #options: LearnerOptions;
    readonly #parentIds: string[];
    #parentPosition = 0;
    #leftNearestAtMs = 0;

    constructor(options: LearnerOptions) {
        this.#options = options;
        this.#state = options.state;
        this.#parentIds = parentCandidates(this.#state.daemonId, options.daemons);
        this.#state.peers.handle("learner.fetch", (request) => this.#handleFetch(request));
    }

    get parentId(): string | undefined {
        return this.#parentIds[this.#parentPosition];
    }

    /** Fetches entries until `signal` aborts. Runs on daemons without a data folder. */
    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        while (!signal.aborted) {
            const { parentId } = this;
            if (parentId === undefined) {
                return;
            }
            try {
                await this.#fetchFrom(parentId);
            }
            catch (error) {
                state.log.debug(`failed to fetch entries from ${parentId}`, { reason: messageOf(error) });
                this.#switchParent();
                await sleep(RETRY_DELAY_MS, signal);
            }
        }
    }

    async #fetchFrom(parentId: string): Promise<void> {
        const state = this.#state;
        const request = { fromIndex: state.entries.lastIndex + 1, waitMs: FETCH_WAIT_MS };
        const response = await state.peers.call(parentId, "learner.fetch", request, {
            timeoutMs: FETCH_WAIT_MS + state.timing.callTimeoutMs,
        });
        if (response.clusterId === undefined || !this.#isOwnCluster(parentId, response.clusterId)) {
            this.#switchParent();
            await sleep(RETRY_DELAY_MS, state.lifecycle.signal);
            return;
        }
        this.#applyResponse(response);
        if (
            response.leaderContactAgeMs === undefined || response.leaderContactAgeMs > PARENT_STALE_AFTER_MS
        ) {
            this.#switchParent();
            return;
        }
        if (this.#parentPosition > 0 && monotonicMs() - this.#leftNearestAtMs > NEAREST_PARENT_RETRY_MS) {
            this.#parentPosition = 0;
        }
    }

    #isOwnCluster(parentId: string, clusterId: string): boolean {
        const state = this.#state;
        state.learnedClusterId ??= clusterId;
        if (state.learnedClusterId === clusterId) {
            return true;
        }
        state.log.error(`daemon ${parentId} belongs to another cluster; ignoring its entries`);
        return false;
    }

    #applyResponse(response: LearnerFetchResponse): void {
        const state = this.#state;
        const { snapshot, entries, leaderId, leaderContactAgeMs } = response;
        if (snapshot !== undefined && snapshot.lastIndex > state.entries.lastIndex) {
            this.#options.machine.restore(snapshot.data);
            state.entries.reset(snapshot.lastIndex, snapshot.lastTerm);
            state.appliedIndex = snapshot.lastIndex;
        }
        const newEntries = entries.filter((entry) => entry.index > state.entries.lastIndex);
        state.entries.truncateAndAppend(newEntries);
        if (leaderId !== undefined) {
            state.leaderId = leaderId;
        }
        if (leaderContactAgeMs !== undefined) {
            state.recordLeaderContact(leaderContactAgeMs);
        }
        state.advanceCommitIndex(state.entries.lastIndex);
    }

    #switchParent(): void {
        if (this.#parentPosition === 0) {
            this.#leftNearestAtMs = monotonicMs();
        }
        this.#parentPosition = (this.#parentPosition + 1) % this.#parentIds.length;
    }

    async #handleFetch(request: { fromIndex: number; waitMs: number; }): Promise<LearnerFetchResponse> {
        const state = this.#state;
        const deadlineMs = monotonicMs() + Math.min(request.waitMs, 10 * FETCH_WAIT_MS);
        while (
            state.appliedIndex < request.fromIndex && monotonicMs() < deadlineMs && !state.lifecycle.isClosed
        ) {
            await state.changed.wait(deadlineMs - monotonicMs());
        }
        const { appliedIndex, clusterId, leaderId } = state;
        const ageMs = state.passedOnStateAgeMs();
        const leaderContactAgeMs = Number.isFinite(ageMs) ? ageMs : undefined;
        const commonFields = { clusterId, commitIndex: appliedIndex, leaderId, leaderContactAgeMs };
        if (request.fromIndex <= state.entries.baseIndex) {
            const { lastIndex, lastTerm, data } = this.#options.snapshots.take();
            return { ...commonFields, snapshot: { lastIndex, lastTerm, data }, entries: [] };
        }
        const entries = state.entries.slice(request.fromIndex, appliedIndex, MAX_BATCH_BYTES);
        return { ...commonFields, entries };
    }
}
