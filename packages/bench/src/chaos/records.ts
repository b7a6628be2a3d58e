import type { StandinRecord } from "../cluster.ts";
import type { Violations } from "./violations.ts";

/** Longest time from the loss of a member to the last dispatch: `missingAfterMs` and `grantMs` (P1). */
const DISPATCH_BOUND_MS = 2_500 + 1_500;
/** Reading of the process under load. */
const SLACK_MS = 500;

interface OrderRecord extends StandinRecord {
    orderKind: "load" | "release";
    assignment?: { groupId: string; generation: number; };
    isOld: boolean;
    refused: boolean;
    heldGroupId?: string;
}

/** Checks what the model engines recorded. */
export const checkRecords = (
    records: StandinRecord[],
    violations: Violations,
    partitionEndsAtMs: readonly number[],
): void => {
    checkOrders(records.filter((record) => record.kind === "order") as OrderRecord[], violations);
    for (const record of records) {
        if (record.kind === "badResume") {
            violations.add("P3 resumed with another text", JSON.stringify(record));
        }
        const brokenMs = Number(record["brokenMs"] ?? 0);
        // Bytes that a partition held back arrive late; the daemon sent them in time.
        const mayBeHeld = partitionEndsAtMs.some((endMs) => Math.abs(record.atMs - endMs) < 2_000);
        if (record["isCurrent"] === true && brokenMs > DISPATCH_BOUND_MS + SLACK_MS && !mayBeHeld) {
            violations.add("P1 dispatch to a broken group", JSON.stringify(record));
        }
    }
};

const checkOrders = (orders: OrderRecord[], violations: Violations): void => {
    const held = new Map<string, string[]>();
    for (const order of orders.filter(({ refused }) => !refused)) {
        const { assignment, isOld, heldGroupId, vmId, incarnationId } = order;
        if (order.orderKind !== "load" || assignment === undefined) {
            continue;
        }
        if (isOld && heldGroupId !== undefined && heldGroupId !== assignment.groupId) {
            violations.add("P2 old order took a VM out of its group", JSON.stringify(order));
        }
        const key = `${vmId} ${incarnationId}`;
        const generation = `${assignment.groupId}/${assignment.generation}`;
        const earlier = held.get(key) ?? [];
        const position = earlier.indexOf(generation);
        if (position >= 0 && position < earlier.length - 1) {
            violations.add("P2 VM returned to an earlier group", JSON.stringify(order));
        }
        if (position < 0) {
            held.set(key, [...earlier, generation]);
        }
    }
};
