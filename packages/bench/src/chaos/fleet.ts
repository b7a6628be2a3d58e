import { Cluster } from "../cluster.ts";
import { seedChanges, seedTable } from "../requests.ts";

export const ZONES: Record<string, number> = { "jhb-north": 3, "jhb-east": 2, "pta-central": 2 };
/** Models with the VMs of one replica. Each zone has one replica of each. */
export const MODELS: Record<string, number> = { assistant: 2, writer: 3 };
/** Rows that the operators edit. */
export const EDITED_ROWS = ["lender-a", "lender-b", "lender-c"];
const DOMAINS_PER_ZONE = 2;
const VMS_PER_DOMAIN = 3;
const WEIGHT_STORE_GB_PER_S = 40;
/** Longer than any pause of a controller in a run, shorter than its default of 90 s, so that a short run recovers. */
const UNFENCED_HANDOVER_MS = 12_000;

/** Starts the daemons and stand-ins of a run and fills the table. */
export const startFleet = async (onLine?: (source: string, line: string) => void): Promise<Cluster> => {
    const cluster = new Cluster({
        daemonsPerZone: ZONES,
        proxied: true,
        onLine,
        settings: { timing: { unfencedHandoverMs: UNFENCED_HANDOVER_MS } },
    });
    try {
        await cluster.start();
        const [model, organisation, service] = seedChanges() as { columns: object; }[];
        const { columns } = organisation as { columns: object; };
        await seedTable(cluster, [
            ...Object.entries(MODELS).map(([name, vmsPerReplica]) => ({
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
    for (const zone of Object.keys(ZONES)) {
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
