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
    SuspicionAnswer,
    WatchRequest,
    WatchResponse,
} from "@greengage/protocol";
import { ConfigurationSource, type ConfigurationSourceOptions } from "./configurations.ts";
import { GroupController } from "./controller.ts";
import type { EngineOrders } from "./orders.ts";
import { GroupRecordStore } from "./recordstore.ts";
import { ServerRegistry } from "./registry.ts";
import { ServerReportHandler } from "./reporthandler.ts";
import type { FleetTiming } from "./timing.ts";
import { UsageAggregator } from "./usage.ts";
import { groupTargets, isNewerView, serverTargets } from "./view.ts";
import { FleetWatcher } from "./watcher.ts";
import { expectedEntryCount, WatcherRegistry } from "./watcherregistry.ts";

/** Period at which leadership is noticed. */
const ROLE_CHECK_MS = 50;
/** Longest wait of a watch, which also bounds how long a daemon takes to notice a daemon that hangs. */
const MAX_WATCH_MS = 1_000;

export interface FleetServiceOptions extends ConfigurationSourceOptions {
    peers: Peers;
    orders: EngineOrders;
    timing: FleetTiming;
    /** File for what a successor of the leader needs to know of the groups. */
    recordPath: string;
}

/** The control daemons' part of the fleet: reports come in, views and configurations go out. */
export class FleetService {
    /** Takes what backend servers announce. */
    readonly reportHandler: ServerReportHandler;
    readonly #options: FleetServiceOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #registry = new ServerRegistry();
    readonly #controller: GroupController;
    readonly #changed = new ChangeSignal();
    readonly #watcher: FleetWatcher;
    readonly #recordFile: GroupRecordStore;
    readonly #watchers = new WatcherRegistry();
    readonly #usage: UsageAggregator;
    readonly #configurations: ConfigurationSource;
    #view: FleetView | undefined;
    #viewKey = "";
    #viewVersion = 0;
    #toldRecordsVersion = 0;
    #leadingTerm: number | undefined;
    #leadingSinceMs = 0;
    /** What the leader has told of its groups. */
    #records: GroupRecords | undefined;

    constructor(options: FleetServiceOptions) {
        this.#options = options;
        const { context, peers, orders, timing, log } = options;
        this.#recordFile = new GroupRecordStore(context, options.recordPath);
        this.#watchers.setZone(context.daemonId, context.zone);
        this.#configurations = new ConfigurationSource(options);
        this.#controller = new GroupController({
            context,
            registry: this.#registry,
            orders,
            timing,
            routing: () => this.#configurations.routing(),
            mayAct: () => log.holdsLeaderLease,
            onReconciled: () => this.#publish(),
        });
        this.#watcher = new FleetWatcher({
            context,
            peers,
            targets: () => this.#leaderTarget(),
            request: () => ({
                // Configurations come by the replicated log.
                configurationVersion: Number.MAX_SAFE_INTEGER,
                isEntry: false,
                entryIds: this.#watchers.entryIds(),
                demand: this.#watchers.takeDemand(),
            }),
            onConfiguration: () => undefined,
            onView: (view) => this.#takeView(view),
            onRecords: (records) => this.#keepRecords(records),
        });
        this.#usage = new UsageAggregator({
            context,
            peers,
            controllerIds: () => this.#view?.controllers.map(({ daemonId }) => daemonId) ?? [],
        });
        peers.handle("fleet.watch", (request, from) => this.#answerWatch(request, from));
        this.reportHandler = new ServerReportHandler({
            context,
            peers,
            log,
            registry: this.#registry,
            controller: this.#controller,
        });
        peers.handle("fleet.suspect", (suspicion) => this.#acceptSuspicion(suspicion));
    }

    /** The last view; undefined before the first one. */
    get view(): FleetView | undefined {
        return this.#view;
    }

    routing(): RoutingTable | undefined {
        return this.#configurations.routing();
    }

    /** What all entry daemons have in flight at the groups. */
    usage(): GroupUsage[] {
        return this.#usage.usage();
    }

    get groupController(): GroupController {
        return this.#controller;
    }

    async start(): Promise<void> {
        this.#options.configurationState.onChange(() => this.#takeConfiguration());
        this.#takeConfiguration();
        this.#records = await this.#recordFile.read();
        this.#controller.start();
        this.#watcher.start();
        this.#usage.start();
        this.#lifecycle.every(ROLE_CHECK_MS, () => this.#checkRole(), (error) => {
            this.#options.context.logs(LogPart.Groups).error("checking the role failed", {
                reason: messageOf(error),
            });
        });
    }

    async close(): Promise<void> {
        const closed = this.#lifecycle.close();
        this.#changed.notify();
        await closed;
        await this.#usage.close();
        await this.#watcher.close();
        await this.#controller.close();
    }

    async #acceptSuspicion(suspicion: GroupSuspicion): Promise<SuspicionAnswer> {
        const { log } = this.#options;
        if (!log.holdsLeaderLease) {
            return { isAccepted: false, leaderId: log.status().leaderId, isCleared: false };
        }
        return { isAccepted: true, isCleared: await this.#controller.checkSuspectedGroup(suspicion) };
    }

    #ownRecords(): GroupRecords {
        const { servers = [], entryDaemonCount = 1 } = this.#view ?? {};
        return { ...this.#controller.records(), servers, entryDaemonCount };
    }

    /** Servers that the former leader knew and that have not yet had the time to report here. */
    #inheritedServers(): ServerTarget[] {
        const servers = this.#controller.isSettled ? [] : this.#records?.servers ?? [];
        return servers.filter(({ serverId }) => this.#registry.get(serverId) === undefined);
    }

    /** Keeps what a successor needs, also over a restart of all daemons. */
    #keepRecords(records: GroupRecords): void {
        this.#records = records;
        this.#recordFile.write(records);
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
            this.#controller.activate(leadingTerm, this.#records);
            if (this.#records !== undefined) {
                this.#publish();
            }
        }
    }

    /** Makes a new view if what daemons can use has changed. */
    #publish(): void {
        const { timing } = this.#options;
        const nowMs = monotonicMs();
        const input = {
            registry: this.#registry,
            groups: this.#controller.groups,
            routing: this.#configurations.routing(),
            heartbeatMs: timing.heartbeatMs,
            nowMs,
        };
        const view = {
            groups: groupTargets(input),
            servers: [...serverTargets(input), ...this.#inheritedServers()],
            entryDaemonCount: this.#entryDaemonCount(nowMs),
            controllers: this.#controllers(),
        };
        const key = JSON.stringify(view);
        if (key !== this.#viewKey) {
            this.#viewKey = key;
            this.#viewVersion += 1;
            this.#takeView({ ...view, term: this.#leadingTerm ?? 0, version: this.#viewVersion });
        }
        // After the view: what a new leader has only inherited must be in its own records too.
        if (this.#controller.groups.version !== this.#toldRecordsVersion) {
            this.#toldRecordsVersion = this.#controller.groups.version;
            this.#keepRecords(this.#ownRecords());
            this.#changed.notify();
        }
    }

    #takeView(view: FleetView): void {
        if (!isNewerView(view, this.#view)) {
            return;
        }
        this.#view = view;
        this.#changed.notify();
    }

    #entryDaemonCount(nowMs: number): number {
        return expectedEntryCount({
            watchingCount: this.#watchers.entryIds().length,
            inheritedCount: this.#records?.entryDaemonCount ?? 1,
            leadingForMs: nowMs - this.#leadingSinceMs,
        });
    }

    #controllers(): FleetView["controllers"] {
        const { voterIds = [], joiningIds } = this.#options.log.status();
        return [...new Set([...voterIds, ...joiningIds])].sort()
            .map((daemonId) => ({ daemonId, zone: this.#watchers.zoneOf(daemonId) }));
    }

    #takeConfiguration(): void {
        const { configurationState, context } = this.#options;
        context.decisions.record("configuration.inForce", { version: configurationState.version });
        this.#changed.notify();
        this.#controller.wake();
    }

    async #answerWatch(request: WatchRequest, from: string): Promise<WatchResponse> {
        const nowMs = monotonicMs();
        this.#watchers.recordWatch(request, from);
        this.#controller.recordDemand(request.demand);
        const untilMs = nowMs + Math.min(request.waitMs, MAX_WATCH_MS);
        while (!this.#hasNews(request) && monotonicMs() < untilMs && !this.#lifecycle.isClosed) {
            await this.#changed.wait(untilMs - monotonicMs());
        }
        const records = !request.isEntry && this.#leadingTerm !== undefined ? this.#ownRecords() : undefined;
        return { ...this.#watchResponse(request), ...(records === undefined ? {} : { records }) };
    }

    #hasNews(
        { configurationVersion, viewTerm, viewVersion, isEntry, recordsVersion }: WatchRequest,
    ): boolean {
        const areRecordsNewer = !isEntry && this.#leadingTerm !== undefined
            && this.#controller.groups.version !== recordsVersion;
        const isViewNewer = this.#view !== undefined
            && isNewerView(this.#view, { term: viewTerm, version: viewVersion });
        return isViewNewer || areRecordsNewer
            || this.#configurations.newerThan(configurationVersion) !== undefined;
    }

    #watchResponse({ configurationVersion, viewTerm, viewVersion }: WatchRequest): WatchResponse {
        const { context, log } = this.#options;
        const { leaderId, leaderContactAgeMs } = log.status();
        const configuration = this.#configurations.newerThan(configurationVersion);
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

    /** The leader, while another daemon leads. */
    #leaderTarget(): string[] {
        const { role, leaderId } = this.#options.log.status();
        return role === "leader" || leaderId === undefined ? [] : [leaderId];
    }
}
