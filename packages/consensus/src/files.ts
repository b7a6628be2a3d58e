import { type FileHandle, open, readFile, rename } from "node:fs/promises";
import { basename, dirname } from "node:path";
import { StorageError } from "./errors.ts";
import type { RecordCodec } from "./recordcodec.ts";

/** Flushes a file to disk. Tests replace it to inject sync failures. */
export type SyncFile = (file: FileHandle) => Promise<void>;

export const syncFile: SyncFile = (file) => file.sync();

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
const syncFolder = async (path: string, sync: SyncFile): Promise<void> => {
    const folder = await open(path, "r");
    try {
        await sync(folder);
    }
    finally {
        await folder.close();
    }
};

/** Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the directory. */
export const replaceFile = async (path: string, bytes: Uint8Array, sync: SyncFile): Promise<void> => {
    const newPath = `${path}.new`;
    const file = await open(newPath, "w");
    try {
        await file.writeFile(bytes);
        await sync(file);
    }
    finally {
        await file.close();
    }
    await rename(newPath, path);
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
