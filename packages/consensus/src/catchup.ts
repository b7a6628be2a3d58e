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
 * Determines when a daemon has caught up after its start and may serve its state. The target is the leader's commit
 * index. If no leader answers for `zoneFallbackMs`, for example because the zone is partitioned, the daemon catches up
 * with its own zone instead: with the zone's voter or, in a zone without one, with the daemons that have caught up.
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

    /** Returns once this daemon has caught up, or when `signal` aborts. */
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

    /** Upper bound of what this zone has served: a voter's commit index, or what caught-up daemons have applied. */
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
        const appliedIndexes = responses.filter((response) => response?.isCurrent).map((response) =>
            response?.appliedIndex ?? 0
        );
        return appliedIndexes.length > 0 ? Math.max(...appliedIndexes) : undefined;
    }
}
