import { type Context, Lifecycle, type Log, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { OutcomeCommand, OutcomeResult } from "./commands.ts";

const PROPOSE_TIMEOUT_MS = 2_000;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
/** A daemon that stops tries for this long; then an operator settles the record. */
const CLOSE_TIMEOUT_MS = 5_000;

/** Records outcomes of actions. An outcome that can't be recorded now is kept and tried again until it is. */
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

    /** Outcomes that are not recorded yet. */
    get pendingCount(): number {
        return this.#pending.size;
    }

    /** Resolves with the result, or with undefined after `waitMs`; then the recording goes on behind it. */
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
            this.#log.warn(`stopped with ${this.#pending.size} outcomes of actions that are not recorded`);
        }
        await this.#lifecycle.close();
    }

    async #proposeUntilRecorded(command: OutcomeCommand): Promise<OutcomeResult | undefined> {
        let retryDelayMs = FIRST_RETRY_DELAY_MS;
        while (!this.#lifecycle.isClosed && monotonicMs() < this.#giveUpAtMs) {
            try {
                // A repeated outcome of the same attempt changes nothing.
                const { result } = await this.#replicatedLog.propose(command, {
                    timeoutMs: PROPOSE_TIMEOUT_MS,
                });
                return result as OutcomeResult;
            }
            catch (error) {
                this.#log.warn("could not record the outcome of an action, trying again", {
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
