import { createContext, monotonicMs } from "@greengage/base";
import { RoutingTable } from "@greengage/configuration";
import { freePorts } from "@greengage/faults";
import { UsageAggregator } from "@greengage/fleet";
import { PlacementService } from "@greengage/gateway";
import { type FleetView, type GroupUsage, PeerNetwork, type PlacementRequest } from "@greengage/protocol";
import { ServerLimitTable } from "@greengage/routing";

/** Number of groups at the target size: 720 engines in groups of 32. */
const GROUP_COUNT = 22;
const IN_FLIGHT_PER_GROUP = 2;
const CALLS = 2_000;
/** Shorter than the time for which shared usage is valid. */
const USAGE_SHARE_PERIOD_MS = 500;
const HOST = "127.0.0.1";
const SERVICE = "llm";
const MODEL = "large";

const view: FleetView = {
    term: 1,
    version: 1,
    groups: Array.from({ length: GROUP_COUNT }, (_, index) => ({
        groupName: `g${2_000_000 + index}`,
        epoch: 2_000_000 + index,
        service: SERVICE,
        model: MODEL,
        headId: `i-${index}`,
        headAddress: `10.0.0.${index}:8080`,
        zone: "z",
    })),
    servers: [],
    entryDaemonCount: 1,
    controllers: [],
};

const routing = new RoutingTable({
    version: 1,
    routes: [],
    services: [{
        name: SERVICE,
        maxConnections: 100,
        engine: {
            models: [{ name: MODEL, vmCount: 32, share: 1, pace: 1, loadMs: 16_000, warmLoadMs: 1_600 }],
            slotCount: 34,
            kvCapacityTokens: 1_700_000,
            stepMs: 6.45,
            stepPerRequestMs: 0.1,
            stepPerContextMs: 0.003,
            prefillTokensPerMs: 56,
            prefillPairsMs: 0.3,
            prefillChunkTokens: 2_048,
            stepsPerPass: 6,
            loadsPerS: 10,
            loadsAtOnce: 10,
            stagedModelCount: 1,
            openMs: 300,
            usualPromptTokens: 1_000,
            usualAnswerTokens: 150,
        },
    }],
    limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headersMs: 3_000, idleMs: 15_000 },
});

const usage: GroupUsage[] = view.groups.map(({ epoch }) => ({
    epoch,
    inFlightCount: IN_FLIGHT_PER_GROUP,
    pendingPromptTokens: 700,
    progressAgeMs: 40,
}));

const placeRequest: PlacementRequest = {
    service: SERVICE,
    model: MODEL,
    promptTokens: 700,
    zone: "z",
    offsetMs: 100,
    limitMs: 300,
    placeMs: 1_200,
    avoidedEpochs: [],
};

/** Measures bytes and CPU time of the calls between an entry daemon and a control daemon that place requests. */
export const measurePlacement = async (): Promise<object> => {
    const [controlPort = 0, entryPort = 0] = await freePorts(2);
    const networkOf = (daemonId: string, port: number, peerId: string, peerPort: number): PeerNetwork =>
        new PeerNetwork({
            context: createContext({ daemonId, zone: "z" }),
            listen: { host: HOST, port },
            addresses: [{ daemonId: peerId, zone: "z", host: HOST, port: peerPort }],
            key: "measure",
        });
    const control = networkOf("control", controlPort, "entry", entryPort);
    const entry = networkOf("entry", entryPort, "control", controlPort);
    const context = createContext({ daemonId: "control", zone: "z" });
    const limits = new ServerLimitTable(context);
    const aggregator = new UsageAggregator({
        context,
        peers: control,
        controllerIds: () => [],
        limits: {
            list: () => limits.list(monotonicMs()),
            merge: (others) => limits.merge(others, monotonicMs()),
        },
    });
    new PlacementService({
        context,
        peers: control,
        limits,
        connectedIds: () => new Set(),
        view: () => view,
        routing: () => routing,
        usage: () => aggregator.usage(),
    });
    await Promise.all([control.start(), entry.start()]);
    // Usage of other entry daemons makes responses as large as requests. It is shared again before it expires.
    let sharedAtMs = -Infinity;
    const exchange = await meanCost(entry, () => {
        if (monotonicMs() - sharedAtMs > USAGE_SHARE_PERIOD_MS) {
            sharedAtMs = monotonicMs();
            entry.notify("control", "usage.share", { usage });
        }
        return entry.call("control", "usage.exchange", { usage });
    });
    const place = await meanCost(entry, () => entry.call("control", "place.choose", placeRequest));
    await Promise.all([entry.close(), control.close()]);
    return { groups: GROUP_COUNT, calls: CALLS, exchange, place };
};

interface CallCost {
    /** Sum of both directions. */
    bytes: number;
    /** Sum of both daemons, which share this process. */
    cpuMicros: number;
    meanMs: number;
}

/** Mean cost of a call, after a first one that opens the connection and transfers the message structures. */
const meanCost = async (network: PeerNetwork, call: () => Promise<unknown>): Promise<CallCost> => {
    await call();
    const { sentBytes, receivedBytes } = network.traffic;
    const startCpu = process.cpuUsage();
    const startMs = monotonicMs();
    for (let index = 0; index < CALLS; index += 1) {
        await call();
    }
    const totalMs = monotonicMs() - startMs;
    const { user, system } = process.cpuUsage(startCpu);
    const bytes = (network.traffic.sentBytes - sentBytes + network.traffic.receivedBytes - receivedBytes)
        / CALLS;
    return {
        bytes: Math.round(bytes),
        cpuMicros: Math.round((user + system) / CALLS),
        meanMs: Number((totalMs / CALLS).toFixed(3)),
    };
};
