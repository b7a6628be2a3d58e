import { type Context, ErrorCode, GreengageError, Lifecycle, monotonicMs, Verdict } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { TableState } from "@greengage/table";
import { DEFAULT_QUEUE_LIMITS, GroupAdmission, type QueueLimits } from "./admission.ts";
import { Cancellation } from "./cancellation.ts";
import { Pools } from "./connectionpools.ts";
import { Generation } from "./generation.ts";
import { GroupLoads } from "./grouploads.ts";
import { GroupSelector } from "./groupselector.ts";
import { OrganisationLimits } from "./organisationlimits.ts";
import { RetryBudget } from "./retrybudget.ts";
import { ServiceCalls } from "./servicecalls.ts";
import { StallWatch } from "./stalldetector.ts";
import type { StrategyName } from "./strategies.ts";
import { DEFAULT_STREAM_LIMITS, type StreamLimits } from "./streamattempt.ts";
import type { Dispatcher, EventSink, GenerateRequest, ServiceCall, ServiceResponse } from "./types.ts";

const IDLE_CHECK_MS = 10_000;
const METRICS_MS = 1_000;

export interface BackendDispatcherOptions {
    context: Context;
    directory: GroupDirectory;
    table: Pick<TableState, "organisation" | "service">;
    /** Key that backend servers expect with requests. */
    backendKey: string;
    /** Daemons that take requests, for limits without shares. Default: those that hold grants of the own zone. */
    knownDaemonCount?: number;
    /** Default: `twoChoices`. */
    strategy?: StrategyName;
    /** Default: true. */
    affinity?: boolean;
    /** False serves requests in the order of arrival. Default: true. */
    isFair?: boolean;
    streamLimits?: Partial<StreamLimits>;
    queueLimits?: Partial<QueueLimits>;
}

/** Sends requests to backend servers over HTTP. */
export class BackendDispatcher implements Dispatcher {
    readonly #options: BackendDispatcherOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #pools = new Pools();
    readonly #budget = new RetryBudget();
    readonly #loads = new GroupLoads();
    readonly #watch = new StallWatch(this.#lifecycle);
    readonly #streamLimits: StreamLimits;
    readonly #limits: OrganisationLimits;
    readonly #chooser: GroupSelector;
    readonly #admission: GroupAdmission;
    readonly #services: ServiceCalls;

    constructor(options: BackendDispatcherOptions) {
        this.#options = options;
        const { context, directory, table, backendKey } = options;
        const { strategy, affinity, isFair, knownDaemonCount } = options;
        this.#streamLimits = { ...DEFAULT_STREAM_LIMITS, ...options.streamLimits };
        const daemonCount = (): number => knownDaemonCount ?? directory.daemonCount(context.zone);
        this.#limits = new OrganisationLimits({
            share: (organisation) => directory.share(organisation),
            limit: (organisation) => table.organisation(organisation),
            daemonCount,
        });
        directory.setDemandSource(() => this.#limits.demand());
        this.#chooser = new GroupSelector({ loads: this.#loads, zone: context.zone, strategy, affinity });
        const limits = { ...DEFAULT_QUEUE_LIMITS, ...options.queueLimits };
        this.#admission = new GroupAdmission({
            directory,
            loads: this.#loads,
            chooser: this.#chooser,
            limits,
            isFair,
        });
        this.#services = new ServiceCalls({
            context,
            directory,
            budget: this.#budget,
            pools: this.#pools,
            backendKey,
            limitOf: (service) =>
                Math.max(1, Math.floor((table.service(service)?.maxConcurrent ?? 1) / daemonCount())),
        });
        directory.setInFlightSource(() => [...this.#loads.counts(), ...this.#services.counts()]);
        this.#lifecycle.onClose(() => this.#pools.close());
        this.#lifecycle.onClose(() => this.#admission.close());
        this.#lifecycle.every(IDLE_CHECK_MS, () => this.#pools.closeIdle(monotonicMs()), () => undefined);
        this.#lifecycle.every(METRICS_MS, () => this.#report(), () => undefined);
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    admit(organisation: string): () => void {
        return this.#limits.admit(organisation);
    }

    async generate(request: GenerateRequest, sink: EventSink, signal: AbortSignal): Promise<void> {
        const release = this.admit(request.organisation);
        this.#budget.countRequest(monotonicMs());
        const cancellation = new Cancellation(signal, request.deadlineAtMs);
        try {
            const row = this.#options.table.organisation(request.organisation);
            const party = {
                organisation: request.organisation,
                weight: row?.weight ?? 1,
                priority: row?.priority ?? 5,
            };
            const parts = {
                context: this.#options.context,
                directory: this.#options.directory,
                admission: this.#admission,
                chooser: this.#chooser,
                loads: this.#loads,
                budget: this.#budget,
                pools: this.#pools,
                watch: this.#watch,
                limits: this.#streamLimits,
                backendKey: this.#options.backendKey,
            };
            await new Generation(parts, request, party, sink, cancellation).run();
        }
        finally {
            cancellation.close();
            release();
        }
    }

    async callService(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
        // The caller of a non-idempotent call has admitted it before it recorded the intent.
        const release = call.nonIdempotent ? () => undefined : this.admit(call.organisation);
        this.#budget.countRequest(monotonicMs());
        const cancellation = new Cancellation(signal, call.deadlineAtMs);
        try {
            if (cancellation.kind !== undefined) {
                throw new GreengageError("the call ended before it was sent", {
                    code: ErrorCode.Timeout,
                    verdict: Verdict.NotRun,
                });
            }
            return await this.#services.run(call, cancellation);
        }
        finally {
            cancellation.close();
            release();
        }
    }

    #report(): void {
        this.#options.context.metrics.gauge("generation.waiting", this.#admission.waitingCount);
    }
}
