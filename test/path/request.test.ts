import {
    type Cluster,
    launchCluster,
    postAction,
    postChat,
    seedTable,
    startZoneBackends,
    waitForServingGroups,
} from "@greengage/bench";
import test from "ava";

const ZONES = ["zone-a", "zone-b", "zone-c"];

const startCluster = async (): Promise<Cluster> => {
    const cluster = await launchCluster({ daemonsPerZone: { "zone-a": 1, "zone-b": 1, "zone-c": 1 } });
    await seedTable(cluster);
    for (const zone of ZONES) {
        startZoneBackends(cluster, zone, { modelVms: 2 });
    }
    cluster.startBackend("ledger", { vmId: "ledger-1", zone: "zone-a", fabricDomain: "none" });
    await waitForServingGroups(cluster, ZONES.length);
    return cluster;
};

// Guards the complete path of a request between a caller and the backend servers.
test("a streamed chat and an action are served by daemons and backend servers in separate processes", async (t) => {
    const cluster = await startCluster();
    t.teardown(() => cluster.stop());
    const daemon = cluster.daemon("zone-b-1");

    const chat = await postChat(daemon, { max_tokens: 5 });
    t.is(chat.status, 200);
    t.is(chat.tokens.length, 5);
    t.true(chat.isComplete);

    const first = await postAction(daemon, "sale-1", { item: "umbrella" });
    const again = await postAction(cluster.daemon("zone-c-1"), "sale-1", { item: "umbrella" });
    t.is(first.status, 200);
    t.deepEqual(again.body, first.body);
    t.is(cluster.records().filter((record) => record.kind === "action").length, 1);
});
