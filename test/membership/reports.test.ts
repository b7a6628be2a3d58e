import { createContext, Lifecycle } from "@greengage/base";
import { Hub, SHORT_TIMING, ZoneVm } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { ReportForwarder } from "@greengage/membership";
import type { Calls } from "@greengage/protocol";
import test from "ava";
import { ZONE } from "./fixtures.ts";

type Batch = Calls["report.batch"]["request"];

// Guards against a forwarder that sends every report in full, or that ignores the controller's request for a full one.
test("unchanged reports go to the controller as id and sequence number until it requests the full report", async (t) => {
    const hub = new Hub();
    const peers = hub.join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    const controller = hub.join({ daemonId: "daemon-2", zone: ZONE, host: "", port: 0 });
    const batches: Batch[] = [];
    const needFull: string[] = [];
    controller.handle("report.batch", (batch) => {
        batches.push(batch);
        return { accepted: true, needFull: needFull.splice(0), releasedVmIds: [] };
    });
    const forwarder = new ReportForwarder({
        context: createContext({ daemonId: "daemon-1", zone: ZONE }),
        peers,
        timing: SHORT_TIMING,
        controllerId: () => "daemon-2",
        tableVersion: () => 0,
        stateForSuccessor: () => ({ transfers: [], drainedVmIds: [] }),
    });
    const lifecycle = new Lifecycle();
    t.teardown(() => lifecycle.close());
    lifecycle.onClose(() => forwarder.close());
    const vm = new ZoneVm({ vmId: "vm-1", zone: ZONE, fabricDomain: "rack-1" });
    forwarder.start();
    vm.start(lifecycle, (report) => forwarder.accept(report).released);
    await waitFor("five reports", () => batches.length >= 5 || undefined);
    t.is(batches.flatMap(({ changed }) => changed).length, 1);
    t.true(
        batches.slice(1).every(({ unchanged }) => unchanged.length === 1 && unchanged[0]?.fullSequence === 1),
    );
    needFull.push("vm-1");
    await waitFor(
        "a second full report",
        () => batches.flatMap(({ changed }) => changed).length === 2 || undefined,
    );
    vm.runningRequests = 2;
    const changed = await waitFor("a changed report", () => batches.flatMap((batch) => batch.changed)[2]);
    t.is(changed.report.load.runningRequests, 2);
});
