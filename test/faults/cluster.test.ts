import { Cluster, postChat, seedTable, waitForServingGroups } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

const ZONES = ["zone-a", "zone-b"];

interface Status {
    reachableZones: string[];
    groups: { state: string; zone: string; memberVmIds: string[]; }[];
}

const startCluster = async (t: ExecutionContext): Promise<Cluster> => {
    const cluster = new Cluster({ daemonsPerZone: { "zone-a": 2, "zone-b": 1 }, proxied: true });
    t.teardown(() => cluster.stop());
    await cluster.start();
    await seedTable(cluster);
    for (const zone of ZONES) {
        for (const index of [1, 2]) {
            const location = { zone, fabricDomain: `${zone}-rack-1` };
            await cluster.addBackend("model", { vmId: `${zone}-vm-${index}`, ...location });
        }
    }
    await waitForServingGroups(cluster, ZONES.length);
    return cluster;
};

const reachableZones = async (cluster: Cluster, daemonId: string): Promise<string[]> =>
    (await cluster.callOperatorApi(cluster.daemon(daemonId), "GET", "status") as Status).reachableZones;

// Guards against injected partitions that let daemons or backend servers of two zones reach each other.
test("a partitioned zone reaches only itself until the partition ends", async (t) => {
    const cluster = await startCluster(t);
    const endPartition = cluster.partitionZone("zone-b");
    for (const [daemonId, zone] of [["zone-a-2", "zone-a"], ["zone-b-1", "zone-b"]] as const) {
        await waitFor(`partition at ${daemonId}`, async () => {
            const zones = await reachableZones(cluster, daemonId);
            return zones.length === 1 && zones[0] === zone ? true : undefined;
        });
    }
    t.is((await postChat(cluster.daemon("zone-a-2"))).status, 200);
    t.is((await postChat(cluster.daemon("zone-b-1"))).status, 200);
    endPartition();
    await waitFor(
        "all zones to be reachable again",
        async () => (await reachableZones(cluster, "zone-b-1")).length === 2 ? true : undefined,
    );
    t.is((await reachableZones(cluster, "zone-b-1")).length, 2);
});

// Guards against a stand-in that keeps streaming although a member of its group is missing.
test("rank 0 breaks off its streams when a member dies", async (t) => {
    const cluster = await startCluster(t);
    const chat = postChat(cluster.daemon("zone-a-1"), { max_tokens: 2_000 }).catch(() => undefined);
    await waitFor("the request", () => cluster.records().find((record) => record.kind === "request"));
    const request = cluster.records().find((record) => record.kind === "request");
    const zone = String(request?.vmId).startsWith("zone-a") ? "zone-a" : "zone-b";
    const members =
        (cluster.records().find((record) => record.kind === "order" && record.vmId === request?.vmId)
            ?.["assignment"] as { memberVmIds: string[]; }).memberVmIds;
    await cluster.managedBackends.get(String(members[1]))?.process.kill();
    await waitFor(
        "the broken stream",
        () => cluster.records().find((record) => record.kind === "broken" && record.vmId === request?.vmId),
    );
    await chat;
    t.true(String(members[1]).startsWith(zone));
});
