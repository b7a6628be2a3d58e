import { monotonicMs } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import {
    applyDeparture,
    DepartureEffect,
    DepartureState,
    type ManagedGroup,
    ServerRegistry,
    serverReportSchema,
} from "@greengage/fleet";
import { MemberState } from "@greengage/protocol";
import test from "ava";
import { REPORT_DELAY_MS } from "../../packages/fleet/src/timing.ts";
import { startFleet } from "./fixtures.ts";

const waitUntil = (description: string, condition: () => boolean, limitMs?: number): Promise<true> =>
    waitFor(description, () => condition() || undefined, limitMs);

const engineIds = (count: number): string[] => Array.from({ length: count }, (_, index) => `e${index}`);

test("a fabric domain of 11 VMs forms a group of each model and stages different models on two spares", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    await waitUntil("two staged spares", () => {
        const spares = [...fleet.engines.values()].filter(({ membership }) => membership === undefined);
        return spares.map(({ report }) => report.stagedModels.join()).sort().join() === "large,small";
    });
    t.deepEqual(fleet.violations, []);
});

// Guards against a group that is not replaced after a member becomes unresponsive, and against a VM in two groups.
test("an unresponsive member is replaced by the staged spare in a group with a new epoch", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const group = fleet.controller.groups.all().find(({ model }) => model === "large");
    const lostId = group?.memberIds[3] ?? "";
    fleet.makeUnresponsive(lostId);
    const isHealthy = await fleet.controller.checkSuspectedGroup({
        groupName: group?.groupName ?? "",
        epoch: group?.epoch ?? 0,
        reason: "no progress",
        hasRunningStream: true,
    });
    t.false(isHealthy);
    await waitUntil(
        "another open group of the model",
        () =>
            fleet.controller.groups.all().some(({ model, phase, groupName }) =>
                model === "large" && phase === "open" && groupName !== group?.groupName
            ),
    );
    const next = fleet.controller.groups.all().find(({ model, phase }) =>
        model === "large" && phase === "open"
    );
    t.false(next?.memberIds.includes(lostId));
    t.true((next?.epoch ?? 0) > (group?.epoch ?? 0));
    t.deepEqual(fleet.violations, []);
});

// Guards against reassigning members while their unreachable head may still be serving with them.
test("the members of an unresponsive head leave before they are reassigned", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const group = fleet.controller.groups.all().find(({ model }) => model === "large");
    const headId = group?.memberIds[0] ?? "";
    fleet.engine(headId).isPartitioned = true;
    await fleet.controller.checkSuspectedGroup({
        groupName: group?.groupName ?? "",
        epoch: group?.epoch ?? 0,
        reason: "no progress",
        hasRunningStream: true,
    });
    await waitUntil(
        "another open group of the model",
        () =>
            fleet.controller.groups.all().some(({ model, phase, groupName }) =>
                model === "large" && phase === "open" && groupName !== group?.groupName
            ),
    );
    t.is(fleet.engine(headId).membership?.state, MemberState.Open, "the head received no order");
    t.deepEqual(fleet.violations, []);
});

// Guards against a new leader that ends serving groups, or reassigns members whose head hasn't reported to it yet.
test("a new leader keeps the serving groups, even if a head reports late", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const names = fleet.openGroups().sort();
    const headId = fleet.controller.groups.all()[0]?.memberIds[0] ?? "";
    fleet.engine(headId).isPartitioned = true;
    const joinCountBefore = fleet.orderCounts.get("join");
    fleet.controller.activate(2, { ...fleet.controller.records(), servers: [], entryDaemonCount: 1 });
    await waitUntil("a settled leader", () => fleet.controller.isSettled);
    fleet.engine(headId).isPartitioned = false;
    await waitUntil("the same groups", () => fleet.openGroups().sort().join() === names.join());
    t.is(fleet.orderCounts.get("join"), joinCountBefore);
    t.deepEqual(fleet.violations, []);
});

test("a new leader without records learns the groups from the reports", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const names = fleet.openGroups().sort();
    fleet.controller.activate(2, undefined);
    await waitUntil("the same groups", () => fleet.openGroups().sort().join() === names.join());
    t.deepEqual(fleet.violations, []);
});

// Guards against requests sent to a server after its drain was acknowledged, and against cutting off running requests.
test("a group closes when a member drains, and is recreated with a spare", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const group = fleet.controller.groups.all().find(({ model }) => model === "small");
    const drainingId = group?.memberIds[1] ?? "";
    fleet.engine(drainingId).report.isDraining = true;
    await waitUntil(
        "another open group of the model",
        () =>
            fleet.controller.groups.all().some(({ model, phase, memberIds }) =>
                model === "small" && phase === "open" && !memberIds.includes(drainingId)
            ),
    );
    t.true((fleet.orderCounts.get("close") ?? 0) > 0);
    t.deepEqual(fleet.violations, []);
});

// Guards against requests to a server that has left: a new leader acknowledged the shutdown of a member that it knew
// only from records, but did not close its group.
test("the shutdown of a member that has not reported to the new leader is not acknowledged", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const { groups } = fleet.controller;
    const serverId = groups.all()[0]?.memberIds[0] ?? "";
    const registry = new ServerRegistry(new DepartureState());
    const departure = { serverId, bornMs: undefined };
    t.is(applyDeparture(registry, groups, departure), DepartureEffect.UnknownMember);
    t.is(applyDeparture(registry, groups, { serverId: "x", bornMs: 1 }), DepartureEffect.Nothing);
    registry.accept(fleet.engine(serverId).report, 0);
    t.is(applyDeparture(registry, groups, departure), DepartureEffect.Draining);
    t.true(registry.get(serverId)?.report.isDraining);
});

/** Longer than any test, so that no load ends. */
const SLOW_LOAD_MS = 600_000;

const splitIntoTwoDomains = (serverId: string): { fabricDomain: string; } => ({
    fabricDomain: Number(serverId.slice(1)) < 11 ? "d0" : "d1",
});

// Guards against survivors of a large group that wait for a load once the spares of their domain are used up.
test("losses beyond the spares preempt a group of the other model", async (t) => {
    const fleet = startFleet(t, engineIds(22), splitIntoTwoDomains, SLOW_LOAD_MS);
    await waitUntil("four open groups", () => fleet.openGroups().length === 4);
    const areBothModelsAvailable = (): boolean =>
        [...fleet.engines.values()].every(({ report, membership }) =>
            membership === undefined
            || !report.stagedModels.includes(report.loadedModels[0] ?? "") && report.stagedModels.length > 0
        );
    await waitUntil("members with both models loaded or staged", areBothModelsAvailable);
    fleet.slowDownLoads();
    fleet.controller.recordDemand([{ service: "llm", model: "large", tokens: 1, rejected: 0 }]);
    // The first loss in each domain is covered by the one spare that has the weights staged.
    for (const domain of ["d0", "d0", "d1", "d1"]) {
        const isOpen = ({ model, fabricDomain, phase }: ManagedGroup): boolean =>
            model === "large" && fabricDomain === domain && phase === "open";
        await waitUntil(`a large group in ${domain}`, () => fleet.controller.groups.all().some(isOpen));
        const group = fleet.controller.groups.all().find(isOpen);
        const { groupName = "", epoch = 0, memberIds = [] } = group ?? {};
        fleet.makeUnresponsive(memberIds[3] ?? "");
        await fleet.controller.checkSuspectedGroup({
            groupName,
            epoch,
            reason: "no progress",
            hasRunningStream: true,
        });
    }
    await waitUntil(
        "a large group after all losses",
        () => fleet.controller.groups.all().some(({ model, phase }) => model === "large" && phase === "open"),
    );
    t.deepEqual(fleet.violations, []);
});

// Guards against a closing group whose head waits for a lost member until the close timeout.
test("a closing group ends when a member becomes unresponsive", async (t) => {
    const fleet = startFleet(t, engineIds(11));
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    const group = fleet.controller.groups.all().find(({ model }) => model === "large");
    const [headId = "", drainingId = "", lostId = ""] = group?.memberIds ?? [];
    fleet.engine(headId).neverFinishes = true;
    fleet.engine(drainingId).report.isDraining = true;
    await waitUntil("the closing phase", () => group?.phase === "closing");
    fleet.makeUnresponsive(lostId);
    const isOtherLargeGroup = ({ model, groupName }: { model: string; groupName: string; }): boolean =>
        model === "large" && groupName !== group?.groupName;
    // Shorter than the close timeout of nine seconds.
    await waitUntil(
        "another large group",
        () => fleet.controller.groups.all().some(isOtherLargeGroup),
        5_000,
    );
    t.deepEqual(fleet.violations, []);
});

// Guards against survivors that are treated as VMs without weights because their hosts have the other model staged:
// their group was formed twice, or waited for loads that no member needs.
test("survivors join a group of their model once, whatever is staged on their hosts", async (t) => {
    const fleet = startFleet(t, engineIds(11), undefined, SLOW_LOAD_MS);
    await waitUntil("two open groups", () => fleet.openGroups().length === 2);
    await waitUntil(
        "members with both models loaded or staged",
        () =>
            [...fleet.engines.values()].every(({ report }) =>
                !report.stagedModels.includes(report.loadedModels[0] ?? "")
            ),
    );
    fleet.slowDownLoads();
    fleet.controller.recordDemand([{ service: "llm", model: "large", tokens: 1, rejected: 0 }]);
    const group = fleet.controller.groups.all().find(({ model }) => model === "large");
    const { groupName = "", epoch = 0, memberIds = [] } = group ?? {};
    const joinCountBefore = fleet.orderCounts.get("join") ?? 0;
    // The members of an unresponsive head are ordered to leave, after which they report no model.
    fleet.makeUnresponsive(memberIds[0] ?? "");
    await fleet.controller.checkSuspectedGroup({
        groupName,
        epoch,
        reason: "no progress",
        hasRunningStream: true,
    });
    await waitUntil(
        "another large group",
        () =>
            fleet.controller.groups.all().some(({ model, phase, groupName: name }) =>
                model === "large" && phase === "open" && name !== groupName
            ),
    );
    t.is((fleet.orderCounts.get("join") ?? 0) - joinCountBefore, 6);
});

/** Highest epoch that former versions accepted in a report. */
const FORMER_MAX_EPOCH = 2 ** 48;

// Guards against one odd report that raises the epochs of all groups until no report with them is accepted any more.
test("an epoch that another writer reports doesn't change those of new groups", async (t) => {
    const fleet = startFleet(
        t,
        [...engineIds(11), "odd"],
        (serverId) =>
            serverId === "odd"
                ? {
                    service: "not-named",
                    membership: { groupName: "odd", epoch: FORMER_MAX_EPOCH, rank: 0, state: "open" },
                }
                : {},
    );
    await waitUntil(
        "two open groups",
        () => fleet.openGroups().filter((name) => name !== "odd").length === 2,
    );
    const ordered = fleet.controller.groups.all().filter(({ groupName }) => groupName !== "odd");
    t.true(ordered.every(({ epoch }) => epoch < FORMER_MAX_EPOCH));
    t.is(new Set(ordered.map(({ epoch }) => epoch)).size, 2);
});

// Guards against servers that stay unused after an upgrade, because a former version ordered them into groups with an
// epoch that it couldn't read itself.
test("servers with an epoch of a former version that was too large join new groups", async (t) => {
    const epoch = FORMER_MAX_EPOCH + 1;
    const fleet = startFleet(t, engineIds(22), (serverId) => ({
        ...splitIntoTwoDomains(serverId),
        membership: { groupName: `g${epoch}`, epoch, rank: Number(serverId.slice(1)) % 11, state: "ready" },
    }));
    fleet.engines.forEach((engine) => {
        engine.highestEpoch = epoch;
    });
    await waitUntil("four open groups", () => fleet.openGroups().length === 4);
    for (const { report } of fleet.engines.values()) {
        t.true(serverReportSchema.safeParse({ ...report, address: "127.0.0.1:1" }).success);
    }
    t.deepEqual(fleet.violations, []);
});

// Guards against a VM in two groups: late orders have opened a group again after its head had left it.
test("the members of an ended group that is open again join another one only after the head has left", async (t) => {
    const fleet = startFleet(t, engineIds(3));
    await waitUntil("an open group", () => fleet.openGroups().length === 1);
    const [group] = fleet.controller.groups.all();
    const { groupName, epoch, memberIds: [headId = "", lostId = ""] } = group as ManagedGroup;
    fleet.makeUnresponsive(lostId);
    const suspicion = { groupName, epoch, reason: "no progress", hasRunningStream: true };
    t.false(await fleet.controller.checkSuspectedGroup(suspicion));
    const endedAtMs = await waitFor(
        "the end of the group",
        () => fleet.controller.groups.endedAtMs(groupName),
    );
    await waitUntil("reports from after the end", () => monotonicMs() > endedAtMs + REPORT_DELAY_MS);
    fleet.engine(headId).report.membership = { groupName, epoch, rank: 0, state: MemberState.Open };
    const returned = fleet.engine(lostId);
    returned.report.membership = undefined;
    returned.isUnresponsive = false;
    await waitUntil("another open group", () => fleet.openGroups().length === 1);
    t.not(fleet.openGroups()[0], groupName);
    t.deepEqual(fleet.violations, []);
});
