import { monotonicMs } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { BackendKind, GroupState, type InFlightCount } from "@greengage/protocol";
import test from "ava";
import { addVms, startZone, vmOf, waitForServingGroup, waitForServingGroups, ZONE } from "./fixtures.ts";

const LEAVING_DEADLINE_MS = 2_000;

// Guards against lost capacity, and new work on the leaving VM, during a planned restart.
test("a replacement serves before the group of a leaving VM drains, and the VM is released once it is idle", async (t) => {
    const zone = startZone(t);
    const vms = addVms(zone, "rack-1", 4, { cachedModels: ["assistant"] });
    const group = await waitForServingGroup(zone);
    const leader = vmOf(zone, group.memberVmIds[0]);
    leader.runningRequests = 1;
    leader.leaving = true;
    const leavingSinceMs = monotonicMs();
    const servingCounts: number[] = [];
    await waitFor("only the replacement to serve", () => {
        const serving = zone.serving(`${ZONE}-1`, "assistant");
        servingCounts.push(serving.length);
        return (serving.length === 1 && serving[0]?.groupId !== group.groupId) || undefined;
    });
    t.true(monotonicMs() - leavingSinceMs < LEAVING_DEADLINE_MS);
    t.false(servingCounts.includes(0));
    t.false(leader.released);
    t.is(leader.assignment?.groupId, group.groupId);
    leader.runningRequests = 0;
    await waitFor("release", () => leader.released || undefined);
    await waitFor(
        "release of the old members",
        () => vms.filter((vm) => vm.assignment !== undefined).length === 2 || undefined,
    );
    t.is(zone.violations, 0);
});

// Guards against the release of a VM that doesn't report a daemon's in-flight request yet (invariant P7).
test("a VM isn't released while a daemon counts requests in flight on its group", async (t) => {
    const zone = startZone(t, { daemonsPerZone: { [ZONE]: 2 } });
    addVms(zone, "rack-1", 2);
    const group = await waitForServingGroup(zone, `${ZONE}-2`);
    let inFlight: InFlightCount[] = [{ id: group.groupId, count: 1 }];
    let renewalCount = 0;
    zone.daemon(`${ZONE}-2`).membership.directory.setInFlightSource(() => {
        renewalCount += 1;
        return inFlight;
    });
    const member = vmOf(zone, group.memberVmIds[1]);
    member.leaving = true;
    await waitForServingGroups(zone, 0);
    const renewalCountBefore = renewalCount;
    await waitFor("several renewals", () => renewalCount > renewalCountBefore + 8 || undefined);
    t.is(zone.groups(`${ZONE}-2`)[0]?.state, GroupState.Draining);
    t.false(member.released);
    inFlight = [];
    await waitFor("release", () => member.released || undefined);
});

// Guards against calls to a service's backend server after it has left.
test("a leaving backend server of a service gets no calls after the deadline and is released", async (t) => {
    // Renewals are too infrequent to update the daemon in time, so the push has to.
    const zone = startZone(t, { timing: { leaseMs: 4_000, grantRenewMs: 2_500, grantMs: 3_500 } });
    const ledger = zone.addVm({ vmId: "ledger-1", zone: ZONE, fabricDomain: "none", service: "ledger" });
    const { directory } = zone.daemon(`${ZONE}-1`).membership;
    await waitFor("the service", () => directory.services("ledger")[0]);
    ledger.leaving = true;
    const leavingSinceMs = monotonicMs();
    await waitFor("removal of the service", () => directory.services("ledger").length === 0 || undefined);
    t.true(monotonicMs() - leavingSinceMs < LEAVING_DEADLINE_MS);
    await waitFor("release", () => ledger.released || undefined);
    t.is(ledger.report().kind, BackendKind.Service);
});

// Guards against a dry run that changes state, and against an operator's drain that returns no plan.
test("an operator's drain returns its plan, and a dry run changes nothing", async (t) => {
    const zone = startZone(t);
    addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone);
    const { membership } = zone.daemon(`${ZONE}-1`);
    const vmId = group.memberVmIds[0] ?? "";
    const plan = await membership.drainVm(vmId, { dryRun: true });
    t.like(plan, { vmId, dryRun: true, groupId: group.groupId, replacement: "spare" });
    t.deepEqual(membership.stats().drainedVmIds, []);
    t.is(await membership.drainVm("no-such-vm"), undefined);
    await membership.drainVm(vmId);
    const after = await waitFor(
        "a group without the VM",
        () => zone.serving(`${ZONE}-1`, "assistant").find((next) => !next.memberVmIds.includes(vmId)),
    );
    t.is(after.groupId, group.groupId);
    await waitFor("release", () => vmOf(zone, vmId).assignment === undefined || undefined);
    await membership.undrainVm(vmId);
    t.deepEqual(membership.stats().drainedVmIds, []);
});
