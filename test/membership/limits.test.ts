import { InProcessZone } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const REQUESTS_PER_S = 90;
const MAX_CONCURRENT = 31;

interface Demand {
    zone: string;
}

/** Starts three zones, with all demand in the zone that `demand` names. */
const startThreeZones = (t: ExecutionContext, demand: Demand, daemonsPerZone = 2): InProcessZone => {
    const fleet = new InProcessZone({
        daemonsPerZone: Object.fromEntries(ZONES.map((zone) => [zone, daemonsPerZone])),
        rows: [{
            kind: "organisation",
            name: "vatulele",
            columns: { requestsPerS: REQUESTS_PER_S, maxConcurrent: MAX_CONCURRENT },
        }],
    });
    for (const { zone, membership } of fleet.daemons) {
        membership.directory.setDemandSource(() => [{
            organisation: "vatulele",
            requestsPerS: zone === demand.zone ? REQUESTS_PER_S : 0,
            concurrent: zone === demand.zone ? MAX_CONCURRENT : 0,
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

/** Tracks the highest sums of valid shares until the test ends. */
const trackHighestSums = (
    t: ExecutionContext,
    fleet: InProcessZone,
): { requestsPerS: number; concurrent: number; } => {
    const highest = { requestsPerS: 0, concurrent: 0 };
    const timer = setInterval(() => {
        const sum = sharesIn(fleet);
        highest.requestsPerS = Math.max(highest.requestsPerS, sum.requestsPerS);
        highest.concurrent = Math.max(highest.concurrent, sum.concurrent);
    }, 5);
    t.teardown(() => clearInterval(timer));
    return highest;
};

const setCutOff = (fleet: InProcessZone, zone: string, isCut: boolean): void => {
    const inside = fleet.daemons.filter((daemon) => daemon.zone === zone);
    const outside = fleet.daemons.filter((daemon) => daemon.zone !== zone);
    for (const a of inside) {
        outside.forEach((b) => fleet.hub.setCut(a.daemonId, b.daemonId, isCut));
    }
};

// Guards against organisations that exceed their limits over all zones together, or that can't use them in one zone.
test("shares follow demand between zones, and their sum never exceeds the limit", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = startThreeZones(t, demand);
    const highest = trackHighestSums(t, fleet);
    for (const zone of ["zone-a", "zone-c", "zone-b"]) {
        demand.zone = zone;
        await waitFor(
            `most of the limit in ${zone}`,
            () =>
                (sharesIn(fleet, zone).requestsPerS > 0.8 * REQUESTS_PER_S
                    && sharesIn(fleet, zone).concurrent > 0.8 * MAX_CONCURRENT)
                || undefined,
        );
    }
    t.true(highest.requestsPerS <= REQUESTS_PER_S + 1e-6);
    t.true(highest.concurrent <= MAX_CONCURRENT);
});

// Guards against zones that divide the share of a zone that is cut off and still uses it.
test("a zone that is cut off keeps its share and the others keep it reserved", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = startThreeZones(t, demand);
    const highest = trackHighestSums(t, fleet);
    await waitFor(
        "most of the limit in zone-a",
        () => sharesIn(fleet, "zone-a").requestsPerS > 0.8 * REQUESTS_PER_S || undefined,
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
        () => sharesIn(fleet, "zone-b").requestsPerS > 0.8 * REQUESTS_PER_S || undefined,
    );
    t.true(highest.requestsPerS <= REQUESTS_PER_S + 1e-6);
    t.true(highest.concurrent <= MAX_CONCURRENT);
});

// Guards against a successor that starts from an equal share although its zone has transferred most of it.
test("a new controller of a zone that is cut off honours the transfers of its predecessor", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = startThreeZones(t, demand, 3);
    const highest = trackHighestSums(t, fleet);
    await waitFor(
        "most of the limit in zone-a",
        () => sharesIn(fleet, "zone-a").requestsPerS > 0.8 * REQUESTS_PER_S || undefined,
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
    t.true(sharesIn(fleet, "zone-b").requestsPerS < 0.2 * REQUESTS_PER_S);
    t.true(highest.requestsPerS <= REQUESTS_PER_S + 1e-6);
});
