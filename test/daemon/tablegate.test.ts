import { createContext } from "@greengage/base";
import test from "ava";
import { TableGate } from "../../packages/daemon/src/tablegate.ts";

interface Versions {
    table: number;
    floor: number;
    isCurrent: boolean;
}

const gateOf = (versions: Versions): TableGate =>
    new TableGate({
        context: createContext({ daemonId: "a-1", zone: "a" }),
        tableVersion: () => versions.table,
        tableFloor: () => versions.floor,
        isLogCurrent: () => versions.isCurrent,
    });

// Guards against a restarted daemon that serves what a stale peer gave it.
test("a daemon that has just started serves nothing below the zone's version", (t) => {
    const versions = { table: 300, floor: 700, isCurrent: false };
    const gate = gateOf(versions);
    t.throws(() => gate.check(), { message: /caught up/ });
    versions.isCurrent = true;
    t.throws(() => gate.check(), { message: /version 300, the zone's at 700/ });
    versions.table = 700;
    t.notThrows(() => gate.check());
});

// Guards against a daemon that stops serving for every edit, and one that serves an old table for ever.
test("a running daemon may lag for 3 s and no longer", (t) => {
    const versions = { table: 700, floor: 700, isCurrent: true };
    const gate = gateOf(versions);
    gate.check();
    versions.floor = 701;
    t.notThrows(() => gate.check());
    const now = performance.now.bind(performance);
    performance.now = () => now() + 3_100;
    t.teardown(() => void (performance.now = now));
    t.throws(() => gate.check(), { message: /version 700, the zone's at 701/ });
});
