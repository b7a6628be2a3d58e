import { type Context, Lifecycle, type Log, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { OutcomeCommand, OutcomeResult } from "./commands.ts";

const PROPOSE_TIMEOUT_MS = 2_000;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
/** How long a stopping daemon retries. An operator must settle outcomes that remain unrecorded. */
const CLOSE_TIMEOUT_MS = 5_000;

/** Records outcomes of actions in the replicated log and retries until each one is recorded. */
export class OutcomeRecorder {
    readonly #context: Context;
    readonly #replicatedLog: ReplicatedLog;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #pending = new Map<string, Promise<OutcomeResult | undefined>>();
    #giveUpAtMs = Infinity;

    constructor(context: Context, replicatedLog: ReplicatedLog) {
        this.#context = context;
        this.#replicatedLog = replicatedLog;
        this.#log = context.logs(LogPart.Actions);
    }

    /** Number of outcomes that are not recorded yet. */
    get pendingCount(): number {
        return this.#pending.size;
    }

    /** Resolves with the result, or with undefined after `waitMs`. Recording then continues in the background. */
    async record(command: OutcomeCommand, waitMs: number): Promise<OutcomeResult | undefined> {
        const recording = this.#proposeUntilRecorded(command).finally(() => {
            this.#pending.delete(command.attemptId);
            this.#updateGauge();
        });
        this.#pending.set(command.attemptId, recording);
        this.#updateGauge();
        return await withTimeout(recording, waitMs);
    }

    async close(): Promise<void> {
        this.#giveUpAtMs = monotonicMs() + CLOSE_TIMEOUT_MS;
        await withTimeout(Promise.all(this.#pending.values()), CLOSE_TIMEOUT_MS);
        if (this.#pending.size > 0) {
            this.#log.warn(`closed with ${this.#pending.size} action outcomes not recorded`);
        }
        await this.#lifecycle.close();
    }

    async #proposeUntilRecorded(command: OutcomeCommand): Promise<OutcomeResult | undefined> {
        let retryDelayMs = FIRST_RETRY_DELAY_MS;
        while (!this.#lifecycle.isClosed && monotonicMs() < this.#giveUpAtMs) {
            try {
                // Idempotent: a repeated outcome of the same attempt has no effect.
                const { result } = await this.#replicatedLog.propose(command, {
                    timeoutMs: PROPOSE_TIMEOUT_MS,
                });
                return result as OutcomeResult;
            }
            catch (error) {
                this.#log.warn("failed to record the outcome of an action; retrying", {
                    key: command.key,
                    attemptId: command.attemptId,
                    reason: messageOf(error),
                });
            }
            await sleep(retryDelayMs, this.#lifecycle.signal);
            retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
        }
        return undefined;
    }

    #updateGauge(): void {
        this.#context.metrics.gauge("actions.unrecorded", this.#pending.size);
    }
}

const withTimeout = async <T>(promise: Promise<T>, timeoutMs: number): Promise<T | undefined> => {
    const timeout = new AbortController();
    try {
        return await Promise.race([promise, sleep(timeoutMs, timeout.signal).then(() => undefined)]);
    }
    finally {
        timeout.abort();
    }
};
