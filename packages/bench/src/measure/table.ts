import { monotonicMs, sleep } from "@greengage/base";
import { build } from "hdr-histogram-js";
import { type DaemonHandle, launchCluster } from "../cluster.ts";

const EDITS = 100;
const WARM_UP_EDITS = 5;
const POLL_MS = 2;
/** Requirement: an accepted edit is in effect in every zone within 3 s. */
const BOUND_MS = 3_000;

interface EditAnswer {
    outcome: { status: string; tableVersion: number; };
}

/** Time until a daemon has applied a version of the table. */
const appliedAfterMs = async (
    read: () => Promise<number>,
    tableVersion: number,
    fromMs: number,
): Promise<number> => {
    while (await read() < tableVersion) {
        if (monotonicMs() - fromMs > 10 * BOUND_MS) {
            throw new Error(`version ${tableVersion} was not applied within ${10 * BOUND_MS} ms`);
        }
        await sleep(POLL_MS);
    }
    return monotonicMs() - fromMs;
};

/** Edits one cell again and again, and measures from the request until every daemon has applied it. */
export const measureTable = async (): Promise<object> => {
    const cluster = await launchCluster({ daemonsPerZone: { "zone-a": 3, "zone-b": 2, "zone-c": 2 } });
    try {
        const histogram = build({ numberOfSignificantValueDigits: 3 });
        const edits = build({ numberOfSignificantValueDigits: 3 });
        const read = async (daemon: DaemonHandle): Promise<number> => {
            const answer = await cluster.callOperatorApi(daemon, "GET", "table") as { version: number; };
            return answer.version;
        };
        for (let count = 0; count < WARM_UP_EDITS + EDITS; count += 1) {
            const at = cluster.daemons[count % cluster.daemons.length] as DaemonHandle;
            const sentAtMs = monotonicMs();
            const before = await read(at);
            const pending = cluster.callOperatorApi(at, "POST", "table", {
                editId: `edit-${count}`,
                operator: "bench",
                changes: [{
                    kind: "model",
                    name: "measured",
                    baseVersion: count,
                    columns: { vmsPerReplica: 1 + count % 2 },
                }],
            }) as Promise<EditAnswer>;
            // The answer waits for the daemons, so they are read meanwhile. The time to accept is part of the figure.
            const applied = cluster.daemons.map((daemon) =>
                appliedAfterMs(() => read(daemon), before + 1, sentAtMs)
            );
            const times = await Promise.all(applied);
            const { outcome } = await pending;
            if (outcome.status !== "accepted") {
                throw new Error(`edit ${count} was not accepted: ${JSON.stringify(outcome)}`);
            }
            if (count >= WARM_UP_EDITS) {
                histogram.recordValue(
                    Math.max(1, Math.round(1_000 * (Math.max(...times) - Math.min(...times)))),
                );
                edits.recordValue(Math.max(1, Math.round(1_000 * Math.max(...times))));
            }
        }
        const inMs = (valueUs: number): number => Math.round(valueUs) / 1_000;
        return {
            edits: EDITS,
            daemons: cluster.daemons.length,
            p50Ms: inMs(edits.getValueAtPercentile(50)),
            p99Ms: inMs(edits.getValueAtPercentile(99)),
            maxMs: inMs(edits.maxValue),
            spreadP99Ms: inMs(histogram.getValueAtPercentile(99)),
            boundMs: BOUND_MS,
            isWithinBound: inMs(edits.maxValue) <= BOUND_MS,
        };
    }
    finally {
        await cluster.stop();
    }
};
