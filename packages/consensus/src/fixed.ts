import {
    ErrorCode,
    GreengageError,
    Lifecycle,
    messageOf,
    monotonicMs,
    sleep,
    Verdict,
} from "@greengage/base";
import { decode, encode, type LogEntry, type Peers } from "@greengage/protocol";
import type { Command, LogStatus, ReplicatedLog, StateMachine, TimeoutOptions } from "./log.ts";

const FETCH_WAIT_MS = 500;
const RETRY_DELAY_MS = 100;

export interface FixedLeaderLogOptions {
    peers: Peers;
    machine: StateMachine;
    leaderId: string;
}

/** First version of the log: one fixed leader in memory, the other daemons are learners. Replaced by Raft. */
export class FixedLeaderLog implements ReplicatedLog {
    readonly #peers: Peers;
    readonly #machine: StateMachine;
    readonly #leaderId: string;
    readonly #lifecycle = new Lifecycle();
    readonly #entries: LogEntry[] = [];
    #waiters: (() => void)[] = [];

    constructor(options: FixedLeaderLogOptions) {
        this.#peers = options.peers;
        this.#machine = options.machine;
        this.#leaderId = options.leaderId;
        this.#peers.handle("raft.propose", (request) => ({ ok: true, ...this.#append(request.command) }));
        this.#peers.handle("raft.readIndex", () => ({ ok: true, index: this.appliedIndex }));
        this.#peers.handle("learner.fetch", async (request) => {
            if (this.appliedIndex < request.fromIndex) {
                await this.#waitForChange(request.waitMs);
            }
            return { commitIndex: this.appliedIndex, entries: this.#entries.slice(request.fromIndex - 1) };
        });
    }

    get appliedIndex(): number {
        return this.#entries.length;
    }

    get #isLeader(): boolean {
        return this.#peers.daemonId === this.#leaderId;
    }

    start(): void {
        if (!this.#isLeader) {
            this.#lifecycle.run((signal) => this.#follow(signal), () => undefined);
        }
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    async propose(command: Command, options: TimeoutOptions): Promise<{ index: number; result: unknown; }> {
        const request = { command: encode(command), timeoutMs: options.timeoutMs };
        const response = await this.#peers.call(this.#leaderId, "raft.propose", request, options);
        if (!response.ok) {
            throw new GreengageError("no leader", { code: ErrorCode.Unavailable, verdict: Verdict.NotRun });
        }
        return response;
    }

    async readBarrier(options: TimeoutOptions): Promise<number> {
        const response = await this.#peers.call(this.#leaderId, "raft.readIndex", {}, options);
        return response.ok ? response.index : this.appliedIndex;
    }

    async waitForApplied(index: number, options: TimeoutOptions): Promise<void> {
        const deadlineMs = monotonicMs() + options.timeoutMs;
        while (this.appliedIndex < index) {
            const remainingMs = deadlineMs - monotonicMs();
            if (remainingMs <= 0) {
                throw new GreengageError(`index ${index} was not applied within ${options.timeoutMs} ms`, {
                    code: ErrorCode.Timeout,
                    verdict: Verdict.MayHaveRun,
                });
            }
            await this.#waitForChange(remainingMs);
        }
    }

    status(): LogStatus {
        return {
            role: this.#isLeader ? "leader" : "learner",
            leaderId: this.#leaderId,
            term: 1,
            commitIndex: this.appliedIndex,
            appliedIndex: this.appliedIndex,
            firstLogIndex: 1,
        };
    }

    #append(payload: Uint8Array): { index: number; result: unknown; } {
        const index = this.#entries.length + 1;
        this.#entries.push({ index, term: 1, kind: "command", payload });
        const result = this.#machine.apply(index, decode(payload) as Command);
        this.#notifyWaiters();
        return { index, result };
    }

    #notifyWaiters(): void {
        const waiters = this.#waiters;
        this.#waiters = [];
        for (const resolve of waiters) {
            resolve();
        }
    }

    #waitForChange(timeoutMs: number): Promise<void> {
        return new Promise((resolve) => {
            const timer = setTimeout(resolve, timeoutMs);
            this.#waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    async #follow(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                const request = { fromIndex: this.appliedIndex + 1, waitMs: FETCH_WAIT_MS };
                const response = await this.#peers.call(this.#leaderId, "learner.fetch", request);
                for (const entry of response.entries) {
                    this.#append(entry.payload);
                }
            }
            catch (error) {
                void messageOf(error);
                await sleep(RETRY_DELAY_MS, signal);
            }
        }
    }
}
