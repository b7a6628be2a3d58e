import { sleep } from "@greengage/base";
import test from "ava";
import type { FileHandle } from "node:fs/promises";
import { noteIds, startCluster } from "./fixture.ts";

// Guards against a cluster that accepts no commands after the loss of its leader, and against lost committed entries.
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

// Guards against a leader that raises the high-water mark of a member that has not responded. The next candidate would
// then ignore that member's vote and miss a majority.
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

// Guards against uncommitted entries of a partitioned leader that survive alongside those of its successor.
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

// Guards against a partitioned member that deposes a working leader when it returns.
test.serial("a voter that returns from a partition does not raise the term", async (t) => {
    // Long enough that stalls of a busy machine do not cause an election by themselves.
    const cluster = await startCluster(t, { raft: { timing: { electionTimeoutMs: 600 } } });
    const leader = await cluster.leader();
    const other = cluster.ids.find((id) => id !== leader.daemonId) ?? "";
    const { term } = leader.log.status();
    cluster.network.isolate(other, cluster.ids);
    const cutAtMs = performance.now();
    await cluster.waitFor(
        "several election timeouts without a leader to pass",
        () => performance.now() - cutAtMs > 4_000 ? true : undefined,
    );
    cluster.network.heal();
    await cluster.addNote("a", other);
    await cluster.waitForNotes(["a"]);
    t.is(leader.log.role, "leader");
    t.is(leader.log.status().term, term);
});

// Guards against a restart that loses terms, votes or entries.
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
    // The other two voters are a majority, so d1 may learn of the new term only after the entry was committed.
    const termAfter = await cluster.waitFor("a new term on d1", () => {
        const { term } = cluster.member("d1").log.status();
        return term > termBefore ? term : undefined;
    });
    t.true(termAfter > termBefore);
});

// Guards against stale reads served by a deposed leader.
test.serial("a cut-off leader confirms no read", async (t) => {
    const cluster = await startCluster(t);
    const old = await cluster.leader();
    await cluster.addNote("a", old.daemonId);
    t.is(await old.log.readBarrier({ timeoutMs: 2_000 }), old.log.appliedIndex);
    cluster.network.isolate(old.daemonId, cluster.ids);
    await t.throwsAsync(old.log.readBarrier({ timeoutMs: 500 }), { message: /no leader confirmed/ });
});

// Guards against one sync per command, which would limit edits and actions to the sync rate of the disk.
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

// Guards against a cluster that elects no leader on slow disks: a vote must count even if storing it takes longer than
// the call timeout. One write of term and vote takes two syncs, here almost six times the timeout.
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
    t.is(cluster.leaderEvents.length, elections, "a leader with a slow disk stays the leader");
});

// Guards against slow writes at the start that delay all later elections: term and vote are only written in elections.
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
