import { EntryList } from "./entrylist.ts";
import { StorageError } from "./errors.ts";
import type { LogChange, StoredSnapshot } from "./storage.ts";

/** Term of a base whose entry is missing from the log. No entry has it. */
const UNKNOWN_TERM = 0;

/** Log of a member as its files describe it. */
export interface ReplayedLog {
    log: EntryList;
    commitIndex: number;
    /** Whether `log` is not what the log file alone describes. The file must then be rewritten before the next append. */
    isRepaired: boolean;
}

/**
 * Rebuilds the log from the changes in the log file and from the snapshot. The snapshot is replaced before the log restarts
 * after it, so a process that ends in between leaves a log that does not reach the snapshot or holds other entries.
 * Throws a StorageError if entries are missing that no snapshot covers.
 */
export const replayLog = (
    changes: readonly LogChange[],
    snapshot: StoredSnapshot | undefined,
    folder: string,
): ReplayedLog => {
    const { log, commitIndex, hasGap } = applyChanges(changes, snapshot);
    const { lastIndex: snapshotIndex, lastTerm: snapshotTerm } = snapshot ?? { lastIndex: 0, lastTerm: 0 };
    if (log.baseIndex > snapshotIndex) {
        throw new StorageError(
            `the log in ${folder} starts after entry ${log.baseIndex}, which no snapshot covers`,
        );
    }
    const continuesSnapshot = snapshot === undefined || log.termAt(snapshotIndex) === snapshotTerm;
    if (!continuesSnapshot) {
        // Entries after another one at the snapshot's end can't be committed, unless they were appended after the snapshot.
        const later = commitIndex > snapshotIndex
            ? log.slice(snapshotIndex + 1, log.lastIndex, Infinity)
            : [];
        log.reset(snapshotIndex, snapshotTerm);
        log.truncateAndAppend(later);
    }
    if (hasGap) {
        log.dropUpTo(snapshotIndex);
    }
    const knownCommitIndex = Math.max(commitIndex, snapshotIndex);
    if (knownCommitIndex > log.lastIndex) {
        const reason = `commit index ${knownCommitIndex} is past the last entry ${log.lastIndex}`;
        throw new StorageError(`the log in ${folder} is damaged: ${reason}`);
    }
    return { log, commitIndex: knownCommitIndex, isRepaired: !continuesSnapshot || hasGap };
};

/**
 * Applies the changes in order. Former versions appended entries after a snapshot to a log file that ended before it, so the
 * log restarts at a gap.
 */
const applyChanges = (
    changes: readonly LogChange[],
    snapshot: StoredSnapshot | undefined,
): { log: EntryList; commitIndex: number; hasGap: boolean; } => {
    const log = new EntryList();
    let commitIndex = 0;
    let hasGap = false;
    for (const change of changes) {
        switch (change.kind) {
            case "base":
                log.reset(change.index, change.term);
                hasGap = false;
                break;
            case "entries": {
                const previousIndex = (change.entries[0]?.index ?? 0) - 1;
                if (previousIndex > log.lastIndex) {
                    const isAfterSnapshot = previousIndex === snapshot?.lastIndex;
                    log.reset(previousIndex, isAfterSnapshot ? snapshot.lastTerm : UNKNOWN_TERM);
                    hasGap = true;
                }
                log.truncateAndAppend(change.entries);
                break;
            }
            case "commit":
                commitIndex = Math.max(commitIndex, change.index);
        }
    }
    return { log, commitIndex, hasGap };
};
