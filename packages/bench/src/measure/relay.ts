import type { ManagedProcess } from "@greengage/faults";
import { CALLER_KEY, Cluster, type DaemonHandle } from "../cluster.ts";
import { callerKeyHash } from "../cluster.ts";
import { seedTable, startZoneBackends, waitForServingGroups } from "../requests.ts";
import type { LoadOptions, StreamTarget } from "./loadoptions.ts";
import { type MeasuredRun, runLoad, startProcess } from "./processes.ts";

/** One daemon's share of the peak of docs/design.md, section 1.6: 4,900 tokens per second over 145 streams. */
const STREAMS = 145;
const TOKENS = 280;
/** With the timers' own delay this gives about 4,900 tokens per second. */
const TOKEN_GAP_MS = 28;
const ENGINES = 4;
/** The controller keeps some VMs free for repairs. */
const SPARES = 2;
const ROUNDS = 2;
const ZONE = "zone-a";

const loadOf = (targets: StreamTarget[], fields: Partial<LoadOptions> = {}): LoadOptions => ({
    targets,
    streams: STREAMS,
    maxTokens: TOKENS,
    warmUpMs: 4_000,
    durationMs: 10_000,
    ...fields,
});

interface Engines {
    cluster: Cluster;
    /** For requests past the daemon. */
    direct: StreamTarget[];
    daemon: StreamTarget;
}

const tableOf = (): object[] => [
    {
        kind: "model",
        name: "assistant",
        baseVersion: 0,
        columns: { vmsPerReplica: 1, replicas: ENGINES, maxConcurrentPerReplica: 1_000 },
    },
    {
        kind: "organisation",
        name: "umbrella-corner",
        baseVersion: 0,
        columns: { apiKeyHashes: [callerKeyHash()], requestsPerS: 100_000, maxConcurrent: 10_000 },
    },
];

/** One daemon and engines that send a token every `tokenGapMs`. */
const startEngines = async (tokenGapMs: number): Promise<Engines> => {
    const cluster = new Cluster({ daemonsPerZone: { [ZONE]: 1 } });
    await cluster.start();
    await seedTable(cluster, tableOf());
    startZoneBackends(cluster, ZONE, { modelVms: ENGINES + SPARES, tokenGapMs, maxConcurrent: 1_000 });
    await waitForServingGroups(cluster, ENGINES);
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

const startBare = async (
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

const meanOf = (runs: MeasuredRun[]): MeasuredRun => {
    const keys = Object.keys(runs[0] ?? {}) as (keyof MeasuredRun)[];
    const mean = (key: keyof MeasuredRun): number =>
        Math.round(runs.reduce((sum, run) => sum + run[key], 0) / runs.length * 1_000) / 1_000;
    return Object.fromEntries(keys.map((key) => [key, mean(key)])) as unknown as MeasuredRun;
};

/** Cost of the relay at one daemon's share of the peak, in alternating runs of the bare relay and the daemon. */
const measurePeak = async (): Promise<{ direct: MeasuredRun; bare: MeasuredRun; daemon: MeasuredRun; }> => {
    const engines = await startEngines(TOKEN_GAP_MS);
    const bare = await startBare(engines.direct);
    try {
        const daemonPid = engines.cluster.daemon(`${ZONE}-1`).process.processId;
        const enginePid = engines.cluster.backends.get(`${ZONE}-vm-1`)?.processId ?? 0;
        const direct = await runLoad(loadOf(engines.direct), enginePid);
        const bareRuns: MeasuredRun[] = [];
        const daemonRuns: MeasuredRun[] = [];
        for (let round = 0; round < ROUNDS; round += 1) {
            bareRuns.push(await runLoad(loadOf([bare.target]), bare.child.processId));
            daemonRuns.push(await runLoad(loadOf([engines.daemon]), daemonPid));
        }
        return { direct, bare: meanOf(bareRuns), daemon: meanOf(daemonRuns) };
    }
    finally {
        await bare.child.kill();
        await engines.cluster.stop();
    }
};

/** Highest rate with engines that send as fast as they can. */
const measureSaturation = async (): Promise<{ bare: MeasuredRun; daemon: MeasuredRun; }> => {
    const engines = await startEngines(0);
    const bare = await startBare(engines.direct);
    const fields = { maxTokens: 5_000, warmUpMs: 3_000, durationMs: 6_000 };
    try {
        const daemonPid = engines.cluster.daemon(`${ZONE}-1`).process.processId;
        return {
            bare: await runLoad(loadOf([bare.target], fields), bare.child.processId),
            daemon: await runLoad(loadOf([engines.daemon], fields), daemonPid),
        };
    }
    finally {
        await bare.child.kill();
        await engines.cluster.stop();
    }
};

/** The runs differ a little in their rates, so that shares alone would not compare. */
const cpuPerToken = (run: MeasuredRun): number => run.cpuShare / run.tokensPerSecond;

/**
 * `direct`: callers at the engines, `cpuShare` is that of one of the four engines. `bare`: a relay without checks.
 * `daemon`: the daemon with all of its tasks.
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
