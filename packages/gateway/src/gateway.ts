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
import { type Organisation, pickService, type Route, type RoutingTable } from "@greengage/configuration";
import type { FleetView, GroupSuspicion, GroupUsage, ModelDemand } from "@greengage/protocol";
import { Pools } from "@greengage/routing";
import { type Call, deadlineOf } from "./call.ts";
import { DemandMeter } from "./demandmeter.ts";
import type { GatewayParts } from "./dependencies.ts";
import { FirstTokenOffsets } from "./firsttokenoffsets.ts";
import { type GroupState, GroupStates, isHanging, type SuspicionDetails } from "./groupstates.ts";
import { PlacementClient, type RequestPlacement } from "./placementclient.ts";
import { type RetryLimits, ServiceBudgets } from "./retrybudgets.ts";
import { ServerCall } from "./servercall.ts";
import { ServerStates } from "./serverstates.ts";
import { StreamCall } from "./streamcall.ts";
import type { CallerRequest, CallerResponse, ServerDialect } from "./types.ts";

export interface GatewayOptions {
    context: Context;
    dialect: ServerDialect;
    retries: RetryLimits;
    /** Tells the controller that a group may be lost. Resolves to whether it is in order. */
    onSuspicion: (suspicion: GroupSuspicion) => Promise<boolean>;
    /** Asks a control daemon for a place. Throws when there is no answer in time. */
    requestPlacement: RequestPlacement;
}

/** Stalls are looked for this often; it adds to the time until streams move. */
const STALL_CHECK_MS = 50;
/** A suspicion that lasts is repeated, as the first one may be lost. */
const REPEAT_SUSPICION_MS = 500;
const NOT_READY_RETRY_MS = 300;
/**
 * A daemon that has just started learns configuration and groups within about a second. Callers leave a stream without an
 * event after two seconds, and come back once only.
 */
const START_WAIT_MS = 1_500;
/** Part of its rest that a request waits for the start of the daemon. */
const START_WAIT_SHARE = 0.5;
const START_CHECK_MS = 10;

/** Takes requests of callers to backend servers by the configuration in force. */
export class Gateway {
    readonly #options: GatewayOptions;
    readonly #parts: GatewayParts;
    readonly #lifecycle = new Lifecycle();
    readonly #random = new Random();
    #routing: RoutingTable | undefined;
    #inFlight = 0;
    #hasView = false;

    constructor(options: GatewayOptions) {
        this.#options = options;
        this.#parts = {
            context: options.context,
            dialect: options.dialect,
            pools: new Pools(),
            groups: new GroupStates(),
            servers: new ServerStates(),
            budgets: new ServiceBudgets(options.retries),
            demand: new DemandMeter(),
            offsets: new FirstTokenOffsets(),
            random: this.#random,
            routing: () => this.#routing,
            placement: new PlacementClient(options.context, options.requestPlacement),
            suspect: (group, details) => this.#suspect(group, details),
        };
    }

    /** Whether a configuration and a view are known. */
    get isInitialized(): boolean {
        return this.#routing !== undefined && this.#hasView;
    }

    get inFlight(): number {
        return this.#inFlight;
    }

    start(): void {
        this.#lifecycle.every(STALL_CHECK_MS, () => this.#checkStalls(), (error) => {
            this.#options.context.decisions.record("gateway.stallCheck.failed", { reason: String(error) });
        });
    }

    async close(): Promise<void> {
        await this.#lifecycle.close();
        await this.#parts.pools.close();
    }

    applyConfiguration(routing: RoutingTable): void {
        if (routing.version > (this.#routing?.version ?? 0)) {
            this.#routing = routing;
            this.#options.context.decisions.record("configuration.inForce", { version: routing.version });
        }
    }

    applyView(view: FleetView): void {
        this.#hasView = true;
        this.#parts.groups.take(view);
        this.#parts.servers.take(view);
        this.#parts.budgets.setDaemonCount(view.entryDaemonCount);
        this.#parts.placement.setControllers(view.controllers.map(({ daemonId }) => daemonId));
        this.#options.context.decisions.record("fleet.view", {
            term: view.term,
            version: view.version,
            groups: view.groups.length,
            servers: view.servers.length,
            entryDaemons: view.entryDaemonCount,
        });
    }

    /** What this daemon has in flight at the groups. */
    usage(): GroupUsage[] {
        return this.#parts.groups.usage(monotonicMs());
    }

    /** Takes what all other daemons have in flight at the groups. */
    setRemoteUsage(others: readonly GroupUsage[]): void {
        this.#parts.groups.takeOthers(others, monotonicMs());
    }

    collectDemand(): ModelDemand[] {
        return this.#parts.demand.take();
    }

    /** Answers a request. Never throws. */
    async handle(request: CallerRequest, response: CallerResponse): Promise<void> {
        this.#inFlight += 1;
        const { metrics } = this.#options.context;
        metrics.count("gateway.requests");
        try {
            await this.#waitForStart(request, response);
            const call = this.#resolve(request, response);
            this.#parts.budgets.of(call.service.name).countRequest(monotonicMs());
            await this.#run(call);
        }
        catch (error) {
            const failure = error instanceof GreengageError ? error : internalError(error);
            this.#options.context.decisions.record("request.rejected", {
                request: request.requestId,
                code: failure.code,
                reason: failure.message,
                configuration: this.#routing?.version,
            });
            metrics.count("gateway.failed", 1, { code: failure.code });
            response.fail(failure);
        }
        finally {
            this.#inFlight -= 1;
            metrics.durationMs("gateway.request", monotonicMs() - request.receivedAtMs);
        }
    }

    /**
     * Answers callers that come while all daemons start: turned away, they would come back too early and be lost.
     */
    async #waitForStart(request: CallerRequest, response: CallerResponse): Promise<void> {
        const waitMs = Math.min(START_WAIT_MS, (request.deadlineMs ?? Infinity) * START_WAIT_SHARE);
        while (
            !this.isInitialized && !response.isClosed && !this.#lifecycle.isClosed
            && monotonicMs() - request.receivedAtMs < waitMs
        ) {
            await sleep(START_CHECK_MS);
        }
    }

    #run(call: Call): Promise<void> {
        const { engine } = call.service;
        const { generation } = call.request;
        const model = engine?.models.find(({ name }) => name === generation?.model);
        if (engine !== undefined && generation !== undefined && model !== undefined) {
            return new StreamCall(this.#parts, call, generation, engine, model).run();
        }
        return new ServerCall(this.#parts, call).run();
    }

    /** Finds route, service and organisation. Throws the rejection of a request that they don't allow. */
    #resolve(request: CallerRequest, response: CallerResponse): Call {
        const routing = this.#routing;
        if (routing === undefined || !this.#hasView) {
            throw notRun(ErrorCode.Unavailable, "the daemon knows no configuration yet", NOT_READY_RETRY_MS);
        }
        const route = routing.match(request.host, request.target);
        if (route === undefined) {
            throw notRun(ErrorCode.NotFound, `no route for ${request.host}${request.target}`);
        }
        const organisation = authorize(routing, route, request);
        const service = routing.service(pickService(route, this.#random.fraction()));
        if (service === undefined) {
            throw notRun(ErrorCode.Internal, `route ${route.name} has no service`);
        }
        return {
            request,
            response,
            route,
            service,
            organisation,
            priority: organisation?.priority ?? route.priority,
            deadlineAtMs: deadlineOf(request, route),
        };
    }

    /** Finds groups that stand still, tells the controller, and moves their streams. */
    #checkStalls(): void {
        const nowMs = monotonicMs();
        for (const group of this.#parts.groups.inUse()) {
            const { isSuspect, mustMove, silentMs, hasRunningStream } = group.stall(nowMs);
            if (isSuspect && !group.isSuspected(nowMs)) {
                const reason = `no progress for ${Math.round(silentMs)} ms`;
                this.#suspect(group, { reason, hasRunningStream });
            }
            if (isSuspect && mustMove) {
                [...group.uses].forEach((use) =>
                    use.move(`the group made no progress for ${Math.round(silentMs)} ms`)
                );
            }
            [...group.uses].filter((use) => isHanging(use, nowMs)).forEach((use) =>
                use.move("the answer hangs")
            );
            this.#repeatSuspicion(group, nowMs);
        }
        this.#parts.pools.closeIdle(nowMs);
    }

    /** A suspicion is told again until the group makes progress, the controller clears it or the group is withdrawn. */
    #repeatSuspicion(group: GroupState, nowMs: number): void {
        const { suspicion } = group;
        if (suspicion !== undefined && nowMs - suspicion.toldAtMs >= REPEAT_SUSPICION_MS) {
            this.#tell(group, suspicion.details, nowMs);
        }
    }

    #suspect(group: GroupState, details: SuspicionDetails): void {
        const { groupName, epoch } = group.target;
        const { reason, hasRunningStream, culpritId } = details;
        const fields = { group: groupName, epoch, reason, hasRunningStream, culprit: culpritId };
        this.#options.context.decisions.record("group.suspected", fields);
        this.#options.context.metrics.count("gateway.suspicions");
        this.#tell(group, details, monotonicMs());
    }

    #tell(group: GroupState, details: SuspicionDetails, nowMs: number): void {
        const { groupName, epoch } = group.target;
        group.suspect(details, nowMs);
        void this.#options.onSuspicion({ ...details, groupName, epoch }).then((isCleared) => {
            if (isCleared) {
                group.clear();
            }
        });
    }
}

const authorize = (routing: RoutingTable, route: Route, request: CallerRequest): Organisation | undefined => {
    if (!routing.requiresApiKey) {
        return undefined;
    }
    const organisation = request.apiKey === undefined ? undefined : routing.organisationOf(request.apiKey);
    if (organisation === undefined && !route.allowsAnonymous) {
        throw notRun(ErrorCode.Unauthorized, "the key is not known");
    }
    return organisation;
};

const notRun = (code: ErrorCode, message: string, retryAfterMs?: number): GreengageError =>
    new GreengageError(message, { code, verdict: Verdict.NotRun, retryAfterMs });

const internalError = (error: unknown): GreengageError =>
    new GreengageError(`internal error: ${String(error)}`, {
        code: ErrorCode.Internal,
        verdict: Verdict.MayHaveRun,
        cause: error,
    });
