import {
    type Context,
    ErrorCode,
    GreengageError,
    Lifecycle,
    monotonicMs,
    Random,
    sleep,
    Verdict,
} from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type {
    FleetView,
    GroupSuspicion,
    GroupUsage,
    LeavingServer,
    ModelDemand,
    RelayedSignals,
    RelayRefusal,
    RelayRequest,
    ServerLimit,
} from "@greengage/protocol";
import {
    ConnectionPools,
    noCapacity,
    type Relays,
    RequestLimits,
    type ServerHold,
    ServerHolds,
    ServerPaths,
} from "@greengage/routing";
import { type Call, EndReason, endsAtMs } from "./call.ts";
import { resolveCall } from "./callresolution.ts";
import { Controllers } from "./controllers.ts";
import type { CrashLeader } from "./crashreports.ts";
import { CrashSuspects } from "./crashsuspects.ts";
import { DemandMeter } from "./demandmeter.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import { type Drain, drainingError, isServedWhileDraining } from "./drain.ts";
import { FirstTokenOffsets } from "./firsttokenoffsets.ts";
import { GroupStates } from "./groupstates.ts";
import { LeavingReports } from "./leavingreports.ts";
import { outcomeOfError } from "./outcome.ts";
import { PlacementClient, type RequestPermit, type RequestPlacement } from "./placementclient.ts";
import { Reachability } from "./reachability.ts";
import { addressesOf, RelayPolicy } from "./relaypolicy.ts";
import { type RetryLimits, ServiceRetryBudgets } from "./retrybudgets.ts";
import { ServerCall } from "./servercall.ts";
import { ServerStates } from "./serverstates.ts";
import { StallMonitor } from "./stallmonitor.ts";
import { StreamCall } from "./streamcall.ts";
import type { CallerRequest, CallerResponse, InterruptedCall, ServerDialect } from "./types.ts";

export interface GatewayOptions {
    context: Context;
    dialect: ServerDialect;
    retries: RetryLimits;
    /** Reports a suspected group to the controller. Resolves to whether the controller clears the suspicion. */
    onSuspicion: (suspicion: GroupSuspicion) => Promise<boolean>;
    /** Asks a control daemon to place a request. Rejects if there is no answer in time. */
    requestPlacement: RequestPlacement;
    /** Asks a control daemon for a permit for a limited server. Rejects if there is no answer in time. */
    requestPermit: RequestPermit;
    crashLeader: CrashLeader;
    /** Reports to the leader that a server leaves. Never rejects. */
    reportLeaving: (server: LeavingServer) => Promise<void>;
    /** Peers through which servers are reached while the direct paths are lost. Default: none. */
    relays?: Relays;
    /** Called with what a server wants of the peer that relayed a request. */
    onRelayedSignals?: (relayId: string, signals: RelayedSignals) => void;
}

const NO_RELAYS: Relays = {
    candidates: () => [],
    open: () => Promise.reject(new Error("there is no peer to relay the connection")),
};

/** Interval of the stall checks, which adds to the time until streams fail over. */
const STALL_CHECK_INTERVAL_MS = 50;
/** `retryAfterMs` while no server can be reached: another daemon can serve the caller at once. */
const UNREACHED_RETRY_AFTER_MS = 100;
/**
 * A daemon receives configuration and groups within about a second after its start. Callers abandon a stream that has no
 * event after two seconds, and retry only once.
 */
const STARTUP_WAIT_MS = 1_500;
/** Share of its deadline that a request waits for the daemon to become ready. */
const STARTUP_WAIT_SHARE = 0.5;
const STARTUP_CHECK_INTERVAL_MS = 10;

/** Routes requests of callers to backend servers according to the current configuration. */
export class Gateway {
    readonly #options: GatewayOptions;
    readonly #deps: GatewayDependencies;
    readonly #lifecycle = new Lifecycle();
    readonly #random = new Random();
    readonly #controllers: Controllers;
    readonly #leavingReports: LeavingReports;
    readonly #relayPolicy: RelayPolicy;
    readonly #stallMonitor: StallMonitor;
    #routing: RoutingTable | undefined;
    #inFlight = 0;
    #drain: Drain | undefined;
    /** Term of the latest fleet view; undefined before the first one. */
    #viewTerm: number | undefined;

    constructor(options: GatewayOptions) {
        this.#options = options;
        const { context, requestPlacement, requestPermit } = options;
        this.#controllers = new Controllers(context);
        const placementClient = new PlacementClient(this.#controllers, requestPlacement, requestPermit);
        const pools: ConnectionPools = new ConnectionPools({
            onOpened: (address) => paths.recordDirect(address),
        });
        const paths = new ServerPaths({
            context,
            relays: options.relays ?? NO_RELAYS,
            random: this.#random,
            onLost: (address) => pools.retire(`http://${address}`),
        });
        this.#deps = {
            context,
            dialect: options.dialect,
            pools,
            paths,
            reachability: new Reachability(),
            onRelayedSignals: options.onRelayedSignals ?? (() => undefined),
            groups: new GroupStates(),
            servers: new ServerStates(),
            retryBudgets: new ServiceRetryBudgets(options.retries),
            demandMeter: new DemandMeter(),
            firstTokenOffsets: new FirstTokenOffsets(),
            random: this.#random,
            routing: () => this.#routing,
            drainMs: () => this.drainMs,
            calls: new Set(),
            placementClient,
            crashSuspects: new CrashSuspects(context, options.crashLeader),
            requestLimits: new RequestLimits({
                context,
                random: this.#random,
                requestPermit: (request) => placementClient.acquirePermit(request),
            }),
            serverHolds: new ServerHolds(context),
            suspect: (group, details) => this.#stallMonitor.suspect(group, details),
        };
        const { serverHolds, groups } = this.#deps;
        const { onSuspicion } = options;
        this.#stallMonitor = new StallMonitor({ context, groups, paths, onSuspicion });
        this.#relayPolicy = new RelayPolicy(serverHolds);
        this.#leavingReports = new LeavingReports({ serverHolds, report: options.reportLeaving });
    }

    /** Whether a configuration and a fleet view have been received. */
    get isInitialized(): boolean {
        return this.#routing !== undefined && this.#viewTerm !== undefined;
    }

    get inFlight(): number {
        return this.#inFlight;
    }

    /** Time since the start of the drain; undefined unless the daemon is draining. */
    get drainMs(): number | undefined {
        return this.#drain === undefined ? undefined : Math.round(monotonicMs() - this.#drain.startedAtMs);
    }

    /** Starts a drain. From then on, requests are rejected unless they are early or can end before it closes. */
    drain(drain: Drain): void {
        this.#drain ??= drain;
    }

    /** Ends the calls that are still in progress with a final error, and rejects all further requests. */
    endCalls(): void {
        const nowMs = monotonicMs();
        this.#drain = { startedAtMs: this.#drain?.startedAtMs ?? nowMs, closesAtMs: nowMs };
        for (const call of this.#deps.calls) {
            call.end(EndReason.Shutdown);
        }
    }

    start(): void {
        this.#deps.paths.start();
        this.#lifecycle.every(STALL_CHECK_INTERVAL_MS, () => this.#checkProgress(), (error) => {
            this.#options.context.decisions.record("gateway.stallCheck.failed", { reason: String(error) });
        });
    }

    async close(): Promise<void> {
        await this.#lifecycle.close();
        await this.#deps.paths.close();
        await this.#deps.crashSuspects.close();
        await this.#deps.pools.close();
    }

    applyConfiguration(routing: RoutingTable): void {
        if (routing.version > (this.#routing?.version ?? 0)) {
            this.#routing = routing;
            this.#options.context.decisions.record("configuration.inForce", { version: routing.version });
        }
    }

    applyView(view: FleetView): void {
        if (this.#viewTerm !== undefined && view.term > this.#viewTerm) {
            this.#deps.crashSuspects.onNewLeader();
        }
        this.#viewTerm = view.term;
        this.#deps.groups.applyView(view);
        this.#deps.servers.applyView(view);
        this.#leavingReports.applyView(view);
        this.#relayPolicy.applyView(view);
        this.#deps.paths.retainAddresses(addressesOf(view));
        this.#deps.crashSuspects.setSuspects(view.suspectParts ?? []);
        this.#deps.retryBudgets.setDaemonCount(view.entryDaemonCount);
        this.#deps.requestLimits.setDaemonCount(view.entryDaemonCount);
        this.#controllers.setIds(view.controllers.map(({ daemonId }) => daemonId));
        this.#options.context.decisions.record("fleet.view", {
            term: view.term,
            version: view.version,
            groups: view.groups.length,
            servers: view.servers.length,
            entryDaemons: view.entryDaemonCount,
            quarantined: view.suspectParts?.filter(({ isQuarantined }) => isQuarantined).length,
        });
    }

    /** In-flight usage of the groups by this daemon. */
    usage(): GroupUsage[] {
        return this.#deps.groups.usage(monotonicMs());
    }

    /** Sets the in-flight usage of the groups by all other daemons. */
    setRemoteUsage(remoteUsage: readonly GroupUsage[]): void {
        this.#deps.groups.setRemoteUsage(remoteUsage, monotonicMs());
    }

    /** Why a connection to a server may not be relayed for a peer; undefined if it may. */
    refuseRelay(request: RelayRequest): RelayRefusal | undefined {
        return this.#relayPolicy.refuse(request, this.#drain !== undefined);
    }

    /** Records what a server wants of this daemon in its answer to a request that this daemon relayed. */
    applyRelayedSignals(signals: RelayedSignals): void {
        this.#relayPolicy.applySignals(signals);
    }

    /** Ids of servers that this daemon reaches through peers only. */
    reportedLostServerIds(): string[] {
        return this.#deps.paths.reportedLostServerIds();
    }

    /** Whether this daemon reaches backend servers, directly or through peers. */
    get reachesServers(): boolean {
        return this.#deps.reachability.reachesServers;
    }

    /** Limits of servers that this daemon knows. */
    serverLimits(): ServerLimit[] {
        return this.#deps.requestLimits.list();
    }

    /** Servers to which this daemon sends no requests for a time. */
    serverHolds(): ServerHold[] {
        return this.#deps.serverHolds.list(monotonicMs());
    }

    /** Merges limits of servers that other daemons know. */
    mergeServerLimits(limits: readonly ServerLimit[]): void {
        this.#deps.requestLimits.merge(limits);
    }

    collectDemand(): ModelDemand[] {
        return this.#deps.demandMeter.collect();
    }

    /** Handles a request and writes its response. Never throws. */
    async handle(request: CallerRequest, response: CallerResponse): Promise<void> {
        this.#inFlight += 1;
        const { metrics } = this.#options.context;
        metrics.count("gateway.requests");
        try {
            await this.#waitUntilInitialized(request, response);
            const call = this.#resolve(request, response);
            this.#checkReachability();
            this.#checkDrain(call);
            this.#deps.retryBudgets.forService(call.service.name).countRequest(monotonicMs());
            await this.#run(call);
        }
        catch (error) {
            const failure = error instanceof GreengageError ? error : internalError(error);
            this.#options.context.decisions.record("request.rejected", {
                request: request.requestId,
                outcome: outcomeOfError(response),
                code: failure.code,
                reason: failure.message,
                configuration: this.#routing?.version,
                drainMs: this.drainMs,
            });
            metrics.count("gateway.failed", 1, { code: failure.code });
            response.fail(failure);
        }
        finally {
            this.#inFlight -= 1;
            metrics.durationMs("gateway.request", monotonicMs() - request.receivedAtMs);
        }
    }

    recordInterrupted(call: InterruptedCall): void {
        const { requestId, progress, ageMs, isClosedByCaller, peer, requestCount } = call;
        const { decisions, metrics } = this.#options.context;
        const closedBy = isClosedByCaller ? "caller" : "daemon";
        decisions.record("request.interrupted", {
            request: requestId,
            progress,
            closedBy,
            ageMs: Math.round(ageMs),
            peer,
            requestCount,
            drainMs: this.drainMs,
        });
        metrics.count("gateway.interrupted", 1, { progress, closedBy });
    }

    #checkProgress(): void {
        const nowMs = monotonicMs();
        this.#stallMonitor.check(nowMs);
        this.#leavingReports.check(nowMs);
        this.#deps.pools.closeIdle(nowMs);
    }

    /**
     * Holds requests that arrive while the daemon starts. If all daemons start together, rejected callers would use up their
     * single retry before any daemon is ready.
     */
    async #waitUntilInitialized(request: CallerRequest, response: CallerResponse): Promise<void> {
        const waitMs = Math.min(STARTUP_WAIT_MS, (request.deadlineMs ?? Infinity) * STARTUP_WAIT_SHARE);
        while (
            !this.isInitialized && !response.isClosed && !this.#lifecycle.isClosed
            && monotonicMs() < (this.#drain?.closesAtMs ?? Infinity)
            && monotonicMs() - request.receivedAtMs < waitMs
        ) {
            await sleep(STARTUP_CHECK_INTERVAL_MS);
        }
    }

    /** Throws if another daemon has to serve the call. */
    #checkDrain(call: Call): void {
        const request = { nowMs: monotonicMs(), endsAtMs: endsAtMs(call) };
        if (this.#drain !== undefined && !isServedWhileDraining(this.#drain, request)) {
            const excessMs = Math.round(request.endsAtMs - this.#drain.closesAtMs);
            throw drainingError(`the daemon is draining and closes ${excessMs} ms before the deadline`);
        }
    }

    #resolve(request: CallerRequest, response: CallerResponse): Call {
        const routing = this.#viewTerm === undefined ? undefined : this.#routing;
        return resolveCall({ routing, request, response, random: this.#random });
    }

    /** Throws if the request should go to another daemon, as this one reaches no server on any path. */
    #checkReachability(): void {
        if (!this.#deps.reachability.mayAttempt()) {
            throw noCapacity("no server can be reached, directly or through peers", UNREACHED_RETRY_AFTER_MS);
        }
    }

    #run(call: Call): Promise<void> {
        const { engine } = call.service;
        const { generation } = call.request;
        const model = engine?.models.find(({ name }) => name === generation?.model);
        if (engine !== undefined && generation !== undefined && model !== undefined) {
            return new StreamCall(this.#deps, call, generation, engine, model).run();
        }
        return new ServerCall(this.#deps, call).run();
    }
}

/** Error of a request that failed for an unexpected reason. */
export const internalError = (error: unknown): GreengageError =>
    new GreengageError(`internal error: ${String(error)}`, {
        code: ErrorCode.Internal,
        verdict: Verdict.MayHaveRun,
        cause: error,
    });
