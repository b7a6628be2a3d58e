import { messageOf } from "@greengage/base";
import { decode, type LogEntry } from "@greengage/protocol";
import { notCommittedError, outcomeUnknownError } from "./errors.ts";
import type { Command, StateMachine } from "./replicatedlog.ts";
import type { SnapshotSource } from "./snapshot.ts";
import type { RaftState } from "./state.ts";

/** Entries applied before yielding to the event loop, so that a long backlog does not delay messages and timers. */
const ENTRIES_PER_TURN = 200;

interface PendingResult {
    term: number;
    resolve(result: unknown): void;
    reject(error: Error): void;
}

/** Applies committed entries in order once the commit index is durable, and takes snapshots. */
export class Applier {
    readonly #state: RaftState;
    readonly #machine: StateMachine;
    readonly #snapshots: SnapshotSource;
    readonly #pendingResults = new Map<number, PendingResult>();
    #snapshotIndex = 0;

    constructor(state: RaftState, machine: StateMachine, snapshots: SnapshotSource) {
        this.#state = state;
        this.#machine = machine;
        this.#snapshots = snapshots;
    }

    get pendingCount(): number {
        return this.#pendingResults.size;
    }

    /** Resolves with the result of applying entry `index` of `term`. Rejects if another entry is committed there. */
    waitForResult(index: number, term: number): Promise<unknown> {
        this.#pendingResults.get(index)?.reject(
            outcomeUnknownError("leadership changed before the command was committed"),
        );
        return new Promise((resolve, reject) => this.#pendingResults.set(index, { term, resolve, reject }));
    }

    /** Restores the snapshot from the data folder and applies the committed entries after it. */
    restoreFromStorage(snapshotData: Uint8Array | undefined): void {
        if (snapshotData !== undefined) {
            this.#machine.restore(snapshotData);
        }
        this.#snapshotIndex = this.#state.appliedIndex;
        this.#applyUpTo(this.#state.commitIndex, Infinity);
    }

    /** Applies entries as they are committed, until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const state = this.#state;
        while (!signal.aborted) {
            const target = state.commitIndex;
            if (target <= state.appliedIndex) {
                await state.changed.wait(1_000);
                continue;
            }
            if (state.storage !== undefined && target > state.durableCommitIndex) {
                await state.storage.append({ kind: "commit", index: target });
                state.durableCommitIndex = Math.max(state.durableCommitIndex, target);
            }
            while (state.appliedIndex < target) {
                this.#applyUpTo(target, ENTRIES_PER_TURN);
                state.changed.notify();
                await new Promise((resolve) => setImmediate(resolve));
            }
            await this.#compactIfDue();
        }
    }

    close(): void {
        for (const { reject } of this.#pendingResults.values()) {
            reject(outcomeUnknownError("the daemon is shutting down"));
        }
        this.#pendingResults.clear();
    }

    #applyUpTo(target: number, maxCount: number): void {
        const state = this.#state;
        const last = Math.min(target, state.appliedIndex + maxCount);
        while (state.appliedIndex < last) {
            const entry = state.entries.get(state.appliedIndex + 1);
            if (entry === undefined) {
                throw new Error(`committed entry ${state.appliedIndex + 1} is missing from the log`);
            }
            state.appliedIndex = entry.index;
            this.#apply(entry);
        }
    }

    #apply(entry: LogEntry): void {
        const pending = this.#pendingResults.get(entry.index);
        this.#pendingResults.delete(entry.index);
        if (pending !== undefined && pending.term !== entry.term) {
            pending.reject(notCommittedError("the command was replaced by another leader's entry"));
        }
        const matchingPending = pending?.term === entry.term ? pending : undefined;
        if (entry.kind !== "command") {
            matchingPending?.resolve(undefined);
            return;
        }
        try {
            const result = this.#machine.apply(entry.index, decode(entry.payload) as Command);
            matchingPending?.resolve(result);
        }
        catch (error) {
            this.#state.log.error(`failed to apply entry ${entry.index}`, { reason: messageOf(error) });
            matchingPending?.reject(outcomeUnknownError(`the command failed: ${messageOf(error)}`));
        }
    }

    /** Takes a snapshot once enough entries have been applied, and discards entries well before it. */
    async #compactIfDue(): Promise<void> {
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
        await state.storage.rewriteLog(state.entries, () => state.durableCommitIndex);
    }
}
