import { HubState } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test from "ava";
import { addVms, eventKinds, startZone, vmOf, waitForServingGroup, ZONE } from "./fixtures.ts";

const THREE_DAEMONS = { daemonsPerZone: { [ZONE]: 3 } };

// Guards against a controller change that reloads healthy groups.
test("a successor adopts groups from reports without orders", async (t) => {
    const zone = startZone(t, THREE_DAEMONS);
    const vms = addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone, `${ZONE}-1`);
    const ordersBefore = vms.map((vm) => vm.orders.length);
    const former = zone.controller(ZONE);
    await zone.crash(former?.daemonId ?? "");
    const successor = await waitFor("a successor", () => zone.controller(ZONE));
    const adopted = await waitForServingGroup(zone, successor.daemonId);
    t.is(adopted.groupId, group.groupId);
    t.is(adopted.generation, group.generation);
    t.deepEqual(vms.map((vm) => vm.orders.length), ordersBefore);
});

// Guards against a VM in two groups, because it can't detect that a late order of a paused controller is stale.
test("a late order to a VM that ignores fencing tokens suspends its group, and the VM is replaced", async (t) => {
    const zone = startZone(t, { ...THREE_DAEMONS, timing: { unfencedHandoverMs: 1_000 } });
    addVms(zone, "rack-1", 3, { checksFencing: false });
    const first = await waitForServingGroup(zone);
    const former = await waitFor("controller", () => zone.controller(ZONE));
    const gate = zone.gates.get(former.daemonId);
    const lostId = first.memberVmIds[1] ?? "";
    const spareId = [...zone.vms.keys()].find((vmId) => !first.memberVmIds.includes(vmId)) ?? "";
    (gate as { isHeld: boolean; }).isHeld = true;
    vmOf(zone, lostId).isUp = false;
    await waitFor("held orders of the repair", () => (gate?.waiting.length ?? 0) > 0 || undefined);
    zone.hub.setState(former.daemonId, HubState.Down);
    vmOf(zone, lostId).isUp = true;
    const others = zone.daemons.filter((daemon) => daemon !== former);
    const successor = await waitFor(
        "a successor",
        () => others.find(({ membership }) => membership.lease.isValid),
    );
    const adopted = await waitForServingGroup(zone, successor.daemonId);
    t.is(adopted.generation, 1);
    // The delayed orders of the former controller arrive now: generation 2 with the spare.
    gate?.waiting.splice(0).forEach((resume) => resume());
    await waitFor(
        "detection of the late order",
        () => eventKinds(zone).includes("vm.lateOrder") || undefined,
    );
    // The delayed orders are carried out one by one, and daemons receive the suspension with the next view.
    await waitFor("the order to the spare", () => vmOf(zone, spareId).orders.length > 0 || undefined);
    const after = await waitFor(
        "another serving group",
        () =>
            zone.serving(successor.daemonId, "assistant").find(({ generation, groupId }) =>
                generation !== 1 || groupId !== first.groupId
            ),
    );
    t.is(after.memberVmIds.length, 2);
    // Guards against a VM that is ordered back into its group, from which the next late order takes it again.
    const strayOrders = vmOf(zone, first.memberVmIds[0]).orders.map(({ assignment }) =>
        assignment?.generation
    );
    t.deepEqual(strayOrders.slice(0, 2), [1, 2]);
    t.not(strayOrders[2], 1);
    t.is(zone.violations, 0);
});

// Guards against an order to a VM that an unreachable former controller may still reassign.
test("a VM that ignores fencing tokens isn't reassigned until the handover is confirmed or times out", async (t) => {
    const zone = startZone(t, { ...THREE_DAEMONS, timing: { unfencedHandoverMs: 3_000 } });
    addVms(zone, "rack-1", 3, { checksFencing: false });
    const group = await waitForServingGroup(zone);
    const former = await waitFor("controller", () => zone.controller(ZONE));
    await zone.crash(former.daemonId);
    const others = zone.daemons.filter((daemon) => daemon !== former);
    const successor = await waitFor(
        "a successor",
        () => others.find(({ membership }) => membership.lease.isValid),
    );
    const takenOverAtMs = performance.now();
    vmOf(zone, group.memberVmIds[1]).isUp = false;
    const after = await waitFor(
        "repair",
        () =>
            zone.serving(successor.daemonId, "assistant").find((next) =>
                next.memberVmIds.join() !== group.memberVmIds.join()
            ),
    );
    t.true(performance.now() - takenOverAtMs > 2_000);
    t.is(after.memberVmIds.length, 2);
    const { byCauseS } = successor.membership.stats().groupDowntime;
    t.true(Object.values(byCauseS).some((seconds) => seconds > 1));
});

// Guards against a drained VM that is used for groups again after a controller change.
test("an operator's drain survives a controller change", async (t) => {
    const zone = startZone(t, THREE_DAEMONS);
    addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone);
    const drainedId = group.memberVmIds[0] ?? "";
    const former = await waitFor("controller", () => zone.controller(ZONE));
    t.truthy(await former.membership.drainVm(drainedId));
    await waitFor(
        "all daemons to receive the drain",
        () =>
            zone.daemons.every(({ membership }) =>
                membership.directory.stateForSuccessor().drainedVmIds.includes(drainedId)
            )
            || undefined,
    );
    await zone.crash(former.daemonId);
    const successor = await waitFor("a successor", () => zone.controller(ZONE));
    await waitFor(
        "the drain at the successor",
        () => successor.membership.stats().drainedVmIds.includes(drainedId) || undefined,
    );
    const after = await waitForServingGroup(zone, successor.daemonId);
    t.false(after.memberVmIds.includes(drainedId));
});
