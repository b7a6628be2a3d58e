import { messageOf } from "@greengage/base";
import { decode, type LogEntry } from "@greengage/protocol";
import { notCommittedError, outcomeUnknownError } from "./errors.ts";
import type { Command, StateMachine } from "./replicatedlog.ts";
import type { SnapshotSource } from "./snapshot.ts";
import type { RaftState } from "./state.ts";

// A long run of entries gives way to messages and timers in between.
const ENTRIES_PER_TURN = 200;

interface Waiter {
    term: number;
    resolve(result: unknown): void;
    reject(error: Error): void;
}

/** Applies committed entries in order, after their commit is durable, and takes snapshots. */
export class Applier {
    readonly #state: RaftState;
    readonly #machine: StateMachine;
    readonly #snapshots: SnapshotSource;
    readonly #waiters = new Map<number, Waiter>();
    #snapshotIndex = 0;

    constructor(state: RaftState, machine: StateMachine, snapshots: SnapshotSource) {
        this.#state = state;
        this.#machine = machine;
        this.#snapshots = snapshots;
    }

    get waiterCount(): number {
        return this.#waiters.size;
    }

    /** Resolves with the result of the entry `index` of `term`. Rejects if another entry is committed there. */
    resultOf(index: number, term: number): Promise<unknown> {
        this.#waiters.get(index)?.reject(outcomeUnknownError("leadership changed before the commit"));
        return new Promise((resolve, reject) => this.#waiters.set(index, { term, resolve, reject }));
    }

    /** Takes in what the data folder holds as committed. */
    load(snapshotData: Uint8Array | undefined): void {
        if (snapshotData !== undefined) {
            this.#machine.restore(snapshotData);
        }
        this.#snapshotIndex = this.#state.appliedIndex;
        this.#applyUpTo(this.#state.commitIndex, Infinity);
    }

    /** Task that applies what has been committed. */
    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        while (!signal.aborted) {
            const target = state.commitIndex;
            if (target <= state.appliedIndex) {
                await state.changed.wait(1_000);
                continue;
            }
            if (state.storage !== undefined && target > state.savedCommitIndex) {
                await state.storage.append({ kind: "commit", index: target });
                state.savedCommitIndex = Math.max(state.savedCommitIndex, target);
            }
            while (state.appliedIndex < target) {
                this.#applyUpTo(target, ENTRIES_PER_TURN);
                state.changed.notify();
                await new Promise((resolve) => setImmediate(resolve));
            }
            await this.#compactWhenDue();
        }
    }

    close(): void {
        for (const { reject } of this.#waiters.values()) {
            reject(outcomeUnknownError("the daemon stops"));
        }
        this.#waiters.clear();
    }

    #applyUpTo(target: number, maxCount: number): void {
        const state = this.#state;
        const last = Math.min(target, state.appliedIndex + maxCount);
        while (state.appliedIndex < last) {
            const entry = state.entries.get(state.appliedIndex + 1);
            if (entry === undefined) {
                throw new Error(`committed entry ${state.appliedIndex + 1} is not in the log`);
            }
            state.appliedIndex = entry.index;
            this.#apply(entry);
        }
    }

    #apply(entry: LogEntry): void {
        const waiter = this.#waiters.get(entry.index);
        this.#waiters.delete(entry.index);
        if (waiter !== undefined && waiter.term !== entry.term) {
            waiter.reject(notCommittedError("another leader replaced the command"));
        }
        const settle = waiter?.term === entry.term ? waiter : undefined;
        if (entry.kind !== "command") {
            settle?.resolve(undefined);
            return;
        }
        try {
            const result = this.#machine.apply(entry.index, decode(entry.payload) as Command);
            settle?.resolve(result);
        }
        catch (error) {
            this.#state.log.error(`entry ${entry.index} could not be applied`, { reason: messageOf(error) });
            settle?.reject(outcomeUnknownError(`the command failed: ${messageOf(error)}`));
        }
    }

    /** Writes a snapshot after enough entries, and drops the entries that lie well behind it. */
    async #compactWhenDue(): Promise<void> {
        const state = this.#state;
        const { snapshotIntervalEntries, retainedEntries } = state.timing;
        if (state.appliedIndex - this.#snapshotIndex < snapshotIntervalEntries) {
            return;
        }
        if (state.storage === undefined) {
            this.#snapshotIndex = state.appliedIndex;
            state.entries.dropUpTo(state.appliedIndex - retainedEntries);
            return;
        }
        const snapshot = this.#snapshots.take();
        this.#snapshotIndex = snapshot.lastIndex;
        await state.storage.saveSnapshot(snapshot);
        state.entries.dropUpTo(snapshot.lastIndex - retainedEntries);
        await state.storage.rewriteLog(state.entries, () => state.savedCommitIndex);
    }
}
