import {
    type Context,
    ErrorCode,
    GreengageError,
    Lifecycle,
    monotonicMs,
    Random,
    Verdict,
} from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { LimitPermitRequest, LimitPermitResponse, ServerLimit } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { DEFAULT_QUEUE_LIMITS, GroupAdmission, type QueueLimits } from "./admission.ts";
import { Cancellation } from "./cancellation.ts";
import { ConnectionPools } from "./connectionpools.ts";
import { type CrashBlame, NO_BLAME } from "./crashblame.ts";
import { GenerationCall } from "./generation.ts";
import { GroupLoads } from "./grouploads.ts";
import { GroupSelector } from "./groupselector.ts";
import { OrganisationLimits } from "./organisationlimits.ts";
import { RequestLimits, type RequestLimitsOptions } from "./requestlimits.ts";
import { RetryBudget } from "./retrybudget.ts";
import { ServerPermits } from "./serverpermits.ts";
import { ServiceCalls } from "./servicecalls.ts";
import { StallDetector } from "./stalldetector.ts";
import type { StrategyName } from "./strategies.ts";
import { DEFAULT_STREAM_LIMITS, type StreamLimits } from "./streamattempt.ts";
import type { Dispatcher, EventSink, GenerateRequest, ServiceCall, ServiceResponse } from "./types.ts";

const IDLE_CHECK_INTERVAL_MS = 10_000;
const METRICS_INTERVAL_MS = 1_000;

export interface BackendDispatcherOptions {
    context: Context;
    directory: GroupDirectory;
    table: Pick<TableState, "organisation" | "service">;
    /** API key sent to backend servers as a bearer token. */
    backendKey: string;
    /**
     * Number of daemons that share a limit when no share is assigned. Default: the daemons that hold grants of the own
     * zone.
     */
    knownDaemonCount?: number;
    /** Default: `twoChoices`. */
    strategy?: StrategyName;
    /** Default: true. */
    affinity?: boolean;
    /** Fair queueing between organisations; false serves requests in order of arrival. Default: true. */
    isFair?: boolean;
    /**
     * Asks the controller of a zone for a permit for a limited server of the zone, which is the request's placement key. Default:
     * this daemon divides the limits by the number of daemons.
     */
    requestPermit?: RequestLimitsOptions["requestPermit"];
    /** Default: no request is blamed for the crash of a backend server. */
    blame?: CrashBlame;
    streamLimits?: Partial<StreamLimits>;
    queueLimits?: Partial<QueueLimits>;
}

/** Sends requests to backend servers over HTTP. */
export class BackendDispatcher implements Dispatcher {
    readonly #options: BackendDispatcherOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #pools = new ConnectionPools();
    readonly #retryBudget = new RetryBudget();
    readonly #requestLimits: RequestLimits;
    readonly #zonePermits: ServerPermits;
    readonly #loads = new GroupLoads();
    readonly #stallDetector = new StallDetector(this.#lifecycle);
    readonly #streamLimits: StreamLimits;
    readonly #organisationLimits: OrganisationLimits;
    readonly #selector: GroupSelector;
    readonly #admission: GroupAdmission;
    readonly #serviceCalls: ServiceCalls;
    readonly #blame: CrashBlame;

    constructor(options: BackendDispatcherOptions) {
        this.#options = options;
        const { context, directory, table, backendKey } = options;
        const { strategy, affinity, isFair, knownDaemonCount } = options;
        this.#streamLimits = { ...DEFAULT_STREAM_LIMITS, ...options.streamLimits };
        const daemonCount = (): number => knownDaemonCount ?? directory.daemonCount(context.zone);
        this.#organisationLimits = new OrganisationLimits({
            share: (organisation) => directory.share(organisation),
            limit: (organisation) => table.organisation(organisation),
            daemonCount,
        });
        this.#blame = options.blame ?? NO_BLAME;
        this.#requestLimits = new RequestLimits({
            context,
            random: new Random(),
            requestPermit: options.requestPermit ?? (() => Promise.resolve(undefined)),
        });
        this.#zonePermits = new ServerPermits({
            context,
            limits: this.#requestLimits.table,
            share: () => 1,
        });
        directory.setDemandSource(() => this.#organisationLimits.demand());
        this.#selector = new GroupSelector({ loads: this.#loads, zone: context.zone, strategy, affinity });
        const limits = { ...DEFAULT_QUEUE_LIMITS, ...options.queueLimits };
        this.#admission = new GroupAdmission({
            directory,
            loads: this.#loads,
            selector: this.#selector,
            limits,
            isFair,
        });
        this.#serviceCalls = new ServiceCalls({
            context,
            directory,
            budget: this.#retryBudget,
            pools: this.#pools,
            requestLimits: this.#requestLimits,
            blame: this.#blame,
            backendKey,
            limitOf: (service) =>
                Math.max(1, Math.floor((table.service(service)?.maxConcurrent ?? 1) / daemonCount())),
        });
        this.#lifecycle.every(
            METRICS_INTERVAL_MS,
            () => this.#requestLimits.setDaemonCount(daemonCount()),
            () => undefined,
        );
        directory.setInFlightSource(() => [...this.#loads.counts(), ...this.#serviceCalls.counts()]);
        this.#lifecycle.onClose(() => this.#pools.close());
        this.#lifecycle.onClose(() => this.#admission.close());
        this.#lifecycle.every(
            IDLE_CHECK_INTERVAL_MS,
            () => this.#pools.closeIdle(monotonicMs()),
            () => undefined,
        );
        this.#lifecycle.every(METRICS_INTERVAL_MS, () => this.#reportMetrics(), () => undefined);
    }

    /** Limits that backend servers name. */
    serverLimits(): ServerLimit[] {
        return this.#requestLimits.list();
    }

    /** Hands out a permit for a limited server of a zone that this daemon controls. */
    grantPermit({ limits, maxDelayMs, ...query }: LimitPermitRequest): LimitPermitResponse {
        this.#requestLimits.merge(limits);
        return this.#zonePermits.acquire(query, maxDelayMs, monotonicMs());
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    admit(organisation: string): () => void {
        return this.#organisationLimits.admit(organisation);
    }

    async generate(request: GenerateRequest, sink: EventSink, signal: AbortSignal): Promise<void> {
        const release = this.admit(request.organisation);
        this.#retryBudget.countRequest(monotonicMs());
        const cancellation = new Cancellation(signal, request.deadlineAtMs);
        try {
            const row = this.#options.table.organisation(request.organisation);
            const flow = {
                organisation: request.organisation,
                weight: row?.weight ?? 1,
                priority: row?.priority ?? 5,
            };
            const generationOptions = {
                context: this.#options.context,
                directory: this.#options.directory,
                admission: this.#admission,
                selector: this.#selector,
                loads: this.#loads,
                budget: this.#retryBudget,
                pools: this.#pools,
                requestLimits: this.#requestLimits,
                blame: this.#blame,
                stallDetector: this.#stallDetector,
                limits: this.#streamLimits,
                backendKey: this.#options.backendKey,
            };
            await new GenerationCall(generationOptions, request, flow, sink, cancellation).run();
        }
        finally {
            cancellation.close();
            release();
        }
    }

    async callService(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
        // A non-idempotent call has already been admitted, before its intent was recorded.
        const release = call.nonIdempotent ? () => undefined : this.admit(call.organisation);
        this.#retryBudget.countRequest(monotonicMs());
        const cancellation = new Cancellation(signal, call.deadlineAtMs);
        try {
            if (cancellation.kind !== undefined) {
                throw new GreengageError(
                    "the caller disconnected or the deadline passed before the call was sent",
                    {
                        code: ErrorCode.Timeout,
                        verdict: Verdict.NotRun,
                    },
                );
            }
            return await this.#serviceCalls.run(call, cancellation);
        }
        finally {
            cancellation.close();
            release();
        }
    }

    #reportMetrics(): void {
        this.#options.context.metrics.gauge("generation.waiting", this.#admission.waitingCount);
    }
}
