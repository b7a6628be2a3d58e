import { newId, sleep } from "@greengage/base";
import {
    CALLER_KEY,
    callerKeyHash,
    type Cluster,
    type DaemonHandle,
    launchCluster,
    postChat,
    seedTable,
    waitForServingGroups,
} from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { CrashPhase } from "@greengage/standins";
import test from "ava";
import { request } from "undici";

const CRASH_TEXTS = {
    [CrashPhase.BeforeHead]: "crashes-before-the-head",
    [CrashPhase.AfterHead]: "crashes-after-the-head",
};
const GROUPS_PER_ZONE = 3;
const LEDGERS_PER_ZONE = 4;
/** Time for which a crashed backend server is away. */
const RESTART_MS = 1_000;
const REPEAT_MS = 250;
const REPEATS = 12;
/** A request reaches no backend server once it has crashed this many. */
const MAX_CRASHES = 3;
const CALL_TIMEOUT_MS = 8_000;

const clusters = new Map<string, Promise<Cluster>>();
const stop = new AbortController();

interface Answer {
    status: number;
    text: string;
}

type SendRequest = (daemon: DaemonHandle, text: string) => Promise<Answer>;

const callService = async (daemon: DaemonHandle, method: "GET" | "POST", text: string): Promise<Answer> => {
    const response = await request(
        `${daemon.url}/v1/services/ledger/sales?note=${encodeURIComponent(text)}`,
        {
            method,
            headers: {
                authorization: `Bearer ${CALLER_KEY}`,
                "content-type": "application/json",
                // The caller sends the action as a new one each time.
                ...(method === "POST" ? { "idempotency-key": newId() } : {}),
            },
            body: method === "POST" ? JSON.stringify({ note: text }) : undefined,
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        },
    );
    return { status: response.statusCode, text: await response.body.text() };
};

const chat: SendRequest = (daemon, text) => postChat(daemon, { messages: [{ role: "user", content: text }] });

interface RequestKind {
    send: SendRequest;
    phase: CrashPhase;
}

const kinds: Record<string, RequestKind> = {
    "a chat request": { send: chat, phase: CrashPhase.AfterHead },
    "a chat request without a response head": { send: chat, phase: CrashPhase.BeforeHead },
    "a plain service call": {
        send: (daemon, text) => callService(daemon, "GET", text),
        phase: CrashPhase.BeforeHead,
    },
    "a non-idempotent action": {
        send: (daemon, text) => callService(daemon, "POST", text),
        phase: CrashPhase.BeforeHead,
    },
};

/** Starts daemons with backend servers that crash on requests with one of `CRASH_TEXTS` and come back. */
const startCluster = async (daemonsPerZone: Record<string, number>): Promise<Cluster> => {
    const cluster = await launchCluster({ daemonsPerZone });
    const zones = Object.keys(daemonsPerZone);
    await seedTable(cluster, [
        {
            kind: "model",
            name: "assistant",
            baseVersion: 0,
            columns: { vmsPerReplica: 1, replicas: GROUPS_PER_ZONE * zones.length },
        },
        {
            kind: "organisation",
            name: "umbrella-corner",
            baseVersion: 0,
            columns: { apiKeyHashes: [callerKeyHash()], requestsPerS: 1_000, maxConcurrent: 1_000 },
        },
        {
            kind: "service",
            name: "ledger",
            baseVersion: 0,
            columns: { pathPrefix: "/", nonIdempotent: ["POST"] },
        },
    ]);
    for (const zone of zones) {
        for (let index = 1; index <= GROUPS_PER_ZONE + LEDGERS_PER_ZONE + 1; index += 1) {
            const { vmId } = await cluster.addBackend(index <= LEDGERS_PER_ZONE ? "ledger" : "model", {
                vmId: `${zone}-vm-${index}`,
                zone,
                fabricDomain: `${zone}-rack-1`,
                crashTexts: CRASH_TEXTS,
            });
            void keepRunning(cluster, vmId);
        }
    }
    await waitForServingGroups(cluster, GROUPS_PER_ZONE * zones.length);
    await waitForLedgers(cluster, LEDGERS_PER_ZONE * zones.length);
    return cluster;
};

const keepRunning = async (cluster: Cluster, vmId: string): Promise<void> => {
    while (!stop.signal.aborted) {
        await cluster.managedBackends.get(vmId)?.process.exited;
        await sleep(RESTART_MS);
        if (!stop.signal.aborted) {
            await cluster.restartBackend(vmId);
        }
    }
};

const waitForLedgers = async (cluster: Cluster, count: number): Promise<void> => {
    for (const daemon of cluster.daemons) {
        await waitFor(`${count} ledgers at ${daemon.daemonId}`, async () => {
            const status = await cluster.callOperatorApi(daemon, "GET", "status") as {
                services: { available: boolean; }[];
            };
            return status.services.filter(({ available }) => available).length >= count || undefined;
        });
    }
};

const crashCount = (cluster: Cluster): number =>
    cluster.records().filter(({ kind }) => kind === "crashed").length;

/** Sends the request again and again, to one daemon after the other, as a caller does that gets no answer. */
const repeat = async (
    cluster: Cluster,
    { send, phase }: RequestKind,
): Promise<{ statuses: number[]; crashes: number[]; }> => {
    const earlierCount = crashCount(cluster);
    const statuses: number[] = [];
    const crashes: number[] = [];
    for (let index = 0; index < REPEATS; index += 1) {
        const daemon = cluster.daemons[index % cluster.daemons.length] as DaemonHandle;
        const answer = await send(daemon, CRASH_TEXTS[phase]).catch(() => undefined);
        statuses.push(answer?.status ?? 0);
        crashes.push(crashCount(cluster) - earlierCount);
        await sleep(REPEAT_MS);
    }
    return { statuses, crashes };
};

const layouts: Record<string, Record<string, number>> = {
    "one daemon": { "zone-a": 1 },
    "four daemons in two zones": { "zone-a": 2, "zone-b": 2 },
};

test.after.always(async () => {
    stop.abort();
    for (const cluster of clusters.values()) {
        await (await cluster).stop();
    }
});

// Guards against a request that crashes one backend server after the other, sent by one daemon or by several.
for (const [layout, daemonsPerZone] of Object.entries(layouts)) {
    for (const [name, kind] of Object.entries(kinds)) {
        test.serial(`${name} through ${layout} crashes at most ${MAX_CRASHES} servers`, async (t) => {
            const starting = clusters.get(layout) ?? startCluster(daemonsPerZone);
            clusters.set(layout, starting);
            const cluster = await starting;
            const { statuses, crashes } = await repeat(cluster, kind);
            t.log(`statuses ${statuses.join(" ")}, crashes so far ${crashes.join(" ")}`);
            const last = crashes.at(-1) ?? 0;
            t.true(last >= 1 && last <= MAX_CRASHES, `${last} crashes`);
            // A sound request is served as soon as the backend servers are back.
            await waitFor(`an answer to a sound request beside ${name}`, async () => {
                const answer = await kind.send(cluster.daemons[0] as DaemonHandle, "Umbrellas left?");
                t.notRegex(answer.text, /quarantined/);
                return answer.status === 200 || undefined;
            });
        });
    }
}
