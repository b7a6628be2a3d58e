import { createContext } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { CompositeStateMachine, type RaftLog } from "@greengage/consensus";
import { waitFor } from "@greengage/faults";
import {
    DepartureState,
    type GroupController,
    groupTargets,
    type RecordDeparturesCommand,
    ServerRegistry,
    serverTargets,
} from "@greengage/fleet";
import type { Peers, ServerReport } from "@greengage/protocol";
import test from "ava";
import { ServerReportHandler } from "../../packages/fleet/src/reporthandler.ts";
import { HEARTBEAT_MS, reportOf, startFleet } from "./fixtures.ts";

const LEADER_ID = "core-1";
const PLAIN: Partial<ServerReport> = { service: "ledger", fabricDomain: undefined };

const departureOf = (serverId: string, bornMs: number): RecordDeparturesCommand => ({
    type: "departures.record",
    departures: [{ serverId, bornMs }],
});

interface LeaderFixture {
    registry: ServerRegistry;
    departures: DepartureState;
    /** Another control daemon, which forwards what servers say. */
    forwarder: Peers;
}

/** Starts the report handler of a leader, whose log commits commands unless `isCutOff` is set. */
const startLeader = ({ isCutOff = false } = {}): LeaderFixture => {
    const hub = new Hub();
    const peers = hub.join({ daemonId: LEADER_ID, zone: "z", host: "", port: 0 });
    const forwarder = hub.join({ daemonId: "core-2", zone: "z", host: "", port: 0 });
    const departures = new DepartureState();
    const registry = new ServerRegistry(departures);
    const log = {
        holdsLeaderLease: true,
        status: () => ({ leaderId: LEADER_ID }),
        propose: (command: RecordDeparturesCommand) => {
            if (isCutOff) {
                return Promise.reject(new Error("no commit within 600 ms"));
            }
            departures.apply(1, command);
            return Promise.resolve({ index: 1, result: undefined });
        },
    };
    new ServerReportHandler({
        context: createContext({ daemonId: LEADER_ID, zone: "z" }),
        peers,
        log: log as unknown as RaftLog,
        registry,
        departures,
        routing: () => undefined,
        controller: {
            isSettled: true,
            wake: () => undefined,
            groups: { groupOf: () => undefined },
        } as unknown as GroupController,
    });
    return { registry, departures, forwarder };
};

/** What a server says before it ends, by kind. */
const announcements: Record<string, (forwarder: Peers) => Promise<{ isAccepted: boolean; }>> = {
    shutdown: (forwarder) => forwarder.call(LEADER_ID, "fleet.depart", { serverId: "e1", bornMs: 1 }),
    drain: (forwarder) =>
        forwarder.call(LEADER_ID, "fleet.report", {
            reports: [reportOf("e1", { sequence: 2, isDraining: true })],
        }),
};

// Guards against requests to a server that has left: a new leader acknowledged its end without knowing it, and a late report
// listed it again.
test("a shutdown without a start time of a server that hasn't reported yet is recorded", async (t) => {
    const { registry, forwarder } = startLeader();
    t.true(
        (await forwarder.call(LEADER_ID, "fleet.depart", { serverId: "e1", bornMs: undefined })).isAccepted,
    );
    registry.accept(reportOf("e1"), 0);
    t.true(registry.get("e1")?.report.isDraining);
    registry.accept(reportOf("e1", { bornMs: Date.now() + 1_000 }), 1);
    t.false(registry.get("e1")?.report.isDraining);
});

// Guards against one announcement after which every later process of the server counts as draining, for all leaders.
test("a shutdown of a process that starts in the far future is not recorded", async (t) => {
    const { registry, departures, forwarder } = startLeader();
    registry.accept(reportOf("e1"), 0);
    const { isAccepted } = await forwarder.call(LEADER_ID, "fleet.depart", {
        serverId: "e1",
        bornMs: 2 ** 47,
    });
    t.false(isAccepted);
    t.false(departures.has({ serverId: "e1", bornMs: 1 }));
    t.false(registry.isDraining("e1", 1));
});

for (const [kind, announce] of Object.entries(announcements)) {
    // Guards against requests to a server that has left: a leader acknowledged the announcement and ended before any other
    // daemon knew it.
    test(`a ${kind} is acknowledged once a majority has stored it`, async (t) => {
        const { registry, departures, forwarder } = startLeader();
        registry.accept(reportOf("e1"), 0);
        t.true((await announce(forwarder)).isAccepted);
        t.true(departures.has({ serverId: "e1", bornMs: 1 }));
        t.false(departures.has({ serverId: "e1", bornMs: 2 }));
    });

    test(`a ${kind} is not acknowledged by a leader that can't store it`, async (t) => {
        const { registry, departures, forwarder } = startLeader({ isCutOff: true });
        registry.accept(reportOf("e1"), 0);
        t.false((await announce(forwarder)).isAccepted);
        t.false(departures.has({ serverId: "e1", bornMs: 1 }));
        t.true(registry.get("e1")?.report.isDraining);
    });
}

// Guards against a server that is used again: the next leader got an older report of it, which had been delayed.
test("a late report of a server that has announced its end doesn't list it at the next leader", (t) => {
    const departures = new DepartureState();
    departures.apply(1, departureOf("l1", 5));
    const successor = new ServerRegistry(departures);
    successor.accept(reportOf("l1", { ...PLAIN, bornMs: 5, sequence: 3 }), 0);
    successor.accept(reportOf("l2", { ...PLAIN, bornMs: 5 }), 0);
    const input = { registry: successor, routing: undefined, heartbeatMs: HEARTBEAT_MS, nowMs: 0 };
    const targets = serverTargets(input as Parameters<typeof serverTargets>[0]);
    t.deepEqual(targets.map(({ serverId }) => serverId), ["l2"]);
    successor.accept(reportOf("l1", { ...PLAIN, bornMs: 6 }), 0);
    t.is(serverTargets(input as Parameters<typeof serverTargets>[0]).length, 2);
});

// Guards against requests to a head that has announced its end to the former leader, and doesn't report to the next one.
test("the next leader replaces the group of a head that has announced its end and says nothing more", async (t) => {
    const fleet = startFleet(t, Array.from({ length: 11 }, (_, index) => `e${index}`));
    await waitFor("two open groups", () => fleet.openGroups().length === 2 || undefined);
    const records = { ...fleet.controller.records(), servers: [], entryDaemonCount: 1 };
    const group = fleet.controller.groups.all().find(({ model }) => model === "small");
    const headId = group?.memberIds[0] ?? "";
    fleet.engine(headId).isPartitioned = true;
    fleet.controller.deactivate();
    fleet.departures.apply(1, departureOf(headId, 1));
    fleet.controller.activate(2, records);
    const targets = (): string[] =>
        groupTargets({
            registry: fleet.registry,
            groups: fleet.controller.groups,
            routing: undefined,
            heartbeatMs: HEARTBEAT_MS,
            nowMs: 0,
        }).map(({ groupName }) => groupName);
    t.false(targets().includes(group?.groupName ?? ""));
    await waitFor(
        "another group of the model",
        () =>
            fleet.controller.groups.all().some(({ model, phase, memberIds }) =>
                model === "small" && phase === "open" && !memberIds.includes(headId)
            ) || undefined,
    );
    t.false(targets().includes(group?.groupName ?? ""));
    t.deepEqual(fleet.violations, []);
});

test("departures survive a snapshot, and the oldest ones are dropped", (t) => {
    const state = new DepartureState();
    for (let index = 0; index < 2_000; index += 1) {
        state.apply(index, departureOf(`e${index}`, 1));
    }
    t.false(state.has({ serverId: "e0", bornMs: 1 }));
    const machine = new CompositeStateMachine({ departures: state });
    const restored = new DepartureState();
    new CompositeStateMachine({ departures: restored }).restore(machine.snapshot());
    t.true(restored.has({ serverId: "e1999", bornMs: 1 }));
    t.false(restored.has({ serverId: "e1999", bornMs: 2 }));
});

// Guards against one announcement after which every process of the server counts as draining, for all leaders.
test("the departure of a process that starts in the future is not that of the others", (t) => {
    const bornMs = Date.now();
    const state = new DepartureState();
    state.apply(1, departureOf("e1", bornMs + 1_000_000_000));
    t.false(state.has({ serverId: "e1", bornMs }));
    state.apply(2, departureOf("e1", bornMs));
    t.true(state.has({ serverId: "e1", bornMs }));
    t.true(state.has({ serverId: "e1", bornMs: bornMs - 1 }));
    t.false(state.has({ serverId: "e1", bornMs: bornMs + 1 }));
});

// Guards against an upgrade in which the snapshot of a former version can't be read.
test("the snapshot of a version without departures leaves them as they are", (t) => {
    const state = new DepartureState();
    state.apply(1, departureOf("e1", 1));
    new CompositeStateMachine({ departures: state }).restore(new CompositeStateMachine({}).snapshot());
    t.true(state.has({ serverId: "e1", bornMs: 1 }));
});
