import { createContext, sleep } from "@greengage/base";
import { Hub, SHORT_TIMING } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { GroupDirectory } from "@greengage/membership";
import { type Grant, GroupState } from "@greengage/protocol";
import test from "ava";
import { ZONE } from "./fixtures.ts";

const createGrant = (viewVersion: number, state: GroupState): Grant => ({
    zone: ZONE,
    fence: 1,
    viewVersion,
    validForMs: 60_000,
    full: true,
    groups: [{
        groupId: "group-1",
        generation: 1,
        model: "assistant",
        zone: ZONE,
        fabricDomain: "rack-1",
        state,
        memberVmIds: ["vm-1"],
        leaderUrl: "",
        maxConcurrent: 1,
        load: { runningRequests: 0, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 },
    }],
    services: [],
    removedGroupIds: [],
    removedServiceVmIds: [],
    loads: [],
    tableFloor: 0,
    daemonCount: 1,
    shares: [],
    transfers: [],
    drainedVmIds: [],
});

// Guards against new work on a draining group when a push overtakes the response to a renewal (invariant P6).
test("a late renewal response doesn't replace the newer view of a push", async (t) => {
    const hub = new Hub();
    const peers = hub.join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    const controller = hub.join({ daemonId: "daemon-2", zone: ZONE, host: "", port: 0 });
    const changes: boolean[] = [];
    controller.handle("zone.holder", () => ({ holderId: "daemon-2", highestFence: 1 }));
    controller.handle("grant.renew", () => ({ grant: createGrant(1, GroupState.Serving) }));
    const directory = new GroupDirectory({
        context: createContext({ daemonId: "daemon-1", zone: ZONE }),
        peers,
        timing: { ...SHORT_TIMING, grantMs: 30_000, grantRenewMs: 10_000 },
        zones: [ZONE],
        acceptorsOf: () => ["daemon-2"],
        tableVersion: () => 0,
    });
    t.teardown(() => directory.close());
    directory.start();
    await waitFor("the group", () => directory.isServing(ZONE, "group-1", 1) || undefined);
    directory.onChange(() => changes.push(directory.isServing(ZONE, "group-1", 1)));
    // Versions 2, 1 and 3 arrive in this order. Version 1 simulates the late response.
    controller.notify("daemon-1", "grant.push", { grant: createGrant(2, GroupState.Draining) });
    controller.notify("daemon-1", "grant.push", { grant: createGrant(1, GroupState.Serving) });
    controller.notify("daemon-1", "grant.push", { grant: createGrant(3, GroupState.Draining) });
    await waitFor("the last push", () => changes.length >= 2 || undefined);
    t.deepEqual(changes, [false, false]);
});

// Guards against a request that is sent under an expired grant: it may wait for a slot after a group was chosen, and
// meanwhile the zone's next controller may have formed another group from the same VMs.
test("a group chosen under a valid grant no longer serves after the grant has expired", async (t) => {
    const hub = new Hub();
    const peers = hub.join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    const controller = hub.join({ daemonId: "daemon-2", zone: ZONE, host: "", port: 0 });
    const validForMs = 300;
    controller.handle("zone.holder", () => ({ holderId: "daemon-2", highestFence: 1 }));
    controller.handle(
        "grant.renew",
        () => ({ grant: { ...createGrant(1, GroupState.Serving), validForMs } }),
    );
    const directory = new GroupDirectory({
        context: createContext({ daemonId: "daemon-1", zone: ZONE }),
        peers,
        timing: { ...SHORT_TIMING, grantMs: validForMs, grantRenewMs: 30_000 },
        zones: [ZONE],
        acceptorsOf: () => ["daemon-2"],
        tableVersion: () => 0,
    });
    t.teardown(() => directory.close());
    directory.start();
    const chosen = await waitFor("the group", () => directory.servingGroups("assistant")[0]);
    t.true(directory.isServing(chosen.zone, chosen.groupId, chosen.generation));
    await sleep(validForMs + 50);
    t.false(directory.isServing(chosen.zone, chosen.groupId, chosen.generation));
    t.deepEqual(directory.servingGroups("assistant"), []);
});
