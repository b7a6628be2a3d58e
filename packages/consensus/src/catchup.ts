import { monotonicMs, sleep } from "@greengage/base";
import type { ConfiguredDaemon } from "./learner.ts";
import type { Proposals } from "./proposals.ts";
import type { RaftState } from "./state.ts";

const RETRY_MS = 100;
const ASK_LEADER_MS = 500;

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
            await this.#waitFor(waitForIndex, waitMs);
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
            const index = await this.#leaderIndex() ?? (mayFallBack ? await this.#zoneIndex() : undefined);
            if (index !== undefined) {
                await this.#waitFor(index, Infinity);
                this.#isCurrent = true;
                state.changed.notify();
                return;
            }
            await sleep(RETRY_MS, signal);
        }
    }

    async #waitFor(index: number, waitMs: number): Promise<void> {
        const state = this.#state;
        const untilMs = monotonicMs() + waitMs;
        while (state.appliedIndex < index && monotonicMs() < untilMs && !state.lifecycle.isClosed) {
            await state.changed.wait(Math.min(1_000, untilMs - monotonicMs()));
        }
    }

    async #leaderIndex(): Promise<number | undefined> {
        return await this.#options.proposals.readBarrier({ timeoutMs: ASK_LEADER_MS }).catch(() => undefined);
    }

    /** What this daemon's zone has served at the most: a voter's disk, or what its current daemons have applied. */
    async #zoneIndex(): Promise<number | undefined> {
        const state = this.#state;
        if (state.isVoter) {
            return state.commitIndex;
        }
        const { daemons } = this.#options;
        const zone = daemons.find((daemon) => daemon.daemonId === state.daemonId)?.zone;
        const neighbours = daemons.filter((daemon) =>
            daemon.zone === zone && daemon.daemonId !== state.daemonId
        );
        const voters = neighbours.filter((daemon) => daemon.voter);
        const answers = await Promise.all(
            (voters.length > 0 ? voters : neighbours).map(({ daemonId }) =>
                state.peers.call(daemonId, "raft.applied", { waitForIndex: 0, waitMs: 0 }, {
                    timeoutMs: state.timing.callTimeoutMs,
                }).catch(() => undefined)
            ),
        );
        const current = answers.filter((answer) => answer?.isCurrent).map((answer) =>
            answer?.appliedIndex ?? 0
        );
        return current.length > 0 ? Math.max(...current) : undefined;
    }
}
