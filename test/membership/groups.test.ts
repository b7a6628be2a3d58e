import { SHORT_TIMING, type ZoneVm } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { GroupState } from "@greengage/protocol";
import test from "ava";
import {
    addVms,
    eventKinds,
    startZone,
    vmOf,
    waitForServingGroup,
    waitForServingGroups,
    ZONE,
} from "./fixtures.ts";

// Guards against groups that span fabric domains, which would be slow.
test("a group is formed inside one fabric domain", async (t) => {
    const zone = startZone(t, { model: { replicas: 2 } });
    addVms(zone, "rack-1", 1);
    addVms(zone, "rack-2", 3);
    const group = await waitForServingGroup(zone);
    t.true(group.memberVmIds.every((vmId) => vmId.startsWith("rack-2")));
    t.is(zone.groups(`${ZONE}-1`).length, 1);
    t.is(zone.violations, 0);
});

// Guards against a group that is reloaded as a whole, or stays down, when one member is lost.
test("lost members are replaced by spares in a new generation, even right after a repair", async (t) => {
    const zone = startZone(t);
    addVms(zone, "rack-1", 4);
    const first = await waitForServingGroup(zone);
    vmOf(zone, first.memberVmIds[1]).isUp = false;
    const second = await waitFor(
        "repair",
        () => zone.serving(`${ZONE}-1`, "assistant").find((group) => group.generation === 2),
    );
    t.is(second.groupId, first.groupId);
    t.is(second.memberVmIds[0], first.memberVmIds[0]);
    t.is(vmOf(zone, first.memberVmIds[0]).assignment?.generation, 2);
    vmOf(zone, second.memberVmIds[1]).isUp = false;
    const third = await waitFor(
        "second repair",
        () => zone.serving(`${ZONE}-1`, "assistant").find((group) => group.generation === 3),
    );
    t.is(third.memberVmIds[0], first.memberVmIds[0]);
    t.is(zone.violations, 0);
});

// Guards against a loading group that waits forever for a lost member, and against spares of another fabric domain.
test("a group whose fabric domain is lost while it loads is formed in another fabric domain", async (t) => {
    const zone = startZone(t);
    const lost = addVms(zone, "rack-1", 3, { loadMs: 600_000 });
    await waitFor(
        "loading group",
        () => zone.groups(`${ZONE}-1`).find((group) => group.state === GroupState.Loading),
    );
    for (const vm of lost) {
        vm.isUp = false;
    }
    addVms(zone, "rack-2", 2);
    const group = await waitForServingGroup(zone);
    t.is(group.fabricDomain, "rack-2");
});

// Guards against a mass reload after a short outage, although the weights are still in memory.
test("members that return within repairAfterMs serve again without a new order", async (t) => {
    const zone = startZone(t, { timing: { repairAfterMs: 60_000 } });
    const vms = addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone);
    const ordersBefore = vms.map((vm) => vm.orders.length);
    const member = vmOf(zone, group.memberVmIds[1]);
    member.isUp = false;
    await waitForServingGroups(zone, 0);
    member.isUp = true;
    const after = await waitForServingGroup(zone);
    t.is(after.generation, group.generation);
    t.deepEqual(vms.map((vm) => vm.orders.length), ordersBefore);
});

// Guards against a group that relies on the weights of a process that has exited.
test("a member that restarts gets a new order", async (t) => {
    const zone = startZone(t);
    addVms(zone, "rack-1", 2);
    const group = await waitForServingGroup(zone);
    vmOf(zone, group.memberVmIds[0]).restart();
    const after = await waitFor(
        "next generation",
        () =>
            zone.serving(`${ZONE}-1`, "assistant").find((next) =>
                next.groupId !== group.groupId || next.generation > group.generation
            ),
    );
    t.is(vmOf(zone, after.memberVmIds[0]).assignment?.groupId, after.groupId);
    t.is(zone.violations, 0);
});

// Guards against repeatedly choosing a VM that can't load.
test("a VM whose load fails is replaced", async (t) => {
    const zone = startZone(t, { placement: "firstFit" });
    const [broken] = addVms(zone, "rack-1", 3);
    (broken as { failsLoads: boolean; }).failsLoads = true;
    const group = await waitForServingGroup(zone);
    t.false(group.memberVmIds.includes("rack-1-vm-1"));
    t.true(eventKinds(zone).includes("vm.loadFailed"));
});

// Guards against continuous load orders to a VM that can't load.
test("a VM whose load fails gets the next order only after its back-off", async (t) => {
    const zone = startZone(t);
    const [broken] = addVms(zone, "rack-1", 2);
    const vm = broken as ZoneVm;
    vm.failsLoads = true;
    const loads = () => vm.orders.filter((order) => order.kind === "load");
    await waitFor("a second load", () => loads().length > 1 || undefined);
    t.true((loads()[1]?.atMs ?? 0) - (loads()[0]?.atMs ?? 0) > 2 * SHORT_TIMING.missingAfterMs);
});

// Guards against groups that keep their VMs although the table no longer requires them.
test("surplus groups and those of a disabled model are drained and released", async (t) => {
    const zone = startZone(t, { model: { replicas: 2 } });
    const vms = addVms(zone, "rack-1", 4);
    await waitForServingGroups(zone, 2);
    zone.edit([{ kind: "model", name: "assistant", columns: { replicas: 1 } }]);
    await waitForServingGroups(zone, 1);
    await waitFor(
        "release of two VMs",
        () => vms.filter((vm) => vm.assignment === undefined).length === 2 || undefined,
    );
    zone.edit([{ kind: "model", name: "assistant", columns: { enabled: false } }]);
    await waitFor("release of all VMs", () => vms.every((vm) => vm.assignment === undefined) || undefined);
    t.true(eventKinds(zone).includes("group.draining"));
});

// Guards against an overloaded weight store when all groups load from it at the same time.
test("concurrent loads of a fabric domain stay within the weight store's limit", async (t) => {
    const zone = startZone(t, { model: { replicas: 4 }, maxLoads: 2 });
    let running = 0;
    let maxRunning = 0;
    for (const vm of addVms(zone, "rack-1", 8)) {
        vm.onLoad = (change) => {
            running += change;
            maxRunning = Math.max(maxRunning, running);
        };
    }
    await waitForServingGroups(zone, 4);
    t.is(maxRunning, 2);
});

// Guards against a slow VM that slows down its whole group while a spare is idle.
test("a straggler is replaced while a spare exists", async (t) => {
    const zone = startZone(t, { model: { replicas: 2 } });
    addVms(zone, "rack-1", 5);
    const groups = await waitForServingGroups(zone, 2);
    const slowId = groups[0]?.memberVmIds[1];
    vmOf(zone, slowId).tokenGapMs = 100;
    await waitFor("two groups without the straggler", () => {
        const serving = zone.serving(`${ZONE}-1`, "assistant");
        const isUsed = serving.some((group) => group.memberVmIds.includes(slowId ?? ""));
        return (serving.length === 2 && !isUsed) || undefined;
    });
    t.is(zone.violations, 0);
});

// Guards against a mass reload when a fabric domain returns with its weights in memory.
test("the groups of a fabric domain that returns serve again without new orders", async (t) => {
    const zone = startZone(t, { model: { replicas: 2 } });
    const vms = addVms(zone, "rack-1", 4);
    await waitForServingGroups(zone, 2);
    const ordersBefore = vms.map((vm) => vm.orders.length);
    vms.forEach((vm) => {
        vm.isUp = false;
    });
    await waitFor("dissolved groups", () => zone.groups(`${ZONE}-1`).length === 0 || undefined);
    vms.forEach((vm) => {
        vm.isUp = true;
    });
    await waitForServingGroups(zone, 2);
    t.deepEqual(vms.map((vm) => vm.orders.length), ordersBefore);
    t.is(zone.violations, 0);
});

// Guards against a group that is repeatedly dissolved and adopted while its VMs still report it.
test("a dissolved surplus group isn't adopted again", async (t) => {
    const zone = startZone(t, { model: { replicas: 2 } });
    const vms = addVms(zone, "rack-1", 4);
    await waitForServingGroups(zone, 2);
    zone.edit([{ kind: "model", name: "assistant", columns: { replicas: 1 } }]);
    await waitFor(
        "release of two VMs",
        () => vms.filter((vm) => vm.assignment === undefined).length === 2 || undefined,
    );
    // 8 accelerator seconds take two free VMs half a second, in which the controller has seen their reports.
    const { controller } = zone.daemon(`${ZONE}-1`).membership;
    await waitFor(
        "idle VMs",
        () => (controller.stats().strandedAccelerators.byCauseS.noDemand ?? 0) > 8 || undefined,
    );
    t.is(eventKinds(zone).filter((kind) => kind === "group.dissolved").length, 1);
});

// Guards against many idle accelerators in a large group that lacks one VM while a small group could release its VMs.
test("a small group releases its VMs to a larger one of its fabric domain, and is formed again later", async (t) => {
    const zone = startZone(t, { model: { vmsPerReplica: 4 } });
    zone.edit([{ kind: "model", name: "small", columns: { vmsPerReplica: 2, priority: 6 } }]);
    addVms(zone, "rack-1", 6);
    const large = await waitForServingGroup(zone);
    const small = await waitFor("the small group", () => zone.serving(`${ZONE}-1`, "small")[0]);
    const lost = vmOf(zone, large.memberVmIds[2]);
    lost.isUp = false;
    const repaired = await waitFor(
        "repair",
        () => zone.serving(`${ZONE}-1`, "assistant").find((group) => group.generation === 2),
    );
    t.is(repaired.groupId, large.groupId);
    t.true(small.memberVmIds.some((vmId) => repaired.memberVmIds.includes(vmId)));
    t.is(zone.serving(`${ZONE}-1`, "small").length, 0);
    lost.restart();
    await waitFor("the small group", () => zone.serving(`${ZONE}-1`, "small")[0]);
    t.is(zone.violations, 0);
});
