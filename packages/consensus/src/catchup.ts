import { monotonicMs, sleep } from "@greengage/base";
import type { ConfiguredDaemon } from "./learner.ts";
import type { Proposals } from "./proposals.ts";
import type { RaftState } from "./state.ts";

const RETRY_DELAY_MS = 100;
const LEADER_TIMEOUT_MS = 500;

export interface CatchUpCheckOptions {
    state: RaftState;
    proposals: Proposals;
    daemons: readonly ConfiguredDaemon[];
}

/**
 * Finds out whether a daemon that has just started holds what may be served. It asks the leader; when there is none
 * for a while, because the zone is partitioned, what the zone's voter has committed is enough.
 */
export class CatchUpCheck {
    readonly #options: CatchUpCheckOptions;
    readonly #state: RaftState;
    #isCurrent = false;

    constructor(options: CatchUpCheckOptions) {
        this.#options = options;
        this.#state = options.state;
        this.#state.peers.handle("raft.applied", async ({ waitForIndex, waitMs }) => {
            await this.#waitForApplied(waitForIndex, waitMs);
            return { appliedIndex: this.#state.appliedIndex, isCurrent: this.#isCurrent };
        });
    }

    get isCurrent(): boolean {
        return this.#isCurrent;
    }

    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        const startedAtMs = monotonicMs();
        while (!signal.aborted) {
            const mayFallBack = monotonicMs() - startedAtMs >= state.timing.zoneFallbackMs;
            const index = await this.#leaderCommitIndex()
                ?? (mayFallBack ? await this.#highestZoneIndex() : undefined);
            if (index !== undefined) {
                await this.#waitForApplied(index, Infinity);
                this.#isCurrent = true;
                state.changed.notify();
                return;
            }
            await sleep(RETRY_DELAY_MS, signal);
        }
    }

    async #waitForApplied(index: number, waitMs: number): Promise<void> {
        const state = this.#state;
        const deadlineMs = monotonicMs() + waitMs;
        while (state.appliedIndex < index && monotonicMs() < deadlineMs && !state.lifecycle.isClosed) {
            await state.changed.wait(Math.min(1_000, deadlineMs - monotonicMs()));
        }
    }

    async #leaderCommitIndex(): Promise<number | undefined> {
        return await this.#options.proposals.readBarrier({ timeoutMs: LEADER_TIMEOUT_MS }).catch(() =>
            undefined
        );
    }

    /** What this daemon's zone has served at the most: a voter's disk, or what its current daemons have applied. */
    async #highestZoneIndex(): Promise<number | undefined> {
        const state = this.#state;
        if (state.isVoter) {
            return state.commitIndex;
        }
        const { daemons } = this.#options;
        const zone = daemons.find((daemon) => daemon.daemonId === state.daemonId)?.zone;
        const zonePeers = daemons.filter((daemon) =>
            daemon.zone === zone && daemon.daemonId !== state.daemonId
        );
        const voters = zonePeers.filter((daemon) => daemon.voter);
        const responses = await Promise.all(
            (voters.length > 0 ? voters : zonePeers).map(({ daemonId }) =>
                state.peers.call(daemonId, "raft.applied", { waitForIndex: 0, waitMs: 0 }, {
                    timeoutMs: state.timing.callTimeoutMs,
                }).catch(() => undefined)
            ),
        );
        const appliedIndexes = responses.filter((answer) => answer?.isCurrent).map((answer) =>
            answer?.appliedIndex ?? 0
        );
        return appliedIndexes.length > 0 ? Math.max(...appliedIndexes) : undefined;
    }
}
