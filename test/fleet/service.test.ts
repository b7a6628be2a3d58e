import { createContext, sleep } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { ConfigurationState, RoutingTable } from "@greengage/configuration";
import { type RaftLog, readRecordFile, RecordCodec, replaceFile, syncFile } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import { DepartureState, type EngineOrders, FleetService } from "@greengage/fleet";
import type { GroupRecords, Peers, ServerReport } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SERVICE_EXPIRY_HEARTBEATS } from "../../packages/fleet/src/timing.ts";
import { buildEngineProfile, buildRoute } from "../configuration/fixtures.ts";
import { reportOf } from "./fixtures.ts";

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

interface Leadership {
    isLeader: boolean;
    term: number;
}

/** The members of `RaftLog` that the service uses. */
const logOf = (leadership: Leadership): RaftLog =>
    ({
        get holdsLeaderLease() {
            return leadership.isLeader;
        },
        isCurrent: true,
        status: () => ({
            role: leadership.isLeader ? "leader" : "follower",
            term: leadership.term,
            leaderId: leadership.isLeader ? ID : undefined,
            leaderContactAgeMs: 0,
            voterIds: [ID],
            joiningIds: [],
        }),
    }) as unknown as RaftLog;

interface ServiceFixture {
    service: FleetService;
    /** Another daemon of the same network. */
    watcher: Peers;
    recordPath: string;
    codec: RecordCodec;
}

/** Starts a service whose daemon has the records of `groupRecordsOf` on its disk. */
const startService = async (
    t: ExecutionContext,
    { leadership, heartbeatMs }: { leadership: Leadership; heartbeatMs: number; },
): Promise<ServiceFixture> => {
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
        log: logOf(leadership),
        configurationState: new ConfigurationState(),
        decode: () =>
            new RoutingTable({
                version: 1,
                routes: [buildRoute()],
                services: [{ name: "llm", maxConnections: 1, engine: buildEngineProfile() }],
                limits: { headerBytes: 1, bodyBytes: 1, headersMs: 1, idleMs: 1 },
            }),
        orders: {} as EngineOrders,
        timing: { heartbeatMs },
        departures: new DepartureState(),
        recordPath,
        limits: { list: () => [], merge: () => undefined },
    });
    t.teardown(() => service.close());
    await service.start();
    return { service, watcher, recordPath, codec };
};

// Guards against records that lose inherited state when all daemons restart a second time: the ledger would be missing,
// and each entry daemon would use the whole retry budget.
test("a restarted leader includes inherited state in its records", async (t) => {
    // A long heartbeat interval, so that the leader is still collecting reports.
    const { watcher, recordPath, codec } = await startService(t, {
        leadership: { isLeader: true, term: 3 },
        heartbeatMs: 60_000,
    });
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

// Guards against requests that find no server after a daemon leads once more: it took the time of a server's last report
// in its former term for silence.
test("a daemon that leads again lists servers that haven't reported to it in this term yet", async (t) => {
    // Long enough to see the first view of the second term, which lasts until the leader has collected reports.
    const heartbeatMs = 300;
    const leadership = { isLeader: true, term: 3 };
    const { service, watcher } = await startService(t, { leadership, heartbeatMs });
    const ledger = (serverId: string, address: string): ServerReport =>
        reportOf(serverId, { service: "ledger", address, fabricDomain: undefined });
    const { isAccepted } = await watcher.call(ID, "fleet.report", {
        reports: [ledger("l1", "127.0.0.1:2"), ledger("l2", "127.0.0.1:3")],
    });
    t.true(isAccepted);
    await waitFor("both servers", async () => service.view?.servers.length === 2 || undefined);
    await watcher.call(ID, "fleet.depart", { serverId: "l2", bornMs: undefined });
    leadership.isLeader = false;
    await sleep((SERVICE_EXPIRY_HEARTBEATS + 1) * heartbeatMs);
    Object.assign(leadership, { isLeader: true, term: 5 });
    await waitFor("a view of the new term", async () => service.view?.term === 5 || undefined);
    t.deepEqual(service.view?.servers.map(({ serverId }) => serverId), ["l1"]);
});
