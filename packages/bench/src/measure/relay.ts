import type { ManagedProcess } from "@greengage/faults";
import { CALLER_KEY, Cluster, type DaemonHandle } from "../cluster.ts";
import { callerKeyHash } from "../cluster.ts";
import { seedTable, startZoneBackends, waitForServingGroups } from "../requests.ts";
import type { LoadOptions, StreamTarget } from "./loadoptions.ts";
import { type MeasuredRun, runLoad, startProcess } from "./processes.ts";

/** One daemon's share of the peak of docs/design.md, section 1.6: 4,900 tokens per second over 145 streams. */
const STREAM_COUNT = 145;
const TOKENS_PER_ANSWER = 280;
/** Together with timer latency this gives about 4,900 tokens per second. */
const TOKEN_GAP_MS = 28;
const ENGINE_COUNT = 4;
/** Extra VMs, since the controller reserves spares for repairs. */
const SPARE_COUNT = 2;
const ROUNDS = 2;
const ZONE = "zone-a";

const loadOptions = (targets: StreamTarget[], overrides: Partial<LoadOptions> = {}): LoadOptions => ({
    targets,
    streams: STREAM_COUNT,
    maxTokens: TOKENS_PER_ANSWER,
    warmUpMs: 4_000,
    durationMs: 10_000,
    ...overrides,
});

interface EngineCluster {
    cluster: Cluster;
    /** Engines, for requests that bypass the daemon. */
    direct: StreamTarget[];
    daemon: StreamTarget;
}

const tableRows = (): object[] => [
    {
        kind: "model",
        name: "assistant",
        baseVersion: 0,
        columns: { vmsPerReplica: 1, replicas: ENGINE_COUNT, maxConcurrentPerReplica: 1_000 },
    },
    {
        kind: "organisation",
        name: "umbrella-corner",
        baseVersion: 0,
        columns: { apiKeyHashes: [callerKeyHash()], requestsPerS: 100_000, maxConcurrent: 10_000 },
    },
];

/** Starts one daemon and engines that send a token every `tokenGapMs`. */
const startEngines = async (tokenGapMs: number): Promise<EngineCluster> => {
    const cluster = new Cluster({ daemonsPerZone: { [ZONE]: 1 } });
    await cluster.start();
    await seedTable(cluster, tableRows());
    startZoneBackends(cluster, ZONE, {
        modelVms: ENGINE_COUNT + SPARE_COUNT,
        tokenGapMs,
        maxConcurrent: 1_000,
    });
    await waitForServingGroups(cluster, ENGINE_COUNT);
    const handle = cluster.daemons[0] as DaemonHandle;
    const status = await cluster.callOperatorApi(handle, "GET", "status") as {
        groups: { groupId: string; generation: number; leaderUrl: string; }[];
    };
    const direct = status.groups.map(({ groupId, generation, leaderUrl }) => ({
        url: `${leaderUrl}/v1/chat/completions`,
        headers: {
            "x-request-id": "measurement",
            "x-group-id": groupId,
            "x-group-generation": String(generation),
        },
    }));
    const daemon = {
        url: `${handle.url}/v1/chat/completions`,
        headers: { authorization: `Bearer ${CALLER_KEY}` },
    };
    return { cluster, direct, daemon };
};

const startBareRelay = async (
    targets: StreamTarget[],
): Promise<{ child: ManagedProcess; target: StreamTarget; }> => {
    let child: ManagedProcess | undefined;
    const url = await new Promise<string>((resolve) => {
        child = startProcess(
            "bare.ts",
            targets,
            (line) => resolve((JSON.parse(line) as { url: string; }).url),
        );
    });
    return { child: child as ManagedProcess, target: { url, headers: {} } };
};

const meanRun = (runs: MeasuredRun[]): MeasuredRun => {
    const keys = Object.keys(runs[0] ?? {}) as (keyof MeasuredRun)[];
    const mean = (key: keyof MeasuredRun): number =>
        Math.round(runs.reduce((sum, run) => sum + run[key], 0) / runs.length * 1_000) / 1_000;
    return Object.fromEntries(keys.map((key) => [key, mean(key)])) as unknown as MeasuredRun;
};

/** Measures relay cost at one daemon's share of the peak load, alternating between the bare relay and the daemon. */
const measurePeak = async (): Promise<{ direct: MeasuredRun; bare: MeasuredRun; daemon: MeasuredRun; }> => {
    const engines = await startEngines(TOKEN_GAP_MS);
    const bare = await startBareRelay(engines.direct);
    try {
        const daemonPid = engines.cluster.daemon(`${ZONE}-1`).process.processId;
        const enginePid = engines.cluster.backends.get(`${ZONE}-vm-1`)?.processId ?? 0;
        const direct = await runLoad(loadOptions(engines.direct), enginePid);
        const bareRuns: MeasuredRun[] = [];
        const daemonRuns: MeasuredRun[] = [];
        for (let round = 0; round < ROUNDS; round += 1) {
            bareRuns.push(await runLoad(loadOptions([bare.target]), bare.child.processId));
            daemonRuns.push(await runLoad(loadOptions([engines.daemon]), daemonPid));
        }
        return { direct, bare: meanRun(bareRuns), daemon: meanRun(daemonRuns) };
    }
    finally {
        await bare.child.kill();
        await engines.cluster.stop();
    }
};

/** Measures maximum throughput with engines that send tokens as fast as they can. */
const measureSaturation = async (): Promise<{ bare: MeasuredRun; daemon: MeasuredRun; }> => {
    const engines = await startEngines(0);
    const bare = await startBareRelay(engines.direct);
    const overrides = { maxTokens: 5_000, warmUpMs: 3_000, durationMs: 6_000 };
    try {
        const daemonPid = engines.cluster.daemon(`${ZONE}-1`).process.processId;
        return {
            bare: await runLoad(loadOptions([bare.target], overrides), bare.child.processId),
            daemon: await runLoad(loadOptions([engines.daemon], overrides), daemonPid),
        };
    }
    finally {
        await bare.child.kill();
        await engines.cluster.stop();
    }
};

/** CPU share per token rate. Runs differ slightly in token rate, so CPU shares alone are not comparable. */
const cpuPerToken = (run: MeasuredRun): number => run.cpuShare / run.tokensPerSecond;

/**
 * Compares relay costs. `direct`: requests go straight to the engines, and `cpuShare` is that of one of the four
 * engines. `bare`: a relay without checks. `daemon`: a daemon with all of its tasks.
 */
export const measureRelay = async (): Promise<object> => {
    const peak = await measurePeak();
    const saturation = await measureSaturation();
    return {
        ...peak,
        cpuRatio: Math.round(cpuPerToken(peak.daemon) / cpuPerToken(peak.bare) * 1_000) / 1_000,
        aimCpuRatio: 1.3,
        saturation: {
            bareTokensPerSecond: saturation.bare.tokensPerSecond,
            bareCpuShare: saturation.bare.cpuShare,
            daemonTokensPerSecond: saturation.daemon.tokensPerSecond,
            daemonCpuShare: saturation.daemon.cpuShare,
        },
    };
};
