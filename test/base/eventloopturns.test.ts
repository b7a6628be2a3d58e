import { EventLoopTurns, Lifecycle, monotonicMs, sleep } from "@greengage/base";
import test from "ava";
import { once } from "node:events";

const BLOCKED_MS = 400;
const SETTLE_MS = 300;

// Guards against a drain that is counted from a late signal handler.
test("the time of a signal that arrives while the event loop is blocked is not later than the signal", async (t) => {
    const lifecycle = new Lifecycle();
    t.teardown(() => lifecycle.close());
    const turns = new EventLoopTurns(lifecycle);
    await sleep(SETTLE_MS);
    const handled = once(process, "SIGUSR2").then(() => turns.earliestEventAtMs());
    const sentAtMs = monotonicMs();
    process.kill(process.pid, "SIGUSR2");
    while (monotonicMs() < sentAtMs + BLOCKED_MS) {
        // Blocks the event loop.
    }
    const earliestAtMs = await handled;
    t.true(earliestAtMs <= sentAtMs);
    t.true(earliestAtMs > sentAtMs - SETTLE_MS, "it is close to the signal");
});
