import { waitFor } from "@greengage/faults";
import type { StandinOptions } from "@greengage/standins";
import { request } from "undici";
import { CALLER_KEY, callerKeyHash, type Cluster, type DaemonHandle } from "./cluster.ts";

export interface ChatAnswer {
    status: number;
    tokens: string[];
    /** Whether the stream ended with the `[DONE]` marker. */
    isComplete: boolean;
    text: string;
}

export interface ActionAnswer {
    status: number;
    body: unknown;
}

const callerHeaders = (extraHeaders: Record<string, string> = {}): Record<string, string> => ({
    authorization: `Bearer ${CALLER_KEY}`,
    "content-type": "application/json",
    ...extraHeaders,
});

/** Default table rows: one model with two VMs per replica, one organisation and one ledger service. */
export const seedChanges = (): object[] => [
    { kind: "model", name: "assistant", baseVersion: 0, columns: { vmsPerReplica: 2, replicas: 1 } },
    {
        kind: "organisation",
        name: "umbrella-corner",
        baseVersion: 0,
        columns: { apiKeyHashes: [callerKeyHash()] },
    },
    { kind: "service", name: "ledger", baseVersion: 0, columns: { pathPrefix: "/" } },
];

/** Writes the initial rows to the table. Default: `seedChanges`. */
export const seedTable = async (cluster: Cluster, changes: object[] = seedChanges()): Promise<void> => {
    const daemon = cluster.daemons[0] as DaemonHandle;
    await cluster.callOperatorApi(daemon, "POST", "table", { editId: "seed", operator: "bench", changes });
};

/** Starts model VMs in one fabric domain of a zone. */
export const startZoneBackends = (
    cluster: Cluster,
    zone: string,
    options: { modelVms: number; } & Partial<StandinOptions>,
): void => {
    const { modelVms, ...rest } = options;
    for (let index = 1; index <= modelVms; index += 1) {
        cluster.startBackend("model", {
            vmId: `${zone}-vm-${index}`,
            zone,
            fabricDomain: `${zone}-rack-1`,
            ...rest,
        });
    }
};

/** Waits until the first daemon reports at least `count` serving groups. */
export const waitForServingGroups = async (cluster: Cluster, count: number): Promise<void> => {
    await waitFor(`${count} serving replica groups`, async () => {
        const daemon = cluster.daemons[0] as DaemonHandle;
        const status = await cluster.callOperatorApi(daemon, "GET", "status") as {
            groups: { state: string; }[];
        };
        return status.groups.filter((group) => group.state === "serving").length >= count ? true : undefined;
    });
};

/** Sends a streamed chat request and reads the response to its end. */
export const postChat = async (daemon: { url: string; }, body: object = {}): Promise<ChatAnswer> => {
    const chat = {
        model: "assistant",
        stream: true,
        messages: [{ role: "user", content: "Umbrellas left?" }],
        ...body,
    };
    const response = await request(`${daemon.url}/v1/chat/completions`, {
        method: "POST",
        headers: callerHeaders(),
        body: JSON.stringify(chat),
    });
    const text = await response.body.text();
    const events = text.split("\n\n").filter((event) => event.startsWith("data: {"));
    const tokens = events.map((event) => chunkContent(event.slice("data: ".length)));
    return { status: response.statusCode, tokens, isComplete: text.endsWith("data: [DONE]\n\n"), text };
};

/** Sends a non-idempotent request to the ledger service. */
export const postAction = async (
    daemon: { url: string; },
    key: string,
    body: object,
): Promise<ActionAnswer> => {
    const response = await request(`${daemon.url}/v1/services/ledger/sales`, {
        method: "POST",
        headers: callerHeaders({ "idempotency-key": key }),
        body: JSON.stringify(body),
    });
    return { status: response.statusCode, body: await response.body.json() };
};

const chunkContent = (json: string): string => {
    const chunk = JSON.parse(json) as { choices?: { delta?: { content?: string; }; }[]; };
    return chunk.choices?.[0]?.delta?.content ?? "";
};
