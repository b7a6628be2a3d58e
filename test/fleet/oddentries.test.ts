import { createContext, type DecisionFields } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { RecordCodec, replaceFile, syncFile } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import { CulpritQuarantine, FleetWatcher } from "@greengage/fleet";
import {
    type FleetView,
    type GroupRecord,
    type GroupRecords,
    type GroupTarget,
    requestCulpritId,
    type Suspect,
    type WatchResponse,
} from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { GroupRecordStore } from "../../packages/fleet/src/recordstore.ts";

const group: GroupTarget = {
    groupName: "g1",
    epoch: 7,
    service: "llm",
    model: "small",
    zone: "z",
    headId: "e1",
    headAddress: "127.0.0.1:1",
    bornMs: 1,
};

const suspect: Suspect = {
    service: "llm",
    partId: "part",
    isQuarantined: true,
    isTrialDue: false,
    trialDelayMs: 60_000,
};

const viewOf = (version: number, fields: object = {}): FleetView => ({
    term: 1,
    version,
    groups: [group],
    servers: [{
        serverId: "l1",
        service: "ledger",
        address: "127.0.0.1:2",
        zone: "z",
        slotCount: 1,
        bornMs: 2,
    }],
    entryDaemonCount: 1,
    controllers: [{ daemonId: "core-1", zone: "z" }],
    ...fields,
});

const { headId, bornMs = 0, ...identity } = group;
const groupRecord: GroupRecord = {
    ...identity,
    fabricDomain: "d",
    members: [{ serverId: headId, bornMs, address: "127.0.0.1:1", sequence: 3 }],
    phase: "open",
};

const recordsOf = (version: number, fields: object = {}): GroupRecords => ({
    version,
    groups: [groupRecord],
    endedNames: ["g0"],
    servers: viewOf(1).servers,
    entryDaemonCount: 1,
    suspectParts: [],
    ...fields,
});

const nested = (depth: number): unknown => {
    let value: unknown = 0;
    for (let level = 0; level < depth; level += 1) {
        value = [value];
    }
    return value;
};

/** Entries that can't be used, of any kind. */
const oddEntries: Record<string, unknown> = {
    nothing: undefined,
    "a number": 5,
    "an empty object": {},
    "a nested array": nested(1_000),
    "port 0": { ...group, ...groupRecord, address: "127.0.0.1:0", headAddress: "127.0.0.1:0" },
    "port 99999": { ...group, ...groupRecord, address: "127.0.0.1:99999", headAddress: "127.0.0.1:99999" },
    "a host with spaces": { ...group, ...groupRecord, address: "a b:1", headAddress: "a b:1" },
    "an infinite epoch": { ...group, ...groupRecord, epoch: Infinity },
    "names of 200,000 characters": { ...group, ...groupRecord, service: "s".repeat(200_000) },
    "an id that doesn't fit into a header": { ...group, headId: "e\r\n1", members: [{ serverId: "e\r\n1" }] },
};

interface WatcherFixture {
    /** Makes the control daemon return `response` from now on. */
    publish(response: Partial<WatchResponse>): void;
    /** Number of calls that have been answered. */
    callCount: number;
    views: FleetView[];
    records: GroupRecords[];
    logged: string[];
}

/** Starts a watcher of a control daemon that returns scripted responses. */
const startWatcher = (t: ExecutionContext): WatcherFixture => {
    const hub = new Hub();
    const control = hub.join({ daemonId: "core-1", zone: "z", host: "", port: 0 });
    const peers = hub.join({ daemonId: "front-1", zone: "z", host: "", port: 0 });
    const fixture: WatcherFixture = {
        publish: (response) => {
            published = response;
        },
        callCount: 0,
        views: [],
        records: [],
        logged: [],
    };
    let published: Partial<WatchResponse> = {};
    control.handle("fleet.watch", async ({ viewVersion, recordsVersion }) => {
        await new Promise((resolve) => setTimeout(resolve, 5));
        const { view, records, ...others } = published;
        fixture.callCount += 1;
        return {
            zone: "z",
            leaderId: "core-1",
            leaderContactAgeMs: 0,
            ...others,
            ...(view === undefined || view?.version === viewVersion ? {} : { view }),
            ...(records === undefined || records?.version === recordsVersion ? {} : { records }),
        };
    });
    const watcher = new FleetWatcher({
        context: {
            ...createContext({ daemonId: "front-1", zone: "z" }),
            decisions: { record: (event: string, fields: DecisionFields) => logTo(fixture, event, fields) },
        },
        peers,
        targets: () => ["core-1"],
        request: () => ({ configurationVersion: 0, isEntry: false, entryIds: [], demand: [] }),
        onConfiguration: () => {
            throw new Error("the configuration can't be decoded");
        },
        onView: (view) => void fixture.views.push(view),
        onRecords: (records) => void fixture.records.push(records),
    });
    watcher.start();
    t.teardown(() => watcher.close());
    return fixture;
};

const logTo = ({ logged }: WatcherFixture, event: string, fields: DecisionFields): void => {
    logged.push(`${event} ${JSON.stringify(fields)}`);
};

for (const [title, entry] of Object.entries(oddEntries)) {
    // Guards against one entry from a peer that stops the daemon from following the others.
    test(`a view with ${title} among its entries is applied without that entry`, async (t) => {
        const { publish, views, logged } = startWatcher(t);
        const { servers, controllers } = viewOf(1);
        publish({
            view: viewOf(1, {
                groups: [entry, group],
                servers: [...servers, entry],
                controllers: [entry, ...controllers],
                suspectParts: [entry, suspect],
            }),
        });
        await waitFor("the view", async () => views[0]);
        t.deepEqual(views[0], viewOf(1, { controllers: views[0]?.controllers, suspectParts: [suspect] }));
        t.true(logged.filter((line) => line.startsWith("entry.invalid")).length >= 2);
        t.true(logged.every(({ length }) => length < 1_000));
        publish({ view: viewOf(2) });
        await waitFor("the next view", async () => views.find(({ version }) => version === 2));
    });

    // Guards against a stored entry that keeps a leader from taking over.
    test(`records with ${title} among their entries are read without that entry`, async (t) => {
        const folder = mkdtempSync(join(tmpdir(), "greengage-fleet-"));
        t.teardown(() => rmSync(folder, { recursive: true, force: true }));
        const path = join(folder, "groups");
        const codec = await RecordCodec.create();
        const { servers } = recordsOf(1);
        const stored = recordsOf(4, {
            groups: [entry, groupRecord],
            servers: [entry, ...servers],
            endedNames: ["g0", entry],
            suspectParts: [entry],
        });
        await replaceFile(path, codec.encode(stored), syncFile);
        const records = await new GroupRecordStore(createContext({ daemonId: "core-1", zone: "z" }), path)
            .read();
        t.deepEqual(records?.groups, [groupRecord]);
        t.deepEqual(records?.servers, servers);
        t.deepEqual(records?.endedNames, ["g0"]);
        t.deepEqual(records?.suspectParts, []);
    });
}

const unusableResponses: Record<string, object> = {
    "an odd configuration": { configuration: { version: 3, bytes: new Uint8Array() } },
    "a view without lists": { view: viewOf(1, { groups: 5 }) },
    "a view without a version": { view: viewOf(1, { version: undefined, term: 9 }) },
    "a view that names no entry daemon": { view: viewOf(1, { entryDaemonCount: 0 }) },
    "records without lists": { records: recordsOf(1, { groups: undefined }) },
    "records with an infinite version": { records: recordsOf(Infinity) },
};

for (const [title, response] of Object.entries(unusableResponses)) {
    // Guards against a response that ends the watch for good, or makes it poll without a pause.
    test(`a daemon goes on following its peer after ${title}`, async (t) => {
        const fixture = startWatcher(t);
        const { publish, views, records, logged } = fixture;
        publish(response);
        await waitFor("the response", async () => fixture.callCount > 0 ? true : undefined);
        publish({ view: viewOf(2), records: recordsOf(2) });
        await waitFor("the next view and records", async () => views[0] && records[0]);
        t.deepEqual(views[0], viewOf(2));
        t.deepEqual(records[0], recordsOf(2));
        t.true(logged.some((line) => line.startsWith("watch.notApplied")));
    });
}

// Guards against a successor of the leader that forgets which requests crash plain servers.
test("the crashes of plain servers are read from the records", async (t) => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-fleet-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const path = join(folder, "groups");
    const context = createContext({ daemonId: "core-1", zone: "z" });
    const quarantine = new CulpritQuarantine(context);
    quarantine.recordCrash("ledger", "l1/7", [{ partIds: [requestCulpritId("a")], hasHead: false }], 0);
    const suspectParts = quarantine.records(0);
    const codec = await RecordCodec.create();
    await replaceFile(path, codec.encode(recordsOf(4, { suspectParts })), syncFile);
    t.deepEqual((await new GroupRecordStore(context, path).read())?.suspectParts, suspectParts);
});
