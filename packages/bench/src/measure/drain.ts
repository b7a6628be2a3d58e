import { monotonicMs, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { Cluster, type DaemonHandle } from "../cluster.ts";
import { postChat, seedChanges, seedTable, startZoneBackends, waitForServingGroups } from "../requests.ts";

const ZONE = "jhb-north";
const STREAM_COUNT = 8;
// Answers of different lengths keep the streams from starting in step.
const answerTokens = (index: number): number => 40 + 7 * index;
const ROUNDS = 4;
const SETTLE_MS = 3_000;
const LAST_NEW_WORK_LIMIT_MS = 2_000;

interface GroupStatus {
    groupId: string;
    state: string;
    memberVmIds: string[];
}

interface Counts {
    whole: number;
    cutOff: number;
    refused: number;
}

/** Removes a VM from the cluster. */
type Removal = (cluster: Cluster, vmId: string) => Promise<void>;

const removals: Record<"leave" | "kill", Removal> = {
    leave: async (cluster, vmId) => await cluster.backends.get(vmId)?.stop(),
    kill: async (cluster, vmId) => await cluster.backends.get(vmId)?.kill(),
};

const servingGroups = async (cluster: Cluster): Promise<GroupStatus[]> => {
    const status = await cluster.callOperatorApi(cluster.daemons[0] as DaemonHandle, "GET", "status");
    return (status as { groups: GroupStatus[]; }).groups.filter((group) => group.state === "serving");
};

const streamUntilAborted = async (
    cluster: Cluster,
    index: number,
    counts: Counts,
    signal: AbortSignal,
): Promise<void> => {
    while (!signal.aborted) {
        const daemon = cluster.daemons[index % cluster.daemons.length] as DaemonHandle;
        const answer = await postChat(daemon, { max_tokens: answerTokens(index) }).catch(() => undefined);
        const isRefused = answer !== undefined && answer.status !== 200;
        const isComplete = answer?.isComplete === true && answer.tokens.length === answerTokens(index);
        counts[isRefused ? "refused" : isComplete ? "whole" : "cutOff"] += 1;
        if (isRefused) {
            await sleep(50, signal);
        }
    }
};

/** Removes group leaders under load. Returns the latest time after a removal at which the VM got a new request. */
const removeLeadersUnderLoad = async (
    kind: keyof typeof removals,
): Promise<Counts & { lastNewWorkMs: number; releasedAfterMs: number; }> => {
    const cluster = new Cluster({ daemonsPerZone: { [ZONE]: 2 } });
    const counts: Counts = { whole: 0, cutOff: 0, refused: 0 };
    const stop = new AbortController();
    try {
        await cluster.start();
        await seedTable(cluster, [
            { kind: "model", name: "assistant", baseVersion: 0, columns: { vmsPerReplica: 2, replicas: 2 } },
            ...seedChanges().slice(1),
        ]);
        startZoneBackends(cluster, ZONE, { modelVms: 4 + 2 * ROUNDS });
        await waitForServingGroups(cluster, 2);
        const streams = Array.from(
            { length: STREAM_COUNT },
            (_, index) => streamUntilAborted(cluster, index, counts, stop.signal),
        );
        let lastNewWorkMs = 0;
        let releasedAfterMs = 0;
        for (let round = 0; round < ROUNDS; round += 1) {
            const groups = await waitFor("two serving groups", async () => {
                const serving = await servingGroups(cluster);
                return serving.length >= 2 ? serving : undefined;
            });
            await sleep(SETTLE_MS / 2);
            const vmId = groups[0]?.memberVmIds[0] ?? "";
            const removedAtMs = Date.now();
            const startedAtMs = monotonicMs();
            await removals[kind](cluster, vmId);
            releasedAfterMs = Math.max(releasedAfterMs, monotonicMs() - startedAtMs);
            await sleep(SETTLE_MS);
            const newRequests = cluster.records().filter((record) =>
                record.vmId === vmId && record.kind === "request" && record.atMs >= removedAtMs
            );
            lastNewWorkMs = Math.max(
                lastNewWorkMs,
                ...newRequests.map((record) => record.atMs - removedAtMs),
            );
        }
        stop.abort();
        await Promise.all(streams);
        return { ...counts, lastNewWorkMs, releasedAfterMs: Math.round(releasedAfterMs) };
    }
    finally {
        stop.abort();
        await cluster.stop();
    }
};

/** Compares group leaders that leave gracefully under load with the baseline, in which they are killed. */
export const measureDrain = async (): Promise<object> => {
    const leave = await removeLeadersUnderLoad("leave");
    const kill = await removeLeadersUnderLoad("kill");
    const { lastNewWorkMs, cutOff } = leave;
    return {
        lastNewWorkMs,
        cutOff,
        isWithinBound: lastNewWorkMs <= LAST_NEW_WORK_LIMIT_MS && cutOff === 0,
        leave,
        kill,
    };
};
