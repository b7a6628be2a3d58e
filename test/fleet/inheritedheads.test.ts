import { waitFor } from "@greengage/faults";
import type { ManagedGroup } from "@greengage/fleet";
import type { GroupRecords } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { type FleetFixture, reportOf, startFleet } from "./fixtures.ts";

const VM_IDS = ["e0", "e1", "e2", "e3"];

const waitUntil = (description: string, condition: () => boolean): Promise<true> =>
    waitFor(description, () => condition() || undefined);

const recordsOf = ({ controller }: FleetFixture): GroupRecords => ({
    ...controller.records(),
    servers: [],
    entryDaemonCount: 1,
});

interface Leadership {
    fleet: FleetFixture;
    group: ManagedGroup;
    headId: string;
}

/** Starts the fleet of another daemon that succeeds the leader, and that the head of its group never reports to. */
const succeed = (
    t: ExecutionContext,
    { fleet: former, group, headId }: Leadership,
    term: number,
): Leadership => {
    former.setLease(false);
    const fleet = startFleet(t, VM_IDS.filter((vmId) => vmId !== headId));
    fleet.setLease(false);
    for (const [vmId, engine] of fleet.engines) {
        engine.report.membership = former.engine(vmId).membership;
    }
    const head = former.engine(headId);
    head.sendsNoReports = true;
    fleet.engines.set(headId, head);
    fleet.controller.activate(term, recordsOf(former));
    fleet.setLease(true);
    return { fleet, group, headId };
};

const startGroup = async (t: ExecutionContext): Promise<Leadership> => {
    const fleet = startFleet(t, VM_IDS);
    await waitUntil("an open group", () => fleet.openGroups().length === 1);
    const [group] = fleet.controller.groups.all() as [ManagedGroup];
    return { fleet, group, headId: group.memberIds[0] ?? "" };
};

const waitForEnd = ({ fleet, group }: Leadership): Promise<true> =>
    waitUntil("the end of the group", () => fleet.controller.groups.get(group.groupName) === undefined);

// Guards against a group that stays open for good after two changes of the leader: the second successor didn't know the
// address of the head, so that a new process there didn't end it.
test("a new process at the address of a head that has reported to neither of two successors ends its group", async (t) => {
    const leader = await startGroup(t);
    const [expected] = recordsOf(leader.fleet).groups;
    const first = succeed(t, leader, 2);
    await waitUntil("a settled leader", () => first.fleet.controller.isSettled);
    const second = succeed(t, first, 3);
    await waitUntil("a settled leader", () => second.fleet.controller.isSettled);
    t.deepEqual(recordsOf(second.fleet).groups[0]?.members[0], expected?.members[0]);
    const head = second.fleet.engine(second.headId);
    head.report.membership = undefined;
    const next = reportOf("next", { bornMs: 2, address: head.report.address });
    second.fleet.registry.accept(next, performance.now());
    await waitForEnd(second);
    t.deepEqual(second.fleet.violations, []);
});

// Guards against a group without a head that stays open, as neither the head nor another process at its address reports.
test("a group ends whose head doesn't report, once another process answers at its address", async (t) => {
    const successor = succeed(t, await startGroup(t), 2);
    const head = successor.fleet.engine(successor.headId);
    head.isReplaced = true;
    head.report.membership = undefined;
    await waitForEnd(successor);
    t.deepEqual(successor.fleet.violations, []);
});

// Guards against serving groups that end because their heads are cut off from the control daemons only.
test("a group stays open whose head doesn't report but answers, or is silent", async (t) => {
    const { fleet, group, headId } = succeed(t, await startGroup(t), 2);
    const probeCount = (): number => fleet.orderCounts.get("probe") ?? 0;
    await waitUntil("a probe", () => probeCount() > 0);
    fleet.engine(headId).isPartitioned = true;
    const countBefore = probeCount();
    await waitUntil("another probe", () => probeCount() > countBefore);
    t.is(fleet.controller.groups.get(group.groupName)?.phase, "open");
});
