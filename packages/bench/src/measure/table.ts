import { monotonicMs, sleep } from "@greengage/base";
import { build } from "hdr-histogram-js";
import { type DaemonHandle, launchCluster } from "../cluster.ts";

const EDITS = 100;
const WARM_UP_EDITS = 5;
const POLL_MS = 2;
/** Requirement: an accepted edit is in effect in every zone within 3 s. */
const IN_EFFECT_LIMIT_MS = 3_000;

interface EditAnswer {
    outcome: { status: string; tableVersion: number; };
}

/** Polls until a daemon has applied a table version and returns the time since `fromMs`. */
const timeUntilApplied = async (
    read: () => Promise<number>,
    tableVersion: number,
    fromMs: number,
): Promise<number> => {
    while (await read() < tableVersion) {
        if (monotonicMs() - fromMs > 10 * IN_EFFECT_LIMIT_MS) {
            throw new Error(`version ${tableVersion} was not applied within ${10 * IN_EFFECT_LIMIT_MS} ms`);
        }
        await sleep(POLL_MS);
    }
    return monotonicMs() - fromMs;
};

/** Edits one cell repeatedly and measures the time from each request until every daemon has applied the edit. */
export const measureTable = async (): Promise<object> => {
    const cluster = await launchCluster({ daemonsPerZone: { "zone-a": 3, "zone-b": 2, "zone-c": 2 } });
    try {
        const spreads = build({ numberOfSignificantValueDigits: 3 });
        const editTimes = build({ numberOfSignificantValueDigits: 3 });
        const read = async (daemon: DaemonHandle): Promise<number> => {
            const answer = await cluster.callOperatorApi(daemon, "GET", "table") as { version: number; };
            return answer.version;
        };
        for (let count = 0; count < WARM_UP_EDITS + EDITS; count += 1) {
            const target = cluster.daemons[count % cluster.daemons.length] as DaemonHandle;
            const sentAtMs = monotonicMs();
            const before = await read(target);
            const pending = cluster.callOperatorApi(target, "POST", "table", {
                editId: `edit-${count}`,
                operator: "bench",
                changes: [{
                    kind: "model",
                    name: "measured",
                    baseVersion: count,
                    columns: { vmsPerReplica: 1 + count % 2 },
                }],
            }) as Promise<EditAnswer>;
            // The response waits for the daemons, so they are polled meanwhile. The figure includes the time to accept.
            const applied = cluster.daemons.map((daemon) =>
                timeUntilApplied(() => read(daemon), before + 1, sentAtMs)
            );
            const times = await Promise.all(applied);
            const { outcome } = await pending;
            if (outcome.status !== "accepted") {
                throw new Error(`edit ${count} was not accepted: ${JSON.stringify(outcome)}`);
            }
            if (count >= WARM_UP_EDITS) {
                spreads.recordValue(
                    Math.max(1, Math.round(1_000 * (Math.max(...times) - Math.min(...times)))),
                );
                editTimes.recordValue(Math.max(1, Math.round(1_000 * Math.max(...times))));
            }
        }
        const toMs = (valueUs: number): number => Math.round(valueUs) / 1_000;
        return {
            edits: EDITS,
            daemons: cluster.daemons.length,
            p50Ms: toMs(editTimes.getValueAtPercentile(50)),
            p99Ms: toMs(editTimes.getValueAtPercentile(99)),
            maxMs: toMs(editTimes.maxValue),
            spreadP99Ms: toMs(spreads.getValueAtPercentile(99)),
            boundMs: IN_EFFECT_LIMIT_MS,
            isWithinBound: toMs(editTimes.maxValue) <= IN_EFFECT_LIMIT_MS,
        };
    }
    finally {
        await cluster.stop();
    }
};
