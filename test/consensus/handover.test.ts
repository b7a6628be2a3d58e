import { sleep } from "@greengage/base";
import test from "ava";
import type { TestCluster } from "./fixture.ts";
import { SEEDS, startSeeded, startSpare, votersOf } from "./seeded.ts";

/** Longer than the tests, so that a lost voter keeps its place and the spare is left for the voter that stops. */
const REPLACE_LOST_AFTER_MS = 60_000;
const HANDOVER_LIMIT_MS = 7_000;

interface Handover {
    cluster: TestCluster;
    leaderId: string;
    stoppingId: string;
}

const prepareHandover = async (t: { teardown(cleanup: () => Promise<void>): void; }): Promise<Handover> => {
    const cluster = await startSeeded(t, () => SEEDS, REPLACE_LOST_AFTER_MS);
    await cluster.addNote("one", "d1");
    const { daemonId: leaderId } = await cluster.leader();
    return { cluster, leaderId, stoppingId: SEEDS.find((id) => id !== leaderId) ?? "" };
};

const loseWithDisk = async (cluster: TestCluster, daemonId: string): Promise<void> => {
    await cluster.stopMember(daemonId);
    cluster.emptyFolder(daemonId);
};

/** Loses the leader, with its disk, by the moment at which the hand-over begins. Resolves to the result of the hand-over. */
const leaderLosses: Record<
    string,
    (handover: Handover, handOver: () => Promise<boolean>) => Promise<boolean>
> = {
    "right before": async ({ cluster, leaderId }, handOver) => {
        await loseWithDisk(cluster, leaderId);
        return await handOver();
    },
    "at the same time": async ({ cluster, leaderId }, handOver) => {
        const result = handOver();
        await loseWithDisk(cluster, leaderId);
        return await result;
    },
    "during the call": async ({ cluster, leaderId }, handOver) => {
        const result = handOver();
        await sleep(cluster.network.maxDelayMs);
        await loseWithDisk(cluster, leaderId);
        return await result;
    },
    "after it has stood still": async ({ cluster, leaderId }, handOver) => {
        cluster.network.freeze(leaderId);
        const isReplaced = await handOver();
        await loseWithDisk(cluster, leaderId);
        cluster.network.heal();
        return isReplaced;
    },
};

// Guards against a voter that asks only one leader, once: if that one is lost, too, the majority is gone for good although a
// spare with the whole log is there.
for (const [moment, loseLeader] of Object.entries(leaderLosses)) {
    test(`a voter that stops is replaced if the leader is lost ${moment}`, async (t) => {
        const handover = await prepareHandover(t);
        const { cluster, leaderId, stoppingId } = handover;
        await startSpare(cluster, "d4");
        const { log } = cluster.member(stoppingId);
        t.true(await loseLeader(handover, () => log.handOverVote({ timeoutMs: HANDOVER_LIMIT_MS })));
        await cluster.stopMember(stoppingId);
        await cluster.startMember(leaderId, { bootstrap: false });
        await cluster.addNote("two", "d4", 10_000);
        await cluster.waitForNotes(["one", "two"]);
        await cluster.waitFor(
            "three voters",
            () => votersOf(cluster).split(",").length === 3 ? true : undefined,
        );
        t.false(votersOf(cluster).includes(stoppingId));
    });
}

test("a voter that stops is replaced although responses of the leader are lost", async (t) => {
    const { cluster, stoppingId } = await prepareHandover(t);
    await startSpare(cluster, "d4");
    cluster.network.lostAnswerType = "raft.leave";
    cluster.network.lostAnswerShare = 1;
    const handover = cluster.member(stoppingId).log.handOverVote({ timeoutMs: HANDOVER_LIMIT_MS });
    await cluster.waitFor("the successor", () => votersOf(cluster).includes("d4") ? true : undefined);
    cluster.network.heal();
    t.true(await handover);
});

// Guards against a restart without a spare that takes its whole grace period because the leader has just changed.
test("a voter that stops without a successor doesn't wait for one after the loss of the leader", async (t) => {
    const { cluster, leaderId, stoppingId } = await prepareHandover(t);
    await loseWithDisk(cluster, leaderId);
    const startedAtMs = performance.now();
    t.false(await cluster.member(stoppingId).log.handOverVote({ timeoutMs: 4 * HANDOVER_LIMIT_MS }));
    t.true(performance.now() - startedAtMs < HANDOVER_LIMIT_MS);
});
