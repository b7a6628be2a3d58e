import { monotonicMs, newId } from "@greengage/base";
import type { HighWaterMark, LogEntry } from "@greengage/protocol";
import { type FileHandle, mkdir, open, readdir } from "node:fs/promises";
import { join } from "node:path";
import { EntryList } from "./entrylist.ts";
import { StorageError } from "./errors.ts";
import { readIfPresent, readRecordFile, replaceFile, type SyncFile, syncFile } from "./files.ts";
import { RecordCodec } from "./recordcodec.ts";

/** Which member of the cluster the data folder belongs to. */
export interface Identity {
    daemonId: string;
    memberId: string;
}

/** Term and vote of a member. */
export interface Metadata {
    term: number;
    /** Member id of the candidate that got this member's vote in `term`. */
    votedFor?: string;
}

export interface StoredSnapshot {
    lastIndex: number;
    lastTerm: number;
    /** Payload of the configuration entry in force at `lastIndex`. */
    configuration: Uint8Array;
    data: Uint8Array;
}

/** One change of the log file. All changes of one record become durable together. */
export type LogChange =
    | { kind: "base"; index: number; term: number; }
    | { kind: "entries"; entries: LogEntry[]; }
    | { kind: "commit"; index: number; };

export interface StoredState {
    identity: Identity;
    metadata: Metadata;
    snapshot: StoredSnapshot | undefined;
    log: EntryList;
    commitIndex: number;
    marks: HighWaterMark[];
    /** Bytes of a torn last write that were cut off. */
    truncatedBytes: number;
}

export interface StorageOptions {
    folder: string;
    daemonId: string;
    /** Called once when a write or sync failed: its outcome is unknown, so the process must end. */
    onFailure: (error: unknown) => void;
    sync?: SyncFile;
}

/** Files that belong to an identity. Others in the folder are of no concern here. */
const MEMBER_STATE_FILES: readonly string[] = ["metadata", "marks", "snapshot", "log"];

/** Files of one member of the replicated log. Writes are done in order, and those that wait share one sync. */
export class RaftStorage {
    readonly #options: StorageOptions;
    readonly #codec: RecordCodec;
    readonly #sync: SyncFile;
    #logFile: FileHandle | undefined;
    #pendingChanges: LogChange[] = [];
    #pendingBatch: Promise<void> | undefined;
    #lastAppend: Promise<void> = Promise.resolve();
    #lastReplacement: Promise<void> = Promise.resolve();
    #newestSnapshotIndex = 0;
    #failure: unknown;
    #syncCount = 0;
    #lastWrite = { durationMs: 0, endedAtMs: -Infinity };
    readonly #activeWrites = new Set<{ startedAtMs: number; }>();

    constructor(options: StorageOptions, codec: RecordCodec) {
        this.#options = options;
        this.#codec = codec;
        this.#sync = options.sync ?? syncFile;
    }

    /** Opens the data folder. Throws StorageError when its files can't be used. */
    static async open(options: StorageOptions): Promise<{ storage: RaftStorage; state: StoredState; }> {
        const storage = new RaftStorage(options, await RecordCodec.create());
        return { storage, state: await storage.#load() };
    }

    /** Syncs of the log file since the start. */
    get syncCount(): number {
        return this.#syncCount;
    }

    /**
     * How long a write takes at present, syncs included: as the last one, unless it ended more than `maxAgeMs` ago, and
     * at least as long as the oldest one that is under way.
     */
    estimatedWriteMs(maxAgeMs: number): number {
        const nowMs = monotonicMs();
        const { durationMs, endedAtMs } = this.#lastWrite;
        const lastMs = nowMs - endedAtMs <= maxAgeMs ? durationMs : 0;
        return Math.max(lastMs, ...[...this.#activeWrites].map(({ startedAtMs }) => nowMs - startedAtMs));
    }

    /** Resolves when the change and all changes before it are durable. */
    append(change: LogChange): Promise<void> {
        this.#pendingChanges.push(change);
        if (this.#pendingBatch === undefined) {
            this.#pendingBatch = this.#writeBatch(this.#lastAppend);
            this.#lastAppend = this.#pendingBatch;
        }
        return this.#pendingBatch;
    }

    /** Resolves when everything appended so far is durable. */
    flushed(): Promise<void> {
        return this.#lastAppend;
    }

    saveMetadata(metadata: Metadata): Promise<void> {
        return this.#replace("metadata", metadata);
    }

    saveIdentity(identity: Identity): Promise<void> {
        return this.#replace("identity", identity);
    }

    /** Replaces the snapshot, unless a newer one is on its way to the disk. */
    saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
        if (snapshot.lastIndex > this.#newestSnapshotIndex) {
            this.#newestSnapshotIndex = snapshot.lastIndex;
            return this.#replace("snapshot", snapshot);
        }
        return this.#lastReplacement;
    }

    saveMarks(marks: HighWaterMark[]): Promise<void> {
        return this.#replace("marks", marks);
    }

    /** Replaces the log file by the entries that are in `log` when the write begins. */
    rewriteLog(log: EntryList, commitIndex: () => number): Promise<void> {
        this.#pendingBatch = undefined;
        this.#lastAppend = this.#lastAppend.then(() => this.#rewrite(log, commitIndex()));
        return this.#lastAppend;
    }

    /** Refuses further writes and waits for those that have begun. */
    async close(): Promise<void> {
        this.#failure ??= new StorageError("the data folder is closed");
        await this.#lastAppend.catch(() => undefined);
        await this.#lastReplacement.catch(() => undefined);
        await this.#logFile?.close();
        this.#logFile = undefined;
    }

    #path(name: string): string {
        return join(this.#options.folder, name);
    }

    async #writeBatch(before: Promise<void>): Promise<void> {
        await before;
        const changes = this.#pendingChanges;
        this.#pendingChanges = [];
        this.#pendingBatch = undefined;
        await this.#runWrite(async () => {
            this.#logFile ??= await open(this.#path("log"), "a");
            await this.#logFile.appendFile(this.#codec.encode(changes));
            await this.#sync(this.#logFile);
            this.#syncCount += 1;
        });
    }

    async #rewrite(log: EntryList, commitIndex: number): Promise<void> {
        const changes: LogChange[] = [
            { kind: "base", index: log.baseIndex, term: log.baseTerm },
            { kind: "entries", entries: [...log.all()] },
            { kind: "commit", index: commitIndex },
        ];
        await this.#replace("log", changes);
        await this.#logFile?.close();
        this.#logFile = undefined;
    }

    /** Replaces a file after the replacements that were asked for earlier. */
    #replace(name: string, value: unknown): Promise<void> {
        const bytes = this.#codec.encode(value);
        this.#lastReplacement = this.#lastReplacement.then(() =>
            this.#runWrite(() => replaceFile(this.#path(name), bytes, this.#sync))
        );
        return this.#lastReplacement;
    }

    async #runWrite(write: () => Promise<void>): Promise<void> {
        if (this.#failure !== undefined) {
            throw new StorageError("an earlier write failed, or the data folder is closed", this.#failure);
        }
        const activeWrite = { startedAtMs: monotonicMs() };
        this.#activeWrites.add(activeWrite);
        try {
            await write();
            const endedAtMs = monotonicMs();
            this.#lastWrite = { durationMs: endedAtMs - activeWrite.startedAtMs, endedAtMs };
        }
        catch (error) {
            this.#failure ??= error;
            this.#options.onFailure(error);
            throw new StorageError("a write to the data folder failed", error);
        }
        finally {
            this.#activeWrites.delete(activeWrite);
        }
    }

    async #load(): Promise<StoredState> {
        await mkdir(this.#options.folder, { recursive: true });
        const identity = await this.#loadIdentity();
        const metadata = await readRecordFile(this.#path("metadata"), this.#codec) as Metadata | undefined;
        const marks = await readRecordFile(this.#path("marks"), this.#codec) as HighWaterMark[] | undefined;
        const snapshot = await readRecordFile(this.#path("snapshot"), this.#codec) as
            | StoredSnapshot
            | undefined;
        const { changes, truncatedBytes } = await this.#loadChanges();
        const { log, commitIndex } = replay(changes);
        alignWithSnapshot(log, snapshot, this.#options.folder);
        const knownCommitIndex = Math.max(commitIndex, snapshot?.lastIndex ?? 0);
        if (knownCommitIndex > log.lastIndex) {
            const reason = `commit index ${knownCommitIndex} is beyond the last entry ${log.lastIndex}`;
            throw new StorageError(`the log in ${this.#options.folder} is damaged: ${reason}`);
        }
        return {
            identity,
            metadata: metadata ?? { term: 0 },
            snapshot,
            log,
            commitIndex: knownCommitIndex,
            marks: marks ?? [],
            truncatedBytes,
        };
    }

    async #loadIdentity(): Promise<Identity> {
        const { folder, daemonId } = this.#options;
        const stored = await readRecordFile(this.#path("identity"), this.#codec) as Identity | undefined;
        if (stored !== undefined && stored.daemonId !== daemonId) {
            throw new StorageError(`${folder} belongs to daemon ${stored.daemonId}, not to ${daemonId}`);
        }
        if (stored !== undefined) {
            return stored;
        }
        const orphanedFiles = (await readdir(folder)).filter((name) => MEMBER_STATE_FILES.includes(name));
        if (orphanedFiles.length > 0) {
            throw new StorageError(`${folder} has files but no identity file: ${orphanedFiles.join(", ")}`);
        }
        const identity = { daemonId, memberId: newId() };
        await this.saveIdentity(identity);
        return identity;
    }

    async #loadChanges(): Promise<{ changes: LogChange[]; truncatedBytes: number; }> {
        const path = this.#path("log");
        const bytes = await readIfPresent(path);
        if (bytes === undefined) {
            return { changes: [], truncatedBytes: 0 };
        }
        const { records, validBytes, hasRecordsAfterDamage } = this.#codec.decode(bytes);
        if (hasRecordsAfterDamage) {
            throw new StorageError(
                `${path} is damaged at byte ${validBytes}, before whole records; `
                    + "empty the data folder to rejoin the cluster under a new member identity",
            );
        }
        const truncatedBytes = bytes.length - validBytes;
        if (truncatedBytes > 0) {
            // Each record is synced before the next is written, so only the last one can be torn.
            await this.#truncate(path, validBytes);
        }
        return { changes: (records as LogChange[][]).flat(), truncatedBytes };
    }

    async #truncate(path: string, lengthBytes: number): Promise<void> {
        const file = await open(path, "r+");
        try {
            await file.truncate(lengthBytes);
            await this.#sync(file);
        }
        finally {
            await file.close();
        }
    }
}

/** Rebuilds the log from the changes of its file. */
const replay = (changes: readonly LogChange[]): { log: EntryList; commitIndex: number; } => {
    const log = new EntryList();
    let commitIndex = 0;
    for (const change of changes) {
        switch (change.kind) {
            case "base":
                log.reset(change.index, change.term);
                break;
            case "entries":
                log.truncateAndAppend(change.entries);
                break;
            case "commit":
                commitIndex = Math.max(commitIndex, change.index);
        }
    }
    return { log, commitIndex };
};

/** Connects log and snapshot: a crash between their writes leaves a log that ends before the snapshot. */
const alignWithSnapshot = (log: EntryList, snapshot: StoredSnapshot | undefined, folder: string): void => {
    const lastIndex = snapshot?.lastIndex ?? 0;
    if (log.baseIndex > lastIndex) {
        throw new StorageError(
            `the log in ${folder} begins after entry ${log.baseIndex}, without a snapshot`,
        );
    }
    if (snapshot !== undefined && log.termAt(lastIndex) !== snapshot.lastTerm) {
        log.reset(lastIndex, snapshot.lastTerm);
    }
};
