import { createContext } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { ConfigurationState, RoutingTable } from "@greengage/configuration";
import { type RaftLog, readRecordFile, RecordCodec, replaceFile, syncFile } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import { type EngineOrders, FleetService } from "@greengage/fleet";
import type { GroupRecords } from "@greengage/protocol";
import test from "ava";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildEngineProfile, buildRoute } from "../configuration/fixtures.ts";

const ID = "daemon-1";

const groupRecordsOf = (): GroupRecords => ({
    version: 4,
    groups: [{
        groupName: "g1",
        epoch: 7,
        service: "llm",
        model: "small",
        zone: "z",
        fabricDomain: "d",
        headAddress: "127.0.0.1:1",
        members: [{ serverId: "e1", bornMs: 1, address: "127.0.0.1:1", sequence: 3 }],
        phase: "open",
    }],
    endedNames: [],
    servers: [{ serverId: "l1", service: "ledger", address: "127.0.0.1:2", zone: "z", slotCount: 1 }],
    entryDaemonCount: 5,
});

/** The members of `RaftLog` that the service uses, for a leader. */
const leadingLog = (): RaftLog =>
    ({
        holdsLeaderLease: true,
        isCurrent: true,
        status: () => ({
            role: "leader",
            term: 3,
            leaderId: ID,
            leaderContactAgeMs: 0,
            voterIds: [ID],
            joiningIds: [],
        }),
    }) as unknown as RaftLog;

// Guards against records that lose inherited state when all daemons restart a second time: the ledger would be missing,
// and each entry daemon would use the whole retry budget.
test("a restarted leader includes inherited state in its records", async (t) => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-fleet-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const recordPath = join(folder, "groups");
    const codec = await RecordCodec.create();
    await replaceFile(recordPath, codec.encode(groupRecordsOf()), syncFile);
    const hub = new Hub();
    const peers = hub.join({ daemonId: ID, zone: "z", host: "", port: 0 });
    const watcher = hub.join({ daemonId: "daemon-2", zone: "z", host: "", port: 0 });
    const service = new FleetService({
        context: createContext({ daemonId: ID, zone: "z" }),
        peers,
        log: leadingLog(),
        configurationState: new ConfigurationState(),
        decode: () =>
            new RoutingTable({
                version: 1,
                routes: [buildRoute()],
                services: [{ name: "llm", maxConnections: 1, engine: buildEngineProfile() }],
                limits: { headerBytes: 1, bodyBytes: 1, headersMs: 1, idleMs: 1 },
            }),
        orders: {} as EngineOrders,
        // Long, so that the leader is still collecting reports.
        timing: { heartbeatMs: 60_000 },
        recordPath,
        limits: { list: () => [], merge: () => undefined },
    });
    t.teardown(() => service.close());
    await service.start();
    const view = await waitFor("the first view", async () => {
        const { view } = await watcher.call(ID, "fleet.watch", {
            configurationVersion: 0,
            viewTerm: 0,
            viewVersion: 0,
            recordsVersion: 0,
            waitMs: 50,
            zone: "z",
            isEntry: true,
            entryIds: [],
            demand: [],
        });
        return view;
    });
    t.is(view.entryDaemonCount, 5);
    t.deepEqual(view.servers.map(({ serverId }) => serverId), ["l1"]);
    const stored = await waitFor("records of the new term", async () => {
        const records = await readRecordFile(recordPath, codec) as GroupRecords;
        return records.version === groupRecordsOf().version ? undefined : records;
    });
    t.deepEqual(stored.servers, view.servers);
    t.is(stored.entryDaemonCount, 5);
});
