import test from "ava";
import { noteIds, TestCluster } from "./fixture.ts";
import { SEEDS, startSeeded, startSpare, votersOf } from "./seeded.ts";

// Guards against a cluster that loses its fault tolerance: a lost disk must be replaced without an operator.
test("a new daemon with an empty folder replaces a lost voter", async (t) => {
    const cluster = await startSeeded(t);
    const ids = noteIds("n", 5);
    for (const id of ids) {
        await cluster.addNote(id, "d1");
    }
    await cluster.stopMember("d3");
    await cluster.startMember("d4", { bootstrap: false });
    await cluster.waitFor("d4 as a voter", () => votersOf(cluster) === "d1,d2,d4" ? true : undefined);
    await cluster.waitForNotes(ids);
    await cluster.stopMember("d1");
    await cluster.addNote("after", "d2", 10_000);
    await cluster.waitForNotes([...ids, "after"]);
    t.is(votersOf(cluster), "d1,d2,d4");
});

test("a waiting daemon does not replace a voter that is only slow to respond", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.startMember("d4", { bootstrap: false });
    await cluster.addNote("one", "d1");
    await cluster.waitForNotes(["one"]);
    t.is(votersOf(cluster), "d1,d2,d3");
});

// Guards against a replaced voter that returns, still takes itself for a voter and disrupts the cluster.
test("a voter that was replaced while it was partitioned detects this and continues as a spare", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.addNote("one", "d1");
    const lostId = SEEDS.find((id) => cluster.member(id).log.role !== "leader") ?? "";
    cluster.network.isolate(lostId, [...SEEDS, "d4"]);
    await cluster.startMember("d4", { bootstrap: false });
    await cluster.waitFor("the replacement", () => votersOf(cluster).includes("d4") ? true : undefined);
    await cluster.addNote("two", "d4");
    cluster.network.heal();
    await cluster.waitForNotes(["one", "two"]);
    t.false(votersOf(cluster).includes(lostId));
    await cluster.addNote("three", lostId, 10_000);
    await cluster.waitForNotes(["one", "two", "three"]);
});

test("a daemon whose folder was emptied returns under a new identity", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.addNote("one", "d1");
    await cluster.stopMember("d2");
    cluster.emptyFolder("d2");
    const identity = votersOf(cluster);
    await cluster.startMember("d2", { bootstrap: false });
    await cluster.waitForNotes(["one"]);
    t.is(identity, SEEDS.join());
    await cluster.waitFor("three voters", () => votersOf(cluster) === SEEDS.join() ? true : undefined);
});

/** Longer than the test's time limit, so that the test fails if a restart has to wait for it. */
const LONG_IDENTITY_CHECK_MS = 60_000;

// Guards against identity checks that need a response from every voter in a single round. When all voters restart
// together each of them is busy, and the cluster had no leader until the check timed out.
test("voters that restart together count the responses of several rounds", async (t) => {
    const cluster = new TestCluster({
        voters: 5,
        raft: { timing: { identityCheckMs: LONG_IDENTITY_CHECK_MS } },
    });
    t.teardown(() => cluster.stop());
    await cluster.start();
    await cluster.addNote("one", "d1");
    await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
    cluster.network.lostAnswerType = "raft.status";
    cluster.network.lostAnswerShare = 0.75;
    await Promise.all(cluster.ids.map((id) => cluster.startMember(id)));
    await cluster.leader();
    await cluster.waitForNotes(["one"]);
    t.pass();
});

/** Ids of the voters by the role of the one that stops. */
const stoppingVoter: Record<string, (leaderId: string) => string> = {
    leader: (leaderId) => leaderId,
    follower: (leaderId) => SEEDS.find((id) => id !== leaderId) ?? "",
};

for (const [role, select] of Object.entries(stoppingVoter)) {
    // Guards against a planned replacement after which the loss of one disk takes the majority for good: the successor
    // was no voter until the old one had been silent for a while.
    test(`a disk may be lost as soon as a ${role} that has a successor has stopped`, async (t) => {
        const cluster = await startSeeded(t);
        await cluster.addNote("one", "d1");
        await startSpare(cluster, "d4");
        const stoppingId = select((await cluster.leader()).daemonId);
        t.true(await cluster.member(stoppingId).log.handOverVote({ timeoutMs: 2_000 }));
        await cluster.stopMember(stoppingId);
        const lostId = SEEDS.find((id) => id !== stoppingId) ?? "";
        await cluster.stopMember(lostId);
        cluster.emptyFolder(lostId);
        await cluster.startMember(lostId, { bootstrap: false });
        await cluster.addNote("two", "d4", 10_000);
        await cluster.waitForNotes(["one", "two"]);
        await cluster.waitFor(
            "three voters",
            () => votersOf(cluster).split(",").length === 3 ? true : undefined,
        );
        t.false(votersOf(cluster).includes(stoppingId));
    });
}

test("a voter that stops without a successor keeps its vote", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.addNote("one", "d1");
    for (const id of SEEDS) {
        t.false(await cluster.member(id).log.handOverVote({ timeoutMs: 1_000 }));
        await cluster.restart(id);
        await cluster.waitForNotes(["one"]);
        t.is(votersOf(cluster) || SEEDS.join(), SEEDS.join());
    }
    await cluster.addNote("two", "d1", 10_000);
    await cluster.waitForNotes(["one", "two"]);
});

// Guards against a voter too many, whose loss would count, after a leader that ended between the two changes of a handover.
test("a voter that stopped during a handover is removed by the next leader", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.addNote("one", "d1");
    await startSpare(cluster, "d4");
    const { daemonId: leaderId } = await cluster.leader();
    const stoppingId = SEEDS.find((id) => id !== leaderId) ?? "";
    const handover = cluster.member(stoppingId).log.handOverVote({ timeoutMs: 500 });
    await cluster.waitFor("the fourth voter", () => votersOf(cluster).includes("d4") ? true : undefined);
    await Promise.all([cluster.stopMember(stoppingId), cluster.stopMember(leaderId)]);
    await handover;
    await cluster.startMember(leaderId, { bootstrap: false });
    await cluster.waitFor("three voters", () => {
        const voters = votersOf(cluster);
        return voters !== "" && !voters.includes(stoppingId) ? true : undefined;
    });
    await cluster.addNote("two", "d4", 10_000);
    await cluster.waitForNotes(["one", "two"]);
    t.is(votersOf(cluster).split(",").length, 3);
});

// Guards against a former voter that votes again after it was replaced, whatever it held when it stopped.
test("a voter that was replaced when it stopped returns as a spare", async (t) => {
    const cluster = await startSeeded(t);
    await cluster.addNote("one", "d1");
    await startSpare(cluster, "d4");
    const { daemonId: stoppingId } = await cluster.leader();
    t.true(await cluster.member(stoppingId).log.handOverVote({ timeoutMs: 2_000 }));
    await cluster.restart(stoppingId);
    await cluster.addNote("two", "d4", 10_000);
    await cluster.waitForNotes(["one", "two"]);
    t.false(votersOf(cluster).includes(stoppingId));
    await cluster.waitFor(
        "the spare",
        () => cluster.member(stoppingId).log.role === "learner" ? true : undefined,
    );
});

// Guards against a cluster that tolerates one loss only after the first of several planned replacements.
test("a disk may be lost after two voters have been replaced one after the other", async (t) => {
    let seedIds = SEEDS;
    const cluster = await startSeeded(t, () => seedIds);
    await cluster.addNote("one", "d1");
    for (const [stoppingId, spareId] of [["d1", "d4"], ["d2", "d5"]] as const) {
        await startSpare(cluster, spareId);
        t.true(await cluster.member(stoppingId).log.handOverVote({ timeoutMs: 2_000 }));
        await cluster.stopMember(stoppingId);
    }
    seedIds = ["d3", "d4", "d5"];
    await cluster.stopMember("d3");
    cluster.emptyFolder("d3");
    await cluster.startMember("d3", { bootstrap: false });
    await cluster.addNote("two", "d4", 10_000);
    await cluster.waitForNotes(["one", "two"]);
    await cluster.waitFor("three voters", () => votersOf(cluster) === "d3,d4,d5" ? true : undefined);
});
