import { GroupState, type GroupView, type ServiceView } from "@greengage/protocol";
import test from "ava";
import fc from "fast-check";
import {
    apportionByWeight,
    clampToAvailable,
    divideByDemand,
    ShareLedger,
    WHOLE_MILLIONTHS,
} from "../../packages/membership/src/shares.ts";
import { ViewLog } from "../../packages/membership/src/viewlog.ts";

const createGroupView = (id: number, generation: number, running: number): GroupView => ({
    groupId: `group-${id}`,
    generation,
    model: "assistant",
    zone: "zone-a",
    fabricDomain: "rack-1",
    state: GroupState.Serving,
    memberVmIds: [`vm-${id}`],
    leaderUrl: "",
    maxConcurrent: 8,
    load: { runningRequests: running, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 },
});

const service: ServiceView = {
    vmId: "ledger-1",
    incarnationId: "1",
    service: "ledger",
    zone: "zone-a",
    url: "",
    maxConcurrent: 1,
    available: true,
};

const groupArbitrary = fc.record({ id: fc.nat(4), generation: fc.nat(2), running: fc.nat(2) });
const viewsArbitrary = fc.array(fc.uniqueArray(groupArbitrary, { selector: ({ id }) => id }), {
    maxLength: 20,
});

// Guards against a daemon that keeps a removed group, or misses a change, because it doesn't renew after every change.
test("a view built from deltas equals the full view", (t) => {
    fc.assert(
        fc.property(
            viewsArbitrary,
            fc.array(fc.boolean(), { minLength: 20, maxLength: 20 }),
            (views, renewals) => {
                const log = new ViewLog();
                const daemonGroups = new Map<string, GroupView>();
                let version: number | undefined;
                for (const [index, present] of views.entries()) {
                    log.update(
                        present.map(({ id, generation, running }) =>
                            createGroupView(id, generation, running)
                        ),
                        [
                            service,
                        ],
                    );
                    if (!renewals[index]) {
                        continue;
                    }
                    const delta = log.deltaSince(version);
                    version = delta.viewVersion;
                    if (delta.full) {
                        daemonGroups.clear();
                    }
                    delta.groups.forEach((view) => daemonGroups.set(view.groupId, view));
                    delta.loads.forEach(({ groupId, load }) =>
                        daemonGroups.set(groupId, { ...daemonGroups.get(groupId) as GroupView, load })
                    );
                    delta.removedGroupIds.forEach((id) => daemonGroups.delete(id));
                    const byId = (a: GroupView, b: GroupView): number => a.groupId.localeCompare(b.groupId);
                    t.deepEqual(
                        [...daemonGroups.values()].sort(byId),
                        log.deltaSince(undefined).groups.sort(byId),
                    );
                }
            },
        ),
    );
});

// Guards against renewals whose size grows with the fleet although nothing changes.
test("a renewal without changes carries no groups, services or loads", (t) => {
    const log = new ViewLog();
    log.update([createGroupView(1, 1, 0), createGroupView(2, 1, 0)], [service]);
    const { viewVersion } = log.deltaSince(undefined);
    log.update([createGroupView(1, 1, 0), createGroupView(2, 1, 0)], [service]);
    const same = log.deltaSince(viewVersion);
    t.is(same.viewVersion, viewVersion);
    t.is(same.groups.length + same.services.length + same.loads.length, 0);
    log.update([createGroupView(1, 1, 5), createGroupView(2, 1, 0)], [service]);
    t.deepEqual(log.deltaSince(viewVersion).loads.map(({ groupId }) => groupId), ["group-1"]);
    t.is(log.deltaSince(viewVersion).groups.length, 0);
});

const ZONES = ["zone-a", "zone-b", "zone-c"];
const ledgerEventArbitrary = fc.record({
    kind: fc.constantFrom("give", "merge"),
    from: fc.nat(2),
    to: fc.nat(2),
    millionths: fc.nat(2 * WHOLE_MILLIONTHS),
});

// Guards against an organisation that uses more than its limit while zones transfer shares or are cut off.
test("the sum of the zones' shares never exceeds the limit, even when messages are lost or repeated", (t) => {
    fc.assert(fc.property(fc.array(ledgerEventArbitrary, { maxLength: 60 }), (events) => {
        const ledgers = ZONES.map(() => new ShareLedger(ZONES));
        for (const { kind, from, to, millionths } of events) {
            if (kind === "give") {
                ledgers[from]?.transfer("umbrella", ZONES[from] ?? "", ZONES[to] ?? "", millionths);
            }
            else {
                ledgers[to]?.merge(ledgers[from]?.transfers() ?? []);
            }
            const shares = ledgers.map((ledger, index) => ledger.shareOf("umbrella", ZONES[index] ?? ""));
            t.true(shares.reduce((sum, share) => sum + share, 0) <= WHOLE_MILLIONTHS);
        }
    }));
});

// Guards against parts of a division that add up to more than the whole.
test("parts divided by demand don't exceed the whole, and integer parts add up to it", (t) => {
    fc.assert(
        fc.property(
            fc.nat(10_000),
            fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 12 }),
            (whole, demands) => {
                const exact = divideByDemand(whole, demands).reduce((sum, part) => sum + part, 0);
                t.true(exact <= whole * (1 + 1e-9));
                const parts = apportionByWeight(whole, divideByDemand(1, demands));
                t.is(parts.reduce((sum, part) => sum + part, 0), whole);
                t.true(parts.every((part) => Number.isInteger(part) && part >= 0));
            },
        ),
    );
});

// Guards against a share that is issued to a daemon while another daemon still uses it.
test("a daemon's share is limited to what isn't issued to other daemons", (t) => {
    t.is(clampToAvailable(6, 10, 8), 2);
    t.is(clampToAvailable(6, 10, 12), 0);
    t.is(clampToAvailable(6, 10, 1), 6);
});
