/** Starts three daemons and stand-ins on loopback, sends a chat request and an action, and prints both responses. */
import { request } from "undici";
import { CALLER_KEY, Cluster, type DaemonHandle } from "./cluster.ts";
import { seedTable, startZoneBackends, waitForServingGroups } from "./requests.ts";

const ZONES = ["jhb-north", "jhb-east", "pta-central"];

const post = async (url: string, headers: Record<string, string>, body: object): Promise<string> => {
    const response = await request(url, {
        method: "POST",
        headers: { authorization: `Bearer ${CALLER_KEY}`, "content-type": "application/json", ...headers },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new Error(`${url} answered ${response.statusCode}: ${text}`);
    }
    return text;
};

const run = async (): Promise<void> => {
    const cluster = new Cluster({
        daemonsPerZone: Object.fromEntries(ZONES.map((zone) => [zone, 1])),
        executable: true,
    });
    try {
        await cluster.start();
        const daemon = cluster.daemons[1] as DaemonHandle;
        await seedTable(cluster);
        for (const zone of ZONES) {
            startZoneBackends(cluster, zone, { modelVms: 2 });
        }
        cluster.startBackend("ledger", { vmId: "ledger-1", zone: "jhb-north", fabricDomain: "none" });
        await waitForServingGroups(cluster, ZONES.length);
        const chat = {
            model: "assistant",
            stream: true,
            messages: [{ role: "user", content: "Umbrellas left?" }],
        };
        console.log("chat answer:");
        console.log(await post(`${daemon.url}/v1/chat/completions`, {}, chat));
        const action = { kiosk: "park-station-3", item: "umbrella" };
        const key = { "idempotency-key": "sale-1" };
        console.log("action answer:");
        console.log(await post(`${daemon.url}/v1/services/ledger/sales`, key, action));
    }
    finally {
        await cluster.stop();
    }
};

await run();
