import { Cluster, type DaemonHandle } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

interface LogView {
    role: string;
    leaderId?: string;
    appliedIndex: number;
    isCurrent: boolean;
}

interface TableView {
    version: number;
    rows: { name: string; version: number; columns: { vmsPerReplica: number; }; }[];
}

interface EditView {
    outcome?: { status: string; tableVersion: number; };
    inForceZones?: string[];
    pendingZones?: string[];
    verdict?: string;
}

const startCluster = async (
    t: ExecutionContext,
    daemonsPerZone: Record<string, number>,
): Promise<Cluster> => {
    const cluster = new Cluster({ daemonsPerZone, proxied: true });
    t.teardown(() => cluster.stop());
    await cluster.start();
    return cluster;
};

const logOf = async (cluster: Cluster, daemon: DaemonHandle): Promise<LogView> =>
    (await cluster.callOperatorApi(daemon, "GET", "status") as { log: LogView; }).log;

const tableOf = async (cluster: Cluster, daemon: DaemonHandle): Promise<TableView> =>
    await cluster.callOperatorApi(daemon, "GET", "table") as TableView;

const editModel = async (
    cluster: Cluster,
    daemon: DaemonHandle,
    editId: string,
    baseVersion: number,
    vmsPerReplica: number,
): Promise<EditView> =>
    await cluster.callOperatorApi(daemon, "POST", "table", {
        editId,
        operator: "thandi",
        changes: [{ kind: "model", name: "m", baseVersion, columns: { vmsPerReplica } }],
    }) as EditView;

const leaderOf = async (cluster: Cluster, among: DaemonHandle[]): Promise<DaemonHandle> =>
    await waitFor("a leader", async () => {
        for (const daemon of among) {
            const log = await logOf(cluster, daemon).catch(() => undefined);
            if (log?.role === "leader") {
                return daemon;
            }
        }
        return undefined;
    });

// Guards against two edits with the same base version that both succeed, one on each side of a partition (hard case 6).
test.serial("of two edits on both sides of a partition one succeeds, also after a retry", async (t) => {
    const cluster = await startCluster(t, { "zone-a": 1, "zone-b": 1, "zone-c": 1 });
    const [a, b, c] = cluster.daemons as [DaemonHandle, DaemonHandle, DaemonHandle];
    await editModel(cluster, a, "seed", 0, 1);
    const leader = await leaderOf(cluster, cluster.daemons);
    const others = [a, b, c].filter((daemon) => daemon !== leader) as [DaemonHandle, DaemonHandle];
    const heal = cluster.partitionZone(leader.zone);
    const [minority, majority] = await Promise.all([
        editModel(cluster, leader, "edit-1", 1, 2),
        editModel(cluster, others[0], "edit-2", 1, 3),
    ]);
    t.is(minority.outcome, undefined, "the minority side accepts no edit");
    t.is(majority.outcome?.status, "accepted");
    t.deepEqual(
        majority.pendingZones,
        [leader.zone],
        "the response names the zone that the edit has not reached",
    );
    heal();
    const retried = await waitFor("an outcome of the retry", async () => {
        const answer = await editModel(cluster, leader, "edit-1", 1, 2);
        return answer.outcome === undefined ? undefined : answer;
    });
    t.is(retried.outcome?.status, "conflict");
    const again = await editModel(cluster, leader, "edit-2", 1, 3);
    t.deepEqual(again.outcome, majority.outcome, "a retry through another daemon gets the first outcome");
    for (const daemon of cluster.daemons) {
        await waitFor("equal tables", async () => {
            const [row] = (await tableOf(cluster, daemon)).rows;
            return row?.columns.vmsPerReplica === 3 && row.version === 2 ? true : undefined;
        });
    }
});

// Guards against an edit that is applied twice because its response was lost with the leader, or lost in a restart.
test.serial("edits keep their outcomes when the leader is killed and when all daemons restart", async (t) => {
    const cluster = await startCluster(t, { "zone-a": 2, "zone-b": 1, "zone-c": 1 });
    const leader = await leaderOf(cluster, cluster.daemons);
    const other = cluster.daemons.find((daemon) => daemon !== leader) as DaemonHandle;
    const outcomes: unknown[] = [];
    for (let version = 0; version < 20; version += 1) {
        const pending = editModel(cluster, other, `edit-${version}`, version, 1 + version);
        if (version === 10) {
            await cluster.killDaemon(leader.daemonId);
        }
        const answer = await pending;
        t.is(answer.outcome?.status, "accepted", JSON.stringify(answer));
        outcomes.push(answer.outcome);
        if (version === 10) {
            await cluster.restartDaemon(leader.daemonId);
            await cluster.waitUntilReady(leader);
        }
    }
    await Promise.all(cluster.daemons.map((daemon) => cluster.restartDaemon(daemon.daemonId)));
    await Promise.all(cluster.daemons.map((daemon) => cluster.waitUntilReady(daemon)));
    for (const [version, outcome] of outcomes.entries()) {
        const answer = await editModel(cluster, leader, `edit-${version}`, version, 1 + version);
        t.deepEqual(answer.outcome, outcome);
    }
    for (const daemon of cluster.daemons) {
        t.is((await tableOf(cluster, daemon)).rows[0]?.version, 20);
    }
});

// Guards against a returning daemon that serves an old table because it reached a stale peer first (hard case 7).
test.serial("a daemon that returns and reaches only a stale voter is not ready until it has caught up", async (t) => {
    const cluster = await startCluster(t, { "zone-a": 1, "zone-b": 1, "zone-c": 2 });
    const [a, b, c, learner] = cluster.daemons as [DaemonHandle, DaemonHandle, DaemonHandle, DaemonHandle];
    await editModel(cluster, a, "seed", 0, 1);
    await Promise.all([learner, c].map((daemon) => cluster.killDaemon(daemon.daemonId)));
    const leader = await leaderOf(cluster, [a, b]);
    for (let batch = 0; batch < 4; batch += 1) {
        const answers = await Promise.all(
            Array.from({ length: 50 }, (_, index) =>
                cluster.callOperatorApi(leader, "POST", "table", {
                    editId: `edit-${batch}-${index}`,
                    operator: "thandi",
                    changes: [{
                        kind: "model",
                        name: `m-${batch}-${index}`,
                        baseVersion: 0,
                        columns: { vmsPerReplica: 1 },
                    }],
                })),
        );
        t.true((answers as EditView[]).every((answer) => answer.outcome?.status === "accepted"));
    }
    const releases = [a, b].flatMap((other) => [
        cluster.links.faultPair(c.daemonId, other.daemonId, { mode: "hold" }),
        cluster.links.faultPair(other.daemonId, c.daemonId, { mode: "hold" }),
    ]);
    await cluster.restartDaemon(c.daemonId);
    await cluster.restartDaemon(learner.daemonId);
    await cluster.waitUntilReady(learner);
    const log = await logOf(cluster, learner);
    t.true(log.isCurrent);
    t.is((await tableOf(cluster, learner)).rows.length, 201, "the learner bypassed its stale parent");
    releases.forEach((release) => release());
    await waitFor("the stale voter's table", async () => {
        const { rows } = await tableOf(cluster, c);
        return rows.length === 201 ? true : undefined;
    });
});
