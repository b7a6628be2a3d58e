import { sleep } from "@greengage/base";
import test from "ava";
import type { FileHandle } from "node:fs/promises";
import { noteIds, startCluster } from "./fixture.ts";

// Guards against a cluster that accepts nothing after the loss of its leader, and against lost committed entries.
test.serial("another voter leads after the leader's loss and keeps what was committed", async (t) => {
    const cluster = await startCluster(t, { learners: 1 });
    const first = await cluster.leader();
    await cluster.addNote("a", "d4");
    await cluster.stopMember(first.daemonId);
    const rest = cluster.ids.filter((id) => id !== first.daemonId);
    await cluster.leader(rest);
    await cluster.addNote("b", "d4");
    await cluster.waitForNotes(["a", "b"]);
    t.pass();
});

// Guards against a leader that claims an acknowledgement of a member that has not answered: without that member's
// vote the other one is no majority.
test.serial("a voter that the first leader never reached counts in the next election", async (t) => {
    const cluster = await startCluster(t);
    const first = await cluster.leader();
    const [unreached, reached] = cluster.ids.filter((id) => id !== first.daemonId) as [string, string];
    cluster.network.cut(first.daemonId, unreached);
    await cluster.restart(unreached);
    await cluster.addNote("a", reached);
    await cluster.addNote("b", reached);
    await cluster.stopMember(first.daemonId);
    await cluster.leader([unreached, reached]);
    await cluster.waitForNotes(["a", "b"]);
    t.pass();
});

// Guards against entries of a cut-off leader that survive beside those of its successor.
test.serial("an uncommitted entry of a cut-off leader is replaced, and its command is proposed again once", async (t) => {
    const cluster = await startCluster(t);
    const old = await cluster.leader();
    await cluster.addNote("a", old.daemonId);
    cluster.network.isolate(old.daemonId, cluster.ids);
    const late = cluster.addNote("late", old.daemonId, 10_000);
    const rest = cluster.ids.filter((id) => id !== old.daemonId);
    const next = await cluster.leader(rest);
    await cluster.addNote("b", next.daemonId);
    cluster.network.heal();
    t.is(await late, 2);
    await cluster.waitForNotes(["a", "b", "late"]);
});

// Guards against a member that was cut off and deposes a working leader on its return.
test.serial("a voter that returns from a partition does not raise the term", async (t) => {
    // Longer than the stalls of a busy machine, which would cause an election by themselves.
    const cluster = await startCluster(t, { raft: { timing: { electionTimeoutMs: 600 } } });
    const leader = await cluster.leader();
    const other = cluster.ids.find((id) => id !== leader.daemonId) ?? "";
    const { term } = leader.log.status();
    cluster.network.isolate(other, cluster.ids);
    const cutAtMs = performance.now();
    await cluster.waitFor(
        "several election timeouts without a leader",
        () => performance.now() - cutAtMs > 4_000 ? true : undefined,
    );
    cluster.network.heal();
    await cluster.addNote("a", other);
    await cluster.waitForNotes(["a"]);
    t.is(leader.log.role, "leader");
    t.is(leader.log.status().term, term);
});

// Guards against a restart that forgets terms, votes or entries.
test.serial("all voters restart together and keep every entry", async (t) => {
    const cluster = await startCluster(t, { learners: 1 });
    const ids = noteIds("n", 20);
    for (const id of ids) {
        await cluster.addNote(id, "d1");
    }
    const termBefore = cluster.member("d1").log.status().term;
    await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
    await Promise.all(cluster.ids.map((id) => cluster.startMember(id)));
    await cluster.waitForNotes(ids);
    await cluster.addNote("after", "d4");
    // The other two voters are a majority, so d1 may hear of the new term after the entry is committed.
    const termAfter = await cluster.waitFor("a new term on d1", () => {
        const { term } = cluster.member("d1").log.status();
        return term > termBefore ? term : undefined;
    });
    t.true(termAfter > termBefore);
});

// Guards against reads that a deposed leader answers from its own state.
test.serial("a cut-off leader confirms no read", async (t) => {
    const cluster = await startCluster(t);
    const old = await cluster.leader();
    await cluster.addNote("a", old.daemonId);
    t.is(await old.log.readBarrier({ timeoutMs: 2_000 }), old.log.appliedIndex);
    cluster.network.isolate(old.daemonId, cluster.ids);
    await t.throwsAsync(old.log.readBarrier({ timeoutMs: 500 }), { message: /no leader confirmed/ });
});

// Guards against one sync per command, which would limit the rate of edits and actions to that of the disk.
test.serial("proposals that arrive together share syncs", async (t) => {
    let syncCount = 0;
    const cluster = await startCluster(t, {
        raft: {
            syncFile: async (file) => {
                syncCount += 1;
                await file.sync();
            },
        },
    });
    const leader = await cluster.leader();
    await cluster.addNote("first", leader.daemonId);
    const before = syncCount;
    await Promise.all(noteIds("n", 300).map((id) => cluster.addNote(id, leader.daemonId)));
    t.true(syncCount - before < 300, `${syncCount - before} syncs on three voters for 300 commands`);
});

// Guards against a cluster without a leader on slow disks: a vote that comes after the time limit of one call must
// count. One write of term and vote takes two syncs, here almost six times the limit.
test.serial("a leader is elected while a vote takes longer to store than a call may take", async (t) => {
    const syncMs = 350;
    const syncFile = async (file: FileHandle): Promise<void> => {
        await sleep(syncMs);
        await file.sync();
    };
    const cluster = await startCluster(t, { raft: { syncFile } });
    await cluster.leader();
    await cluster.addNote("a", "d1", 10_000);
    await cluster.waitForNotes(["a"]);
    const elections = cluster.leaderEvents.length;
    await sleep(2_000);
    t.is(cluster.leaderEvents.length, elections, "a leader on a slow disk stays");
});

// Guards against a slow start that delays all later elections: term and vote are written at elections only.
test.serial("a leader's loss is noticed soon on disks that were slow at the start only", async (t) => {
    let syncMs = 350;
    const syncFile = async (file: FileHandle): Promise<void> => {
        await sleep(syncMs);
        await file.sync();
    };
    const cluster = await startCluster(t, { raft: { syncFile } });
    const first = await cluster.leader();
    syncMs = 0;
    await sleep(2_000);
    await cluster.stopMember(first.daemonId);
    const startedAtMs = performance.now();
    await cluster.leader(cluster.ids.filter((id) => id !== first.daemonId));
    const elapsedMs = performance.now() - startedAtMs;
    t.true(elapsedMs < 2_000, `${elapsedMs} ms; elections take two seconds at most`);
});
