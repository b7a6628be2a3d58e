import test from "ava";
import { appendFileSync, existsSync, readFileSync, statSync, truncateSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { noteIds, startCluster, type TestCluster } from "./fixture.ts";

const addNotes = async (cluster: TestCluster, prefix: string, count: number): Promise<string[]> => {
    const ids = noteIds(prefix, count);
    for (const id of ids) {
        await cluster.addNote(id, "d1");
    }
    return ids;
};

const flipByte = (path: string, offset: number): void => {
    const bytes = readFileSync(path);
    bytes[offset] = (bytes[offset] ?? 0) ^ 0xff;
    writeFileSync(path, bytes);
};

// Guards against a voter that can't start after a power failure during its last write.
test("an incomplete last record is truncated and fetched again", async (t) => {
    const cluster = await startCluster(t);
    const ids = await addNotes(cluster, "n", 5);
    await cluster.waitForNotes(ids);
    await cluster.stopMember("d3");
    const path = join(cluster.folder("d3"), "log");
    // First part of a record whose write was interrupted and never acknowledged.
    appendFileSync(path, readFileSync(path).subarray(0, 20));
    await cluster.startMember("d3");
    await cluster.addNote("after", "d3");
    await cluster.waitForNotes([...ids, "after"]);
    t.not(cluster.member("d3").log.role, "learner");
    // If the incomplete record were still in the file, complete records would follow it now.
    await cluster.restart("d3");
    await cluster.waitForNotes([...ids, "after"]);
});

// Guards against votes of a member that has lost acknowledged entries.
test("a voter that lost its acknowledged tail rejoins under a new identity", async (t) => {
    const cluster = await startCluster(t);
    const ids = await addNotes(cluster, "n", 5);
    await cluster.waitForNotes(ids);
    const before = cluster.member("d3").log.status().memberId;
    await cluster.stopMember("d3");
    const path = join(cluster.folder("d3"), "log");
    truncateSync(path, Math.floor(statSync(path).size / 2));
    await cluster.startMember("d3");
    await cluster.waitFor("a new identity as a voter", () => {
        const { memberId, role } = cluster.member("d3").log.status();
        return memberId !== before && role !== "learner" ? true : undefined;
    });
    await cluster.addNote("after", "d3");
    await cluster.waitForNotes([...ids, "after"]);
    t.pass();
});

// Guards against damage in the middle of the log that is mistaken for a torn write, losing acknowledged entries.
test("a damaged record before complete records is rejected with its position", async (t) => {
    const cluster = await startCluster(t);
    await addNotes(cluster, "n", 5);
    await cluster.stopMember("d3");
    flipByte(join(cluster.folder("d3"), "log"), 30);
    await t.throwsAsync(cluster.startMember("d3"), { name: "StorageError", message: /damaged at byte 0/ });
    cluster.network.remove("d3");
});

// Guards against reading a term or vote from a damaged file.
test("a damaged metadata file is rejected", async (t) => {
    const cluster = await startCluster(t);
    await cluster.waitForNotes(await addNotes(cluster, "n", 1));
    await cluster.stopMember("d3");
    flipByte(join(cluster.folder("d3"), "metadata"), 18);
    await t.throwsAsync(cluster.startMember("d3"), { name: "StorageError", message: /metadata is damaged/ });
    cluster.network.remove("d3");
});

// Guards against a voter with an emptied disk that votes under its old identity or bootstraps a second cluster.
test("a voter with an emptied folder becomes a voter under a new identity", async (t) => {
    const cluster = await startCluster(t);
    const ids = await addNotes(cluster, "n", 5);
    const before = cluster.member("d1").log.status();
    await cluster.stopMember("d1");
    cluster.emptyFolder("d1");
    const rest = ["d2", "d3"];
    cluster.network.isolate("d1", rest);
    await cluster.startMember("d1");
    await cluster.leader(rest);
    await cluster.addNote("meanwhile", "d2");
    t.deepEqual(cluster.member("d1").log.status().voterIds, [], "it must not bootstrap a cluster alone");
    t.false(cluster.member("d1").log.isCurrent);
    cluster.network.heal();
    await cluster.waitFor(
        "d1 as a voter",
        () => ["follower", "leader"].includes(cluster.member("d1").log.role) ? true : undefined,
    );
    t.not(cluster.member("d1").log.status().memberId, before.memberId);
    await cluster.waitForNotes([...ids, "meanwhile"]);
    // The new voter counts: it forms a majority with one other voter.
    await cluster.stopMember("d2");
    await cluster.leader(["d1", "d3"]);
    await cluster.addNote("with d1", "d3");
    await cluster.waitForNotes([...ids, "meanwhile", "with d1"]);
});

// Guards against a voter that was restored from an older copy and helps to elect a leader without the newest entries.
test("a voter with an older copy of its files is detected and rejoins", async (t) => {
    const cluster = await startCluster(t);
    const first = await addNotes(cluster, "old", 3);
    await cluster.waitForNotes(first);
    cluster.saveFolder("d3");
    const second = await addNotes(cluster, "new", 3);
    await cluster.waitForNotes([...first, ...second]);
    const before = cluster.member("d3").log.status().memberId;
    await cluster.stopMember("d3");
    cluster.restoreSavedFolder("d3");
    await cluster.startMember("d3");
    await cluster.waitFor("a new identity as a voter", () => {
        const { memberId, role } = cluster.member("d3").log.status();
        return memberId !== before && role !== "learner" ? true : undefined;
    });
    await cluster.waitForNotes([...first, ...second]);
    t.pass();
});

// Guards against an older copy that goes undetected because a restart lost the peers' high-water marks.
test("an older copy is also detected when all voters restart together", async (t) => {
    const cluster = await startCluster(t);
    const first = await addNotes(cluster, "old", 3);
    await cluster.waitForNotes(first);
    cluster.saveFolder("d3");
    const second = await addNotes(cluster, "new", 3);
    await cluster.waitForNotes([...first, ...second]);
    const before = cluster.member("d3").log.status().memberId;
    // High-water marks are saved once per second.
    const marks = join(cluster.folder((await cluster.leader()).daemonId), "marks");
    const committedAtMs = Date.now();
    await cluster.waitFor(
        "high-water marks on the leader's disk",
        () => existsSync(marks) && statSync(marks).mtimeMs >= committedAtMs ? true : undefined,
    );
    await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
    cluster.restoreSavedFolder("d3");
    await Promise.all(cluster.ids.map((id) => cluster.startMember(id)));
    await cluster.waitFor("a new identity as a voter", () => {
        const { memberId, role } = cluster.member("d3").log.status();
        return memberId !== before && role !== "learner" ? true : undefined;
    });
    await cluster.waitForNotes([...first, ...second]);
    t.pass();
});

// Guards against acknowledging an entry after a sync failed, because the outcome of the write is unknown.
test("a failed sync is reported once and nothing is acknowledged afterwards", async (t) => {
    let isBroken = false;
    let failures = 0;
    const cluster = await startCluster(t, {
        voters: 1,
        raft: {
            syncFile: async (file) => {
                if (isBroken) {
                    throw new Error("input/output error");
                }
                await file.sync();
            },
            onStorageFailure: () => {
                failures += 1;
            },
        },
    });
    await cluster.addNote("a", "d1");
    isBroken = true;
    await t.throwsAsync(cluster.addNote("b", "d1", 300), { message: /no commit/ });
    isBroken = false;
    await t.throwsAsync(cluster.addNote("c", "d1", 300), { message: /no commit/ });
    t.is(failures, 1);
    t.deepEqual(cluster.member("d1").notes.ids, ["a"]);
});

// Guards against a member that can't catch up once the entries it needs have been discarded.
test("a voter and a learner catch up from a snapshot after hundreds of entries", async (t) => {
    const timing = { snapshotIntervalEntries: 50, retainedEntries: 20 };
    const cluster = await startCluster(t, { learners: 1, raft: { timing } });
    const first = await addNotes(cluster, "a", 5);
    await cluster.stopMember("d3");
    await cluster.stopMember("d4");
    const second = await addNotes(cluster, "b", 300);
    t.true(cluster.member("d1").log.status().firstLogIndex > 200);
    await cluster.startMember("d3");
    await cluster.startMember("d4");
    await cluster.waitForNotes([...first, ...second]);
    await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
    await Promise.all(cluster.ids.map((id) => cluster.startMember(id)));
    await cluster.waitForNotes([...first, ...second]);
    // Duplicate commands are still recognised after the snapshot and the restart.
    t.is(await cluster.addNote("a1", "d3"), 0);
    t.is(cluster.member("d3").notes.ids.length, 305);
});
