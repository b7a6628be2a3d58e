import { monotonicMs, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { request } from "undici";
import { CALLER_KEY, callerKeyHash, Cluster, type DaemonHandle } from "../cluster.ts";
import { seedTable } from "../requests.ts";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const PARTITIONED_ZONE = "zone-c";
const DAEMONS_PER_ZONE = 2;
const LIMIT_PER_S = 90;
/** Offered requests per second by daemon: uneven, and twice the limit in total. */
const OFFERED_PER_S = [60, 10, 50, 20, 30, 10];
/** Time for the daemons' shares of the limit to adapt to the demand. */
const SETTLE_MS = 8_000;
const DURATION_MS = 10_000;

interface Rate {
    acceptedPerS: number;
    refusedPerS: number;
    failedPerS: number;
    /** Relative deviation of the total accepted rate from the limit; positive above it. */
    errorShare: number;
}

type Outcome = "accepted" | "refused" | "failed";

const outcomeByStatus: Record<number, Outcome> = { 200: "accepted", 429: "refused" };

const send = async (daemon: DaemonHandle): Promise<Outcome> => {
    const response = await request(`${daemon.url}/v1/services/ledger/balance`, {
        headers: { authorization: `Bearer ${CALLER_KEY}` },
        headersTimeout: 5_000,
    });
    await response.body.dump();
    return outcomeByStatus[response.statusCode] ?? "failed";
};

/** Sends requests at a constant rate and counts the outcomes of those sent within the window. */
const offerRequests = async (
    daemon: DaemonHandle,
    ratePerS: number,
    window: { startMs: number; endMs: number; },
    counts: Record<Outcome, number>,
): Promise<void> => {
    const running: Promise<void>[] = [];
    for (let atMs = monotonicMs(); atMs < window.endMs; atMs += 1_000 / ratePerS) {
        await sleep(Math.max(0, atMs - monotonicMs()));
        const isCounted = atMs >= window.startMs;
        running.push(
            send(daemon).catch((): Outcome => "failed").then((outcome) => {
                counts[outcome] += isCounted ? 1 : 0;
            }),
        );
    }
    await Promise.all(running);
};

const measureRate = async (cluster: Cluster): Promise<Rate> => {
    const counts: Record<Outcome, number> = { accepted: 0, refused: 0, failed: 0 };
    const startMs = monotonicMs() + SETTLE_MS;
    const window = { startMs, endMs: startMs + DURATION_MS };
    await Promise.all(
        cluster.daemons.map((daemon, index) =>
            offerRequests(daemon, OFFERED_PER_S[index] ?? 10, window, counts)
        ),
    );
    const perS = (count: number): number => Math.round(count / DURATION_MS * 10_000) / 10;
    const errorShare = Math.round((perS(counts.accepted) / LIMIT_PER_S - 1) * 1_000) / 1_000;
    return {
        acceptedPerS: perS(counts.accepted),
        refusedPerS: perS(counts.refused),
        failedPerS: perS(counts.failed),
        errorShare,
    };
};

const startLedgerCluster = async (): Promise<Cluster> => {
    const daemonsPerZone = Object.fromEntries(ZONES.map((zone) => [zone, DAEMONS_PER_ZONE]));
    const cluster = new Cluster({ daemonsPerZone, proxied: true });
    await cluster.start();
    await seedTable(cluster, [
        {
            kind: "organisation",
            name: "umbrella-corner",
            baseVersion: 0,
            columns: { apiKeyHashes: [callerKeyHash()], requestsPerS: LIMIT_PER_S, maxConcurrent: 10_000 },
        },
        {
            kind: "service",
            name: "ledger",
            baseVersion: 0,
            columns: { pathPrefix: "/", maxConcurrent: 10_000 },
        },
    ]);
    for (const zone of ZONES) {
        const vmId = `${zone}-ledger`;
        await cluster.addBackend("ledger", { vmId, zone, fabricDomain: "none", maxConcurrent: 10_000 });
    }
    for (const daemon of cluster.daemons) {
        await waitFor(`ledger servers known to daemon ${daemon.daemonId}`, async () => {
            const status = await cluster.callOperatorApi(daemon, "GET", "status") as { services: unknown[]; };
            return status.services.length === ZONES.length || undefined;
        });
    }
    return cluster;
};

/** Compares an organisation's total accepted rate with its limit, before and while a zone is partitioned. */
export const measureLimits = async (): Promise<object> => {
    const cluster = await startLedgerCluster();
    try {
        const connected = await measureRate(cluster);
        cluster.partitionZone(PARTITIONED_ZONE);
        const zoneCutOff = await measureRate(cluster);
        return { limitPerS: LIMIT_PER_S, offeredPerS: 180, connected, zoneCutOff };
    }
    finally {
        await cluster.stop();
    }
};
