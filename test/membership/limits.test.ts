import { InProcessZone } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const RATE = 90;
const CONCURRENT = 31;

interface Demand {
    zone: string;
}

/** Three zones; all demand comes from one zone. */
const threeZones = (t: ExecutionContext, demand: Demand, daemonsPerZone = 2): InProcessZone => {
    const fleet = new InProcessZone({
        daemonsPerZone: Object.fromEntries(ZONES.map((zone) => [zone, daemonsPerZone])),
        rows: [{
            kind: "organisation",
            name: "vatulele",
            columns: { requestsPerS: RATE, maxConcurrent: CONCURRENT },
        }],
    });
    for (const { zone, membership } of fleet.daemons) {
        membership.directory.setDemandSource(() => [{
            organisation: "vatulele",
            requestsPerS: zone === demand.zone ? RATE : 0,
            concurrent: zone === demand.zone ? CONCURRENT : 0,
        }]);
    }
    fleet.start();
    t.teardown(() => fleet.close());
    return fleet;
};

const sharesIn = (fleet: InProcessZone, zone?: string): { requestsPerS: number; concurrent: number; } => {
    const sum = { requestsPerS: 0, concurrent: 0 };
    for (const daemon of fleet.daemons) {
        const { directory } = daemon.membership;
        const isValid = directory.reachableZones().includes(daemon.zone);
        const share = isValid ? directory.share("vatulele") : undefined;
        if (share !== undefined && (zone === undefined || daemon.zone === zone)) {
            sum.requestsPerS += share.requestsPerS;
            sum.concurrent += share.concurrent;
        }
    }
    return sum;
};

/** Samples the sums until the test ends. */
const watchSums = (
    t: ExecutionContext,
    fleet: InProcessZone,
): { requestsPerS: number; concurrent: number; } => {
    const most = { requestsPerS: 0, concurrent: 0 };
    const timer = setInterval(() => {
        const sum = sharesIn(fleet);
        most.requestsPerS = Math.max(most.requestsPerS, sum.requestsPerS);
        most.concurrent = Math.max(most.concurrent, sum.concurrent);
    }, 5);
    t.teardown(() => clearInterval(timer));
    return most;
};

const setCutOff = (fleet: InProcessZone, zone: string, isCut: boolean): void => {
    const inside = fleet.daemons.filter((daemon) => daemon.zone === zone);
    const outside = fleet.daemons.filter((daemon) => daemon.zone !== zone);
    for (const a of inside) {
        outside.forEach((b) => fleet.hub.setCut(a.daemonId, b.daemonId, isCut));
    }
};

// Guards against organisations that exceed their limits over all zones together, or that can't use them in one.
test("shares follow demand between zones, and their sum never exceeds the limit", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = threeZones(t, demand);
    const most = watchSums(t, fleet);
    for (const zone of ["zone-a", "zone-c", "zone-b"]) {
        demand.zone = zone;
        await waitFor(
            `most of the limit in ${zone}`,
            () =>
                (sharesIn(fleet, zone).requestsPerS > 0.8 * RATE
                    && sharesIn(fleet, zone).concurrent > 0.8 * CONCURRENT)
                || undefined,
        );
    }
    t.true(most.requestsPerS <= RATE + 1e-6);
    t.true(most.concurrent <= CONCURRENT);
});

// Guards against zones that divide the share of a zone that is cut off and still uses it.
test("a zone that is cut off keeps its share and the others keep it reserved", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = threeZones(t, demand);
    const most = watchSums(t, fleet);
    await waitFor(
        "most of the limit in zone-a",
        () => sharesIn(fleet, "zone-a").requestsPerS > 0.8 * RATE || undefined,
    );
    setCutOff(fleet, "zone-a", true);
    await waitFor("the cut", () =>
        fleet.daemons.every(({ zone, membership }) => {
            const reachable = membership.directory.reachableZones();
            return zone === "zone-a" ? reachable.join() === "zone-a" : !reachable.includes("zone-a");
        }) || undefined);
    demand.zone = "zone-b";
    const before = sharesIn(fleet, "zone-a").requestsPerS;
    // The rest of the limit moves from zone-c to zone-b, which shows that shares still move.
    await waitFor(
        "a move between the other zones",
        () =>
            sharesIn(fleet, "zone-b").requestsPerS > 3 * sharesIn(fleet, "zone-c").requestsPerS || undefined,
    );
    t.true(sharesIn(fleet, "zone-a").requestsPerS > before - 1e-6);
    setCutOff(fleet, "zone-a", false);
    await waitFor(
        "most of the limit in zone-b",
        () => sharesIn(fleet, "zone-b").requestsPerS > 0.8 * RATE || undefined,
    );
    t.true(most.requestsPerS <= RATE + 1e-6);
    t.true(most.concurrent <= CONCURRENT);
});

// Guards against a successor that starts again from equal parts although its zone has given its part away.
test("a new controller of a zone that is cut off keeps what its predecessor had given away", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = threeZones(t, demand, 3);
    const most = watchSums(t, fleet);
    await waitFor(
        "most of the limit in zone-a",
        () => sharesIn(fleet, "zone-a").requestsPerS > 0.8 * RATE || undefined,
    );
    setCutOff(fleet, "zone-b", true);
    const former = await waitFor("the controller", () => fleet.controller("zone-b"));
    await fleet.crash(former.daemonId);
    const successor = await waitFor("a successor", () => fleet.controller("zone-b"));
    await waitFor(
        "shares of the successor",
        () => successor.membership.directory.share("vatulele") !== undefined || undefined,
    );
    await waitFor("shares of the daemons", () => sharesIn(fleet, "zone-b").requestsPerS > 0 || undefined);
    t.true(sharesIn(fleet, "zone-b").requestsPerS < 0.2 * RATE);
    t.true(most.requestsPerS <= RATE + 1e-6);
});
