import {
    CALLER_KEY,
    callerKeyHash,
    type Cluster,
    clusterOf,
    type DaemonHandle,
    postChat,
    seedTable,
    startZoneBackends,
    waitForServingGroups,
} from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";

const ZONE = "zone-a";
const FLOOD_KEY = "caller-key-of-the-flood";

const organisation = (name: string, columns: object): object => ({
    kind: "organisation",
    name,
    baseVersion: 0,
    columns,
});

const clusterWithGroups = async (
    t: ExecutionContext,
    options: { groups: number; tokenGapMs: number; maxConcurrent: number; },
): Promise<{ cluster: Cluster; daemon: DaemonHandle; }> => {
    const cluster = await clusterOf({ daemonsPerZone: { [ZONE]: 1 } });
    t.teardown(() => cluster.stop());
    const { groups, tokenGapMs, maxConcurrent } = options;
    const columns = { vmsPerReplica: 1, replicas: groups, maxConcurrentPerReplica: maxConcurrent };
    await seedTable(cluster, [
        { kind: "model", name: "assistant", baseVersion: 0, columns },
        organisation("umbrella-corner", { apiKeyHashes: [callerKeyHash()] }),
        organisation("flood", {
            apiKeyHashes: [callerKeyHash(FLOOD_KEY)],
            requestsPerS: 1_000,
            maxConcurrent: 1_000,
        }),
    ]);
    // One VM more than the groups need, because the controller keeps a spare.
    startZoneBackends(cluster, ZONE, { modelVms: groups + 1, tokenGapMs, maxConcurrent });
    await waitForServingGroups(cluster, groups);
    return { cluster, daemon: cluster.daemon(`${ZONE}-1`) };
};

/** VMs of serving groups. */
const servingVms = async (cluster: Cluster): Promise<string[]> => {
    const status = await cluster.operate(cluster.daemon(`${ZONE}-1`), "GET", "status") as {
        groups: { state: string; memberVmIds: string[]; }[];
    };
    return status.groups.filter((group) => group.state === "serving").flatMap((group) => group.memberVmIds);
};

const violations = async (cluster: Cluster): Promise<number> => {
    const status = await cluster.operate(cluster.daemon(`${ZONE}-1`), "GET", "status");
    return (status as { violationCount: number; }).violationCount;
};

const startedOn = (cluster: Cluster, vmId: string): number =>
    cluster.records().filter((record) => record.kind === "request" && record.vmId === vmId).length;

// Guards hard cases 9 and 10: engines that stand still, disappear or leave in the middle of answers.
for (const fault of ["freeze", "kill", "stop"] as const) {
    test(`every caller gets its whole answer once when an engine ends by ${fault}`, async (t) => {
        const { cluster, daemon } = await clusterWithGroups(t, {
            groups: 2,
            tokenGapMs: 50,
            maxConcurrent: 32,
        });
        const [vmId = ""] = await servingVms(cluster);
        const answers = Array.from({ length: 12 }, (_, index) =>
            postChat(daemon, {
                max_tokens: 60,
                messages: [{ role: "user", content: `question ${index}` }],
            }));
        await waitFor("streams on the engine", () => startedOn(cluster, vmId) >= 3 || undefined);
        await cluster.backends.get(vmId)?.[fault]();
        const whole = await Promise.all(answers);
        for (const answer of whole) {
            t.is(answer.status, 200);
            t.true(answer.isWhole);
            t.deepEqual(answer.tokens.map((token) => Number(token.split("-").pop())), [...Array(60).keys()]);
            t.is(new Set(answer.tokens.map((token) => token.trim().split("-")[0])).size, 1);
        }
        t.is(await violations(cluster), 0);
    });
}

/** Milliseconds to the first token of a request of the small organisation. */
const firstTokenMs = async (daemon: DaemonHandle, key: string, maxTokens: number): Promise<number> => {
    const startedAtMs = performance.now();
    const response = await request(`${daemon.url}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: "assistant",
            stream: true,
            max_tokens: maxTokens,
            messages: [{ role: "user", content: "Umbrellas left?" }],
        }),
    });
    let firstMs = Infinity;
    for await (const _ of response.body) {
        firstMs = Math.min(firstMs, performance.now() - startedAtMs);
    }
    return response.statusCode === 200 ? firstMs : Infinity;
};

// Guards hard case 12: without the fair queue the small organisation waits behind the whole flood.
test("an organisation starts without a wait while another one floods the daemon", async (t) => {
    const { cluster, daemon } = await clusterWithGroups(t, { groups: 2, tokenGapMs: 20, maxConcurrent: 8 });
    const stop = new AbortController();
    const flood = Array.from({ length: 60 }, async () => {
        while (!stop.signal.aborted) {
            await firstTokenMs(daemon, FLOOD_KEY, 50);
        }
    });
    const vms = await servingVms(cluster);
    await waitFor(
        "a flood that fills the groups",
        () => vms.reduce((sum, vmId) => sum + startedOn(cluster, vmId), 0) >= 30 || undefined,
    );
    const samples: number[] = [];
    for (let index = 0; index < 20; index += 1) {
        samples.push(await firstTokenMs(daemon, CALLER_KEY, 3));
    }
    stop.abort();
    await Promise.all(flood);
    samples.sort((a, b) => a - b);
    // A slot of the flood takes 1,000 ms; a request that waited for one would be far above half of that.
    t.true((samples[18] as number) < 500, `first tokens: ${samples.map(Math.round).join(", ")} ms`);
});
