import { type Context, Lifecycle, messageOf, sleep } from "@greengage/base";
import {
    DiskFullError,
    readRecordFile,
    RecordCodec,
    replaceFile,
    syncFile,
    type WriteFile,
} from "@greengage/consensus";
import type { GroupRecords } from "@greengage/protocol";
import { validRecords } from "./entries.ts";

/** Delay before records are written again that a full disk refused. */
const REFUSED_WRITE_RETRY_DELAY_MS = 500;

/**
 * Persists the group records across restarts. They only speed up recovery: a daemon with missing or outdated records
 * learns the groups from the reports of their members.
 */
export class GroupRecordStore {
    readonly #context: Context;
    readonly #path: string;
    readonly #writeFile: WriteFile | undefined;
    readonly #lifecycle = new Lifecycle();
    #codec: RecordCodec | undefined;
    #pendingRecords: GroupRecords | undefined;
    #isWriting = false;
    #isDiskFull = false;

    constructor(context: Context, path: string, writeFile?: WriteFile) {
        this.#context = context;
        this.#path = path;
        this.#writeFile = writeFile;
    }

    /** Stops repeating writes that a full disk refuses. */
    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Reads the usable records of the previous run; undefined if they are missing or unreadable. */
    async read(): Promise<GroupRecords | undefined> {
        this.#codec = await RecordCodec.create();
        try {
            const records = await readRecordFile(this.#path, this.#codec) as GroupRecords | undefined;
            return records === undefined
                ? undefined
                : validRecords({ context: this.#context, source: "record file" }, records);
        }
        catch (error) {
            this.#context.decisions.record("groupRecords.unreadable", { reason: messageOf(error) });
            return undefined;
        }
    }

    /** Replaces the stored records. While a write is in progress, only the latest records are queued. */
    write(records: GroupRecords): void {
        this.#pendingRecords = records;
        if (!this.#isWriting) {
            void this.#writePending();
        }
    }

    async #writePending(): Promise<void> {
        this.#isWriting = true;
        while (
            this.#pendingRecords !== undefined && this.#codec !== undefined && !this.#lifecycle.isClosed
        ) {
            const records = this.#pendingRecords;
            this.#pendingRecords = undefined;
            try {
                await replaceFile(this.#path, this.#codec.encode(records), syncFile, this.#writeFile);
                this.#setDiskFull(false);
            }
            catch (error) {
                if (error instanceof DiskFullError) {
                    this.#setDiskFull(true, error.message);
                    this.#pendingRecords ??= records;
                    await sleep(REFUSED_WRITE_RETRY_DELAY_MS, this.#lifecycle.signal);
                }
                else {
                    this.#context.decisions.record("groupRecords.notWritten", { reason: messageOf(error) });
                }
            }
        }
        this.#isWriting = false;
    }

    #setDiskFull(isDiskFull: boolean, reason?: string): void {
        if (this.#isDiskFull !== isDiskFull) {
            this.#isDiskFull = isDiskFull;
            const event = isDiskFull ? "groupRecords.notWritten" : "groupRecords.written";
            this.#context.decisions.record(event, reason === undefined ? {} : { reason });
        }
    }
}
