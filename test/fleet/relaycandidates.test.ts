import { RelayCandidateTable } from "@greengage/fleet";
import { MAX_RELAY_CANDIDATES, type PathReport, type RelayCandidate } from "@greengage/protocol";
import test from "ava";
import { FrameEncoder } from "../../packages/protocol/src/codec.ts";

const ZONES = ["za-1", "za-2", "za-3", "za-4", "za-5", "za-6", "za-7"];
const EXCHANGE_INTERVAL_MS = 200;

const reportOf = (fields: Partial<PathReport> = {}): PathReport => ({
    zone: "za-1",
    relayedCount: 0,
    lostServerIds: [],
    mayRelay: true,
    relayRevision: 0,
    ...fields,
});

const candidatesOf = (table: RelayCandidateTable, daemonId: string, zone: string): RelayCandidate[] =>
    table.listFor(daemonId, reportOf({ zone }), 0)?.candidates ?? [];

const daemonsOf = (zone: string, count: number): string[] =>
    Array.from({ length: count }, (_, index) => `${zone}-${index}`);

/** Table with daemons that report to it, in the given zones. */
const createTable = (zones: readonly string[], daemonsPerZone: number): RelayCandidateTable => {
    const table = new RelayCandidateTable();
    for (const zone of zones) {
        daemonsOf(zone, daemonsPerZone).forEach((id) => table.setReport(id, reportOf({ zone }), 0));
    }
    return table;
};

// Guards against traffic between zones where the own zone has relays, and against no relay if the whole zone is cut.
test("a daemon gets mostly candidates of its own zone, and some of others", (t) => {
    const candidates = candidatesOf(createTable(ZONES, 10), "za-1-0", "za-1");
    t.is(candidates.length, MAX_RELAY_CANDIDATES);
    t.is(candidates.filter(({ zone }) => zone === "za-1").length, 4);
    t.false(candidates.some(({ daemonId }) => daemonId === "za-1-0"));
});

// Guards against many daemons that use the same few relays.
test("candidates are spread over the daemons", (t) => {
    const table = createTable(ZONES, 10);
    const counts = new Map<string, number>();
    for (const id of daemonsOf("za-1", 10)) {
        candidatesOf(table, id, "za-1").forEach(({ daemonId }) =>
            counts.set(daemonId, (counts.get(daemonId) ?? 0) + 1)
        );
    }
    t.true(Math.max(...counts.values()) <= 9);
    t.true(counts.size >= 12);
});

// Guards against cut daemons that are sent to daemons that are cut, too.
test("daemons of a cut zone get candidates of other zones", (t) => {
    const table = createTable(ZONES.slice(0, 3), 4);
    daemonsOf("za-1", 4).forEach((id) => table.setReport(id, reportOf({ lostServerIds: ["s1"] }), 0));
    const candidates = candidatesOf(table, "za-1-0", "za-1");
    t.is(candidates.length, MAX_RELAY_CANDIDATES);
    t.deepEqual(candidates.filter(({ lostServerIds }) => lostServerIds.length > 0), []);
});

// Guards against a daemon without any candidate although one might still reach the server that it needs.
test("candidates that have lost servers come last", (t) => {
    const table = createTable(["za-1"], 4);
    table.setReport("za-1-1", reportOf({ lostServerIds: ["s1"] }), 0);
    t.deepEqual(candidatesOf(table, "za-1-0", "za-1").map(({ daemonId }) => daemonId).at(-1), "za-1-1");
    t.is(candidatesOf(table, "za-1-0", "za-1").length, 3);
});

// Guards against relays that refuse every connection.
test("daemons that may not relay, or have ended, are no candidates", (t) => {
    const table = createTable(["za-1"], 3);
    table.setReport("za-1-1", reportOf({ mayRelay: false }), 0);
    t.deepEqual(candidatesOf(table, "za-1-0", "za-1").map(({ daemonId }) => daemonId), ["za-1-2"]);
    t.deepEqual(table.listFor("za-1-0", reportOf(), 10_000)?.candidates, []);
});

// Guards against lists that are sent with each exchange although nothing but small counts has changed.
test("a list is sent again only after a change that matters", (t) => {
    const table = createTable(["za-1"], 3);
    const revision = table.listFor("za-1-0", reportOf(), 0)?.revision ?? 0;
    t.not(revision, 0);
    const report = reportOf({ relayRevision: revision });
    for (const relayedCount of [3, 8, 1, 5]) {
        table.setReport("za-1-1", reportOf({ relayedCount }), 0);
        t.is(table.listFor("za-1-0", report, 0), undefined);
    }
    table.setReport("za-1-1", reportOf({ relayedCount: 60 }), 0);
    const list = table.listFor("za-1-0", report, 1_000);
    t.is(list?.candidates.find(({ daemonId }) => daemonId === "za-1-1")?.relayedCount, 60);
    // Another control daemon that knows the same candidates.
    const other = createTable(["za-1"], 3);
    t.is(other.listFor("za-1-0", report, 0), undefined);
});

// Guards against zones whose control daemon doesn't know daemons of other zones.
test("candidates that another control daemon names don't replace own reports", (t) => {
    const table = createTable(["za-1"], 2);
    const named = createTable(["za-2"], 20).shared(0);
    t.true(named.length < 20);
    table.setShared(
        [...named, { daemonId: "za-1-1", zone: "za-1", relayedCount: 0, lostServerIds: ["s1"] }],
        0,
    );
    const candidates = candidatesOf(table, "za-1-0", "za-1");
    t.is(candidates.length, MAX_RELAY_CANDIDATES);
    t.deepEqual(candidates[0], { daemonId: "za-1-1", zone: "za-1", relayedCount: 0, lostServerIds: [] });
});

interface PathTraffic {
    /** Bytes of reports and lists for one entry daemon in a second. */
    entryBytesPerS: number;
    /** Bytes of candidates that one control daemon sends to the others in a second. */
    controlBytesPerS: number;
}

/** Exchanges of 370 entry daemons in seven zones, each with its own control daemon, for a second. */
const measureTraffic = (
    reportAt: (daemonIndex: number, step: number) => Partial<PathReport>,
): PathTraffic => {
    const daemonsPerZone = 53;
    const tables = ZONES.map(() => new RelayCandidateTable());
    const encoder = new FrameEncoder();
    const revisions = new Map<string, number>();
    const sizes = { entryBytes: 0, controlBytes: 0 };
    const stepsPerS = 1_000 / EXCHANGE_INTERVAL_MS;
    for (let step = 0; step < 2 * stepsPerS; step += 1) {
        const nowMs = step * EXCHANGE_INTERVAL_MS;
        const isCounted = step >= stepsPerS;
        tables.forEach((table, zoneIndex) => {
            const zone = ZONES[zoneIndex] ?? "";
            daemonsOf(zone, daemonsPerZone).forEach((daemonId, index) => {
                const relayRevision = revisions.get(daemonId) ?? 0;
                const report = reportOf({ zone, relayRevision, ...reportAt(index, step) });
                table.setReport(daemonId, report, nowMs);
                const list = table.listFor(daemonId, report, nowMs);
                revisions.set(daemonId, list?.revision ?? relayRevision);
                const listBytes = list === undefined ? 0 : encoder.encode(list).length;
                sizes.entryBytes += isCounted ? encoder.encode(report).length + listBytes : 0;
            });
        });
        if (step % stepsPerS === 0) {
            tables.forEach((table) => {
                const named = table.shared(nowMs);
                const others = tables.filter((other) => other !== table);
                others.forEach((other) => other.setShared(named, nowMs));
                sizes.controlBytes += isCounted ? others.length * encoder.encode(named).length : 0;
            });
        }
    }
    return {
        entryBytesPerS: sizes.entryBytes / (ZONES.length * daemonsPerZone),
        controlBytesPerS: sizes.controlBytes / ZONES.length,
    };
};

// Guards against a share of the budget of 4 KB/s for each daemon that leaves nothing for the rest.
test("reports and lists of 370 daemons stay within the budget", (t) => {
    const quiet = measureTraffic(() => ({}));
    const busy = measureTraffic((index, step) => ({ relayedCount: (index * 7 + step * 13) % 20 }));
    const cut = measureTraffic((index, step) => ({
        lostServerIds: index < 20
            ? Array.from({ length: Math.min(16, step) }, (_, id) => `server-${id}`)
            : [],
    }));
    t.log({ quiet, busy, cut });
    t.true(quiet.entryBytesPerS < 300);
    t.true(quiet.controlBytesPerS < 4_000);
    t.true(busy.entryBytesPerS < 2_000);
    t.true(cut.entryBytesPerS < 2_000);
});
