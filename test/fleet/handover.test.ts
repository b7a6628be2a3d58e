import { sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { ManagedGroup } from "@greengage/fleet";
import test from "ava";
import { type FleetFixture, startFleet } from "./fixtures.ts";

/** Several periods of the reconcile loop and of each loop that sends an order again. */
const OBSERVATION_MS = 600;

const totalOf = ({ orderCounts }: FleetFixture): number =>
    [...orderCounts.values()].reduce((sum, count) => sum + count, 0);

const waitForGroups = (fleet: FleetFixture): Promise<true> =>
    waitFor("two open groups", () => fleet.openGroups().length === 2 ? true : undefined);

const waitForOrder = (fleet: FleetFixture, order: string): Promise<true> =>
    waitFor(`an order to ${order}`, () => (fleet.orderCounts.get(order) ?? 0) > 0 ? true : undefined);

const groupOf = (fleet: FleetFixture): ManagedGroup =>
    fleet.controller.groups.all().find(({ model }) => model === "large") as ManagedGroup;

/** Reports a group as stalled, as entry daemons do; the controller then probes its members. */
const suspect = (fleet: FleetFixture): void => {
    const { groupName, epoch } = groupOf(fleet);
    void fleet.controller.checkSuspectedGroup({
        groupName,
        epoch,
        reason: "no progress",
        hasRunningStream: true,
    });
};

const memberOf = (fleet: FleetFixture, rank: number): string => groupOf(fleet).memberIds[rank] ?? "";

/** States in which the controller has orders to send. */
const situations: Record<string, (fleet: FleetFixture) => Promise<unknown>> = {
    "before the first group": () => Promise.resolve(),
    "while members join": (fleet) => waitForOrder(fleet, "join"),
    "while a member doesn't respond": async (fleet) => {
        await waitForGroups(fleet);
        fleet.makeUnresponsive(memberOf(fleet, 1));
        suspect(fleet);
        await waitForOrder(fleet, "leave");
    },
    "while a head doesn't respond": async (fleet) => {
        await waitForGroups(fleet);
        fleet.makeUnresponsive(memberOf(fleet, 0));
        suspect(fleet);
        await waitForOrder(fleet, "leave");
    },
    "while a group closes for a member that drains": async (fleet) => {
        await waitForGroups(fleet);
        const { report } = fleet.engine(memberOf(fleet, 1));
        fleet.engine(memberOf(fleet, 0)).neverFinishes = true;
        report.isDraining = true;
        await waitForOrder(fleet, "close");
    },
};

for (const [title, prepare] of Object.entries(situations)) {
    // Guards against two leaders that both send orders around a change of leadership.
    test(`a controller without the leader lease sends no order ${title}, and goes on with it`, async (t) => {
        const fleet = startFleet(t, Array.from({ length: 11 }, (_, index) => `e${index}`));
        if (title === "before the first group") {
            fleet.setLease(false);
        }
        await prepare(fleet);
        fleet.setLease(false);
        const countBefore = totalOf(fleet);
        await sleep(OBSERVATION_MS);
        t.is(totalOf(fleet), countBefore);
        fleet.setLease(true);
        await waitFor("another order", () => totalOf(fleet) > countBefore ? true : undefined);
        t.deepEqual(fleet.violations, []);
    });
}
