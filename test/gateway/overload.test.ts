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

const inputOf = (groups: GroupLoad[], promptTokens = 1_000): Parameters<typeof choosePlacement>[0] => ({
    profile,
    model,
    groups,
    promptTokens,
    zone: "z",
    offsetMs: 0,
    targetMs: 400,
});

const admissionOf = (fields: Partial<AdmissionInput> = {}): AdmissionInput => ({
    firstTokenMs: 100,
    elapsedMs: 1,
    targetMs: 400,
    remainingMs: 8_000,
    isRetry: false,
    slotOccupancyMs: 1_200,
    ...fields,
});

test("prompts that wait to be read count as much as requests that run", (t) => {
    const reading = loadOf({ groupName: "reading", runningCount: 2, pendingPromptTokens: 20_000 });
    const writing = loadOf({ groupName: "writing", runningCount: 10 });
    t.is(choosePlacement(inputOf([reading, writing]), 0)?.groupName, "writing");
});

test("a group of another zone is chosen only when it is clearly faster", (t) => {
    const own = loadOf({ groupName: "own", runningCount: 3 });
    const other = loadOf({ groupName: "other", zone: "y", runningCount: 2 });
    t.is(choosePlacement(inputOf([own, other]), 0)?.groupName, "own");
    const full = loadOf({ groupName: "own", runningCount: 18 });
    t.is(choosePlacement(inputOf([full, other]), 0)?.groupName, "other");
});

test("a full group costs the wait for a place", (t) => {
    const free = predictFirstTokenMs(inputOf([]), loadOf({ runningCount: 17 }));
    const full = predictFirstTokenMs(inputOf([]), loadOf({ runningCount: 24 }));
    t.true(full > free + 300);
});

// Replays a burst of twice the capacity of two groups: without the rejection each request would be later than the last.
test("a burst above the capacity is turned away as soon as the target can't be met", (t) => {
    const groups = [loadOf({ groupName: "a" }), loadOf({ groupName: "b" })];
    const verdicts: string[] = [];
    for (let index = 0; index < 120; index += 1) {
        const place = choosePlacement(inputOf(groups), index / 120);
        const verdict = admit(admissionOf({ firstTokenMs: place?.firstTokenMs }));
        verdicts.push(verdict.kind);
        const group = groups.find(({ groupName }) => groupName === place?.groupName);
        if (verdict.kind === "send" && group !== undefined) {
            t.true((place?.firstTokenMs ?? Infinity) <= 400);
            group.runningCount += 1;
        }
    }
    const sent = verdicts.filter((kind) => kind === "send").length;
    t.true(sent >= 2 * profile.slotCount, "places that are free are used");
    t.is(verdicts.at(-1), "reject");
});

test("a caller that comes back may wait longer, but not longer than callers stay", (t) => {
    t.is(admit(admissionOf({ firstTokenMs: 900 })).kind, "reject");
    t.is(admit(admissionOf({ firstTokenMs: 900, isRetry: true })).kind, "send");
    t.is(admit(admissionOf({ firstTokenMs: 2_500, isRetry: true })).kind, "reject");
});

// Guards against callers that are told to come back after their time is over.
test("the time to come back lies within a third of the caller's rest", (t) => {
    for (const remainingMs of [500, 2_000, 8_000]) {
        const verdict = admit(admissionOf({ firstTokenMs: undefined, remainingMs, slotOccupancyMs: 60_000 }));
        t.true(verdict.kind === "reject" && verdict.retryAfterMs <= Math.max(150, remainingMs / 3));
    }
});

// Replays callers that are turned away in one moment: without the spread they come back as the same burst.
test("callers that are turned away together come back over the time that the queue needs", (t) => {
    const returns = Array.from({ length: 100 }, (_, index) => spreadRetryAfterMs(400, 8_000, index / 100));
    t.true(Math.max(...returns) - Math.min(...returns) >= 1_800);
    t.true(returns.every((atMs) => atMs >= 400 && atMs <= 8_000 / 3));
});
