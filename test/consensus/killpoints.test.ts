import test from "ava";
import { noteIds, TestCluster } from "./fixture.ts";
import { DiskLoss, KillableDisk } from "./killabledisk.ts";

const SNAPSHOT_INTERVAL_ENTRIES = 15;
const TIMING = { snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES, retainedEntries: 5 };
/** Clusters that run at the same time. */
const BATCH_SIZE = 8;
/** Limit for one note, as that of `waitForNotes`: the disks are slow while many clusters sync. */
const NOTE_LIMIT_MS = 20_000;
/** Replaces the syncs of members whose processes and VMs live on, as thousands of syncs would slow down other tests. */
const withoutSync = (): Promise<void> => Promise.resolve();
/** The member whose disk is lost. */
const VICTIM = "d3";

interface Phase {
    /** Brings the cluster to the beginning of the phase. Returns the notes added. */
    prepare: (cluster: TestCluster) => Promise<string[]>;
    /** Adds the notes that lead to the writes of the phase, once the victim runs. */
    run: (cluster: TestCluster) => Promise<string[]>;
}

const addNotes = async (cluster: TestCluster, ids: readonly string[]): Promise<string[]> => {
    for (const id of ids) {
        await cluster.addNote(id, "d1", NOTE_LIMIT_MS);
    }
    return [...ids];
};

const stopBeforeSnapshot = async (cluster: TestCluster): Promise<string[]> => {
    await cluster.startMember(VICTIM);
    const first = await addNotes(cluster, noteIds("first", 5));
    await cluster.waitForNotes(first);
    await cluster.stopMember(VICTIM);
    return [...first, ...await addNotes(cluster, noteIds("missed", 3 * SNAPSHOT_INTERVAL_ENTRIES))];
};

const phases: Record<string, Phase> = {
    "a voter that has lagged behind takes over a snapshot": {
        prepare: stopBeforeSnapshot,
        run: async (cluster) => await addNotes(cluster, noteIds("meanwhile", 3)),
    },
    "a voter with an emptied disk takes over a snapshot": {
        prepare: async (cluster) => {
            const ids = await stopBeforeSnapshot(cluster);
            cluster.emptyFolder(VICTIM);
            return ids;
        },
        run: async (cluster) => await addNotes(cluster, noteIds("meanwhile", 3)),
    },
    "a voter compacts its log": {
        prepare: async (cluster) => {
            await cluster.startMember(VICTIM);
            const ids = await addNotes(cluster, noteIds("first", SNAPSHOT_INTERVAL_ENTRIES - 4));
            await cluster.waitForNotes(ids);
            await cluster.stopMember(VICTIM);
            return ids;
        },
        run: async (cluster) => await addNotes(cluster, noteIds("second", 4)),
    },
};

/**
 * Loses the victim's process or power at one moment of the phase, starts it repeatedly with changes in between, and then
 * loses another voter with its disk once the victim is a voter again. Returns false if the phase has fewer moments.
 */
const surviveLoss = async (phase: Phase, loss: DiskLoss, step: number): Promise<boolean> => {
    const cluster = new TestCluster({ raft: { timing: TIMING, syncFile: withoutSync } });
    try {
        await Promise.all(["d1", "d2"].map((id) => cluster.startMember(id)));
        const ids = await phase.prepare(cluster);
        const onLost = (): void => cluster.network.remove(VICTIM);
        const disk = new KillableDisk({ folder: cluster.folder(VICTIM), loss, onLost });
        disk.arm(step);
        await cluster.startMember(VICTIM, disk);
        ids.push(...await phase.run(cluster));
        await Promise.race([disk.lost, cluster.waitForNotes(ids).catch(() => undefined)]);
        if (!disk.isLost) {
            return false;
        }
        await cluster.stopMember(VICTIM);
        disk.restore();
        for (const id of noteIds("start", 2)) {
            await cluster.startMember(VICTIM);
            ids.push(...await addNotes(cluster, [id]));
            await cluster.waitForNotes(ids);
            await cluster.stopMember(VICTIM);
        }
        await cluster.startMember(VICTIM);
        await cluster.waitFor(
            "the victim as a voter",
            () => cluster.member(VICTIM).log.role !== "learner" || undefined,
        );
        ids.push(...await addNotes(cluster, ["admitted"]));
        await cluster.waitForNotes(ids);
        await cluster.stopMember("d1");
        cluster.emptyFolder("d1");
        await cluster.addNote("after", VICTIM, NOTE_LIMIT_MS);
        await cluster.startMember("d1", { bootstrap: false });
        await cluster.waitForNotes([...ids, "after"]);
        return true;
    }
    finally {
        await cluster.stop();
    }
};

// Guards against a voter that ends at each start, or has lost what it acknowledged, after its process was killed or its VM
// lost power between two writes that belong together; the loss of one other disk then takes the majority for good.
for (const [title, phase] of Object.entries(phases)) {
    for (const loss of Object.values(DiskLoss)) {
        test.serial(`${title}, and starts again after each moment of it (${loss})`, async (t) => {
            const failures: string[] = [];
            let isReached = true;
            let step = 0;
            while (isReached) {
                const steps = Array.from({ length: BATCH_SIZE }, (_, offset) => step + offset);
                const results = await Promise.all(
                    steps.map((at) =>
                        surviveLoss(phase, loss, at).catch((error: unknown) => {
                            failures.push(`step ${at}: ${String(error)}`);
                            return true;
                        })
                    ),
                );
                isReached = results.every(Boolean);
                step += BATCH_SIZE;
            }
            t.log(`${step - BATCH_SIZE} moments or more`);
            t.deepEqual(failures, []);
        });
    }
}

// Guards against a log file whose name is not durable yet when the first entries in it are acknowledged.
test.serial("a change survives a loss of power on all VMs and of one disk right after it was acknowledged", async (t) => {
    const cluster = new TestCluster({ raft: { syncFile: withoutSync } });
    t.teardown(() => cluster.stop());
    const disks = cluster.ids.map((id) => {
        const onLost = (): void => cluster.network.remove(id);
        return new KillableDisk({ folder: cluster.folder(id), loss: DiskLoss.UnsyncedNames, onLost });
    });
    await Promise.all(cluster.ids.map((id, index) => cluster.startMember(id, disks[index])));
    await cluster.addNote("one", "d1");
    disks.forEach((disk) => disk.lose());
    await Promise.all(cluster.ids.map((id) => cluster.stopMember(id)));
    disks.forEach((disk) => disk.restore());
    cluster.emptyFolder("d1");
    await Promise.all(cluster.ids.map((id) => cluster.startMember(id, { bootstrap: false })));
    await cluster.addNote("two", "d2", NOTE_LIMIT_MS);
    await cluster.waitForNotes(["one", "two"]);
    t.pass();
});
