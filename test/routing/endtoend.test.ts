import {
    CALLER_KEY,
    callerKeyHash,
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
import { request } from "undici";

const ZONE = "zone-a";
const FLOOD_KEY = "caller-key-of-the-flood";

/** Time for which a request of the flood occupies its slot. */
const SLOT_MS = 1_000;

const organisationEdit = (name: string, columns: object): object => ({
    kind: "organisation",
    name,
    baseVersion: 0,
    columns,
});

const startCluster = async (
    t: ExecutionContext,
    options: { groups: number; tokenGapMs: number; maxConcurrent: number; },
): Promise<{ cluster: Cluster; daemon: DaemonHandle; }> => {
    const cluster = await launchCluster({ daemonsPerZone: { [ZONE]: 1 } });
    t.teardown(() => cluster.stop());
    const { groups, tokenGapMs, maxConcurrent } = options;
    const columns = { vmsPerReplica: 1, replicas: groups, maxConcurrentPerReplica: maxConcurrent };
    await seedTable(cluster, [
        { kind: "model", name: "assistant", baseVersion: 0, columns },
        organisationEdit("umbrella-corner", { apiKeyHashes: [callerKeyHash()] }),
        organisationEdit("flood", {
            apiKeyHashes: [callerKeyHash(FLOOD_KEY)],
            requestsPerS: 1_000,
            maxConcurrent: 1_000,
        }),
    ]);
    // One VM more than the groups need, because the controller keeps a spare VM.
    startZoneBackends(cluster, ZONE, { modelVms: groups + 1, tokenGapMs, maxConcurrent });
    await waitForServingGroups(cluster, groups);
    return { cluster, daemon: cluster.daemon(`${ZONE}-1`) };
};

/** VM ids of the members of serving groups. */
const servingVmIds = async (cluster: Cluster): Promise<string[]> => {
    const status = await cluster.callOperatorApi(cluster.daemon(`${ZONE}-1`), "GET", "status") as {
        groups: { state: string; memberVmIds: string[]; }[];
    };
    return status.groups.filter((group) => group.state === "serving").flatMap((group) => group.memberVmIds);
};

const violationCount = async (cluster: Cluster): Promise<number> => {
    const status = await cluster.callOperatorApi(cluster.daemon(`${ZONE}-1`), "GET", "status");
    return (status as { violationCount: number; }).violationCount;
};

const requestCountOn = (cluster: Cluster, vmId: string): number =>
    cluster.records().filter((record) => record.kind === "request" && record.vmId === vmId).length;

// Guards against lost or repeated tokens when an engine freezes, crashes or shuts down during a response.
for (const fault of ["freeze", "kill", "stop"] as const) {
    test(`every caller receives its complete response exactly once after engine fault ${fault}`, async (t) => {
        const { cluster, daemon } = await startCluster(t, {
            groups: 2,
            tokenGapMs: 50,
            maxConcurrent: 32,
        });
        const [vmId = ""] = await servingVmIds(cluster);
        const answers = Array.from({ length: 12 }, (_, index) =>
            postChat(daemon, {
                max_tokens: 60,
                messages: [{ role: "user", content: `question ${index}` }],
            }));
        await waitFor("streams on the engine", () => requestCountOn(cluster, vmId) >= 3 || undefined);
        await cluster.backends.get(vmId)?.[fault]();
        const completed = await Promise.all(answers);
        for (const answer of completed) {
            t.is(answer.status, 200);
            t.true(answer.isComplete);
            t.deepEqual(answer.tokens.map((token) => Number(token.split("-").pop())), [...Array(60).keys()]);
            t.is(new Set(answer.tokens.map((token) => token.trim().split("-")[0])).size, 1);
        }
        t.is(await violationCount(cluster), 0);
    });
}

/** Sends a request and measures its time to the first token; Infinity if the request fails. */
const measureFirstTokenMs = async (daemon: DaemonHandle, key: string, maxTokens: number): Promise<number> => {
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
    let firstTokenMs = Infinity;
    for await (const _ of response.body) {
        firstTokenMs = Math.min(firstTokenMs, performance.now() - startedAtMs);
    }
    return response.statusCode === 200 ? firstTokenMs : Infinity;
};

// Guards against requests that wait behind another organisation's flood, as they would without the fair queue.
test("requests of one organisation start without waiting while another one floods the daemon", async (t) => {
    const { cluster, daemon } = await startCluster(t, { groups: 2, tokenGapMs: 20, maxConcurrent: 8 });
    const stop = new AbortController();
    // Otherwise the flood would go on after a failure, and each of its requests would fail when the cluster stops.
    t.teardown(() => stop.abort());
    const floodErrors: unknown[] = [];
    const flood = Array.from({ length: 60 }, async () => {
        while (!stop.signal.aborted && floodErrors.length === 0) {
            await measureFirstTokenMs(daemon, FLOOD_KEY, 50).catch((error: unknown) =>
                void floodErrors.push(error)
            );
        }
    });
    const vmIds = await servingVmIds(cluster);
    await waitFor(
        "a flood that fills the groups",
        () => vmIds.reduce((sum, vmId) => sum + requestCountOn(cluster, vmId), 0) >= 30 || undefined,
    );
    const samples: number[] = [];
    for (let index = 0; index < 20; index += 1) {
        const sampleMs = await measureFirstTokenMs(daemon, CALLER_KEY, 3);
        samples.push(sampleMs);
        if (sampleMs > SLOT_MS / 2) {
            const { groups } = await cluster.callOperatorApi(daemon, "GET", "status") as { groups: object; };
            t.log(`sample ${index} took ${Math.round(sampleMs)} ms; groups: ${JSON.stringify(groups)}`);
        }
    }
    stop.abort();
    await Promise.all(flood);
    t.deepEqual(floodErrors, []);
    samples.sort((a, b) => a - b);
    // Waiting for a slot of the flood would take far more than half of its time.
    t.true((samples[18] as number) < SLOT_MS / 2, `first tokens: ${samples.map(Math.round).join(", ")} ms`);
});
