import { Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import { ChangeSignal } from "@greengage/consensus";
import type {
    FleetView,
    GroupRecords,
    GroupSuspicion,
    GroupUsage,
    Peers,
    ServerTarget,
    SuspicionResponse,
    WatchRequest,
    WatchResponse,
} from "@greengage/protocol";
import { ConfigurationSource, type ConfigurationSourceOptions } from "./configurations.ts";
import { GroupController } from "./controller.ts";
import { CrashReportHandler } from "./crashreporthandler.ts";
import { CulpritQuarantine } from "./culpritquarantine.ts";
import type { DepartureState } from "./departurestate.ts";
import type { EngineOrders } from "./orders.ts";
import { QuarantineOperations } from "./quarantineoperations.ts";
import { GroupRecordStore } from "./recordstore.ts";
import { ServerRegistry } from "./registry.ts";
import { ServerReportHandler } from "./reporthandler.ts";
import type { FleetTiming } from "./timing.ts";
import { type LimitSource, UsageAggregator } from "./usage.ts";
import { groupTargets, isNewerView, serverTargets } from "./view.ts";
import { FleetWatcher } from "./watcher.ts";
import { expectedEntryCount, WatcherRegistry } from "./watcherregistry.ts";

/** Interval at which changes of leadership are detected. */
const ROLE_CHECK_INTERVAL_MS = 50;
/** Longest wait for a change before a watch is answered; also bounds the time to detect a daemon that hangs. */
const MAX_WATCH_MS = 1_000;

export interface FleetServiceOptions extends ConfigurationSourceOptions {
    peers: Peers;
    orders: EngineOrders;
    timing: FleetTiming;
    /** Limits of backend servers. */
    limits: LimitSource;
    /** Servers that have announced their end, as acknowledged by any leader. */
    departures: DepartureState;
    /** File of the group records from which a successor of the leader starts. */
    recordPath: string;
}

/** Fleet control on a control daemon: receives server reports, and serves views and configurations to watchers. */
export class FleetService {
    /** Handles reports and shutdown announcements of backend servers. */
    readonly reportHandler: ServerReportHandler;
    /** Lists and lifts quarantines of prompt parts for operators. */
    readonly quarantineOperations: QuarantineOperations;
    readonly #options: FleetServiceOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #registry: ServerRegistry;
    readonly #controller: GroupController;
    readonly #changeSignal = new ChangeSignal();
    readonly #watcher: FleetWatcher;
    readonly #recordStore: GroupRecordStore;
    readonly #watcherRegistry = new WatcherRegistry();
    readonly #usageAggregator: UsageAggregator;
    readonly #quarantine: CulpritQuarantine;
    readonly #configurationSource: ConfigurationSource;
    #view: FleetView | undefined;
    #viewKey = "";
    #viewVersion = 0;
    #publishedRecordsVersion = 0;
    #leadingTerm: number | undefined;
    #leadingSinceMs = 0;
    /** Latest group records from the leader or from this daemon's previous run. */
    #records: GroupRecords | undefined;

    constructor(options: FleetServiceOptions) {
        this.#options = options;
        const { context, peers, orders, timing, log, departures } = options;
        this.#registry = new ServerRegistry(departures);
        this.#recordStore = new GroupRecordStore(context, options.recordPath);
        this.#watcherRegistry.setZone(context.daemonId, context.zone);
        this.#configurationSource = new ConfigurationSource(options);
        this.#quarantine = new CulpritQuarantine(context);
        this.#controller = new GroupController({
            context,
            registry: this.#registry,
            orders,
            timing,
            routing: () => this.#configurationSource.routing(),
            mayAct: () => log.holdsLeaderLease,
            onReconciled: () => this.#publish(),
        });
        this.#watcher = new FleetWatcher({
            context,
            peers,
            targets: () => this.#watchTargets(),
            request: () => ({
                // Control daemons receive configurations through the replicated log.
                configurationVersion: Number.MAX_SAFE_INTEGER,
                isEntry: false,
                entryIds: this.#watcherRegistry.entryIds(),
                demand: this.#watcherRegistry.takeDemand(),
            }),
            onConfiguration: () => undefined,
            onView: (view) => this.#applyView(view),
            onRecords: (records) => this.#storeRecords(records),
        });
        this.#usageAggregator = new UsageAggregator({
            context,
            peers,
            controllerIds: () => this.#view?.controllers.map(({ daemonId }) => daemonId) ?? [],
            limits: options.limits,
        });
        peers.handle("fleet.watch", (request, from) => this.#handleWatch(request, from));
        this.reportHandler = new ServerReportHandler({
            context,
            peers,
            log,
            registry: this.#registry,
            controller: this.#controller,
            departures,
            routing: () => this.#configurationSource.routing(),
        });
        peers.handle("fleet.suspect", (suspicion) => this.#handleSuspicion(suspicion));
        const partOptions = {
            context,
            peers,
            log,
            controller: this.#controller,
            quarantine: this.#quarantine,
            onChanged: () => this.#publishSuspects(),
        };
        new CrashReportHandler(partOptions);
        this.quarantineOperations = new QuarantineOperations(partOptions);
    }

    /** The latest view; undefined before the first one. */
    get view(): FleetView | undefined {
        return this.#view;
    }

    routing(): RoutingTable | undefined {
        return this.#configurationSource.routing();
    }

    /** Total usage of the groups by all entry daemons. */
    usage(): GroupUsage[] {
        return this.#usageAggregator.usage();
    }

    /** Other control daemons from which this one has received a message recently. */
    connectedIds(): ReadonlySet<string> {
        return this.#usageAggregator.connectedIds();
    }

    get groupController(): GroupController {
        return this.#controller;
    }

    async start(): Promise<void> {
        this.#options.configurationState.onChange(() => this.#applyConfiguration());
        this.#options.departures.onChange(() => this.#publishDepartures());
        this.#applyConfiguration();
        this.#records = await this.#recordStore.read();
        this.#controller.start();
        this.#watcher.start();
        this.#usageAggregator.start();
        this.#lifecycle.every(ROLE_CHECK_INTERVAL_MS, () => this.#checkRole(), (error) => {
            this.#options.context.logs(LogPart.Groups).error("failed to check for a change of leadership", {
                reason: messageOf(error),
            });
        });
    }

    async close(): Promise<void> {
        const closed = this.#lifecycle.close();
        this.#changeSignal.notify();
        await closed;
        await this.#recordStore.close();
        await this.#usageAggregator.close();
        await this.#watcher.close();
        await this.#controller.close();
    }

    async #handleSuspicion(suspicion: GroupSuspicion): Promise<SuspicionResponse> {
        const { log } = this.#options;
        if (!log.holdsLeaderLease) {
            return { isAccepted: false, leaderId: log.status().leaderId, isCleared: false };
        }
        return { isAccepted: true, isCleared: await this.#controller.checkSuspectedGroup(suspicion) };
    }

    #buildRecords(): GroupRecords {
        const { servers = [], entryDaemonCount = 1 } = this.#view ?? {};
        return {
            ...this.#controller.records(),
            version: this.#recordsVersion,
            servers,
            entryDaemonCount,
            suspectParts: this.#quarantine.records(monotonicMs()),
        };
    }

    get #recordsVersion(): number {
        return this.#controller.recordsVersion + this.#quarantine.version;
    }

    /**
     * Servers from the previous leader's records that have not yet had time to report to this daemon. What they reported
     * while it led before may be long ago.
     */
    #inheritedServers(reported: readonly ServerTarget[]): ServerTarget[] {
        const servers = this.#controller.isSettled ? [] : this.#records?.servers ?? [];
        const reportedIds = new Set(reported.map(({ serverId }) => serverId));
        return servers.filter(({ serverId, bornMs }) => {
            const known = this.#registry.get(serverId);
            const hasReported = known !== undefined && known.receivedAtMs >= this.#leadingSinceMs;
            const hasDeparted = bornMs !== undefined && this.#options.departures.has({ serverId, bornMs });
            const isDraining = known !== undefined && known.report.isDraining
                && known.report.bornMs >= (bornMs ?? -Infinity);
            const hasEnded = bornMs !== undefined && this.#registry.hasEnded(serverId, bornMs);
            return !reportedIds.has(serverId) && !hasReported && !hasDeparted && !isDraining && !hasEnded;
        });
    }

    /** Stores the group records in memory, and on disk in case all daemons restart. */
    #storeRecords(records: GroupRecords): void {
        this.#records = records;
        this.#recordStore.write(records);
    }

    #checkRole(): void {
        const { role, term } = this.#options.log.status();
        const leadingTerm = role === "leader" ? term : undefined;
        if (leadingTerm === this.#leadingTerm) {
            return;
        }
        if (this.#leadingTerm !== undefined) {
            this.#controller.deactivate();
        }
        this.#leadingTerm = leadingTerm;
        if (leadingTerm !== undefined) {
            this.#leadingSinceMs = monotonicMs();
            this.#viewVersion = 0;
            this.#viewKey = "";
            this.#quarantine.restore(this.#records?.suspectParts ?? [], monotonicMs());
            this.#controller.activate(leadingTerm, this.#records);
            if (this.#records !== undefined) {
                this.#publish();
            }
        }
    }

    /** A leader applies departures that its predecessor has acknowledged after it has published its first view. */
    #publishDepartures(): void {
        this.#controller.wake();
        if (this.#leadingTerm !== undefined && this.#view !== undefined && !this.#controller.isSettled) {
            this.#publish();
        }
    }

    /** Publishes changed suspects, also before this leader has settled. A view without any group would stop all requests. */
    #publishSuspects(): void {
        const hasGroups = this.#controller.isSettled || this.#records !== undefined;
        if (this.#leadingTerm !== undefined && hasGroups) {
            this.#publish();
        }
    }

    /** Publishes a new view if the available groups, servers or suspect parts have changed, and new records if groups or parts have. */
    #publish(): void {
        const { timing } = this.#options;
        const nowMs = monotonicMs();
        this.#quarantine.update(nowMs);
        const input = {
            registry: this.#registry,
            groups: this.#controller.groups,
            routing: this.#configurationSource.routing(),
            heartbeatMs: timing.heartbeatMs,
            nowMs,
        };
        const servers = serverTargets(input);
        const view = {
            groups: groupTargets(input),
            servers: [...servers, ...this.#inheritedServers(servers)],
            entryDaemonCount: this.#entryDaemonCount(nowMs),
            controllers: this.#controllers(),
            suspectParts: this.#quarantine.view(nowMs),
        };
        const key = JSON.stringify(view);
        if (key !== this.#viewKey) {
            this.#viewKey = key;
            this.#viewVersion += 1;
            this.#applyView({ ...view, term: this.#leadingTerm ?? 0, version: this.#viewVersion });
        }
        // Records come after the view, because they include inherited servers and the entry count from it.
        if (this.#recordsVersion !== this.#publishedRecordsVersion) {
            this.#publishedRecordsVersion = this.#recordsVersion;
            this.#storeRecords(this.#buildRecords());
            this.#changeSignal.notify();
        }
    }

    #applyView(view: FleetView): void {
        if (!isNewerView(view, this.#view)) {
            return;
        }
        this.#view = view;
        this.#changeSignal.notify();
    }

    #entryDaemonCount(nowMs: number): number {
        return expectedEntryCount({
            watchingCount: this.#watcherRegistry.entryIds().length,
            inheritedCount: this.#records?.entryDaemonCount ?? 1,
            leadingForMs: nowMs - this.#leadingSinceMs,
        });
    }

    #controllers(): FleetView["controllers"] {
        const { voterIds = [], joiningIds } = this.#options.log.status();
        return [...new Set([...voterIds, ...joiningIds])].sort()
            .map((daemonId) => ({ daemonId, zone: this.#watcherRegistry.zoneOf(daemonId) }));
    }

    #applyConfiguration(): void {
        const { configurationState, context } = this.#options;
        context.decisions.record("configuration.inForce", { version: configurationState.version });
        this.#changeSignal.notify();
        this.#controller.wake();
    }

    async #handleWatch(request: WatchRequest, from: string): Promise<WatchResponse> {
        const nowMs = monotonicMs();
        this.#watcherRegistry.recordWatch(request, from);
        this.#controller.recordDemand(request.demand);
        const deadlineMs = nowMs + Math.min(request.waitMs, MAX_WATCH_MS);
        while (!this.#hasUpdates(request) && monotonicMs() < deadlineMs && !this.#lifecycle.isClosed) {
            await this.#changeSignal.wait(deadlineMs - monotonicMs());
        }
        const records = !request.isEntry && this.#leadingTerm !== undefined
            ? this.#buildRecords()
            : undefined;
        return { ...this.#watchResponse(request), ...(records === undefined ? {} : { records }) };
    }

    #hasUpdates(
        { configurationVersion, viewTerm, viewVersion, isEntry, recordsVersion }: WatchRequest,
    ): boolean {
        const areRecordsNewer = !isEntry && this.#leadingTerm !== undefined
            && this.#recordsVersion !== recordsVersion;
        const isViewNewer = this.#view !== undefined
            && isNewerView(this.#view, { term: viewTerm, version: viewVersion });
        return isViewNewer || areRecordsNewer
            || this.#configurationSource.newerThan(configurationVersion) !== undefined;
    }

    #watchResponse({ configurationVersion, viewTerm, viewVersion }: WatchRequest): WatchResponse {
        const { context, log } = this.#options;
        const { leaderId, leaderContactAgeMs } = log.status();
        const configuration = this.#configurationSource.newerThan(configurationVersion);
        const view = this.#view;
        const hasView = view !== undefined && isNewerView(view, { term: viewTerm, version: viewVersion });
        return {
            zone: context.zone,
            leaderId,
            leaderContactAgeMs: Number.isFinite(leaderContactAgeMs) ? leaderContactAgeMs : undefined,
            ...(hasView ? { view } : {}),
            ...(configuration === undefined ? {} : { configuration }),
        };
    }

    /** The leader, unless this daemon leads or no leader is known. */
    #watchTargets(): string[] {
        const { role, leaderId } = this.#options.log.status();
        return role === "leader" || leaderId === undefined ? [] : [leaderId];
    }
}
