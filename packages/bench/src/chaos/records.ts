import type { StandinRecord } from "../cluster.ts";
import type { Violations } from "./violations.ts";

/** Longest time from the loss of a member to the last dispatch to its group: `missingAfterMs` plus `grantMs` (P1). */
const MAX_DISPATCH_DELAY_MS = 2_500 + 1_500;
/** Allowance for scheduling delays under load. */
const TOLERANCE_MS = 500;

interface OrderRecord extends StandinRecord {
    orderKind: "load" | "release";
    assignment?: { groupId: string; generation: number; };
    isOld: boolean;
    refused: boolean;
    heldGroupId?: string;
}

/** Checks the records of the model stand-ins for violations of P1 to P3. */
export const checkRecords = (
    records: StandinRecord[],
    violations: Violations,
    partitionEndsAtMs: readonly number[],
): void => {
    checkOrders(records.filter((record) => record.kind === "order") as OrderRecord[], violations);
    for (const record of records) {
        if (record.kind === "badResume") {
            violations.add("P3 resumed with a different text", JSON.stringify(record));
        }
        const brokenMs = Number(record["brokenMs"] ?? 0);
        // Bytes held back by a partition arrive late although the daemon sent them in time.
        const mayBeHeld = partitionEndsAtMs.some((endMs) => Math.abs(record.atMs - endMs) < 2_000);
        if (record["isCurrent"] === true && brokenMs > MAX_DISPATCH_DELAY_MS + TOLERANCE_MS && !mayBeHeld) {
            violations.add("P1 dispatch to a broken group", JSON.stringify(record));
        }
    }
};

const checkOrders = (orders: OrderRecord[], violations: Violations): void => {
    const generationsByVm = new Map<string, string[]>();
    for (const order of orders.filter(({ refused }) => !refused)) {
        const { assignment, isOld, heldGroupId, vmId, incarnationId } = order;
        if (order.orderKind !== "load" || assignment === undefined) {
            continue;
        }
        if (isOld && heldGroupId !== undefined && heldGroupId !== assignment.groupId) {
            violations.add("P2 outdated order removed a VM from its group", JSON.stringify(order));
        }
        const key = `${vmId} ${incarnationId}`;
        const generation = `${assignment.groupId}/${assignment.generation}`;
        const earlierGenerations = generationsByVm.get(key) ?? [];
        const position = earlierGenerations.indexOf(generation);
        if (position >= 0 && position < earlierGenerations.length - 1) {
            violations.add("P2 VM returned to an earlier group", JSON.stringify(order));
        }
        if (position < 0) {
            generationsByVm.set(key, [...earlierGenerations, generation]);
        }
    }
};
