import { type FileHandle, mkdir, open, readFile, rename, rm } from "node:fs/promises";
import { basename, dirname, resolve } from "node:path";
import { DiskFullError, StorageError } from "./errors.ts";
import type { RecordCodec } from "./recordcodec.ts";

/** Flushes a file to disk. Tests replace it to inject sync failures. */
export type SyncFile = (file: FileHandle) => Promise<void>;

export const syncFile: SyncFile = (file) => file.sync();

/** Writes bytes at the current position of a file. Tests replace it to inject refused writes. */
export type WriteFile = (file: FileHandle, bytes: Uint8Array) => Promise<void>;

export const writeFile: WriteFile = (file, bytes) => file.writeFile(bytes);

/** Error codes of a disk or quota without room. */
const DISK_FULL_CODES: readonly unknown[] = ["ENOSPC", "EDQUOT"];

/**
 * Runs a file operation and converts its refusal for lack of room into a DiskFullError. Not for syncs: after a failed
 * sync it is unknown which earlier writes are durable.
 */
export const detectFullDisk = async <T>(operation: () => Promise<T>): Promise<T> => {
    try {
        return await operation();
    }
    catch (error) {
        const { code, message } = error as NodeJS.ErrnoException;
        throw DISK_FULL_CODES.includes(code) ? new DiskFullError(message, error) : error;
    }
};

/** Reads a file. Returns undefined if it does not exist. */
export const readIfPresent = async (path: string): Promise<Buffer | undefined> => {
    try {
        return await readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
};

/** Syncs a directory, so that a created or renamed file in it survives a power failure. */
export const syncFolder = async (path: string, sync: SyncFile): Promise<void> => {
    const folder = await open(path, "r");
    try {
        await sync(folder);
    }
    finally {
        await folder.close();
    }
};

/** Creates a directory and its missing parents, and syncs the directories that hold new ones. */
export const createFolder = async (path: string, sync: SyncFile): Promise<void> => {
    const firstCreated = await detectFullDisk(() => mkdir(path, { recursive: true }));
    if (firstCreated === undefined) {
        return;
    }
    const lastParent = dirname(resolve(firstCreated));
    let parent = resolve(path);
    do {
        parent = dirname(parent);
        await syncFolder(parent, sync);
    }
    while (parent !== lastParent);
};

/**
 * Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the directory. Throws a
 * DiskFullError, with the file unchanged, if there is no room for the temporary file.
 */
export const replaceFile = async (
    path: string,
    bytes: Uint8Array,
    sync: SyncFile,
    write: WriteFile = writeFile,
): Promise<void> => {
    const newPath = `${path}.new`;
    try {
        const file = await detectFullDisk(() => open(newPath, "w"));
        try {
            await detectFullDisk(() => write(file, bytes));
            await sync(file);
        }
        finally {
            await file.close();
        }
        await detectFullDisk(() => rename(newPath, path));
    }
    catch (error) {
        if (error instanceof DiskFullError) {
            await rm(newPath, { force: true }).catch(() => undefined);
        }
        throw error;
    }
    await syncFolder(dirname(path), sync);
};

/** Reads a file that holds one record. Returns undefined if it does not exist; throws StorageError if it is damaged. */
export const readRecordFile = async (path: string, codec: RecordCodec): Promise<unknown> => {
    const bytes = await readIfPresent(path);
    if (bytes === undefined) {
        return undefined;
    }
    const { records, validBytes } = codec.decode(bytes);
    if (records.length !== 1 || validBytes !== bytes.length) {
        throw new StorageError(`${path} is damaged: the checksum of ${basename(path)} does not match`);
    }
    return records[0];
};
