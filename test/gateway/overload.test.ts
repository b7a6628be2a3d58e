import {
    type AdmissionInput,
    admit,
    choosePlacement,
    type GroupLoad,
    predictFirstTokenMs,
    spreadRetryAfterMs,
} from "@greengage/gateway";
import test from "ava";
import { buildEngineProfile } from "../configuration/fixtures.ts";

const profile = buildEngineProfile();
const [model] = profile.models;
if (model === undefined) {
    throw new Error("the profile has no model");
}

const loadOf = (fields: Partial<GroupLoad> = {}): GroupLoad => ({
    groupName: "g",
    zone: "z",
    runningCount: 0,
    waitingCount: 0,
    pendingPromptTokens: 0,
    slotOccupancyMs: 1_200,
    includesRemoteUsage: false,
    ...fields,
});

const placementInputOf = (
    groups: GroupLoad[],
    promptTokens = 1_000,
): Parameters<typeof choosePlacement>[0] => ({
    profile,
    model,
    groups,
    promptTokens,
    zone: "z",
    offsetMs: 0,
    targetMs: 400,
});

const admissionInputOf = (fields: Partial<AdmissionInput> = {}): AdmissionInput => ({
    firstTokenMs: 100,
    elapsedMs: 1,
    targetMs: 400,
    remainingMs: 8_000,
    isRetry: false,
    slotOccupancyMs: 1_200,
    ...fields,
});

test("pending prompt tokens count towards the load of a group", (t) => {
    const reading = loadOf({ groupName: "reading", runningCount: 2, pendingPromptTokens: 20_000 });
    const writing = loadOf({ groupName: "writing", runningCount: 10 });
    t.is(choosePlacement(placementInputOf([reading, writing]), 0)?.groupName, "writing");
});

test("a group of another zone is chosen only when it is clearly faster", (t) => {
    const own = loadOf({ groupName: "own", runningCount: 3 });
    const other = loadOf({ groupName: "other", zone: "y", runningCount: 2 });
    t.is(choosePlacement(placementInputOf([own, other]), 0)?.groupName, "own");
    const full = loadOf({ groupName: "own", runningCount: 18 });
    t.is(choosePlacement(placementInputOf([full, other]), 0)?.groupName, "other");
});

test("the prediction for a full group includes the wait for a slot", (t) => {
    const free = predictFirstTokenMs(placementInputOf([]), loadOf({ runningCount: 17 }));
    const full = predictFirstTokenMs(placementInputOf([]), loadOf({ runningCount: 24 }));
    t.true(full > free + 300);
});

// Simulates a burst above the capacity of two groups. Without rejections, each request would be later than the previous one.
test("requests of a burst above the capacity are rejected once the target can't be met", (t) => {
    const groups = [loadOf({ groupName: "a" }), loadOf({ groupName: "b" })];
    const decisions: string[] = [];
    for (let index = 0; index < 120; index += 1) {
        const placement = choosePlacement(placementInputOf(groups), index / 120);
        const decision = admit(admissionInputOf({ firstTokenMs: placement?.firstTokenMs }));
        decisions.push(decision.kind);
        const group = groups.find(({ groupName }) => groupName === placement?.groupName);
        if (decision.kind === "send" && group !== undefined) {
            t.true((placement?.firstTokenMs ?? Infinity) <= 400);
            group.runningCount += 1;
        }
    }
    const sent = decisions.filter((kind) => kind === "send").length;
    t.true(sent >= 2 * profile.slotCount, "all free slots are used");
    t.is(decisions.at(-1), "reject");
});

test("a retry may wait longer, but not longer than callers wait for a first event", (t) => {
    t.is(admit(admissionInputOf({ firstTokenMs: 900 })).kind, "reject");
    t.is(admit(admissionInputOf({ firstTokenMs: 900, isRetry: true })).kind, "send");
    t.is(admit(admissionInputOf({ firstTokenMs: 2_500, isRetry: true })).kind, "reject");
});

// Guards against a retry delay that exceeds the caller's deadline.
test("the retry delay is at most a third of the caller's remaining time", (t) => {
    for (const remainingMs of [500, 2_000, 8_000]) {
        const decision = admit(
            admissionInputOf({ firstTokenMs: undefined, remainingMs, slotOccupancyMs: 60_000 }),
        );
        t.true(decision.kind === "reject" && decision.retryAfterMs <= Math.max(150, remainingMs / 3));
    }
});

// Simulates callers that are rejected at the same time. Without jitter they would return as a second burst.
test("the retry delays of callers that are rejected together are spread out", (t) => {
    const retryDelaysMs = Array.from(
        { length: 100 },
        (_, index) => spreadRetryAfterMs(400, 8_000, index / 100),
    );
    t.true(Math.max(...retryDelaysMs) - Math.min(...retryDelaysMs) >= 1_800);
    t.true(retryDelaysMs.every((delayMs) => delayMs >= 400 && delayMs <= 8_000 / 3));
});
