import { createContext, type Decisions } from "@greengage/base";
import { readRecordFile, RecordCodec, replaceFile, syncFile } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import type { GroupRecords } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { mkdtempSync, rmSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { GroupRecordStore } from "../../packages/fleet/src/recordstore.ts";

const recordsOf = (version: number): GroupRecords => ({
    version,
    groups: [],
    endedNames: [],
    servers: [],
    entryDaemonCount: 1,
});

const startStore = async (t: ExecutionContext) => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-records-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const path = join(folder, "groups");
    const codec = await RecordCodec.create();
    await replaceFile(path, codec.encode(recordsOf(1)), syncFile);
    const events: string[] = [];
    const decisions = { record: (event: string) => void events.push(event) } as unknown as Decisions;
    const disk = { isFull: false };
    const writeFile = async (file: FileHandle, bytes: Uint8Array): Promise<void> => {
        await file.writeFile(disk.isFull ? bytes.subarray(0, 7) : bytes);
        if (disk.isFull) {
            throw Object.assign(new Error("ENOSPC: no space left on device, write"), { code: "ENOSPC" });
        }
    };
    const store = new GroupRecordStore(
        createContext({ daemonId: "core-1", zone: "z", decisions }),
        path,
        writeFile,
    );
    t.teardown(() => store.close());
    await store.read();
    const storedVersion = async () => (await readRecordFile(path, codec) as GroupRecords).version;
    return { store, disk, events, storedVersion };
};

// Guards against records that stay outdated after a full disk has room, as the next change may be far off.
test("records that a full disk refused are written once there is room", async (t) => {
    const { store, disk, events, storedVersion } = await startStore(t);
    disk.isFull = true;
    store.write(recordsOf(2));
    store.write(recordsOf(3));
    await waitFor("a refused write", async () => events.length > 0 || undefined);
    t.is(await storedVersion(), 1, "the former records stay in place");
    disk.isFull = false;
    await waitFor("the latest records", async () => await storedVersion() === 3 || undefined);
    await waitFor("the second event", async () => events.length === 2 || undefined);
    t.deepEqual(events, ["groupRecords.notWritten", "groupRecords.written"]);
});

// Guards against a daemon that doesn't stop while its disk is full.
test("a store whose disk is full can be closed", async (t) => {
    const { store, disk, events, storedVersion } = await startStore(t);
    disk.isFull = true;
    store.write(recordsOf(2));
    await waitFor("a refused write", async () => events.length > 0 || undefined);
    await store.close();
    t.is(await storedVersion(), 1);
});
