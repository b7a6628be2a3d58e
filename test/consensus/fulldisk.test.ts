import { GreengageError, Random, sleep, Verdict } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import { readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import {
    noteIds,
    startCluster,
    type TestCluster,
    type TestClusterOptions,
    type TestMember,
} from "./fixture.ts";

const SEEDS = [1, 2, 3];
const FULL_DISK_TURNS = 12;
/** Time within which a change must be acknowledged while a majority of the disks has room. */
const CHANGE_LIMIT_MS = 5_000;
/** Upper bound of an election. Longer if the time for which writes are refused counted as the speed of the disk. */
const ELECTION_LIMIT_MS = 2_500;
/** Time within which a change must be acknowledged once all disks have room and there is a leader. */
const CALM_CHANGE_LIMIT_MS = 2_000;

interface FullDiskCluster {
    cluster: TestCluster;
    /** Errors that would have ended a process. */
    failures: unknown[];
}

const startFullDiskCluster = async (
    t: ExecutionContext,
    options: TestClusterOptions = {},
): Promise<FullDiskCluster> => {
    const failures: unknown[] = [];
    const onStorageFailure = (error: unknown): void => void failures.push(error);
    const cluster = await startCluster(t, { ...options, raft: { onStorageFailure, ...options.raft } });
    return { cluster, failures };
};

/** The leader and both followers of a cluster with three voters, once all of them are in contact. */
const rolesOf = async (
    cluster: TestCluster,
): Promise<{ leader: TestMember; followers: [TestMember, TestMember]; }> => {
    const leader = await cluster.leader();
    return await cluster.waitFor("two followers", () => {
        const [first, second] = [...cluster.members.values()].filter(({ log }) => log.role === "follower");
        return first === undefined || second === undefined
            ? undefined
            : { leader, followers: [first, second] };
    });
};

const waitForFullDisk = (cluster: TestCluster, { daemonId, log }: TestMember): Promise<true> =>
    cluster.waitFor(`a refused write on ${daemonId}`, () => log.status().isDiskFull || undefined);

/** Adds a note and repeats the proposal while its outcome is negative or unknown. Returns the time that it took. */
const addNoteWithRetries = async (cluster: TestCluster, id: string, daemonId: string): Promise<number> => {
    const startedAtMs = performance.now();
    for (;;) {
        try {
            await cluster.addNote(id, daemonId, 500);
            return performance.now() - startedAtMs;
        }
        catch (error) {
            if (performance.now() - startedAtMs > 2 * CHANGE_LIMIT_MS) {
                throw error;
            }
            await sleep(20);
        }
    }
};

for (const tornBytes of [0, 1, 20, Infinity]) {
    // Guards against a process that ends, or a log with a damaged record in it, after a write was refused midway.
    test.serial(`a record of which ${tornBytes} bytes fit on the disk is repeated`, async (t) => {
        const { cluster, failures } = await startFullDiskCluster(t);
        const { leader, followers: [follower] } = await rolesOf(cluster);
        const ids = ["before", ...noteIds("full", 5), "after"];
        await cluster.addNote("before", leader.daemonId);
        const disk = cluster.disk(follower.daemonId);
        disk.tornBytes = tornBytes;
        disk.isFull = true;
        for (const id of noteIds("full", 5)) {
            await cluster.addNote(id, leader.daemonId);
        }
        await waitForFullDisk(cluster, follower);
        t.is(failures.length, 0, "a refused write must not end the process");
        disk.isFull = false;
        await cluster.addNote("after", leader.daemonId);
        await cluster.waitForNotes(ids);
        await cluster.waitFor("room", () => follower.log.status().isDiskFull ? undefined : true);
        // A torn record in the middle of the log would be rejected as damage.
        await cluster.restart(follower.daemonId);
        await cluster.waitForNotes(ids);
    });
}

// Guards against a snapshot that is lost, or replaced by a part of itself, when the disk becomes full meanwhile.
test.serial("a snapshot that doesn't fit on the disk leaves the former one in place", async (t) => {
    const timing = { snapshotIntervalEntries: 10, retainedEntries: 2 };
    const { cluster, failures } = await startFullDiskCluster(t, { raft: { timing } });
    const { leader, followers: [follower] } = await rolesOf(cluster);
    const first = noteIds("a", 12);
    for (const id of first) {
        await cluster.addNote(id, leader.daemonId);
    }
    await cluster.waitForNotes(first);
    const path = join(cluster.folder(follower.daemonId), "snapshot");
    const snapshot = await cluster.waitFor("a snapshot", () => {
        try {
            return readFileSync(path);
        }
        catch {
            return undefined;
        }
    });
    const disk = cluster.disk(follower.daemonId);
    disk.tornBytes = 30;
    disk.isFull = true;
    const second = noteIds("b", 40);
    for (const id of second) {
        await cluster.addNote(id, leader.daemonId);
    }
    await waitForFullDisk(cluster, follower);
    t.deepEqual(readFileSync(path), snapshot);
    // A process that ends now starts with what it had acknowledged.
    disk.isFull = false;
    await cluster.restart(follower.daemonId);
    await cluster.waitForNotes([...first, ...second]);
    t.is(failures.length, 0);
});

// Guards against a vote that a voter answers before it is durable, or that it never gives after its disk has room.
test.serial("a voter with a full disk grants no vote until it can store it", async (t) => {
    const { cluster, failures } = await startFullDiskCluster(t);
    const { leader, followers: [voter, candidate] } = await rolesOf(cluster);
    await cluster.addNote("before", leader.daemonId);
    await cluster.waitForNotes(["before"]);
    const path = join(cluster.folder(voter.daemonId), "metadata");
    const metadata = readFileSync(path);
    const disk = cluster.disk(voter.daemonId);
    disk.tornBytes = 10;
    disk.isFull = true;
    const elections = cluster.leaderEvents.length;
    await cluster.stopMember(leader.daemonId);
    await sleep(1_500);
    t.is(cluster.leaderEvents.length, elections, "one vote of three must not elect a leader");
    t.deepEqual(readFileSync(path), metadata);
    disk.isFull = false;
    const elapsedMs = await addNoteWithRetries(cluster, "after", candidate.daemonId);
    t.true(elapsedMs < ELECTION_LIMIT_MS, `${elapsedMs} ms`);
    t.is(failures.length, 0);
});

// Guards against changes with an unknown outcome, and against an election, while the one voter that is needed for a
// majority has a full disk.
test.serial("changes are refused as not run while the voter that a majority needs has a full disk", async (t) => {
    const { cluster, failures } = await startFullDiskCluster(t);
    const { leader, followers: [needed, stopped] } = await rolesOf(cluster);
    await cluster.addNote("before", leader.daemonId);
    await cluster.stopMember(stopped.daemonId);
    await sleep(500);
    const { term } = leader.log.status();
    cluster.disk(needed.daemonId).isFull = true;
    // The leader notices the full disk by the first change, whose outcome is unknown until the disk has room.
    await t.throwsAsync(cluster.addNote("first", leader.daemonId, 300));
    const error = await t.throwsAsync(cluster.addNote("second", leader.daemonId, 300), {
        instanceOf: GreengageError,
        message: /full disks leave no majority/,
    });
    t.is(error.verdict, Verdict.NotRun);
    t.true(await leader.log.readBarrier({ timeoutMs: 1_000 }) > 0, "reads are served meanwhile");
    await sleep(1_000);
    cluster.disk(needed.daemonId).isFull = false;
    const elapsedMs = await addNoteWithRetries(cluster, "after", needed.daemonId);
    t.true(elapsedMs < CALM_CHANGE_LIMIT_MS, `${elapsedMs} ms`);
    t.is(leader.log.status().term, term, "the leader stays the leader");
    await cluster.startMember(stopped.daemonId);
    await cluster.waitForNotes(["before", "first", "after"]);
    t.is(failures.length, 0);
});

// Guards against a leader that keeps the leadership although it can store nothing.
test.serial("a leader with a full disk steps down and forwards changes to its successor", async (t) => {
    const { cluster, failures } = await startFullDiskCluster(t);
    const { leader } = await rolesOf(cluster);
    await cluster.addNote("before", leader.daemonId);
    await cluster.waitForNotes(["before"]);
    cluster.disk(leader.daemonId).tornBytes = 12;
    cluster.disk(leader.daemonId).isFull = true;
    const elapsedMs = await addNoteWithRetries(cluster, "during", leader.daemonId);
    t.true(elapsedMs < CHANGE_LIMIT_MS, `${elapsedMs} ms`);
    t.not((await cluster.leader()).daemonId, leader.daemonId);
    t.deepEqual(leader.notes.ids, ["before"], "it applies nothing that it can't store");
    await cluster.waitFor(
        "a state that others don't take for the latest",
        () => leader.log.status().leaderContactAgeMs === Infinity || undefined,
    );
    cluster.disk(leader.daemonId).isFull = false;
    await cluster.waitForNotes(["before", "during"]);
    t.true(leader.log.status().leaderContactAgeMs < CALM_CHANGE_LIMIT_MS);
    t.is(failures.length, 0);
});

// Guards against a learner that keeps fetching from a voter which a full disk holds back.
test.serial("a learner leaves a parent whose disk is full", async (t) => {
    const { cluster } = await startFullDiskCluster(t, { learners: 3 });
    const { leader, followers: [follower] } = await rolesOf(cluster);
    const child = [...cluster.members.values()].find(({ log }) =>
        log.status().parentId === follower.daemonId
    );
    if (child === undefined) {
        throw new Error("no learner fetches from a follower");
    }
    await cluster.addNote("before", leader.daemonId);
    await cluster.waitForNotes(["before"]);
    cluster.disk(follower.daemonId).isFull = true;
    await cluster.addNote("during", leader.daemonId);
    const startedAtMs = performance.now();
    await cluster.waitFor("the note on the learner", () => child.notes.ids.includes("during") || undefined);
    const elapsedMs = performance.now() - startedAtMs;
    t.true(elapsedMs < 2_000, `${elapsedMs} ms`);
    t.true(follower.log.status().isDiskFull);
});

// Guards against a start that ends, or that loses the state on the disk, because the disk is full.
test.serial("a voter starts on a full disk and takes part once there is room", async (t) => {
    const { cluster, failures } = await startFullDiskCluster(t);
    const { leader, followers: [follower] } = await rolesOf(cluster);
    await cluster.addNote("before", leader.daemonId);
    await cluster.waitForNotes(["before"]);
    const { daemonId } = follower;
    await cluster.stopMember(daemonId);
    cluster.disk(daemonId).isFull = true;
    const restarted = await cluster.startMember(daemonId);
    t.deepEqual(restarted.notes.ids, ["before"]);
    await cluster.addNote("during", leader.daemonId);
    await waitForFullDisk(cluster, restarted);
    cluster.disk(daemonId).isFull = false;
    await cluster.waitForNotes(["before", "during"]);
    // The voter counts: it forms a majority with one other voter.
    const third = cluster.ids.find((id) => id !== daemonId && id !== leader.daemonId) ?? "";
    await cluster.stopMember(third);
    await cluster.addNote("after", daemonId);
    t.is(failures.length, 0);
});

// Guards against a new member that fails to start, or starts without a durable identity, because its disk is full.
test.serial("a member with an empty folder waits for room before it takes an identity", async (t) => {
    const { cluster, failures } = await startFullDiskCluster(t);
    await cluster.leader();
    await cluster.addNote("before", "d1");
    await cluster.stopMember("d3");
    cluster.emptyFolder("d3");
    cluster.disk("d3").isFull = true;
    let hasStarted = false;
    const starting = cluster.startMember("d3").then(() => {
        hasStarted = true;
    });
    await sleep(500);
    t.false(hasStarted);
    cluster.disk("d3").isFull = false;
    await starting;
    await cluster.waitFor(
        "d3 as a voter",
        () => cluster.member("d3").log.role === "learner" ? undefined : true,
    );
    await cluster.waitForNotes(["before"]);
    t.is(failures.length, 0);
});

// Guards against a process that can't be stopped while its writes are refused.
test.serial("a member stops while its disk is full", async (t) => {
    const { cluster } = await startFullDiskCluster(t);
    const { leader, followers: [follower] } = await rolesOf(cluster);
    cluster.disk(follower.daemonId).isFull = true;
    await cluster.addNote("a", leader.daemonId);
    await waitForFullDisk(cluster, follower);
    const startedAtMs = performance.now();
    await cluster.stopMember(follower.daemonId);
    t.true(performance.now() - startedAtMs < 2_000);
});

for (const code of ["ENOSPC", "EIO"]) {
    // Guards against a failed sync that is taken for a refused write: what it leaves on the disk is unknown.
    test.serial(`a sync that fails with ${code} ends the process`, async (t) => {
        let isBroken = false;
        const { cluster, failures } = await startFullDiskCluster(t, {
            voters: 1,
            raft: {
                syncFile: async (file) => {
                    if (isBroken) {
                        throw Object.assign(new Error(code), { code });
                    }
                    await file.sync();
                },
            },
        });
        await cluster.leader();
        isBroken = true;
        await t.throwsAsync(cluster.addNote("a", "d1", 300), { message: /no commit/ });
        t.is(failures.length, 1);
    });
}

// Guards against a write error with an unknown outcome that is repeated.
test.serial("a write that fails for another reason than room ends the process", async (t) => {
    let isBroken = false;
    const { cluster, failures } = await startFullDiskCluster(t, {
        voters: 1,
        raft: {
            writeFile: async (file, bytes) => {
                if (isBroken) {
                    throw Object.assign(new Error("EIO: i/o error, write"), { code: "EIO" });
                }
                await file.writeFile(bytes);
            },
        },
    });
    await cluster.leader();
    isBroken = true;
    await t.throwsAsync(cluster.addNote("a", "d1", 300), { message: /no commit/ });
    t.is(failures.length, 1);
});

/** Fills the disks of the voters in turn, each for two to four election timeouts and never two at once. */
const fillDisksInTurn = async (cluster: TestCluster, random: Random): Promise<void> => {
    for (let turn = 0; turn < FULL_DISK_TURNS; turn += 1) {
        const leaderId = cluster.ids.find((id) => cluster.members.get(id)?.log.role === "leader");
        const daemonId = random.nextFloat() < 0.3 && leaderId !== undefined
            ? leaderId
            : cluster.ids[turn % 3] ?? "";
        const disk = cluster.disk(daemonId);
        disk.tornBytes = random.nextInt(40);
        disk.takesMetadata = random.nextFloat() < 0.5;
        disk.isFull = true;
        await sleep(300 + random.nextInt(300));
        disk.isFull = false;
        await sleep(random.nextInt(200));
    }
};

for (const seed of SEEDS) {
    // Guards against changes that are refused or unanswered long after the last full disk has room again.
    test.serial(`changes are acknowledged while and after disks are full in turn, seed ${seed}`, async (t) => {
        const timing = { snapshotIntervalEntries: 15, retainedEntries: 5 };
        const { cluster, failures } = await startFullDiskCluster(t, { seed, raft: { timing } });
        const random = new Random(seed);
        await cluster.leader();
        const accepted: string[] = [];
        const slowest = { durationMs: 0, id: "" };
        let isOver = false;
        const changing = (async () => {
            for (let count = 1; !isOver; count += 1) {
                const id = `n${count}`;
                const durationMs = await addNoteWithRetries(cluster, id, cluster.ids[count % 3] ?? "");
                accepted.push(id);
                if (durationMs > slowest.durationMs) {
                    Object.assign(slowest, { durationMs, id });
                }
                await sleep(10);
            }
        })();
        const unableLeaders = new Set<string>();
        const watching = (async () => {
            while (!isOver) {
                for (const { daemonId, log } of cluster.members.values()) {
                    const { role, term, isDiskFull } = log.status();
                    if (role === "leader" && isDiskFull) {
                        unableLeaders.add(`${daemonId} in term ${term}`);
                    }
                }
                await sleep(5);
            }
        })();
        await fillDisksInTurn(cluster, random);
        isOver = true;
        await Promise.all([changing, watching]);
        t.deepEqual([...unableLeaders], [], "a member with a full disk must not lead");
        t.true(slowest.durationMs < CHANGE_LIMIT_MS, `${slowest.id} took ${slowest.durationMs} ms`);
        await cluster.leader();
        for (const id of cluster.ids) {
            const durationMs = await addNoteWithRetries(cluster, `after-${id}`, id);
            accepted.push(`after-${id}`);
            t.true(durationMs < CALM_CHANGE_LIMIT_MS, `a change through ${id} took ${durationMs} ms`);
        }
        await cluster.waitForNotes(accepted);
        t.is(failures.length, 0, "no process ends");
        t.true(cluster.ids.some((id) => cluster.disk(id).refusedCount > 0));
        for (const id of cluster.ids) {
            await cluster.restart(id);
            t.true(statSync(join(cluster.folder(id), "log")).size > 0);
        }
        await cluster.waitForNotes(accepted);
        t.log(`${accepted.length} changes, the slowest took ${Math.round(slowest.durationMs)} ms`);
    });
}
