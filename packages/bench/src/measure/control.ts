import { monotonicMs, newId, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { HostOptions } from "@greengage/standins";
import { Cluster, type DaemonHandle } from "../cluster.ts";
import { seedChanges, seedTable } from "../requests.ts";
import { leastSquares } from "./leastsquares.ts";

const WINDOW_MS = 10_000;
const SETTLE_MS = 4_000;
const VMS_PER_DOMAIN = 20;
const BYTES_PER_KB = 1024;

interface ClusterSize {
    daemons: Record<string, number>;
    engines: number;
    vmsPerReplica: number;
    editsPerS: number;
}

const THREE_DAEMONS = { "zone-a": 1, "zone-b": 1, "zone-c": 1 };
const SEVEN_DAEMONS = { "zone-a": 3, "zone-b": 2, "zone-c": 2 };
const FOURTEEN_DAEMONS = { "zone-a": 5, "zone-b": 5, "zone-c": 4 };

// Varies one quantity at a time, around a base of seven daemons with 65 engines.
const SIZES: ClusterSize[] = [
    { daemons: THREE_DAEMONS, engines: 65, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 65, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: FOURTEEN_DAEMONS, engines: 65, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 0, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 20, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 130, vmsPerReplica: 4, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 65, vmsPerReplica: 1, editsPerS: 0 },
    { daemons: SEVEN_DAEMONS, engines: 65, vmsPerReplica: 4, editsPerS: 4 },
    { daemons: SEVEN_DAEMONS, engines: 65, vmsPerReplica: 4, editsPerS: 16 },
];

interface Status {
    isController: boolean;
    log: { role: string; };
    groups: { state: string; }[];
    process: { cpuMs: number; rssMb: number; };
    peerTraffic: { sentFrames: number; receivedFrames: number; sentBytes: number; receivedBytes: number; };
}

type Role = "leader" | "controller" | "plain";

/** Resource usage of one daemon in one measurement window. */
interface Sample {
    role: Role;
    isController: boolean;
    daemons: number;
    engines: number;
    groups: number;
    editsPerS: number;
    /** Frame payload sent and received over the internal protocol. */
    peerKbPerS: number;
    /** HTTP traffic of backend server reports, in both directions. */
    reportKbPerS: number;
    framesPerS: number;
    cpuShare: number;
    rssMb: number;
}

const METRICS = ["peerKbPerS", "reportKbPerS", "framesPerS", "cpuShare", "rssMb"] as const;
const QUANTITIES = ["daemons", "engines", "groups", "editsPerS"] as const;

/** Measures the control overhead of daemons without callers and fits its growth with the cluster size by role. */
export const measureControl = async (): Promise<object> => {
    const samples: Sample[] = [];
    for (const size of SIZES) {
        const sizeSamples = await measureSize(size);
        samples.push(...sizeSamples);
        for (const sample of sizeSamples) {
            console.log(JSON.stringify(sample));
        }
    }
    const roles: Role[] = ["leader", "controller", "plain"];
    return {
        slopes: Object.fromEntries(roles.map((role) => [role, slopesOf(samples, role)])),
        largest: Object.fromEntries(METRICS.map((metric) => [metric, maximum(samples, metric)])),
        windowS: WINDOW_MS / 1000,
    };
};

const measureSize = async (size: ClusterSize): Promise<Sample[]> => {
    const cluster = new Cluster({ daemonsPerZone: size.daemons, proxied: true });
    try {
        await cluster.start();
        const groups = await startEngines(cluster, size);
        const edits = new AbortController();
        const editing = editUntilAborted(cluster, size.editsPerS, edits.signal);
        await sleep(SETTLE_MS);
        const before = await readDaemons(cluster);
        const startedAtMs = monotonicMs();
        await sleep(WINDOW_MS);
        const seconds = (monotonicMs() - startedAtMs) / 1000;
        const after = await readDaemons(cluster);
        edits.abort();
        await editing;
        return cluster.daemons.map((_, index) =>
            sampleOf(size, groups, seconds, before[index] as Reading, after[index] as Reading)
        );
    }
    finally {
        await cluster.stop();
    }
};

/** Starts the engines in one process and waits until all groups serve. Returns the number of groups. */
const startEngines = async (cluster: Cluster, size: ClusterSize): Promise<number> => {
    const zones = Object.keys(size.daemons);
    const vms: HostOptions["vms"] = Array.from({ length: size.engines }, (_, index) => {
        const zone = zones[index % zones.length] ?? "";
        const rack = Math.floor(index / zones.length / VMS_PER_DOMAIN) + 1;
        return { kind: "model", vmId: `vm-${index}`, zone, fabricDomain: `${zone}-rack-${rack}`, loadMs: 20 };
    });
    const enginesByDomain = new Map<string, number>();
    for (const { fabricDomain } of vms) {
        enginesByDomain.set(fabricDomain, (enginesByDomain.get(fabricDomain) ?? 0) + 1);
    }
    const groupsIn = (zone: string): number =>
        [...enginesByDomain].filter(([domain]) => domain.startsWith(zone))
            .reduce((sum, [, count]) => sum + Math.floor(count / size.vmsPerReplica), 0);
    const groupCounts = zones.map((zone) => groupsIn(zone));
    const [, ...otherRows] = seedChanges();
    const replicas = Math.min(...groupCounts);
    const columns = { vmsPerReplica: size.vmsPerReplica, replicas };
    await seedTable(cluster, [
        { kind: "model", name: "assistant", baseVersion: 0, columns },
        // With a higher weight the placement reserves spares, and the number of groups is not known in advance.
        { kind: "setting", name: "fleet", baseVersion: 0, columns: { downtimeWeight: 0 } },
        ...otherRows,
    ]);
    if (vms.length > 0) {
        cluster.startBackendHost(vms);
    }
    const expected = replicas * zones.length;
    await waitFor(`${expected} serving groups`, async () => {
        const statuses = await Promise.all(cluster.daemons.map((daemon) => statusOf(cluster, daemon)));
        const isComplete = statuses.every(({ groups }) =>
            groups.filter(({ state }) => state === "serving").length === expected
        );
        return isComplete ? true : undefined;
    }, 120_000);
    return expected;
};

const editUntilAborted = async (cluster: Cluster, editsPerS: number, signal: AbortSignal): Promise<void> => {
    if (editsPerS === 0) {
        return;
    }
    for (let edit = 1; !signal.aborted; edit += 1) {
        const daemon = cluster.daemons[edit % cluster.daemons.length] as DaemonHandle;
        const columns = { weight: 1 + edit / 1_000 };
        const changes = [{ kind: "organisation", name: "measured", baseVersion: edit - 1, columns }];
        await cluster.callOperatorApi(daemon, "POST", "table", {
            editId: newId(),
            operator: "bench",
            changes,
        });
        await sleep(1_000 / editsPerS, signal);
    }
};

interface Reading {
    status: Status;
    surfaceBytes: number;
}

const statusOf = async (cluster: Cluster, daemon: DaemonHandle): Promise<Status> =>
    await cluster.callOperatorApi({ ...daemon, url: daemon.directUrl }, "GET", "status") as Status;

const readDaemons = (cluster: Cluster): Promise<Reading[]> =>
    Promise.all(cluster.daemons.map(async (daemon) => {
        const { toTargetBytes, toSourceBytes } = cluster.links.surfaceTraffic(daemon.daemonId);
        return { status: await statusOf(cluster, daemon), surfaceBytes: toTargetBytes + toSourceBytes };
    }));

const roleOf = ({ log, isController }: Status): Role => {
    if (log.role === "leader") {
        return "leader";
    }
    return isController ? "controller" : "plain";
};

const sampleOf = (
    size: ClusterSize,
    groups: number,
    seconds: number,
    before: Reading,
    after: Reading,
): Sample => {
    const { peerTraffic, process } = before.status;
    const traffic = after.status.peerTraffic;
    const peerBytes = traffic.sentBytes + traffic.receivedBytes
        - peerTraffic.sentBytes - peerTraffic.receivedBytes;
    const frames = traffic.sentFrames + traffic.receivedFrames
        - peerTraffic.sentFrames - peerTraffic.receivedFrames;
    return {
        role: roleOf(after.status),
        isController: after.status.isController,
        daemons: Object.values(size.daemons).reduce((sum, count) => sum + count, 0),
        engines: size.engines,
        groups,
        editsPerS: size.editsPerS,
        peerKbPerS: round(peerBytes / seconds / BYTES_PER_KB),
        reportKbPerS: round((after.surfaceBytes - before.surfaceBytes) / seconds / BYTES_PER_KB),
        framesPerS: round(frames / seconds),
        cpuShare: round((after.status.process.cpuMs - process.cpuMs) / seconds / 1000),
        rssMb: after.status.process.rssMb,
    };
};

const slopesOf = (samples: Sample[], role: Role): object => {
    const roleSamples = samples.filter((sample) => sample.role === role);
    const rows = roleSamples.map((sample) => [1, ...QUANTITIES.map((quantity) => sample[quantity])]);
    const slopes = METRICS.map((metric) => {
        const [base = 0, ...perUnit] = leastSquares(rows, roleSamples.map((sample) => sample[metric]));
        const named = QUANTITIES.map((quantity, index) => [quantity, round(perUnit[index] ?? 0)]);
        return [metric, { base: round(base), ...Object.fromEntries(named) }];
    });
    return { samples: roleSamples.length, ...Object.fromEntries(slopes) };
};

const maximum = (samples: Sample[], metric: typeof METRICS[number]): number =>
    Math.max(...samples.map((sample) => sample[metric]));

const round = (value: number): number => Math.round(value * 10_000) / 10_000;
