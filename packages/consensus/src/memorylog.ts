import type { Command, LogStatus, ReplicatedLog, StateMachine } from "./replicatedlog.ts";

/** In-memory log with a single member and no storage, for tests of its users. */
export class MemoryLog implements ReplicatedLog {
    readonly #machine: StateMachine;
    readonly isCurrent = true;
    #appliedIndex = 0;

    constructor(machine: StateMachine) {
        this.#machine = machine;
    }

    get appliedIndex(): number {
        return this.#appliedIndex;
    }

    async propose(command: Command): Promise<{ index: number; result: unknown; }> {
        this.#appliedIndex += 1;
        return { index: this.#appliedIndex, result: this.#machine.apply(this.#appliedIndex, command) };
    }

    async readBarrier(): Promise<number> {
        return this.#appliedIndex;
    }

    async waitForApplied(): Promise<void> {
        return;
    }

    status(): LogStatus {
        return {
            role: "leader",
            leaderId: undefined,
            term: 1,
            commitIndex: this.#appliedIndex,
            appliedIndex: this.#appliedIndex,
            firstLogIndex: 1,
            isCurrent: true,
            leaderContactAgeMs: 0,
            joiningIds: [],
            isDiskFull: false,
        };
    }
}
