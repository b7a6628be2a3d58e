import { Random, sleep } from "@greengage/base";
import test from "ava";
import { TestCluster } from "./fixture.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const STEPS = 40;

/** Random faults and repairs. At most one voter at a time is down, has lost its disk or runs on an older copy of it. */
const faults: Record<string, (cluster: TestCluster, random: Random) => Promise<void>> = {
    restart: async (cluster, random) => {
        await cluster.restart(random.pick(cluster.ids));
    },
    isolate: async (cluster, random) => {
        cluster.network.isolate(random.pick(cluster.ids), cluster.ids);
    },
    heal: async (cluster) => {
        cluster.network.heal();
    },
    delay: async (cluster, random) => {
        cluster.network.maxDelayMs = random.nextInt(30);
    },
    loseAnswers: async (cluster) => {
        cluster.network.lostAnswerShare = 0.2;
    },
    restartAll: async (cluster) => {
        await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
        await Promise.all(cluster.ids.map((id) => cluster.startMember(id)));
    },
    emptyFolder: async (cluster, random) => {
        await replaceFiles(cluster, random, (id) => cluster.emptyFolder(id));
    },
    olderCopy: async (cluster, random) => {
        await replaceFiles(cluster, random, (id) => cluster.restoreSavedFolder(id));
    },
};

/** Restarts a voter with replaced files and waits until it is a voter again: losing two disks loses the majority. */
const replaceFiles = async (
    cluster: TestCluster,
    random: Random,
    replace: (daemonId: string) => void,
): Promise<void> => {
    const id = random.pick(cluster.ids.slice(0, 3));
    cluster.network.heal();
    await cluster.stopMember(id);
    replace(id);
    await cluster.startMember(id);
    await cluster.waitFor(`${id} as a voter`, () => {
        const { role, isCurrent } = cluster.member(id).log.status();
        return role !== "learner" && isCurrent ? true : undefined;
    });
};

/** Describes the first difference between applied ids: each member's list must be a prefix of the longest one. */
const firstDifference = (cluster: TestCluster, longest: string[]): string | undefined => {
    for (const { daemonId, notes } of cluster.members.values()) {
        if (notes.ids.length > longest.length) {
            longest.push(...notes.ids.slice(longest.length));
        }
        const position = notes.ids.findIndex((id, index) => longest[index] !== id);
        if (position >= 0) {
            return `${daemonId} has ${notes.ids[position]} at ${position}, another member has ${
                longest[position]
            }`;
        }
    }
    return undefined;
};

for (const seed of SEEDS) {
    // Guards against committed entries that differ or vanish, and against two leaders in one term.
    test.serial(`committed entries neither differ nor vanish under random faults, seed ${seed}`, async (t) => {
        const random = new Random(seed);
        const timing = { snapshotIntervalEntries: 15, retainedEntries: 5 };
        const cluster = new TestCluster({ learners: 1, seed, raft: { timing } });
        t.teardown(() => cluster.stop());
        await cluster.start();
        await cluster.leader();
        cluster.ids.slice(0, 3).forEach((id) => cluster.saveFolder(id));
        const accepted: string[] = [];
        const longest: string[] = [];
        const pending: Promise<void>[] = [];
        for (let step = 0; step < STEPS; step += 1) {
            for (let count = 0; count < 3; count += 1) {
                const id = `s${step}-${count}`;
                const at = random.pick([...cluster.members.keys()]);
                pending.push(
                    cluster.addNote(id, at, 1_500).then(() => void accepted.push(id), () => undefined),
                );
            }
            if (step % 3 === 2) {
                await faults[random.pick(Object.keys(faults))]?.(cluster, random);
            }
            await sleep(random.nextInt(60));
            t.is(firstDifference(cluster, longest), undefined);
        }
        cluster.network.heal();
        cluster.network.maxDelayMs = 1;
        await Promise.all(pending);
        await cluster.leader();
        await cluster.addNote("last", "d1", 10_000);
        await cluster.waitFor("equal notes on all members", () => {
            const lists = [...cluster.members.values()].map(({ notes }) => notes.ids.join());
            return lists.every((list) => list === lists[0]) && lists[0]?.endsWith("last") ? true : undefined;
        });
        t.is(firstDifference(cluster, longest), undefined);
        const applied = new Set(cluster.member("d1").notes.ids);
        t.deepEqual(accepted.filter((id) => !applied.has(id)), [], "every accepted command was applied");
        t.true(accepted.length >= 10, `only ${accepted.length} commands were accepted`);
        const terms = cluster.leaderEvents.map((event) => event.details["term"]);
        t.is(new Set(terms).size, terms.length, `two leaders in one term: ${terms.join()}`);
    });
}
