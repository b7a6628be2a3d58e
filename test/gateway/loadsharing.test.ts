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
const PLACE_MS = 1_200;
const TARGET_MS = 300;
/** A group at half the pace of the others, as one with a slow member. */
const SLOW_FACTOR = 2;
const EXCHANGE_MS = 200;

const Policy = {
    /** Each daemon knows its own requests and answers only. */
    Alone: "alone",
    /** Daemons share their loads, and each takes the best group. */
    Herd: "herd",
    /** Daemons share their loads, and each request compares two groups. */
    Shared: "shared",
    /** One daemon places all requests by what the others share. */
    Placed: "placed",
} as const;

type Policy = typeof Policy[keyof typeof Policy];

interface Outcome {
    /** Requests that found a place within the target. */
    inTime: number;
    /** Requests that waited for a place for longer. */
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

/** How an entry daemon chooses; undefined when another daemon does. */
const policies: Record<
    Policy,
    (input: Omit<PlacementInput, "groups">, loads: GroupLoad[], fraction: number) => Placement | undefined
> = {
    [Policy.Alone]: (input, groups, fraction) => choosePlacement({ ...input, groups }, fraction),
    [Policy.Herd]: (input, loads, fraction) =>
        choosePlacement(
            { ...input, groups: loads.map((load) => ({ ...load, includesRemoteUsage: false })) },
            fraction,
        ),
    [Policy.Shared]: (input, groups, fraction) => choosePlacement({ ...input, groups }, fraction),
    [Policy.Placed]: () => undefined,
};

/** Requests of many daemons at a few groups. `load` is the demand as a share of all places. */
const replay = (seed: number, policy: Policy, load: number): Outcome => {
    const random = new Random(seed);
    const board = new UsageTable();
    const running = Array.from({ length: GROUP_COUNT }, () => 0);
    const daemons = Array.from(
        { length: DAEMON_COUNT },
        () => running.map((_, index) => new GroupState(targetOf(index))),
    );
    const ends: { atMs: number; group: number; state: GroupState; use: InFlightRequest; }[] = [];
    const perStep = load * GROUP_COUNT * profile.slotCount / PLACE_MS * STEP_MS;
    const outcome: Outcome = { inTime: 0, late: 0, rejected: 0 };
    const placer = new RequestPlacer();
    const targets = running.map((_, index) => targetOf(index));
    const placeByOne = (input: Omit<PlacementInput, "groups">, nowMs: number): Placement | undefined => {
        const usage = new Map(board.total(nowMs).map((told) => [told.epoch, told]));
        const { epoch, firstTokenMs } = placer.place(input, targets, usage, {
            limitMs: TARGET_MS,
            placeMs: PLACE_MS,
        }, nowMs);
        return epoch === undefined || firstTokenMs === undefined
            ? undefined
            : { groupName: `g${epoch - 1}`, firstTokenMs };
    };
    let due = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
        for (const end of ends.filter(({ atMs }) => atMs <= nowMs)) {
            ends.splice(ends.indexOf(end), 1);
            running[end.group] = (running[end.group] ?? 0) - 1;
            end.state.end(end.use, true, nowMs);
        }
        for (const [index, states] of daemons.entries()) {
            if (policy !== Policy.Alone && (nowMs + index * STEP_MS) % EXCHANGE_MS === 0) {
                const daemonId = `d${index}`;
                board.setEntryUsage(
                    daemonId,
                    states.map((state) => state.usage(nowMs)).filter((usage) => usage !== undefined),
                    nowMs,
                );
                const others = new Map(
                    board.totalExcept(daemonId, nowMs).map((usage) => [usage.epoch, usage]),
                );
                for (const state of states) {
                    const { epoch } = state.target;
                    const none = { epoch, inFlightCount: 0, pendingPromptTokens: 0 };
                    state.setRemoteUsage(others.get(epoch) ?? none, nowMs);
                }
            }
        }
        for (due += perStep; due >= 1; due -= 1) {
            // Callers are spread unevenly over the daemons.
            const states = daemons[Math.floor(random.fraction() ** 2 * DAEMON_COUNT)] ?? [];
            const loads = states.map((state) => state.load(nowMs));
            const input = {
                profile,
                model,
                promptTokens: 1_000,
                zone: "z",
                offsetMs: 0,
                targetMs: TARGET_MS,
            };
            const chosen = policies[policy](input, loads, random.fraction());
            const place = chosen ?? placeByOne(input, nowMs);
            const verdict = admit({
                firstTokenMs: place?.firstTokenMs,
                elapsedMs: 0,
                targetMs: TARGET_MS,
                remainingMs: 6_000,
                isRetry: false,
                slotOccupancyMs: PLACE_MS,
            });
            const group = Number(place?.groupName.slice(1));
            const state = states[group];
            if (verdict.kind === "reject" || state === undefined) {
                outcome.rejected += 1;
                continue;
            }
            const paceMs = PLACE_MS * (group === 0 ? SLOW_FACTOR : 1);
            const queued = Math.max(0, (running[group] ?? 0) + 1 - profile.slotCount);
            const waitMs = queued * paceMs / profile.slotCount;
            outcome[waitMs <= TARGET_MS ? "inTime" : "late"] += 1;
            running[group] = (running[group] ?? 0) + 1;
            const use = {
                promptTokens: 1_000,
                sentAtMs: nowMs,
                expectedAtMs: nowMs,
                failOver: () => undefined,
            };
            state.add(use);
            const reported = {
                runningCount: running[group] ?? 0,
                waitingCount: 0,
                slotCount: profile.slotCount,
            };
            state.recordLoad(reported, nowMs);
            state.recordProgress(use, nowMs);
            ends.push({ atMs: nowMs + waitMs - paceMs * Math.log(1 - random.fraction()), group, state, use });
        }
    }
    return outcome;
};

const SEEDS = [1, 2, 3];
const sumOf = (policy: Policy, load: number): Outcome =>
    SEEDS.map((seed) => replay(seed, policy, load)).reduce((sum, outcome) => ({
        inTime: sum.inTime + outcome.inTime,
        late: sum.late + outcome.late,
        rejected: sum.rejected + outcome.rejected,
    }));

// Replays many entry daemons and one slow group with places to spare. A daemon that knows only its own requests fills the
// slow group like the others, and daemons that all take the best known group fill that one together.
test("daemons that share loads and compare two groups find free places more often", (t) => {
    const alone = sumOf(Policy.Alone, 0.7);
    const herd = sumOf(Policy.Herd, 0.7);
    const shared = sumOf(Policy.Shared, 0.7);
    t.log({ alone, herd, shared });
    t.true(
        shared.late < 0.5 * alone.late,
        `${shared.late} late, ${alone.late} when daemons know their own requests`,
    );
    t.true(shared.late < 0.5 * herd.late, `${shared.late} late, ${herd.late} when all take the best group`);
});

// Replays half as much demand again as there are places. A daemon that doesn't know the queues sends everything, and nearly
// all of it is late; daemons that decide on the same reports fill each place several times.
test("one daemon that places all requests turns away what would be late, and fills the places", (t) => {
    const alone = sumOf(Policy.Alone, 1.5);
    const shared = sumOf(Policy.Shared, 1.5);
    const placed = sumOf(Policy.Placed, 1.5);
    t.log({ alone, shared, placed });
    t.true(
        placed.inTime > 2 * alone.inTime,
        `${placed.inTime} in time, ${alone.inTime} when daemons know their own requests`,
    );
    t.true(
        placed.inTime > 1.5 * shared.inTime,
        `${placed.inTime} in time, ${shared.inTime} when all decide by themselves`,
    );
    t.true(placed.late < placed.inTime / 4, `${placed.late} late, ${placed.inTime} in time`);
});

// Guards against a request that waits in a busy group and is taken for one of a group that stands still.
test("events of other daemons' streams show that a group goes on", (t) => {
    const state = new GroupState(targetOf(0));
    state.add({ promptTokens: 1_000, sentAtMs: 0, expectedAtMs: 100, failOver: () => undefined });
    t.true(state.checkStall(2_000).mustFailOver);
    state.setRemoteUsage({ epoch: 1, inFlightCount: 30, pendingPromptTokens: 0, progressAgeMs: 50 }, 1_900);
    t.false(state.checkStall(2_000).isSuspect);
    t.true(state.checkStall(2_700).mustFailOver);
});
