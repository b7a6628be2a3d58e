import { createContext, Lifecycle, sleep } from "@greengage/base";
import { RoutingTable } from "@greengage/configuration";
import {
    DepartureState,
    type EngineOrders,
    type EngineProbeResult,
    GroupController,
    type GroupRef,
    type GroupRoster,
    OrderOutcome,
    type ServerEndpoint,
    ServerRegistry,
} from "@greengage/fleet";
import { type GroupMembership, MemberState, type ServerReport } from "@greengage/protocol";
import type { ExecutionContext } from "ava";
import { buildConfiguration, buildEngineProfile } from "../configuration/fixtures.ts";

/** Short, so that a test takes a fraction of a second. */
export const HEARTBEAT_MS = 60;
const LOAD_MS = 40;

export const reportOf = (serverId: string, fields: Partial<ServerReport> = {}): ServerReport => ({
    serverId,
    bornMs: 1,
    service: "llm",
    address: `${serverId}:1`,
    zone: "z",
    isDraining: false,
    slotCount: 18,
    sequence: 1,
    fabricDomain: "d",
    loadedModels: [],
    stagedModels: [],
    ...fields,
});

const servingStates: readonly MemberState[] = [MemberState.Open, MemberState.Closing];

/** In-process model engine that accepts orders by epoch like the engines of the users' platform. */
class FakeEngine {
    readonly report: ServerReport;
    isUnresponsive = false;
    isPartitioned = false;
    /** Whether another process has its address. */
    isReplaced = false;
    /** Whether its reports don't arrive, while orders do. */
    sendsNoReports = false;
    /** Whether it, as a head, never finishes its requests after a close order. */
    neverFinishes = false;
    /** Model of its last group. It reports no model while it is in no group. */
    lastModel: string | undefined;
    /** Rosters of the groups that it joined, in chronological order. */
    readonly joinedRosters: GroupRoster[] = [];
    highestEpoch = 0;
    /** Operations of which the next order gets no answer. */
    readonly unansweredOperations = new Set<string>();
    /** Carries out the order of an operation that got no answer. */
    readonly lateOrders = new Map<string, () => Promise<OrderOutcome>>();
    /** Called when an order to join arrives, before it is carried out. */
    beforeJoin: () => void = () => undefined;

    constructor(serverId: string, fields: Partial<ServerReport>) {
        this.report = reportOf(serverId, fields);
    }

    get membership(): GroupMembership | undefined {
        return this.report.membership;
    }
}

/** Description of a violated group invariant. */
export type GroupViolation = string;

export interface FleetFixture {
    controller: GroupController;
    registry: ServerRegistry;
    /** Departures as replicated to all leaders. */
    departures: DepartureState;
    engines: Map<string, FakeEngine>;
    violations: GroupViolation[];
    /** Number of orders by operation. */
    orderCounts: Map<string, number>;
    openGroups(): string[];
    engine(serverId: string): FakeEngine;
    /** Sets whether the controller's daemon holds the leader lease; it does at the start. */
    setLease(isHeld: boolean): void;
    /** Makes subsequent loads from the weight store take `slowLoadMs`. */
    slowDownLoads(): void;
    /** Makes an engine stop reporting and responding. */
    makeUnresponsive(serverId: string): void;
}

/** Starts engines that send reports, and a controller that leads. */
export const startFleet = (
    t: ExecutionContext,
    engineIds: readonly string[],
    fields: (serverId: string) => Partial<ServerReport> = () => ({}),
    /** Duration of a load from the weight store after `slowDownLoads` was called. */
    slowLoadMs = LOAD_MS,
    /** Default: unknown. */
    groupStallMs?: number,
): FleetFixture => {
    const context = createContext({ daemonId: "c", zone: "z" });
    const departures = new DepartureState();
    const registry = new ServerRegistry(departures);
    const lifecycle = new Lifecycle();
    const engines = new Map(engineIds.map((id) => [id, new FakeEngine(id, fields(id))]));
    const violations: GroupViolation[] = [];
    const counts = new Map<string, number>();
    const routing = new RoutingTable(buildConfiguration({
        services: [{
            name: "llm",
            maxConnections: 400,
            engine: buildEngineProfile({
                // Fewer than a large group has members.
                loadsAtOnce: 4,
                models: [
                    { name: "large", vmCount: 6, share: 0.67, pace: 1, loadMs: slowLoadMs, warmLoadMs: 10 },
                    { name: "small", vmCount: 3, share: 0.33, pace: 0.6, loadMs: slowLoadMs, warmLoadMs: 10 },
                ],
            }),
        }],
    }));
    const loads = { durationMs: LOAD_MS };
    const lease = { isHeld: true };
    const announce = (engine: FakeEngine): void => {
        const isSilent = engine.isUnresponsive || engine.isPartitioned || engine.sendsNoReports;
        if (!isSilent && !engine.isReplaced) {
            engine.report.sequence += 1;
            registry.accept({ ...engine.report }, performance.now());
        }
    };
    const orders = createFakeOrders({ engines, violations, counts, lifecycle, loads, announce });
    const controller = new GroupController({
        context,
        registry,
        orders,
        timing: { heartbeatMs: HEARTBEAT_MS, groupStallMs },
        routing: () => routing,
        mayAct: () => lease.isHeld,
        onReconciled: () => undefined,
    });
    const report = (): void => {
        engines.forEach(announce);
        controller.wake();
    };
    lifecycle.every(HEARTBEAT_MS / 3, report, (error) => t.fail(String(error)));
    t.teardown(async () => {
        await controller.close();
        await lifecycle.close();
    });
    controller.activate(1, undefined);
    controller.start();
    return {
        controller,
        registry,
        departures,
        engines,
        violations,
        orderCounts: counts,
        openGroups: () =>
            controller.groups.all().filter(({ phase }) => phase === "open").map(({ groupName }) => groupName),
        engine: (serverId) => engines.get(serverId) as FakeEngine,
        setLease: (isHeld) => {
            lease.isHeld = isHeld;
        },
        slowDownLoads: () => {
            loads.durationMs = slowLoadMs;
        },
        makeUnresponsive: (serverId) => {
            (engines.get(serverId) as FakeEngine).isUnresponsive = true;
        },
    };
};

interface FakeOrdersOptions {
    engines: Map<string, FakeEngine>;
    violations: GroupViolation[];
    counts: Map<string, number>;
    lifecycle: Lifecycle;
    loads: { durationMs: number; };
    /** Sends a report immediately, as engines do when their group membership changes. */
    announce: (engine: FakeEngine) => void;
}

const createFakeOrders = (
    { engines, violations, counts, lifecycle, loads, announce }: FakeOrdersOptions,
): EngineOrders => {
    const deliver = (server: ServerEndpoint, order: string): FakeEngine | undefined => {
        counts.set(order, (counts.get(order) ?? 0) + 1);
        const engine = engines.get(server.serverId);
        return engine === undefined || engine.isUnresponsive || engine.isPartitioned ? undefined : engine;
    };
    /** Carries an order out, unless it shall get no answer; it may be carried out later then. */
    const answer = (
        { serverId }: ServerEndpoint,
        operation: string,
        carryOut: () => Promise<OrderOutcome>,
    ): Promise<OrderOutcome> => {
        const engine = engines.get(serverId);
        if (engine === undefined || !engine.unansweredOperations.delete(operation)) {
            return carryOut();
        }
        engine.lateOrders.set(operation, carryOut);
        return Promise.resolve(OrderOutcome.Unknown);
    };
    const isMemberOf = (engine: FakeEngine, { groupName, epoch }: GroupRef): boolean =>
        engine.membership?.groupName === groupName && engine.membership.epoch === epoch;
    const schedule = (durationMs: number, task: () => void): void =>
        void lifecycle.run(async (signal) => {
            await sleep(durationMs, signal);
            if (!signal.aborted) {
                task();
            }
        }, () => undefined);
    const isWarm = ({ report, lastModel }: FakeEngine, model: string): boolean =>
        lastModel === model || report.loadedModels.includes(model) || report.stagedModels.includes(model);
    const orders: EngineOrders = {
        join: async (server, roster) => {
            const engine = deliver(server, "join");
            if (engine === undefined) {
                return OrderOutcome.Unknown;
            }
            engine.beforeJoin();
            if (roster.epoch < engine.highestEpoch) {
                return OrderOutcome.Refused;
            }
            checkNotInOpenGroup(engines, violations, engine, roster);
            engine.highestEpoch = roster.epoch;
            engine.joinedRosters.push(roster);
            const rank = roster.memberIds.indexOf(server.serverId);
            engine.report.membership = { ...roster, rank, state: MemberState.Joining };
            const isLoading = !isWarm(engine, roster.model);
            schedule(isLoading ? loads.durationMs : LOAD_MS, () => {
                if (isMemberOf(engine, roster) && engine.membership?.state === MemberState.Joining) {
                    engine.report.membership = { ...roster, rank, state: MemberState.Ready };
                    engine.report.loadedModels = [roster.model];
                    engine.report.stagedModels = isLoading ? [roster.model] : engine.report.stagedModels;
                }
            });
            return OrderOutcome.Accepted;
        },
        open: async (server, group) => {
            const engine = deliver(server, "open");
            if (engine === undefined || !isMemberOf(engine, group)) {
                return engine === undefined ? OrderOutcome.Unknown : OrderOutcome.Refused;
            }
            checkAllMembersReady(engines, violations, engine);
            engine.report.membership = { ...engine.membership as GroupMembership, state: MemberState.Open };
            return OrderOutcome.Accepted;
        },
        close: async (server, group) => {
            const engine = deliver(server, "close");
            if (engine !== undefined && isMemberOf(engine, group)) {
                engine.report.membership = {
                    ...engine.membership as GroupMembership,
                    state: engine.neverFinishes ? MemberState.Closing : MemberState.Ready,
                };
            }
            return engine === undefined ? OrderOutcome.Unknown : OrderOutcome.Accepted;
        },
        leave: async (server, group) => {
            const engine = deliver(server, "leave");
            if (engine !== undefined && isMemberOf(engine, group)) {
                engine.report.membership = undefined;
                engine.lastModel = engine.report.loadedModels[0] ?? engine.lastModel;
                engine.report.loadedModels = [];
                announce(engine);
            }
            return engine === undefined ? OrderOutcome.Unknown : OrderOutcome.Accepted;
        },
        stage: async (server, model) => {
            const engine = deliver(server, "stage");
            schedule(loads.durationMs, () => {
                if (engine !== undefined) {
                    engine.report.stagedModels = [model];
                }
            });
            return engine === undefined ? OrderOutcome.Unknown : OrderOutcome.Accepted;
        },
        probe: async (server): Promise<EngineProbeResult> => {
            const engine = deliver(server, "probe");
            if (engine === undefined) {
                return { kind: "silent" };
            }
            return engine.isReplaced ? { kind: "ended" } : { kind: "answered", pace: 1 };
        },
        acceptsConnections: async (server) => deliver(server, "connect") !== undefined,
    };
    return {
        ...orders,
        join: (server, roster) => answer(server, "join", () => orders.join(server, roster)),
        open: (server, group) => answer(server, "open", () => orders.open(server, group)),
    };
};

/**
 * Records a violation if a VM joins a group while the head of its previous group is open or closing, so that it is in two groups.
 */
const checkNotInOpenGroup = (
    engines: Map<string, FakeEngine>,
    violations: GroupViolation[],
    engine: FakeEngine,
    roster: GroupRoster,
): void => {
    const { membership } = engine;
    if (membership === undefined || membership.groupName === roster.groupName) {
        return;
    }
    const isHeadOpen = [...engines.values()].some((other) =>
        other.membership?.groupName === membership.groupName && other.membership.rank === 0
        && servingStates.includes(other.membership.state)
    );
    if (isHeadOpen) {
        violations.push(`${engine.report.serverId} was taken from ${membership.groupName}, which is open`);
    }
};

/** Records a violation for each member that isn't ready in the head's group and epoch when the head opens. */
const checkAllMembersReady = (
    engines: Map<string, FakeEngine>,
    violations: GroupViolation[],
    head: FakeEngine,
): void => {
    const roster = head.joinedRosters.at(-1);
    for (const serverId of roster?.memberIds ?? []) {
        const member = engines.get(serverId);
        const { groupName, epoch, state } = member?.membership ?? {};
        const isReady = groupName === roster?.groupName && epoch === roster?.epoch
            && state !== MemberState.Joining;
        if (!isReady) {
            violations.push(`${roster?.groupName} was opened without ${serverId}`);
        }
    }
};
