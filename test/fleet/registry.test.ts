import { DepartureState, ReportEffect, ServerRegistry } from "@greengage/fleet";
import test from "ava";
import { reportOf } from "./fixtures.ts";

// Guards against a delayed report that registers an ended server again or replaces its successor.
test("the newest incarnation owns the server id and the address", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 4 }), 0), ReportEffect.Appeared);
    t.is(
        registry.accept(reportOf("a", { bornMs: 10, sequence: 3, isDraining: true }), 1),
        ReportEffect.Ignored,
    );
    t.is(registry.accept(reportOf("a", { bornMs: 20, sequence: 1 }), 2), ReportEffect.Appeared);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 9 }), 3), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("b", { bornMs: 30, address: "a:1" }), 4), ReportEffect.Appeared);
    t.true(registry.hasEnded("a", 20));
    t.is(registry.accept(reportOf("a", { bornMs: 20, sequence: 9 }), 5), ReportEffect.Ignored);
    t.deepEqual(registry.all().map(({ report }) => report.serverId), ["b"]);
});

test("later reports of an ended incarnation are ignored", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    registry.accept(reportOf("a", { bornMs: 10 }), 0);
    registry.markEnded("a", 10, 1);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 99 }), 2), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("a", { bornMs: 11 }), 3), ReportEffect.Appeared);
});

// Guards against a server that says only in its answers that it leaves, and stays in use by its reports.
test("a server that leaves counts as draining whatever it reports, until it starts again", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    t.false(registry.markLeaving("a", 10));
    registry.accept(reportOf("a", { bornMs: 10, sequence: 1 }), 0);
    t.false(registry.markLeaving("a", 9));
    t.true(registry.markLeaving("a", 10));
    t.false(registry.markLeaving("a", 10));
    t.true(registry.get("a")?.report.isDraining);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 2 }), 1), ReportEffect.Renewed);
    t.true(registry.get("a")?.report.isDraining);
    t.is(registry.accept(reportOf("a", { bornMs: 20, sequence: 1 }), 2), ReportEffect.Appeared);
    t.false(registry.get("a")?.report.isDraining);
});

// Guards against a new leader that takes over an outdated state from a report delayed by a partition.
test("a report older than the previous leader's record is ignored", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    registry.addExpected({ serverId: "a", bornMs: 10, address: "a:1", sequence: 7 });
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 6 }), 0), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 8 }), 1), ReportEffect.Appeared);
});

test("an expected incarnation ends when a newer one reports from its address", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    registry.addExpected({ serverId: "a", bornMs: 10, address: "x:1", sequence: 7 });
    t.false(registry.hasEnded("a", 10));
    registry.accept(reportOf("b", { bornMs: 20, address: "x:1" }), 0);
    t.true(registry.hasEnded("a", 10));
});

// Guards against one report of another writer that makes all later ones of a server look outdated.
test("a report with a sequence number that its server can't have reached is ignored", (t) => {
    const registry = new ServerRegistry(new DepartureState());
    registry.accept(reportOf("a", { bornMs: 10, sequence: 4 }), 0);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 2 ** 47 }), 1), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("a", { bornMs: 10, sequence: 5 }), 2), ReportEffect.Renewed);
});

const DAY_MS = 24 * 3_600_000;

// Guards against one report of another writer that ends a running server, whose process it can't be.
test("a process that starts in the future takes no place, and gives up its own", (t) => {
    const bornMs = Date.now();
    const futureMs = bornMs + 30 * DAY_MS;
    const registry = new ServerRegistry(new DepartureState());
    registry.accept(reportOf("a", { bornMs }), 0);
    t.is(registry.accept(reportOf("a", { bornMs: futureMs, sequence: 9 }), 1), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("odd", { bornMs: futureMs, address: "a:1" }), 2), ReportEffect.Ignored);
    t.false(registry.hasEnded("a", bornMs));
    t.is(registry.accept(reportOf("b", { bornMs: futureMs }), 3), ReportEffect.Appeared);
    t.is(registry.accept(reportOf("b", { bornMs }), 4), ReportEffect.Appeared);
    t.is(registry.accept(reportOf("b", { bornMs, sequence: 2 }), 5), ReportEffect.Renewed);
});

// Guards against a daemon whose clock is days behind, and that would refuse the reports of all servers.
test("processes are ordered by their start even if all of them lie in the future", (t) => {
    const futureMs = Date.now() + 30 * DAY_MS;
    const registry = new ServerRegistry(new DepartureState());
    t.is(registry.accept(reportOf("a", { bornMs: futureMs }), 0), ReportEffect.Appeared);
    t.is(registry.accept(reportOf("a", { bornMs: futureMs + 1 }), 1), ReportEffect.Appeared);
    t.is(registry.accept(reportOf("a", { bornMs: futureMs, sequence: 9 }), 2), ReportEffect.Ignored);
    t.is(registry.accept(reportOf("b", { bornMs: futureMs + 2, address: "a:1" }), 3), ReportEffect.Appeared);
    t.true(registry.hasEnded("a", futureMs + 1));
});
