import { createContext } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import { TableFreshness } from "../../packages/daemon/src/tablefreshness.ts";

interface Versions {
    table: number;
    floor: number;
    isCurrent: boolean;
}

const createTableFreshness = (versions: Versions): TableFreshness =>
    new TableFreshness({
        context: createContext({ daemonId: "a-1", zone: "a" }),
        tableVersion: () => versions.table,
        tableFloor: () => versions.floor,
        isTableFloorKnown: () => true,
        isLogCurrent: () => versions.isCurrent,
    });

/** Advances the monotonic clock for the rest of the test. */
const advanceClock = (t: ExecutionContext, durationMs: number): void => {
    const now = performance.now.bind(performance);
    performance.now = () => now() + durationMs;
    t.teardown(() => void (performance.now = now));
};

// Guards against a restarted daemon that serves an old table which it received from a stale peer.
test("a daemon that has just started serves no table older than the zone's version", (t) => {
    const versions = { table: 300, floor: 700, isCurrent: false };
    const freshness = createTableFreshness(versions);
    t.throws(() => freshness.assertFresh(), { message: /caught up/ });
    versions.isCurrent = true;
    t.throws(() => freshness.assertFresh(), { message: /version 300, the zone's at 700/ });
    versions.table = 700;
    t.notThrows(() => freshness.assertFresh());
});

// Guards against a daemon that stops serving at every edit, and against one that serves an old table forever.
test.serial("a running daemon may lag for at most 3 s", (t) => {
    const versions = { table: 700, floor: 700, isCurrent: true };
    const freshness = createTableFreshness(versions);
    freshness.assertFresh();
    versions.floor = 701;
    t.notThrows(() => freshness.assertFresh());
    advanceClock(t, 3_100);
    t.throws(() => freshness.assertFresh(), { message: /version 700, the zone's at 701/ });
});

// Guards against a daemon that learns of a newer version only after a pause and then lags 3 s longer (chaos seed 11).
test.serial("a pause of the process counts as lag", (t) => {
    const versions = { table: 685, floor: 685, isCurrent: true };
    const freshness = createTableFreshness(versions);
    freshness.observe();
    advanceClock(t, 7_700);
    versions.floor = 706;
    t.throws(() => freshness.assertFresh(), { message: /version 685, the zone's at 706/ });
});
