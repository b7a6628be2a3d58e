import { createContext, Lifecycle } from "@greengage/base";
import { SHORT_TIMING, ZoneVm } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test from "ava";
import { VmRegistry } from "../../packages/membership/src/vmregistry.ts";
import { addVms, eventKinds, startZone, vmOf, waitForServingGroup, ZONE } from "./fixtures.ts";

// Guards against a group member whose VM id is used by two processes.
test("a VM id that two processes report is quarantined", async (t) => {
    const zone = startZone(t);
    addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone);
    const vmId = group.memberVmIds[1] ?? "";
    const twin = new ZoneVm({ vmId, zone: ZONE, fabricDomain: "rack-1", url: "http://twin" });
    const lifecycle = new Lifecycle();
    t.teardown(() => lifecycle.close());
    const { reportForwarder, controller } = zone.daemon(`${ZONE}-1`).membership;
    twin.start(lifecycle, (report) => reportForwarder.accept(report).released);
    await waitFor("quarantine", () => controller.stats().quarantinedVmIds.includes(vmId) || undefined);
    const after = await waitFor(
        "a group without the VM",
        () => zone.serving(`${ZONE}-1`, "assistant").find((next) => !next.memberVmIds.includes(vmId)),
    );
    t.is(after.memberVmIds.length, 2);
    t.true(eventKinds(zone).includes("vm.quarantined"));
    t.is(zone.violations, 0);
});

// Guards against requests for a replaced VM that reach the VM that now has its address.
test("a VM whose address another VM reports counts as missing immediately", async (t) => {
    const zone = startZone(t, { timing: { missingAfterMs: 10_000 } });
    addVms(zone, "rack-1", 3);
    const group = await waitForServingGroup(zone);
    const old = vmOf(zone, group.memberVmIds[0]);
    old.isUp = false;
    zone.addVm({ vmId: "rack-1-vm-9", zone: ZONE, fabricDomain: "rack-1", url: old.url });
    // The old VM's report stays fresh for 10 s, so that only the new owner of its address can make it missing in time.
    const after = await waitFor(
        "a group without the VM",
        () =>
            zone.serving(`${ZONE}-1`, "assistant").find((next) =>
                !next.memberVmIds.includes(old.options.vmId)
            ),
        8_000,
    );
    t.true(after.memberVmIds.length === 2);
});

// Guards against outdated content under a new sequence number when a VM alternates between two daemons.
test("an unchanged report is accepted only if the registry has the full report that it refers to", (t) => {
    const context = createContext({ daemonId: "daemon-1", zone: ZONE });
    const vms = new VmRegistry(context, SHORT_TIMING);
    const vm = new ZoneVm({ vmId: "vm-1", zone: ZONE, fabricDomain: "rack-1" });
    const first = vm.report();
    vms.recordReport(first, 0);
    vm.runningRequests = 3;
    vms.recordReport(vm.report(), 0);
    const entry = { vmId: "vm-1", incarnationId: vm.incarnationId, sequence: 3, ageMs: 0 };
    t.false(vms.recordUnchangedReport({ ...entry, fullSequence: first.sequence }));
    t.is(vms.get("vm-1")?.report.sequence, 2);
    t.true(vms.recordUnchangedReport({ ...entry, fullSequence: 2 }));
    t.is(vms.get("vm-1")?.report.load.runningRequests, 3);
    t.is(vms.get("vm-1")?.report.sequence, 3);
});
