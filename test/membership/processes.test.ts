import {
    type Cluster,
    type DaemonHandle,
    launchCluster,
    postChat,
    seedTable,
    startZoneBackends,
    waitForServingGroups,
} from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

interface Status {
    isController: boolean;
    groups: { groupId: string; generation: number; state: string; memberVmIds: string[]; }[];
    invariants: Record<string, { violated: number; }>;
}

const startCluster = async (t: ExecutionContext, modelVms: number): Promise<Cluster> => {
    const cluster = await launchCluster({ daemonsPerZone: { "zone-a": 3 } });
    t.teardown(() => cluster.stop());
    await seedTable(cluster);
    startZoneBackends(cluster, "zone-a", { modelVms });
    await waitForServingGroups(cluster, 1);
    return cluster;
};

const statusOf = async (cluster: Cluster, daemon: DaemonHandle): Promise<Status> =>
    await cluster.callOperatorApi(daemon, "GET", "status") as Status;

const waitForController = (cluster: Cluster, daemons: DaemonHandle[]): Promise<DaemonHandle> =>
    waitFor("a controller", async () => {
        const statuses = await Promise.all(daemons.map((daemon) => statusOf(cluster, daemon)));
        return daemons.find((_, index) => statuses[index]?.isController);
    });

const waitForServingGroupAt = (
    cluster: Cluster,
    daemon: DaemonHandle,
    matchesMembers: (members: string[]) => boolean,
) => waitFor("a serving group", async () => {
    const { groups } = await statusOf(cluster, daemon);
    return groups.find((group) => group.state === "serving" && matchesMembers(group.memberVmIds));
});

const violationsOf = async (cluster: Cluster): Promise<number> => {
    const statuses = await Promise.all(cluster.daemons.map((daemon) => statusOf(cluster, daemon)));
    return statuses.flatMap(({ invariants }) => Object.values(invariants))
        .reduce((sum, { violated }) => sum + violated, 0);
};

// Guards against a controller that acts on an expired lease after a pause (SIGSTOP) in which a VM was killed.
test("a successor repairs a group while the controller is frozen, and the resumed controller sends no orders", async (t) => {
    const cluster = await startCluster(t, 3);
    const frozen = await waitForController(cluster, cluster.daemons);
    const others = cluster.daemons.filter((daemon) => daemon !== frozen);
    const observer = others[0] as DaemonHandle;
    const before = await waitForServingGroupAt(cluster, observer, () => true);
    frozen.process.freeze();
    const lostId = before.memberVmIds[1] ?? "";
    await cluster.backends.get(lostId)?.kill();
    await waitForController(cluster, others);
    const after = await waitForServingGroupAt(cluster, observer, (members) => !members.includes(lostId));
    const ordersBefore = cluster.records().filter((record) => record.kind === "order").length;
    frozen.process.thaw();
    await waitFor("the resumed daemon's view", async () => {
        const { groups, isController } = await statusOf(cluster, frozen);
        const isCurrent = groups.some((group) =>
            group.groupId === after.groupId && group.generation === after.generation
            && group.state === "serving"
        );
        return (!isController && isCurrent) || undefined;
    });
    t.is(cluster.records().filter((record) => record.kind === "order").length, ordersBefore);
    t.is(await violationsOf(cluster), 0);
});

// Guards against an interrupted stream or new work when an engine shuts down mid-stream.
test("a leader that leaves mid-stream finishes the stream, gets no new work and exits", async (t) => {
    const cluster = await startCluster(t, 4);
    const daemon = cluster.daemons[0] as DaemonHandle;
    const group = await waitForServingGroupAt(cluster, daemon, () => true);
    const leaderId = group.memberVmIds[0] ?? "";
    const stream = postChat(daemon, { max_tokens: 400 });
    await waitFor(
        "the request at the leader",
        () => cluster.records().some((record) => record.kind === "request") || undefined,
    );
    const stopping = cluster.backends.get(leaderId)?.stop();
    await waitForServingGroupAt(cluster, daemon, (members) => !members.includes(leaderId));
    const chat = await postChat(daemon, { max_tokens: 5 });
    t.true(chat.isComplete);
    const longChat = await stream;
    t.true(longChat.isComplete);
    t.is(longChat.tokens.length, 400);
    await stopping;
    const leaderRequests = cluster.records().filter((record) =>
        record.kind === "request" && record.vmId === leaderId
    );
    t.is(leaderRequests.length, 1);
    t.is(await violationsOf(cluster), 0);
});

// Guards against a reload of healthy groups when all daemons have lost their state in memory.
test("groups continue to serve without new orders when all daemons of a zone restart together", async (t) => {
    const cluster = await startCluster(t, 3);
    const observer = cluster.daemons[0] as DaemonHandle;
    const before = await waitForServingGroupAt(cluster, observer, () => true);
    const ordersBefore = cluster.records().filter((record) => record.kind === "order").length;
    await Promise.all(cluster.daemons.map((daemon) => daemon.process.kill()));
    for (const daemon of cluster.daemons) {
        daemon.process = cluster.startDaemonProcess(daemon.daemonId, daemon.settingsPath);
    }
    await Promise.all(cluster.daemons.map((daemon) => cluster.waitUntilReady(daemon)));
    const after = await waitForServingGroupAt(cluster, observer, () => true);
    t.is(after.groupId, before.groupId);
    t.is(after.generation, before.generation);
    t.is(cluster.records().filter((record) => record.kind === "order").length, ordersBefore);
    t.is(await violationsOf(cluster), 0);
});
