import { type LogChange, RecordCodec, type StoredSnapshot } from "@greengage/consensus";
import test from "ava";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { noteIds, TestCluster } from "./fixture.ts";

const SNAPSHOT_INTERVAL_ENTRIES = 15;

/** Converts the records of a log that continues the snapshot to those that a former build left after a kill. */
type Conversion = (records: LogChange[][], snapshot: StoredSnapshot) => LogChange[][];

/** Entries and commits after the snapshot, without the record that restarts the log there. */
const onlyLater: Conversion = (records, { lastIndex }) =>
    records.map((changes) =>
        changes.flatMap((change): LogChange[] => {
            if (change.kind !== "entries") {
                return change.kind === "commit" ? [change] : [];
            }
            const entries = change.entries.filter(({ index }) => index > lastIndex);
            return entries.length > 0 ? [{ kind: "entries", entries }] : [];
        })
    );

const conversions: Record<string, Conversion> = {
    "ends before the snapshot": onlyLater,
    "holds entries of another leader at the end of the snapshot": (records, snapshot) => {
        const entries = Array.from({ length: snapshot.lastIndex + 1 }, (_, offset) => ({
            index: offset + 1,
            term: snapshot.lastTerm - 1,
            kind: "noop" as const,
            payload: new Uint8Array(),
        }));
        return [[{ kind: "entries", entries }], ...onlyLater(records, snapshot)];
    },
};

// Guards against a voter that ends at each start on the files of a former build, which appended the entries after a snapshot
// to a log that did not reach it, and against one that drops entries that it acknowledged.
for (const [title, convert] of Object.entries(conversions)) {
    test(`a voter keeps its vote and its entries if its log ${title}`, async (t) => {
        const cluster = new TestCluster({
            raft: { timing: { snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES, retainedEntries: 5 } },
        });
        t.teardown(() => cluster.stop());
        await cluster.start();
        const ids = noteIds("first", 5);
        for (const id of ids) {
            await cluster.addNote(id, "d1");
        }
        await cluster.waitForNotes(ids);
        await cluster.stopMember("d3");
        await cluster.restart("d1");
        await cluster.restart("d2");
        for (const id of noteIds("missed", 3 * SNAPSHOT_INTERVAL_ENTRIES)) {
            ids.push(id);
            await cluster.addNote(id, "d1", 10_000);
        }
        await cluster.startMember("d3");
        await cluster.waitForNotes(ids);
        for (const id of noteIds("later", 3)) {
            ids.push(id);
            await cluster.addNote(id, "d1");
        }
        await cluster.waitForNotes(ids);
        const { memberId } = cluster.member("d3").log.status();
        await cluster.stopMember("d3");

        const codec = await RecordCodec.create();
        const [logPath = "", snapshotPath = ""] = ["log", "snapshot"].map((name) =>
            join(cluster.folder("d3"), name)
        );
        const [snapshot] = codec.decode(readFileSync(snapshotPath)).records as [StoredSnapshot];
        const records = codec.decode(readFileSync(logPath)).records as LogChange[][];
        const converted = convert(records, snapshot).filter((changes) => changes.length > 0);
        t.notDeepEqual(converted, records);
        writeFileSync(logPath, Buffer.concat(converted.map((changes) => codec.encode(changes))));

        for (const id of noteIds("start", 2)) {
            await cluster.startMember("d3");
            ids.push(id);
            await cluster.addNote(id, "d1");
            await cluster.waitForNotes(ids);
            t.is(cluster.member("d3").log.status().memberId, memberId);
            await cluster.stopMember("d3");
        }
    });
}
