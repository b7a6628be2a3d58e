import { Random } from "@greengage/base";
import { UsageTable } from "@greengage/fleet";
import {
    admit,
    choosePlacement,
    type GroupLoad,
    GroupState,
    type InFlightRequest,
    type Placement,
    type PlacementInput,
    RequestPlacer,
} from "@greengage/gateway";
import type { GroupTarget } from "@greengage/protocol";
import test from "ava";
import { buildEngineProfile } from "../configuration/fixtures.ts";

const profile = buildEngineProfile();
const [model] = profile.models;
if (model === undefined) {
    throw new Error("the profile has no model");
}

const GROUP_COUNT = 8;
const DAEMON_COUNT = 64;
const DURATION_MS = 20_000;
const STEP_MS = 5;
const SLOT_OCCUPANCY_MS = 1_200;
const TARGET_MS = 300;
/** Factor by which one group is slower than the others, for example because of a slow member. */
const SLOW_GROUP_FACTOR = 2;
const USAGE_EXCHANGE_MS = 200;

const Policy = {
    /** Each daemon knows only its own requests and their responses. */
    OwnLoadOnly: "ownLoadOnly",
    /** Daemons share their usage, and each selects the best group. */
    BestGroup: "bestGroup",
    /** Daemons share their usage, and each request compares two sampled groups. */
    TwoChoices: "twoChoices",
    /** One daemon places all requests by the shared usage. */
    Central: "central",
} as const;

type Policy = typeof Policy[keyof typeof Policy];

interface Outcome {
    /** Requests that got a slot within the target. */
    inTime: number;
    /** Requests that waited longer for a slot. */
    late: number;
    rejected: number;
}

const targetOf = (index: number): GroupTarget => ({
    groupName: `g${index}`,
    epoch: index + 1,
    service: "llm",
    model: "m",
    headId: `h${index}`,
    headAddress: "",
    zone: "z",
});

/** Placement by the entry daemon itself under each policy; undefined if the control daemon places the request. */
const entryPolicies: Record<
    Policy,
    (input: Omit<PlacementInput, "groups">, loads: GroupLoad[], fraction: number) => Placement | undefined
> = {
    [Policy.OwnLoadOnly]: (input, groups, fraction) => choosePlacement({ ...input, groups }, fraction),
    [Policy.BestGroup]: (input, loads, fraction) =>
        choosePlacement(
            { ...input, groups: loads.map((load) => ({ ...load, includesRemoteUsage: false })) },
            fraction,
        ),
    [Policy.TwoChoices]: (input, groups, fraction) => choosePlacement({ ...input, groups }, fraction),
    [Policy.Central]: () => undefined,
};

/** Simulates requests of many daemons to a few groups. `load` is the demand relative to the total number of slots. */
const simulate = (seed: number, policy: Policy, load: number): Outcome => {
    const random = new Random(seed);
    const usageTable = new UsageTable();
    const runningCounts = Array.from({ length: GROUP_COUNT }, () => 0);
    const daemons = Array.from(
        { length: DAEMON_COUNT },
        () => runningCounts.map((_, index) => new GroupState(targetOf(index))),
    );
    const pendingEnds: { atMs: number; group: number; state: GroupState; request: InFlightRequest; }[] = [];
    const requestsPerStep = load * GROUP_COUNT * profile.slotCount / SLOT_OCCUPANCY_MS * STEP_MS;
    const outcome: Outcome = { inTime: 0, late: 0, rejected: 0 };
    const placer = new RequestPlacer();
    const groupTargets = runningCounts.map((_, index) => targetOf(index));
    const placeCentrally = (input: Omit<PlacementInput, "groups">, nowMs: number): Placement | undefined => {
        const usage = new Map(usageTable.total(nowMs).map((entry) => [entry.epoch, entry]));
        const { epoch, firstTokenMs } = placer.place(input, groupTargets, usage, {
            limitMs: TARGET_MS,
            placeMs: SLOT_OCCUPANCY_MS,
        }, nowMs);
        return epoch === undefined || firstTokenMs === undefined
            ? undefined
            : { groupName: `g${epoch - 1}`, firstTokenMs };
    };
    let due = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
        for (const end of pendingEnds.filter(({ atMs }) => atMs <= nowMs)) {
            pendingEnds.splice(pendingEnds.indexOf(end), 1);
            runningCounts[end.group] = (runningCounts[end.group] ?? 0) - 1;
            end.state.end(end.request, true, nowMs);
        }
        for (const [index, states] of daemons.entries()) {
            if (policy !== Policy.OwnLoadOnly && (nowMs + index * STEP_MS) % USAGE_EXCHANGE_MS === 0) {
                const daemonId = `d${index}`;
                usageTable.setEntryUsage(
                    daemonId,
                    states.map((state) => state.usage(nowMs)).filter((usage) => usage !== undefined),
                    nowMs,
                );
                const remoteUsage = new Map(
                    usageTable.totalExcept(daemonId, nowMs).map((usage) => [usage.epoch, usage]),
                );
                for (const state of states) {
                    const { epoch } = state.target;
                    const none = { epoch, inFlightCount: 0, pendingPromptTokens: 0 };
                    state.setRemoteUsage(remoteUsage.get(epoch) ?? none, nowMs);
                }
            }
        }
        for (due += requestsPerStep; due >= 1; due -= 1) {
            // The callers are distributed unevenly over the daemons.
            const states = daemons[Math.floor(random.nextFloat() ** 2 * DAEMON_COUNT)] ?? [];
            const loads = states.map((state) => state.load(nowMs));
            const input = {
                profile,
                model,
                promptTokens: 1_000,
                zone: "z",
                offsetMs: 0,
                targetMs: TARGET_MS,
            };
            const ownPlacement = entryPolicies[policy](input, loads, random.nextFloat());
            const placement = ownPlacement ?? placeCentrally(input, nowMs);
            const decision = admit({
                firstTokenMs: placement?.firstTokenMs,
                elapsedMs: 0,
                targetMs: TARGET_MS,
                remainingMs: 6_000,
                isRetry: false,
                slotOccupancyMs: SLOT_OCCUPANCY_MS,
            });
            const group = Number(placement?.groupName.slice(1));
            const state = states[group];
            if (decision.kind === "reject" || state === undefined) {
                outcome.rejected += 1;
                continue;
            }
            const slotTimeMs = SLOT_OCCUPANCY_MS * (group === 0 ? SLOW_GROUP_FACTOR : 1);
            const queuedCount = Math.max(0, (runningCounts[group] ?? 0) + 1 - profile.slotCount);
            const waitMs = queuedCount * slotTimeMs / profile.slotCount;
            outcome[waitMs <= TARGET_MS ? "inTime" : "late"] += 1;
            runningCounts[group] = (runningCounts[group] ?? 0) + 1;
            const request = {
                promptTokens: 1_000,
                sentAtMs: nowMs,
                expectedAtMs: nowMs,
                failOver: () => undefined,
            };
            state.add(request);
            const reported = {
                runningCount: runningCounts[group] ?? 0,
                waitingCount: 0,
                slotCount: profile.slotCount,
            };
            state.recordLoad(reported, nowMs);
            state.recordProgress(request, nowMs);
            pendingEnds.push({
                atMs: nowMs + waitMs - slotTimeMs * Math.log(1 - random.nextFloat()),
                group,
                state,
                request,
            });
        }
    }
    return outcome;
};

const SEEDS = [1, 2, 3];
const simulateAllSeeds = (policy: Policy, load: number): Outcome =>
    SEEDS.map((seed) => simulate(seed, policy, load)).reduce((sum, outcome) => ({
        inTime: sum.inTime + outcome.inTime,
        late: sum.late + outcome.late,
        rejected: sum.rejected + outcome.rejected,
    }));

// Simulates many entry daemons, one slow group and spare capacity. Daemons that know only their own requests send as many
// to the slow group as to the others, and daemons that all select the best known group overload that one together.
test("daemons that share usage and compare two groups find free slots more often", (t) => {
    const ownLoadOnly = simulateAllSeeds(Policy.OwnLoadOnly, 0.7);
    const bestGroup = simulateAllSeeds(Policy.BestGroup, 0.7);
    const twoChoices = simulateAllSeeds(Policy.TwoChoices, 0.7);
    t.log({ ownLoadOnly, bestGroup, twoChoices });
    t.true(
        twoChoices.late < 0.5 * ownLoadOnly.late,
        `${twoChoices.late} late, ${ownLoadOnly.late} when daemons know only their own requests`,
    );
    t.true(
        twoChoices.late < 0.5 * bestGroup.late,
        `${twoChoices.late} late, ${bestGroup.late} when all select the best group`,
    );
});

// Simulates a demand of 1.5 times the capacity. Daemons that don't know the queues admit nearly everything, and most of it is
// late; daemons that decide on the same reports allocate each free slot several times.
test("one daemon that places all requests rejects those that would be late, and fills the slots", (t) => {
    const ownLoadOnly = simulateAllSeeds(Policy.OwnLoadOnly, 1.5);
    const twoChoices = simulateAllSeeds(Policy.TwoChoices, 1.5);
    const central = simulateAllSeeds(Policy.Central, 1.5);
    t.log({ ownLoadOnly, twoChoices, central });
    t.true(
        central.inTime > 2 * ownLoadOnly.inTime,
        `${central.inTime} in time, ${ownLoadOnly.inTime} when daemons know only their own requests`,
    );
    t.true(
        central.inTime > 1.5 * twoChoices.inTime,
        `${central.inTime} in time, ${twoChoices.inTime} when each daemon decides itself`,
    );
    t.true(central.late < central.inTime / 4, `${central.late} late, ${central.inTime} in time`);
});

// Guards against a busy group being suspected because this daemon's only request is still queued there.
test("events of other daemons' streams count as progress of a group", (t) => {
    const state = new GroupState(targetOf(0));
    state.add({ promptTokens: 1_000, sentAtMs: 0, expectedAtMs: 100, failOver: () => undefined });
    t.true(state.checkStall(2_000).mustFailOver);
    state.setRemoteUsage({ epoch: 1, inFlightCount: 30, pendingPromptTokens: 0, progressAgeMs: 50 }, 1_900);
    t.false(state.checkStall(2_000).isSuspect);
    t.false(state.checkStall(3_350).mustFailOver);
    t.true(state.checkStall(3_500).mustFailOver);
});
