import { LoadRateLimiter } from "@greengage/fleet";
import test from "ava";

const LOADS_PER_S = 2;
const LOADS_AT_ONCE = 8;

const WINDOW_MS = 5_000;

// Guards against overloading the weight store: all VMs of a recovering domain need a load at the same time.
test("the loads in any window stay within the store's rate, however many VMs wait", (t) => {
    const pacer = new LoadRateLimiter();
    const startsMs: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 200) {
        const runningCount = startsMs.filter((atMs) => nowMs - atMs < 1_000).length;
        const allowed = pacer.availableLoads(LOADS_PER_S, LOADS_AT_ONCE, true, runningCount, nowMs);
        t.true(runningCount + allowed <= LOADS_AT_ONCE);
        pacer.recordStarts(allowed, nowMs);
        startsMs.push(...Array.from({ length: allowed }, () => nowMs));
    }
    for (const fromMs of startsMs) {
        const inWindow = startsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
        t.true(inWindow <= LOADS_PER_S * WINDOW_MS / 1_000, `${inWindow} loads from ${fromMs} ms`);
    }
    t.true(startsMs.length >= 60_000 / 1_000 * LOADS_PER_S * 0.8, "at least 80% of the rate is used");
});

// Guards against a slow first start: the store's rate must not limit loads before there are callers.
test("loads are unlimited before there is demand but count towards the limit afterwards", (t) => {
    const pacer = new LoadRateLimiter();
    t.is(pacer.availableLoads(LOADS_PER_S, LOADS_AT_ONCE, false, 40, 0), Infinity);
    pacer.recordStarts(50, 0);
    t.is(pacer.availableLoads(LOADS_PER_S, LOADS_AT_ONCE, true, 0, 1_000), 0);
    t.true(pacer.availableLoads(LOADS_PER_S, LOADS_AT_ONCE, true, 0, WINDOW_MS + 1) > 0);
});
