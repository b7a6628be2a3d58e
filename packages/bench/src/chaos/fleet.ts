import { Cluster } from "../cluster.ts";
import { seedChanges, seedTable } from "../requests.ts";

export const DAEMONS_PER_ZONE: Record<string, number> = { "jhb-north": 3, "jhb-east": 2, "pta-central": 2 };
/** VMs per replica by model. Each zone runs one replica of each model. */
export const VMS_PER_REPLICA: Record<string, number> = { assistant: 2, writer: 3 };
/** Organisation rows that the operators edit. */
export const EDITED_ROWS = ["lender-a", "lender-b", "lender-c"];
const DOMAINS_PER_ZONE = 2;
const VMS_PER_DOMAIN = 3;
const WEIGHT_STORE_GB_PER_S = 40;
/** Longer than any pause of a controller in a run, but below the default of 90 s so that short runs recover. */
const UNFENCED_HANDOVER_MS = 12_000;

/** Starts the daemons and stand-ins of a chaos run and writes the initial table. */
export const startFleet = async (onLine?: (source: string, line: string) => void): Promise<Cluster> => {
    const cluster = new Cluster({
        daemonsPerZone: DAEMONS_PER_ZONE,
        proxied: true,
        onLine,
        settings: { timing: { unfencedHandoverMs: UNFENCED_HANDOVER_MS } },
    });
    try {
        await cluster.start();
        const [model, organisation, service] = seedChanges() as { columns: object; }[];
        const { columns } = organisation as { columns: object; };
        await seedTable(cluster, [
            ...Object.entries(VMS_PER_REPLICA).map(([name, vmsPerReplica]) => ({
                ...model,
                name,
                columns: { vmsPerReplica, replicas: 1 },
            })),
            { ...organisation, columns: { ...columns, requestsPerS: 10_000, maxConcurrent: 1_000 } },
            ...EDITED_ROWS.map((name) => ({ kind: "organisation", name, baseVersion: 0, columns: {} })),
            service as object,
        ]);
        await startBackends(cluster);
    }
    catch (error) {
        await cluster.stop();
        throw error;
    }
    return cluster;
};

const startBackends = async (cluster: Cluster): Promise<void> => {
    const weightStoreUrl = await cluster.startWeightStore(WEIGHT_STORE_GB_PER_S);
    for (const zone of Object.keys(DAEMONS_PER_ZONE)) {
        for (let domain = 1; domain <= DOMAINS_PER_ZONE; domain += 1) {
            for (let index = 1; index <= VMS_PER_DOMAIN; index += 1) {
                const fabricDomain = `${zone}-rack-${domain}`;
                const vmId = `${fabricDomain}-vm-${index}`;
                // One VM of each fabric domain ignores fencing tokens.
                const checksFencing = index !== VMS_PER_DOMAIN;
                await cluster.addBackend("model", {
                    vmId,
                    zone,
                    fabricDomain,
                    checksFencing,
                    weightStoreUrl,
                });
            }
        }
        await cluster.addBackend("ledger", { vmId: `${zone}-ledger`, zone, fabricDomain: "none" });
    }
};
