import { monotonicMs, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { type ManagedGroup } from "@greengage/fleet";
import { type GroupRecords, MemberState } from "@greengage/protocol";
import test from "ava";
import { HEAD_BREAK_MARGIN_MS, REPORT_DELAY_MS } from "../../packages/fleet/src/timing.ts";
import { type FleetFixture, HEARTBEAT_MS, startFleet } from "./fixtures.ts";

/** Many periods of the reconcile loop, in which VMs would be reassigned. */
const OBSERVATION_MS = 600;
/** Start of the second range of epochs. */
const SECOND_RANGE_EPOCH = 2 ** 47;

const engineIds = (count: number): string[] => Array.from({ length: count }, (_, index) => `e${index}`);

const waitUntil = (description: string, condition: () => boolean): Promise<true> =>
    waitFor(description, () => condition() || undefined);

const waitForGroup = async (fleet: FleetFixture, formerName?: string): Promise<ManagedGroup> =>
    await waitFor(
        "an open group",
        () =>
            fleet.controller.groups.all().find(({ phase, groupName }) =>
                phase === "open" && groupName !== formerName
            ),
    );

const suspect = ({ controller }: FleetFixture, { groupName, epoch }: ManagedGroup): Promise<boolean> =>
    controller.checkSuspectedGroup({ groupName, epoch, reason: "no progress", hasRunningStream: true });

/** Starts a group whose members have each got a first order to join that will be carried out late, and cuts its head off. */
const startGroupWithLateJoins = async (
    fleet: FleetFixture,
): Promise<{ group: ManagedGroup; headId: string; memberIds: string[]; }> => {
    fleet.engines.forEach((engine) => engine.unansweredOperations.add("join"));
    const group = await waitForGroup(fleet);
    const [headId = "", ...memberIds] = group.memberIds;
    fleet.engine(headId).isPartitioned = true;
    for (const memberId of memberIds) {
        const member = fleet.engine(memberId);
        // The late order is carried out at the last moment, just before the order to join another group.
        member.beforeJoin = () => {
            member.beforeJoin = () => undefined;
            void member.lateOrders.get("join")?.();
        };
    }
    await suspect(fleet, group);
    await waitUntil(
        "members that have left",
        () => memberIds.every((memberId) => fleet.engine(memberId).membership === undefined),
    );
    return { group, headId, memberIds };
};

const recordsOf = ({ controller }: FleetFixture): GroupRecords => ({
    ...controller.records(),
    servers: [],
    entryDaemonCount: 1,
});

/** As daemons of the former version write them, without the orders that got no answer. */
const formerRecordsOf = (fleet: FleetFixture): GroupRecords => {
    const records = recordsOf(fleet);
    const groups = records.groups.map((group) => ({
        ...group,
        hasUnansweredOpen: undefined,
        members: group.members.map((member) => ({ ...member, hasUnansweredJoin: undefined })),
    }));
    return { ...records, groups };
};

const successors: Record<string, (fleet: FleetFixture) => void> = {
    "": () => undefined,
    ", nor by a new leader": (fleet) => fleet.controller.activate(2, recordsOf(fleet)),
    ", nor by a new leader with the records of a former version": (fleet) =>
        fleet.controller.activate(2, formerRecordsOf(fleet)),
};

for (const [title, activate] of Object.entries(successors)) {
    // Guards against a VM in two groups: a late order brings a member back into the group that it has left, whose head serves.
    test(`members that may be brought back into their group aren't reassigned while its head may serve${title}`, async (t) => {
        const fleet = startFleet(t, engineIds(5));
        const { group, headId } = await startGroupWithLateJoins(fleet);
        activate(fleet);
        await waitUntil("a settled leader", () => fleet.controller.isSettled);
        await sleep(OBSERVATION_MS);
        t.deepEqual(fleet.violations, []);
        fleet.engine(headId).isPartitioned = false;
        await waitForGroup(fleet, group.groupName);
        t.deepEqual(fleet.violations, []);
    });
}

// Guards against members that stay unused for as long as their head, which has ended, can't say so.
test("members that may be brought back into their group are reassigned once its silent head must have broken", async (t) => {
    const stallMs = 200;
    const fleet = startFleet(t, engineIds(4), () => ({}), undefined, stallMs);
    const { group, headId } = await startGroupWithLateJoins(fleet);
    await sleep(stallMs);
    t.deepEqual(fleet.controller.groups.get(group.groupName)?.memberIds, group.memberIds);
    const { membership } = fleet.engine(headId);
    fleet.engine(headId).report.membership = membership && { ...membership, state: MemberState.Broken };
    const next = await waitForGroup(fleet, group.groupName);
    t.false(next.memberIds.includes(headId));
    t.deepEqual(fleet.violations, []);
});

// Guards against members that are reassigned while a head serves that late orders have opened again after it had left.
test("a head that late orders have opened again is taken for broken only by the time since then", async (t) => {
    const stallMs = 200;
    const fleet = startFleet(t, engineIds(4), () => ({}), undefined, stallMs);
    fleet.engine("e0").unansweredOperations.add("open");
    const { group: { groupName, epoch }, headId } = await startGroupWithLateJoins(fleet);
    const leftAtMs = monotonicMs();
    const head = fleet.engine(headId);
    head.isPartitioned = false;
    await waitUntil("a head that has left", () => head.membership === undefined);
    await sleep(REPORT_DELAY_MS + HEARTBEAT_MS);
    // Its report arrives, and the orders that follow don't.
    head.isPartitioned = true;
    head.report.membership = { groupName, epoch, rank: 0, state: MemberState.Open };
    head.report.sequence += 1;
    fleet.registry.accept({ ...head.report }, monotonicMs());
    const brokenAfterMs = stallMs + HEAD_BREAK_MARGIN_MS;
    await sleep(brokenAfterMs + OBSERVATION_MS / 2 - (monotonicMs() - leftAtMs));
    t.true(fleet.controller.groups.get(groupName)?.memberIds.includes(headId));
    t.deepEqual(fleet.violations, []);
    head.report.membership = { groupName, epoch, rank: 0, state: MemberState.Broken };
    await waitForGroup(fleet, groupName);
    t.deepEqual(fleet.violations, []);
});

// Guards against members that stay reserved although each order has got an answer.
test("members that no order can bring back are reassigned while their head doesn't respond", async (t) => {
    const fleet = startFleet(t, engineIds(4));
    const group = await waitForGroup(fleet);
    const [headId = ""] = group.memberIds;
    fleet.engine(headId).isPartitioned = true;
    await suspect(fleet, group);
    const next = await waitForGroup(fleet, group.groupName);
    t.false(next.memberIds.includes(headId));
    t.deepEqual(fleet.violations, []);
});

// Guards against a VM in two groups: late orders open a group again whose head has left, just before a member is reassigned.
test("members of a group that late orders may open again leave it before they are reassigned", async (t) => {
    const fleet = startFleet(t, engineIds(5));
    const head = fleet.engine("e0");
    ["join", "open"].forEach((operation) => head.unansweredOperations.add(operation));
    const { groupName, epoch, memberIds: [headId = ""] } = await waitForGroup(fleet);
    t.is(headId, "e0");
    const reopen = (): void => {
        if (head.membership === undefined) {
            head.report.membership = { groupName, epoch, rank: 0, state: MemberState.Open };
        }
    };
    fleet.engines.forEach((engine) => {
        engine.beforeJoin = reopen;
    });
    head.report.isDraining = true;
    const next = await waitForGroup(fleet, groupName);
    t.false(next.memberIds.includes(headId));
    t.deepEqual(fleet.violations, []);
});

// Guards against a VM in two groups: an order to join is carried out after one of a lower epoch, as it is of a higher range.
test("a group has a higher epoch than those that its members may still join", async (t) => {
    const isHigh = (serverId: string): boolean => serverId === "e0" || serverId === "e1";
    const fleet = startFleet(t, engineIds(5), (serverId) => ({
        fabricDomain: isHigh(serverId) || serverId === "e2" ? "d" : "other",
        ...(isHigh(serverId)
            ? {
                membership: {
                    groupName: `former-${serverId}`,
                    epoch: SECOND_RANGE_EPOCH - 1,
                    rank: 1,
                    state: MemberState.Ready,
                },
            }
            : {}),
    }));
    const late = fleet.engine("e2");
    late.unansweredOperations.add("join");
    await waitUntil("an order without an answer", () => late.lateOrders.has("join"));
    fleet.makeUnresponsive("e0");
    fleet.makeUnresponsive("e1");
    const lateEpoch = fleet.engine("e0").highestEpoch;
    t.true(lateEpoch > SECOND_RANGE_EPOCH);
    late.isPartitioned = true;
    await waitUntil("the end of the group", () => fleet.controller.groups.all().length === 0);
    late.report.fabricDomain = "other";
    late.isPartitioned = false;
    const group = await waitForGroup(fleet);
    t.true(group.memberIds.includes("e2"));
    await late.lateOrders.get("join")?.();
    t.deepEqual(fleet.violations, []);
});

// Guards against a VM in two groups: a daemon that leads again takes reports of its former term for the present state.
test("a leader uses only VMs that have reported in its term", async (t) => {
    const fleet = startFleet(t, engineIds(3));
    fleet.setLease(false);
    await waitUntil("reports of all VMs", () => fleet.registry.all().length === 3);
    // Another leader forms a group meanwhile, and this daemon gets no report of it before it leads again.
    for (const [rank, serverId] of engineIds(3).entries()) {
        const engine = fleet.engine(serverId);
        engine.sendsNoReports = true;
        const state = rank === 0 ? MemberState.Open : MemberState.Ready;
        engine.report.membership = { groupName: "g1500001", epoch: 1_500_001, rank, state };
    }
    fleet.controller.activate(2, recordsOf(fleet));
    fleet.setLease(true);
    await sleep(OBSERVATION_MS);
    t.deepEqual(fleet.violations, []);
    t.is(fleet.orderCounts.get("join"), undefined);
    fleet.engines.forEach((engine) => {
        engine.sendsNoReports = false;
    });
    await waitUntil("the group of the other leader", () => fleet.openGroups().join() === "g1500001");
    t.deepEqual(fleet.violations, []);
});

// Guards against a VM in two groups: a member's report of a group with an odd epoch was ignored while its head was serving.
test("members of a serving group whose epoch no leader has issued aren't reassigned", async (t) => {
    const epoch = SECOND_RANGE_EPOCH - 1;
    const fleet = startFleet(t, engineIds(4), (serverId) => ({
        ...(serverId === "e3" ? {} : {
            membership: {
                groupName: "odd",
                epoch,
                rank: Number(serverId.slice(1)),
                state: serverId === "e0" ? MemberState.Open : MemberState.Ready,
            },
        }),
    }));
    fleet.engines.forEach((engine) => {
        engine.highestEpoch = engine.membership?.epoch ?? 0;
    });
    await waitUntil("a known group", () => fleet.openGroups().includes("odd"));
    await sleep(OBSERVATION_MS);
    t.deepEqual(fleet.violations, []);
    t.deepEqual(fleet.controller.groups.get("odd")?.memberIds.sort(), ["e0", "e1", "e2"]);
});
