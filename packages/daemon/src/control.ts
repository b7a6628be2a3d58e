import { type Context, ErrorCode, GreengageError, Lifecycle, monotonicMs, Verdict } from "@greengage/base";
import {
    type Configuration,
    ConfigurationState,
    type ReplaceConfigurationResult,
    RoutingTable,
    type StoredConfiguration,
    validateConfiguration,
} from "@greengage/configuration";
import { CompositeStateMachine, RaftLog } from "@greengage/consensus";
import { DepartureState, type EngineOrders, FleetService, type FleetTiming } from "@greengage/fleet";
import { PlacementService } from "@greengage/gateway";
import type { PeerNetwork, ServerLimit } from "@greengage/protocol";
import { type PermitCounts, ServerLimitTable } from "@greengage/routing";
import { join } from "node:path";
import { createPeerNetwork } from "./peerid.ts";

/** Time until a lost voter is replaced by a waiting daemon, which must join within four seconds. */
const VOTER_REPLACEMENT_DELAY_MS = 2_500;
/** Configurations can be large, so the log is compacted often. */
const SNAPSHOT_INTERVAL_ENTRIES = 64;
const RETAINED_ENTRIES = 16;
/** Operators try another daemon after a second without a response. */
const READ_CONFIGURATION_TIMEOUT_MS = 900;
const REPLACE_CONFIGURATION_TIMEOUT_MS = 2_500;

/** Groups can't be repaired without a leader, so an election in one region should take about a second. */
const RAFT_HEARTBEAT_MS = 150;
const ELECTION_TIMEOUT_MS = 700;
/** Running voters in the same region respond within milliseconds. */
const IDENTITY_CHECK_MS = 1_200;
const GROUP_RECORD_FILE = "groups";

export interface ControlDaemonOptions {
    context: Context;
    listen: { host: string; port: number; };
    peerKey: string;
    /** Ids of control daemons to contact first. The id of this daemon is `context.daemonId`. */
    seedIds: readonly string[];
    dataFolder: string;
    /** Whether this is the first start of the system, when voters may form a new cluster. */
    bootstrap: boolean;
    /** Number of voters, each with its disk, that may fail at the same time. */
    toleratedFailures: number;
    decode: (document: Uint8Array) => Configuration;
    orders: EngineOrders;
    timing: FleetTiming;
}

/** Daemon with a disk. It votes in the replicated log, stores the configuration and controls the fleet. */
export class ControlDaemon {
    readonly fleet: FleetService;
    readonly #options: ControlDaemonOptions;
    readonly #peers: PeerNetwork;
    readonly #log: RaftLog;
    readonly #limits: ServerLimitTable;
    readonly #placement: PlacementService;
    readonly #configurationState = new ConfigurationState();
    readonly #lifecycle = new Lifecycle();
    #seedIds: readonly string[];

    constructor(options: ControlDaemonOptions) {
        const {
            context,
            listen,
            peerKey,
            seedIds,
            dataFolder,
            bootstrap,
            toleratedFailures,
            decode,
        } = options;
        this.#options = options;
        this.#seedIds = seedIds;
        this.#peers = createPeerNetwork({ context, listen, peerKey });
        const departures = new DepartureState();
        this.#log = new RaftLog({
            context,
            peers: this.#peers,
            machine: new CompositeStateMachine({ configuration: this.#configurationState, departures }),
            daemons: [],
            dynamicVoters: {
                seedIds: () => this.#seedIds,
                targetCount: 2 * toleratedFailures + 1,
                replaceLostAfterMs: VOTER_REPLACEMENT_DELAY_MS,
            },
            dataFolder,
            bootstrap,
            timing: {
                heartbeatMs: RAFT_HEARTBEAT_MS,
                electionTimeoutMs: ELECTION_TIMEOUT_MS,
                identityCheckMs: IDENTITY_CHECK_MS,
                snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
                retainedEntries: RETAINED_ENTRIES,
            },
        });
        this.#limits = new ServerLimitTable(context);
        this.fleet = new FleetService({
            context,
            peers: this.#peers,
            log: this.#log,
            configurationState: this.#configurationState,
            decode: (document) => new RoutingTable(decode(document)),
            orders: options.orders,
            timing: options.timing,
            departures,
            limits: {
                list: () => this.#limits.list(monotonicMs()),
                merge: (others) => this.#limits.merge(others, monotonicMs()),
            },
            recordPath: join(dataFolder, GROUP_RECORD_FILE),
        });
        this.#placement = new PlacementService({
            context,
            peers: this.#peers,
            limits: this.#limits,
            view: () => this.fleet.view,
            routing: () => this.fleet.routing(),
            usage: () => this.fleet.usage(),
            connectedIds: () => this.fleet.connectedIds(),
        });
    }

    get log(): RaftLog {
        return this.#log;
    }

    /** Limits that backend servers name, with the permits that this daemon has handed out since each limit began. */
    serverLimits(): (ServerLimit & PermitCounts)[] {
        return this.#limits.list(monotonicMs()).map((limit) => ({
            ...limit,
            ...this.#placement.permits.countsOf(limit.serverId),
        }));
    }

    async start(): Promise<void> {
        const { context, dataFolder, bootstrap } = this.#options;
        await this.#log.start();
        this.#lifecycle.onClose(() => this.#log.close());
        await this.#peers.start();
        this.#lifecycle.onClose(() => this.#peers.close());
        await this.fleet.start();
        this.#lifecycle.onClose(() => this.fleet.close());
        context.decisions.record("daemon.start", {
            role: "control",
            seeds: this.#seedIds,
            dataFolder,
            bootstrap,
            configuration: this.#configurationState.version,
        });
    }

    reload(seedIds: readonly string[]): void {
        this.#seedIds = seedIds;
        this.#options.context.decisions.record("daemon.reload", { seeds: seedIds });
    }

    /** Lets a waiting daemon vote in place of this one, which is about to stop. Requests are still served. */
    async handOverVote(timeoutMs: number): Promise<void> {
        const startedAtMs = monotonicMs();
        const isReplaced = await this.#log.handOverVote({ timeoutMs });
        const durationMs = Math.round(monotonicMs() - startedAtMs);
        this.#options.context.decisions.record("vote.handOver", { isReplaced, durationMs, timeoutMs });
    }

    async close(): Promise<void> {
        this.#options.context.decisions.record("daemon.stop", {
            configuration: this.#configurationState.version,
        });
        await this.#lifecycle.close();
    }

    /**
     * Proposes a complete configuration. Resolves once it, or one with an equal or higher version, is durable.
     * Throws a GreengageError: `invalid` with the problems, or `unavailable` when the outcome is unknown.
     */
    async replaceConfiguration(document: Uint8Array): Promise<ReplaceConfigurationResult> {
        const { decode, context } = this.#options;
        const configuration = decode(document);
        const problems = validateConfiguration(configuration);
        if (problems.length > 0) {
            context.decisions.record("configuration.rejected", { version: configuration.version, problems });
            throw new GreengageError(problems.join("; "), {
                code: ErrorCode.Invalid,
                verdict: Verdict.NotRun,
            });
        }
        const { version } = configuration;
        const command = { type: "configuration.replace", version, document };
        const { index, result } = await this.#log.propose(command, {
            timeoutMs: REPLACE_CONFIGURATION_TIMEOUT_MS,
        });
        const { isChanged, version: heldVersion } = result as ReplaceConfigurationResult;
        context.decisions.record("configuration.accepted", { version, index, isChanged, heldVersion });
        return { isChanged, version: heldVersion };
    }

    /** Linearizable read of the configuration. Throws a GreengageError when the read can't be confirmed. */
    async readConfiguration(): Promise<StoredConfiguration> {
        const index = await this.#log.readBarrier({ timeoutMs: READ_CONFIGURATION_TIMEOUT_MS });
        await this.#log.waitForApplied(index, { timeoutMs: READ_CONFIGURATION_TIMEOUT_MS });
        const { latest } = this.#configurationState;
        if (latest === undefined) {
            throw new GreengageError("no configuration has been stored yet", {
                code: ErrorCode.Unavailable,
                verdict: Verdict.NotRun,
            });
        }
        return latest;
    }
}
