import {
    type ActionAnswer,
    type Cluster,
    type DaemonHandle,
    launchCluster,
    postAction,
    seedTable,
} from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

const SALE = { item: "umbrella" };
const KEY = "sale-1";

interface Fixture {
    cluster: Cluster;
    leaderId: string;
    /** Two daemons in different zones, neither of which is the leader of the replicated log. */
    first: DaemonHandle;
    second: DaemonHandle;
}

const startFixture = async (t: ExecutionContext): Promise<Fixture> => {
    const cluster = await launchCluster({
        daemonsPerZone: { "zone-a": 1, "zone-b": 1, "zone-c": 1 },
        proxied: true,
    });
    t.teardown(() => cluster.stop());
    await seedTable(cluster);
    await cluster.addBackend("ledger", { vmId: "ledger-1", zone: "zone-a", fabricDomain: "none" });
    const leaderId = await waitFor("a leader", async () => {
        const status = await cluster.callOperatorApi(cluster.daemon("zone-a-1"), "GET", "status");
        return (status as { log: { leaderId?: string; }; }).log.leaderId;
    });
    const [first, second] = cluster.daemons.filter((daemon) => daemon.daemonId !== leaderId);
    for (const daemon of [first, second] as DaemonHandle[]) {
        await waitFor(`the ledger at daemon ${daemon.daemonId}`, async () => {
            const status = await cluster.callOperatorApi(daemon, "GET", "status") as { services: unknown[]; };
            return status.services.length > 0 || undefined;
        });
    }
    return { cluster, leaderId, first: first as DaemonHandle, second: second as DaemonHandle };
};

const verdictOf = (response: ActionAnswer): string => (response.body as { verdict: string; }).verdict;

const countBookings = (cluster: Cluster): number =>
    cluster.records().filter((record) => record.kind === "action").length;

const listsUnknownAction = async (cluster: Cluster, daemon: DaemonHandle): Promise<true | undefined> => {
    const response = await cluster.callOperatorApi(daemon, "GET", "actions") as {
        actions: { key: string; }[];
    };
    return response.actions.some((action) => action.key === KEY) || undefined;
};

// Guards against a paused daemon that sends a call after its caller has retried at another daemon.
test("a daemon paused between the intent and the call sends nothing when it resumes", async (t) => {
    const { cluster, leaderId, first, second } = await startFixture(t);
    // The leader commits the intent, but its response is held back by the link.
    const release = cluster.links.faultPair(leaderId, first.daemonId, { mode: "hold" });
    const frozen = postAction(first, KEY, SALE);
    await waitFor("the intent at the second daemon", () => listsUnknownAction(cluster, second));
    cluster.freezeDaemon(first.daemonId);
    const frozenAtMs = performance.now();
    release();

    const retried = await postAction(second, KEY, SALE);
    t.is(retried.status, 409);
    t.is(verdictOf(retried), "mayHaveRun");
    await waitFor("the end of the send window", () => performance.now() - frozenAtMs > 2_500 || undefined);
    cluster.thawDaemon(first.daemonId);
    const late = await frozen;
    t.is(verdictOf(late), "notRun");
    t.is(countBookings(cluster), 0);

    await waitFor(
        "the free key",
        async () => (await postAction(second, KEY, SALE)).status === 200 || undefined,
    );
    t.is((await postAction(first, KEY, SALE)).status, 200);
    t.is(countBookings(cluster), 1);
});

// Guards against a retry in another zone that runs an action a second time.
test("an action whose response and daemon are lost is not run again in another zone", async (t) => {
    const { cluster, first, second } = await startFixture(t);
    await cluster.controlBackend("ledger-1", { lateMs: 60_000 });
    const lost = postAction(first, KEY, SALE).catch(() => undefined);
    await waitFor("the booking", () => countBookings(cluster) > 0 || undefined);
    await cluster.killDaemon(first.daemonId);
    await lost;
    await cluster.controlBackend("ledger-1", { lateMs: 0 });

    for (let attempt = 0; attempt < 3; attempt += 1) {
        const retried = await postAction(second, KEY, SALE);
        t.is(retried.status, 409);
        t.is(verdictOf(retried), "mayHaveRun");
    }
    t.is(countBookings(cluster), 1);

    const settlement = {
        organisation: "umbrella-corner",
        key: KEY,
        outcome: "ran",
        operator: "ada",
        reason: "the ledger has the sale",
        force: true,
    };
    await cluster.callOperatorApi(second, "POST", "actions/settle", settlement);
    const settled = await waitFor("the settlement", async () => {
        const response = await postAction(second, KEY, SALE);
        return verdictOf(response) === "ran" ? response : undefined;
    });
    t.is(settled.status, 409);
    t.is(countBookings(cluster), 1);
});
