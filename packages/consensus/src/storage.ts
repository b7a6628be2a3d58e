import { monotonicMs, newId, sleep } from "@greengage/base";
import type { HighWaterMark, LogEntry } from "@greengage/protocol";
import { type FileHandle, open, readdir } from "node:fs/promises";
import { join } from "node:path";
import type { EntryList } from "./entrylist.ts";
import { DiskFullError, StorageError } from "./errors.ts";
import {
    createFolder,
    detectFullDisk,
    readIfPresent,
    readRecordFile,
    replaceFile,
    type SyncFile,
    syncFile,
    syncFolder,
    type WriteFile,
    writeFile,
} from "./files.ts";
import { RecordCodec } from "./recordcodec.ts";
import { replayLog } from "./replay.ts";

/** Member that the data folder belongs to. */
export interface Identity {
    daemonId: string;
    memberId: string;
}

/** Durable Raft metadata of a member. */
export interface Metadata {
    term: number;
    /** Member id of the candidate that this member voted for in `term`. */
    votedFor?: string;
}

export interface StoredSnapshot {
    lastIndex: number;
    lastTerm: number;
    /** Payload of the configuration entry in force at `lastIndex`. */
    configuration: Uint8Array;
    data: Uint8Array;
}

/** One change in the log file. All changes of a record become durable together. */
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
    /** Bytes of an incomplete last write that were truncated. */
    truncatedBytes: number;
    /** Whether the log file did not continue the snapshot, and is being rewritten. */
    isLogRepaired: boolean;
}

export interface StorageOptions {
    folder: string;
    daemonId: string;
    /** Called once when a write or sync fails. Its outcome is unknown, so the process must exit. */
    onFailure: (error: unknown) => void;
    /** Called when the disk becomes full. Refused writes stay pending and are repeated until there is room. */
    onDiskFull: (error: DiskFullError) => void;
    /** Called when all refused writes have become durable. */
    onDiskFreed: (fullMs: number) => void;
    /** Aborted when refused writes must no longer be repeated. */
    signal: AbortSignal;
    sync?: SyncFile;
    write?: WriteFile;
}

/** Delay before a write that was refused for lack of room is repeated. */
const REFUSED_WRITE_RETRY_DELAY_MS = 100;

/** Files that must not exist without an identity file. Other files in the folder are ignored. */
const MEMBER_STATE_FILES: readonly string[] = ["metadata", "marks", "snapshot", "log"];

/** Data folder of one member. Writes are made in order, and log changes that wait for a write share one sync. */
export class RaftStorage {
    readonly #options: StorageOptions;
    readonly #codec: RecordCodec;
    readonly #sync: SyncFile;
    readonly #write: WriteFile;
    #logFile: FileHandle | undefined;
    /** Length of the complete records in the log file. */
    #logLengthBytes = 0;
    /** Whether the log file may end with a part of a refused write. */
    #hasTornEnd = false;
    #pendingChanges: LogChange[] = [];
    #pendingBatch: Promise<void> | undefined;
    #lastAppend: Promise<void> = Promise.resolve();
    #lastReplacement: Promise<void> = Promise.resolve();
    #newestSnapshotIndex = 0;
    #failure: unknown;
    #syncCount = 0;
    #lastWrite = { durationMs: 0, endedAtMs: -Infinity };
    readonly #activeWrites = new Set<{ startedAtMs: number; }>();
    /** Number of writes that were refused for lack of room and are being repeated. */
    #refusedWriteCount = 0;
    #fullSinceMs = 0;
    readonly #fullDiskWaiters = new Set<(error: DiskFullError) => void>();

    constructor(options: StorageOptions, codec: RecordCodec) {
        this.#options = options;
        this.#codec = codec;
        this.#sync = options.sync ?? syncFile;
        this.#write = options.write ?? writeFile;
    }

    /** Opens and loads the data folder. Throws StorageError if it is unusable. */
    static async open(options: StorageOptions): Promise<{ storage: RaftStorage; state: StoredState; }> {
        const storage = new RaftStorage(options, await RecordCodec.create());
        return { storage, state: await storage.#load() };
    }

    /** Whether a write was refused for lack of room and has not succeeded since. */
    get isDiskFull(): boolean {
        return this.#refusedWriteCount > 0;
    }

    /** Waits until `write` is durable. Throws a DiskFullError as soon as the disk is full; the write then stays pending. */
    unlessDiskFull(write: Promise<void>): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#fullDiskWaiters.add(reject);
            void write.then(resolve, reject).finally(() => this.#fullDiskWaiters.delete(reject));
            if (this.isDiskFull) {
                // Gives way to a write that is already durable.
                setImmediate(() => reject(new DiskFullError("the write is pending")));
            }
        });
    }

    /** Number of log file syncs since the start. */
    get syncCount(): number {
        return this.#syncCount;
    }

    /**
     * Estimated duration of a write including its syncs: that of the last write, unless it ended more than `maxAgeMs`
     * ago, but at least the time that the oldest active write has taken so far.
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

    /** Replaces the snapshot, unless an equal or newer one has been saved or is being written. */
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

    /** Replaces the log file with the entries that `log` contains when the write begins. */
    rewriteLog(log: EntryList, commitIndex: () => number): Promise<void> {
        this.#pendingBatch = undefined;
        this.#lastAppend = this.#lastAppend.then(() => this.#rewrite(log, commitIndex()));
        return this.#lastAppend;
    }

    /** Rejects further writes and waits for pending ones. */
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
        const bytes = this.#codec.encode(changes);
        await this.#runWrite(() => this.#appendToLog(bytes));
    }

    async #appendToLog(bytes: Uint8Array): Promise<void> {
        const file = await this.#openLog();
        await this.#removeTornEnd(file);
        try {
            this.#hasTornEnd = true;
            await detectFullDisk(() => this.#write(file, bytes));
            this.#hasTornEnd = false;
        }
        catch (error) {
            if (error instanceof DiskFullError) {
                await this.#removeTornEnd(file);
            }
            throw error;
        }
        await this.#sync(file);
        this.#logLengthBytes += bytes.length;
        this.#syncCount += 1;
    }

    async #openLog(): Promise<FileHandle> {
        if (this.#logFile === undefined) {
            this.#logFile = await detectFullDisk(() => open(this.#path("log"), "a"));
            this.#logLengthBytes = (await this.#logFile.stat()).size;
            this.#hasTornEnd = false;
            if (this.#logLengthBytes === 0) {
                // The file may be new, and its name not durable.
                await syncFolder(this.#options.folder, this.#sync);
            }
        }
        return this.#logFile;
    }

    /** Truncates the log file after its last complete record. The sync of the next write covers the truncation. */
    async #removeTornEnd(file: FileHandle): Promise<void> {
        if (this.#hasTornEnd) {
            await detectFullDisk(() => file.truncate(this.#logLengthBytes));
            this.#hasTornEnd = false;
        }
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

    /** Replaces a file once all earlier replacements are done. */
    #replace(name: string, value: unknown): Promise<void> {
        const bytes = this.#codec.encode(value);
        this.#lastReplacement = this.#lastReplacement.then(() =>
            this.#runWrite(() => replaceFile(this.#path(name), bytes, this.#sync, this.#write))
        );
        return this.#lastReplacement;
    }

    /** Makes one write durable. Repeats it for as long as the disk refuses it for lack of room. */
    async #runWrite(write: () => Promise<void>): Promise<void> {
        const { signal } = this.#options;
        let wasRefused = false;
        for (;;) {
            const refusal = await this.#tryWrite(write);
            if (refusal === undefined) {
                break;
            }
            if (!wasRefused) {
                wasRefused = true;
                this.#recordRefusal(refusal);
            }
            await sleep(REFUSED_WRITE_RETRY_DELAY_MS, signal);
            if (signal.aborted) {
                throw new StorageError("the data folder is closed", refusal);
            }
        }
        if (wasRefused) {
            this.#recordRepeatedWrite();
        }
    }

    /** Returns an error if the disk refused the write for lack of room. Throws if the write failed in another way. */
    async #tryWrite(write: () => Promise<void>): Promise<DiskFullError | undefined> {
        if (this.#failure !== undefined) {
            throw new StorageError("an earlier write failed, or the data folder is closed", this.#failure);
        }
        const activeWrite = { startedAtMs: monotonicMs() };
        this.#activeWrites.add(activeWrite);
        try {
            await write();
            const endedAtMs = monotonicMs();
            this.#lastWrite = { durationMs: endedAtMs - activeWrite.startedAtMs, endedAtMs };
            return undefined;
        }
        catch (error) {
            if (error instanceof DiskFullError) {
                return error;
            }
            this.#failure ??= error;
            this.#options.onFailure(error);
            throw new StorageError("a write to the data folder failed", error);
        }
        finally {
            this.#activeWrites.delete(activeWrite);
        }
    }

    #recordRefusal(error: DiskFullError): void {
        this.#refusedWriteCount += 1;
        if (this.#refusedWriteCount > 1) {
            return;
        }
        this.#fullSinceMs = monotonicMs();
        this.#options.onDiskFull(error);
        for (const reject of this.#fullDiskWaiters) {
            reject(error);
        }
        this.#fullDiskWaiters.clear();
    }

    #recordRepeatedWrite(): void {
        this.#refusedWriteCount -= 1;
        if (this.#refusedWriteCount === 0) {
            this.#options.onDiskFreed(monotonicMs() - this.#fullSinceMs);
        }
    }

    async #load(): Promise<StoredState> {
        await this.#runWrite(async () => {
            await createFolder(this.#options.folder, this.#sync);
        });
        const identity = await this.#loadIdentity();
        const metadata = await readRecordFile(this.#path("metadata"), this.#codec) as Metadata | undefined;
        const marks = await readRecordFile(this.#path("marks"), this.#codec) as HighWaterMark[] | undefined;
        const snapshot = await readRecordFile(this.#path("snapshot"), this.#codec) as
            | StoredSnapshot
            | undefined;
        const { changes, truncatedBytes } = await this.#loadChanges();
        const { log, commitIndex, isRepaired } = replayLog(changes, snapshot, this.#options.folder);
        if (isRepaired) {
            // Queued before any append: an entry after the snapshot would not continue the records in the file. The storage
            // reports failures.
            this.rewriteLog(log, () => commitIndex).catch(() => undefined);
        }
        return {
            identity,
            metadata: metadata ?? { term: 0 },
            snapshot,
            log,
            commitIndex,
            marks: marks ?? [],
            truncatedBytes,
            isLogRepaired: isRepaired,
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
            throw new StorageError(`${folder} has no identity file but contains ${orphanedFiles.join(", ")}`);
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
                `${path} is damaged at byte ${validBytes}, before complete records; `
                    + "empty the data folder to rejoin the cluster under a new member identity",
            );
        }
        const truncatedBytes = bytes.length - validBytes;
        if (truncatedBytes > 0) {
            // Each record is synced before the next one is written, so only the last one can be incomplete.
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
