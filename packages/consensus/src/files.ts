import { type FileHandle, open, readFile, rename } from "node:fs/promises";
import { basename, dirname } from "node:path";
import { StorageError } from "./errors.ts";
import type { RecordCodec } from "./recordcodec.ts";

/** Makes written bytes durable. Tests replace it to let a sync fail. */
export type SyncFile = (file: FileHandle) => Promise<void>;

export const syncFile: SyncFile = (file) => file.sync();

/** Reads a file, or returns undefined if there is none. */
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

/** Syncs a folder, so that a new or renamed file in it survives a power failure. */
const syncFolder = async (path: string, sync: SyncFile): Promise<void> => {
    const folder = await open(path, "r");
    try {
        await sync(folder);
    }
    finally {
        await folder.close();
    }
};

/** Replaces a file as a whole: new name, sync, rename, sync of the folder. */
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

/** Reads a file of one record. Throws StorageError when it is damaged. */
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
