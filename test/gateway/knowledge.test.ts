import { Random } from "@greengage/base";
import { LoadBoard } from "@greengage/fleet";
import { choosePlace, groupLoads, GroupState, type GroupUse } from "@greengage/gateway";
import type { GroupTarget } from "@greengage/protocol";
import test from "ava";
import { profileOf } from "../configuration/fixtures.ts";

const profile = profileOf();
const [model] = profile.models;
if (model === undefined) {
    throw new Error("the profile has no model");
}

const GROUP_COUNT = 8;
const DAEMON_COUNT = 64;
const DURATION_MS = 20_000;
const STEP_MS = 5;
/** Share of the places that are in use on average. */
const UTILIZATION = 0.65;
const PLACE_MS = 1_200;
/** A group at half the pace of the others, as one with a slow member. */
const SLOW_FACTOR = 2;
const EXCHANGE_MS = 250;

interface Policy {
    /** Whether daemons tell each other the loads that they have seen. */
    isShared: boolean;
    /** Whether they place requests as daemons do that share loads. */
    areLoadsShared: boolean;
}

const targetOf = (index: number): GroupTarget => ({
    groupName: `g${index}`,
    epoch: 1,
    service: "llm",
    model: "m",
    headId: `h${index}`,
    headAddress: "",
    zone: "z",
});

/** Places requests of many daemons, and returns the share of them that found their group full. */
const replay = (seed: number, { isShared, areLoadsShared }: Policy): number => {
    const random = new Random(seed);
    const board = new LoadBoard();
    const running = Array.from({ length: GROUP_COUNT }, () => 0);
    const daemons = Array.from(
        { length: DAEMON_COUNT },
        () => running.map((_, index) => new GroupState(targetOf(index))),
    );
    const ends: { atMs: number; group: number; state: GroupState; use: GroupUse; }[] = [];
    const perStep = UTILIZATION * GROUP_COUNT * profile.slotCount / PLACE_MS * STEP_MS;
    let placed = 0;
    let late = 0;
    let due = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
        for (const end of ends.filter(({ atMs }) => atMs <= nowMs)) {
            ends.splice(ends.indexOf(end), 1);
            running[end.group] = (running[end.group] ?? 0) - 1;
            end.state.end(end.use, true, nowMs);
        }
        for (const [index, states] of daemons.entries()) {
            if (isShared && (nowMs + index * STEP_MS) % EXCHANGE_MS === 0) {
                board.take(
                    states.map((state) => state.takeOwnReport(nowMs)).filter((report) =>
                        report !== undefined
                    ),
                    nowMs,
                );
                board.all(nowMs).forEach((load) =>
                    states[Number(load.groupName.slice(1))]?.reportShared(load, nowMs)
                );
            }
        }
        for (due += perStep; due >= 1; due -= 1) {
            // Callers are spread unevenly over the daemons.
            const states = daemons[Math.floor(random.fraction() ** 2 * DAEMON_COUNT)] ?? [];
            const place = choosePlace({
                profile,
                model,
                groups: groupLoads(states, nowMs, areLoadsShared),
                promptTokens: 1_000,
                zone: "z",
                areLoadsShared,
            }, random.fraction());
            const group = Number(place?.groupName.slice(1));
            const state = states[group];
            if (state === undefined) {
                throw new Error("no group was chosen");
            }
            placed += 1;
            late += (running[group] ?? 0) >= profile.slotCount ? 1 : 0;
            running[group] = (running[group] ?? 0) + 1;
            const use = { promptTokens: 1_000, sentAtMs: nowMs, expectedAtMs: nowMs, move: () => undefined };
            state.add(use);
            state.report(
                { runningCount: running[group] ?? 0, waitingCount: 0, slotCount: profile.slotCount },
                nowMs,
            );
            state.progress(use, nowMs);
            const meanMs = PLACE_MS * (group === 0 ? SLOW_FACTOR : 1);
            ends.push({ atMs: nowMs - meanMs * Math.log(1 - random.fraction()), group, state, use });
        }
    }
    return late / placed;
};

const SEEDS = [1, 2, 3, 4, 5];
const meanOf = (policy: Policy): number =>
    SEEDS.reduce((sum, seed) => sum + replay(seed, policy) / SEEDS.length, 0);

// Replays a zone with many entry daemons and one slow group. A daemon that knows only its own requests fills the slow
// group like the others, and daemons that all take the best known group fill that one together.
test("daemons that share loads and compare two groups find free places more often", (t) => {
    const before = meanOf({ isShared: false, areLoadsShared: false });
    const herd = meanOf({ isShared: true, areLoadsShared: false });
    const shared = meanOf({ isShared: true, areLoadsShared: true });
    t.log({ before, herd, shared });
    t.true(
        shared < 0.5 * before,
        `${shared} of the requests find a full group, ${before} without shared loads`,
    );
    t.true(shared < 0.1 * herd, `${shared} find a full group, ${herd} when all take the best one`);
});
