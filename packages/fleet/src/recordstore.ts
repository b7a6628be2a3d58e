import { type Context, messageOf } from "@greengage/base";
import { readRecordFile, RecordCodec, replaceFile, syncFile } from "@greengage/consensus";
import type { GroupRecords } from "@greengage/protocol";
import { validRecords } from "./entries.ts";

/**
 * Persists the group records across restarts. They only speed up recovery: a daemon with missing or outdated records
 * learns the groups from the reports of their members.
 */
export class GroupRecordStore {
    readonly #context: Context;
    readonly #path: string;
    #codec: RecordCodec | undefined;
    #pendingRecords: GroupRecords | undefined;
    #isWriting = false;

    constructor(context: Context, path: string) {
        this.#context = context;
        this.#path = path;
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
        while (this.#pendingRecords !== undefined && this.#codec !== undefined) {
            const records = this.#pendingRecords;
            this.#pendingRecords = undefined;
            try {
                await replaceFile(this.#path, this.#codec.encode(records), syncFile);
            }
            catch (error) {
                this.#context.decisions.record("groupRecords.notWritten", { reason: messageOf(error) });
            }
        }
        this.#isWriting = false;
    }
}
