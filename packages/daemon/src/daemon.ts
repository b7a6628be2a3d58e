import { ActionRecords, ActionService } from "@greengage/actions";
import {
    type Context,
    createContext,
    createLogFactory,
    Lifecycle,
    LogPart,
    messageOf,
    Metrics,
} from "@greengage/base";
import { CompositeStateMachine, RaftLog } from "@greengage/consensus";
import {
    Admission,
    type DaemonSummary,
    DEFAULT_LIMITS,
    DrainState,
    HttpServer,
    OperatorRouter,
    type Readiness,
} from "@greengage/http";
import { Membership } from "@greengage/membership";
import { type LimitPermitRequest, type LimitPermitResponse, PeerNetwork } from "@greengage/protocol";
import { BackendDispatcher } from "@greengage/routing";
import { TableState } from "@greengage/table";
import { type Component, startInOrder } from "./components.ts";
import { DaemonDrain } from "./drain.ts";
import { processStats, startGauges } from "./metrics.ts";
import { DaemonOperatorApi } from "./operatorapi.ts";
import { RequestQuarantine } from "./requestquarantine.ts";
import type { Settings } from "./settings.ts";
import { DaemonActionSettlement } from "./settlement.ts";
import { type DaemonStatus, versions } from "./status.ts";
import { TableFreshness } from "./tablefreshness.ts";

/** A controller answers within milliseconds, and within some tens of them in another zone. */
const PERMIT_TIMEOUT_MS = 150;

/** Runs all components of the system on one entry VM. */
export class Daemon {
    readonly #settings: Settings;
    readonly #self: Settings["daemons"][number];
    readonly #context: Context;
    readonly #lifecycle = new Lifecycle();
    readonly #table = new TableState();
    readonly #actionRecords = new ActionRecords();
    readonly #tableFreshness: TableFreshness;
    readonly #admission: Admission;
    readonly #drain: DaemonDrain;
    readonly #peers: PeerNetwork;
    readonly #log: RaftLog;
    readonly #quarantine: RequestQuarantine;
    readonly #membership: Membership;
    readonly #dispatcher: BackendDispatcher;
    readonly #operators: OperatorRouter;
    readonly #actions: ActionService;
    readonly #httpServer: HttpServer;

    constructor(settings: Settings) {
        this.#settings = settings;
        const { daemonId, zone, daemons, keys } = settings;
        const metrics = new Metrics({ ...settings.metrics, tags: { daemon: daemonId, zone } });
        const context = createContext({ daemonId, zone, logs: createLogFactory(settings.log), metrics });
        this.#context = context;
        const self = daemons.find((daemon) => daemon.daemonId === daemonId);
        if (self === undefined) {
            throw new Error(`daemon ${daemonId} is not listed in daemons`);
        }
        this.#self = self;
        this.#peers = new PeerNetwork({
            context,
            listen: { host: self.host, port: self.port },
            addresses: daemons,
            key: keys.peers,
        });
        this.#log = new RaftLog({
            context,
            peers: this.#peers,
            machine: new CompositeStateMachine({ table: this.#table, action: this.#actionRecords }),
            daemons,
            dataFolder: self.voter ? settings.dataFolder : undefined,
            bootstrap: settings.bootstrap,
        });
        this.#quarantine = new RequestQuarantine({
            context,
            peers: this.#peers,
            zones: [...new Set(daemons.map((daemon) => daemon.zone))],
            directory: () => this.#membership.directory,
            isController: () => this.#membership.lease.isValid,
        });
        this.#membership = new Membership({
            context,
            peers: this.#peers,
            table: this.#table,
            daemons,
            orderKey: keys.backendServers,
            timing: settings.timing,
            placement: settings.placement,
            weightStore: settings.weightStore,
            suspects: this.#quarantine,
        });
        this.#dispatcher = new BackendDispatcher({
            context,
            directory: this.#membership.directory,
            table: this.#table,
            backendKey: keys.backendServers,
            knownDaemonCount: daemons.filter((daemon) => !daemon.controlOnly).length,
            requestPermit: (request) => this.#requestPermit(request),
            blame: this.#quarantine,
        });
        this.#peers.handle("limit.acquire", (request) => this.#grantPermit(request));
        this.#actions = new ActionService({
            context,
            log: this.#log,
            records: this.#actionRecords,
            dispatcher: this.#dispatcher,
        });
        const limits = { ...DEFAULT_LIMITS, ...settings.limits };
        this.#tableFreshness = new TableFreshness({
            context,
            tableVersion: () => this.#table.version,
            tableFloor: () => this.#membership.directory.tableFloor(),
            isTableFloorKnown: () => this.#membership.directory.reachableZones().includes(zone),
            isLogCurrent: () => this.#log.isCurrent,
        });
        this.#membership.directory.onChange(() => this.#tableFreshness.observe());
        this.#admission = new Admission(limits, () => this.#tableFreshness.assertFresh());
        this.#drain = new DaemonDrain({
            context,
            admission: this.#admission,
            finishRequests: (limitMs) => this.#httpServer.finishRequests(limitMs),
            graceMs: settings.drainGraceMs,
            limitMs: settings.drainLimitMs,
        });
        this.#operators = this.#createOperators();
        this.#httpServer = new HttpServer({
            context,
            listen: settings.http,
            keys,
            limits,
            admission: this.#admission,
            table: this.#table,
            dispatcher: this.#dispatcher,
            actions: this.#actions,
            acceptReport: (report) => this.#membership.reportForwarder.accept(report),
            operators: this.#operators,
            readiness: () => this.readiness(),
            servesCallers: !self.controlOnly,
        });
    }

    /** Starts all components. On failure, closes those already started and throws StartError. */
    async start(): Promise<void> {
        const log = this.#context.logs(LogPart.Daemon);
        try {
            await startInOrder(this.#components(), this.#lifecycle);
        }
        catch (error) {
            log.error("failed to start", { reason: messageOf(error) });
            await this.close();
            throw error;
        }
        const { daemonId, zone, http } = this.#settings;
        this.#context.timeline.record("daemon", "daemon.started", { version: versions().greengage });
        log.info(`daemon ${daemonId} in zone ${zone} is serving requests`, {
            ...http,
            port: this.#httpServer.port,
        });
    }

    /** Drains and closes the daemon. Returns whether every request in flight finished. */
    async stop(): Promise<boolean> {
        const isFinished = await this.#drain.drainAndWait();
        await this.close();
        return isFinished;
    }

    /** Closes the daemon at once, interrupting requests in flight. */
    async close(): Promise<void> {
        await this.#lifecycle.close();
        this.#context.logs(LogPart.Daemon).info("daemon stopped");
        await this.#context.metrics.close();
    }

    /** Whether a load balancer should send callers' requests to this daemon, and if not, why. */
    readiness(): Readiness {
        const staleTable = this.#tableFreshness.staleReason();
        const reasons: [boolean, string][] = [
            [this.#drain.state !== DrainState.Serving, `the daemon is ${this.#drain.state}`],
            [this.#self.controlOnly, "the daemon is control-only"],
            [staleTable !== undefined, staleTable ?? ""],
            [
                !this.#membership.directory.reachableZones().includes(this.#settings.zone),
                "the daemon has no valid grant of its own zone",
            ],
        ];
        const reason = reasons.find(([applies]) => applies)?.[1];
        return reason === undefined ? { ready: true } : { ready: false, reason };
    }

    /** The part of the status that other daemons poll. */
    summary(): DaemonSummary {
        const { daemonId, zone, voter, controlOnly } = this.#self;
        return {
            daemonId,
            zone,
            voter,
            controlOnly,
            state: this.#drain.state,
            ready: this.readiness().ready,
            inFlight: this.#admission.inFlight,
            tableVersion: this.#table.version,
        };
    }

    status(): DaemonStatus {
        const { directory, lease } = this.#membership;
        return {
            ...this.summary(),
            versions: versions(),
            notReadyReason: this.readiness().reason,
            isController: lease.isValid,
            log: this.#log.status(),
            reachableZones: directory.reachableZones(),
            unreachableZones: this.#unreachableZones(),
            groups: directory.allGroups(),
            services: directory.allServices(),
            serverLimits: this.#dispatcher.serverLimits(),
            measures: lease.isValid ? this.#membership.stats() : undefined,
            invariants: this.#context.invariants.counts(),
            violationCount: this.#context.invariants.violationCount,
            inFlightByRow: this.#admission.inFlightByRow(),
            process: processStats(),
            peerTraffic: this.#peers.traffic,
        };
    }

    /** Asks the controller of the server's zone. Without one, this daemon uses its part of the limit. */
    async #requestPermit(request: LimitPermitRequest): Promise<LimitPermitResponse | undefined> {
        const controllerId = this.#membership.directory.controllerOf(request.placementKey);
        if (controllerId === undefined) {
            return undefined;
        }
        try {
            return await this.#peers.call(controllerId, "limit.acquire", request, {
                timeoutMs: PERMIT_TIMEOUT_MS,
            });
        }
        catch (error) {
            this.#context.logs(LogPart.Routing).warn("no permit for a limited backend server", {
                controllerId,
                server: request.serverId,
                reason: messageOf(error),
            });
            return undefined;
        }
    }

    /** Throws unless this daemon controls the zone, as two daemons would hand out twice the limit. */
    #grantPermit(request: LimitPermitRequest): LimitPermitResponse {
        if (request.placementKey !== this.#self.zone || !this.#membership.lease.isValid) {
            throw new Error(`this daemon doesn't control zone ${request.placementKey}`);
        }
        return this.#dispatcher.grantPermit(request);
    }

    #unreachableZones(): string[] {
        const reachable = this.#membership.directory.reachableZones();
        const zones = new Set(this.#settings.daemons.map((daemon) => daemon.zone));
        return [...zones].filter((zone) => !reachable.includes(zone));
    }

    /** Components in start order: each depends only on earlier ones. They close in reverse order. */
    #components(): Component[] {
        const dispatcher = this.#dispatcher;
        return [
            { name: "dispatcher", start: () => undefined, close: () => dispatcher.close() },
            // Peers may send requests only after the log has loaded its data folder, and until it is closed.
            { name: "log", start: () => this.#log.start(), close: () => this.#log.close() },
            { name: "peers", start: () => this.#peers.start(), close: () => this.#peers.close() },
            { name: "table", ...this.#tableChangeRecorder() },
            {
                name: "membership",
                start: () => this.#membership.start(),
                close: () => this.#membership.close(),
            },
            {
                name: "quarantine",
                start: () => this.#quarantine.start(),
                close: () => this.#quarantine.close(),
            },
            { name: "actions", start: () => undefined, close: () => this.#actions.close() },
            { name: "gauges", ...this.#gauges() },
            { name: "http", start: () => this.#httpServer.start(), close: () => this.#httpServer.close() },
        ];
    }

    /** Records each table change in the timeline. */
    #tableChangeRecorder(): Omit<Component, "name"> {
        let stop: () => void = () => undefined;
        const record = (): void => {
            this.#context.timeline.record("table", "table.changed", { tableVersion: this.#table.version });
        };
        return { start: () => void (stop = this.#table.onChange(record)), close: () => stop() };
    }

    #gauges(): Omit<Component, "name"> {
        let gauges: Lifecycle | undefined;
        const options = {
            context: this.#context,
            admission: this.#admission,
            table: this.#table,
            isReady: () => this.readiness().ready,
            unreachableZoneCount: () => this.#unreachableZones().length,
            unknownActionCount: () => this.#actionRecords.unknownOutcomes().length,
        };
        return { start: () => void (gauges = startGauges(options)), close: () => gauges?.close() };
    }

    #createOperators(): OperatorRouter {
        const operators = new OperatorRouter(
            new DaemonOperatorApi({
                context: this.#context,
                settings: this.#settings,
                peers: this.#peers,
                log: this.#log,
                table: this.#table,
                membership: this.#membership,
                admission: this.#admission,
                vmDrains: this.#membership,
                daemonDrains: this.#drain,
                actions: new DaemonActionSettlement(this.#actions, this.#actionRecords),
                status: () => this.status(),
                summary: () => this.summary(),
            }),
        );
        this.#peers.handle("operator.forward", (request) => operators.handle(request));
        return operators;
    }
}
