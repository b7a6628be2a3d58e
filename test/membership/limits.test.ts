import { InProcessZone } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const REQUESTS_PER_S = 90;
const MAX_CONCURRENT = 31;

interface Demand {
    zone: string;
}

/** Starts three zones. All demand is in `demand.zone`, which the test may change. */
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

/** Records the highest sums of valid shares until the test ends. */
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

// Guards against organisations that exceed their limit across all zones, or that can't use most of it in one zone.
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

// Guards against zones that reassign the share of an unreachable zone, which still uses it.
test("an unreachable zone keeps its share, and the other zones leave it unused", async (t) => {
    const demand = { zone: "zone-a" };
    const fleet = startThreeZones(t, demand);
    const highest = trackHighestSums(t, fleet);
    await waitFor(
        "most of the limit in zone-a",
        () => sharesIn(fleet, "zone-a").requestsPerS > 0.8 * REQUESTS_PER_S || undefined,
    );
    setCutOff(fleet, "zone-a", true);
    await waitFor("loss of contact with zone-a", () =>
        fleet.daemons.every(({ zone, membership }) => {
            const reachable = membership.directory.reachableZones();
            return zone === "zone-a" ? reachable.join() === "zone-a" : !reachable.includes("zone-a");
        }) || undefined);
    demand.zone = "zone-b";
    const before = sharesIn(fleet, "zone-a").requestsPerS;
    // zone-c transfers most of its share to zone-b, which shows that the reachable zones still exchange shares.
    await waitFor(
        "a transfer between the other zones",
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
test("a new controller of an unreachable zone keeps the transfers of its predecessor", async (t) => {
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
