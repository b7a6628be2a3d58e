import {
    ByteBuffer,
    type Context,
    ErrorCode,
    GreengageError,
    Invariant,
    monotonicMs,
    PieceCounter,
    sleep,
    Verdict,
} from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { ServiceView } from "@greengage/protocol";
import type { Dispatcher as HttpDispatcher } from "undici";
import { limitOf } from "./backendheaders.ts";
import type { Cancellation } from "./cancellation.ts";
import type { ConnectionPools } from "./connectionpools.ts";
import {
    type BlamedRequest,
    blamedRequestOf,
    CRASH_FAILURES,
    type CrashBlame,
    type UnservedProgress,
} from "./crashblame.ts";
import { Exchange } from "./exchange.ts";
import { type ExchangeError, FailureKind, noCapacity } from "./failures.ts";
import { MAX_PERMIT_WAIT_MS, type RequestLimits } from "./requestlimits.ts";
import type { RetryBudget } from "./retrybudget.ts";
import type { ServiceCall, ServiceResponse } from "./types.ts";

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

export interface ServiceCallsOptions {
    context: Context;
    directory: Pick<GroupDirectory, "services" | "daemonCount">;
    budget: RetryBudget;
    pools: ConnectionPools;
    requestLimits: RequestLimits;
    blame: CrashBlame;
    backendKey: string;
    /** Maximum concurrent calls of a service on this daemon: its share of the table row's `maxConcurrent`. */
    limitOf: (service: string) => number;
}

/** A call with its attempts so far. */
interface CallState {
    call: ServiceCall;
    blamed: BlamedRequest;
    /** Whether the call finds out if its content still crashes servers. */
    isTrial: boolean;
    writeCount: number;
}

/** Calls backend servers of plain services, that is, services without a model. */
export class ServiceCalls {
    readonly #options: ServiceCallsOptions;
    readonly #inFlightByServer = new Map<string, number>();
    readonly #inFlightByService = new Map<string, number>();
    #rotation = 0;

    constructor(options: ServiceCallsOptions) {
        this.#options = options;
    }

    /** Calls in flight, by VM id of the backend server. */
    counts(): { id: string; count: number; }[] {
        return [...this.#inFlightByServer].map(([id, count]) => ({ id, count }));
    }

    /** Resolves with a response of any status. Throws a GreengageError whose verdict covers all attempts. */
    async run(call: ServiceCall, cancellation: Cancellation): Promise<ServiceResponse> {
        const { service, organisation, method, path, body } = call;
        const blamed = blamedRequestOf(`service/${service}`, { organisation, method, target: path, body });
        const isTrial = await this.#options.blame.admit(blamed);
        const runningCount = this.#inFlightByService.get(service) ?? 0;
        if (runningCount >= this.#options.limitOf(service)) {
            throw noCapacity(
                `this daemon already runs ${runningCount} calls of service ${service}`,
                RETRY_AFTER_MS,
            );
        }
        this.#inFlightByService.set(service, runningCount + 1);
        try {
            return await this.#runAttempts({ call, blamed, isTrial, writeCount: 0 }, cancellation);
        }
        finally {
            this.#inFlightByService.set(service, (this.#inFlightByService.get(service) ?? 1) - 1);
        }
    }

    async #runAttempts(state: CallState, cancellation: Cancellation): Promise<ServiceResponse> {
        const { blame } = this.#options;
        const { call, blamed } = state;
        const tried = new Set<string>();
        let mayHaveRun = false;
        for (let attempt = 1;; attempt += 1) {
            const server = await this.#selectPermittedServer(call, tried, mayHaveRun);
            const progress = { hasHead: false };
            tried.add(server.vmId);
            try {
                const response = await this.#runExchange(state, server, progress, cancellation);
                blame.recordComplete(blamed);
                return response;
            }
            catch (thrown) {
                const error = thrown as ExchangeError;
                mayHaveRun ||= error.verdict !== Verdict.NotRun;
                const mayRepeat = await this.#recordFailure({ blamed, server, progress, error });
                if (!mayHaveRun && !state.isTrial) {
                    // The content can be quarantined before the call is sent.
                    state.isTrial = await blame.admit(blamed);
                }
                if (
                    !mayRepeat || (mayHaveRun && (state.isTrial || blame.isQuarantined(blamed)))
                    || !this.#mayRetry(call, error, attempt, cancellation)
                ) {
                    throw withVerdict(error, mayHaveRun);
                }
            }
        }
    }

    /** Resolves to whether the call may be sent to another server. */
    async #recordFailure({ blamed, server, progress, error }: {
        blamed: BlamedRequest;
        server: ServiceView;
        progress: UnservedProgress;
        error: ExchangeError;
    }): Promise<boolean> {
        if (error.verdict === Verdict.NotRun || !CRASH_FAILURES.has(error.kind)) {
            return true;
        }
        const target = { id: server.vmId, incarnation: server.incarnationId };
        return await this.#options.blame.recordFailure(blamed, target, progress);
    }

    #mayRetry(call: ServiceCall, error: ExchangeError, attempt: number, cancellation: Cancellation): boolean {
        const { budget } = this.#options;
        if (!error.rule.isRetryable || attempt >= MAX_ATTEMPTS || cancellation.kind !== undefined) {
            return false;
        }
        if (call.nonIdempotent) {
            return error.verdict === Verdict.NotRun && call.mayStillSend?.() !== false;
        }
        return budget.takeRetry(monotonicMs());
    }

    /** Selects a server that takes the call now. Waits for a limited one only if there is no other. */
    async #selectPermittedServer(
        { service, deadlineAtMs }: ServiceCall,
        tried: ReadonlySet<string>,
        mayHaveRun: boolean,
    ): Promise<ServiceView> {
        const limited = new Set<string>();
        for (;;) {
            const server = this.#selectServer(service, new Set([...tried, ...limited]), mayHaveRun);
            const isOnlyLimited = limited.has(server.vmId);
            const { isGranted, delayMs } = await this.#options.requestLimits.acquire({
                placementKey: server.zone,
                serverId: server.vmId,
                priority: 0,
            }, isOnlyLimited ? Math.min(MAX_PERMIT_WAIT_MS, deadlineAtMs - monotonicMs()) : 0);
            if (isGranted) {
                if (delayMs > 0) {
                    await sleep(delayMs);
                }
                return server;
            }
            if (isOnlyLimited) {
                const error = noCapacity(
                    `all servers of service ${service} are at the limits that they name`,
                    delayMs,
                );
                throw withVerdict(error, mayHaveRun);
            }
            limited.add(server.vmId);
        }
    }

    /** Selects the backend server with the fewest calls of this daemon among those with spare capacity. */
    #selectServer(service: string, tried: ReadonlySet<string>, mayHaveRun: boolean): ServiceView {
        const { directory } = this.#options;
        const servers = directory.services(service);
        const untried = servers.filter((server) => !tried.has(server.vmId));
        const free = (untried.length > 0 ? untried : servers).filter((server) =>
            this.#inFlightAt(server)
                < Math.max(1, Math.floor(server.maxConcurrent / directory.daemonCount(server.zone)))
        );
        this.#rotation += 1;
        const start = this.#rotation % Math.max(1, free.length);
        const rotated = [...free.slice(start), ...free.slice(0, start)];
        const [first, ...others] = rotated;
        if (first === undefined) {
            const reason = servers.length > 0 ? "has capacity for" : "offers";
            throw withVerdict(
                noCapacity(`no backend server ${reason} service ${service}`, RETRY_AFTER_MS),
                mayHaveRun,
            );
        }
        return others.reduce(
            (best, server) => this.#inFlightAt(server) < this.#inFlightAt(best) ? server : best,
            first,
        );
    }

    #inFlightAt(server: ServiceView): number {
        return this.#inFlightByServer.get(server.vmId) ?? 0;
    }

    async #runExchange(
        state: CallState,
        server: ServiceView,
        progress: UnservedProgress,
        cancellation: Cancellation,
    ): Promise<ServiceResponse> {
        const { pools } = this.#options;
        const url = new URL(server.url);
        const singleUseClient = state.call.nonIdempotent ? pools.createSingleUse(url.origin) : undefined;
        this.#inFlightByServer.set(server.vmId, this.#inFlightAt(server) + 1);
        try {
            const client = singleUseClient ?? pools.get(url.origin, monotonicMs());
            return await this.#startExchange(state, { server, client, progress }, cancellation);
        }
        finally {
            this.#inFlightByServer.set(server.vmId, this.#inFlightAt(server) - 1);
            if (this.#inFlightAt(server) === 0) {
                this.#inFlightByServer.delete(server.vmId);
            }
            void singleUseClient?.destroy();
        }
    }

    #startExchange(
        state: CallState,
        { server, client, progress }: {
            server: ServiceView;
            client: HttpDispatcher;
            progress: UnservedProgress;
        },
        cancellation: Cancellation,
    ): Promise<ServiceResponse> {
        const { requestLimits, blame } = this.#options;
        const { call, blamed } = state;
        const received = new ByteBuffer(MAX_RESPONSE_BYTES);
        return new Promise<ServiceResponse>((resolve, reject) => {
            const pieces = new PieceCounter();
            let sentAtMs = Infinity;
            let status = 0;
            let contentType = "application/octet-stream";
            const exchange = new Exchange({
                client,
                name: `backend server ${server.vmId}`,
                method: call.method,
                path: call.path,
                headers: {
                    ...call.headers,
                    authorization: `Bearer ${this.#options.backendKey}`,
                    "x-deadline-ms": String(Math.max(0, Math.round(call.deadlineAtMs - monotonicMs()))),
                },
                body: call.body,
                requestId: call.requestId,
                mayWrite: () => {
                    const isAllowed = this.#isAvailable(server) && call.mayStillSend?.() !== false
                        && (state.isTrial || !blame.isQuarantined(blamed));
                    if (isAllowed) {
                        sentAtMs = monotonicMs();
                        this.#recordWrite(state);
                    }
                    return isAllowed;
                },
                onHead: (receivedStatus, headers) => {
                    progress.hasHead = true;
                    requestLimits.observe({
                        serverId: server.vmId,
                        limit: limitOf(receivedStatus, headers),
                        sentAtMs,
                        receivedAtMs: monotonicMs(),
                    });
                    status = receivedStatus;
                    contentType = String(headers["content-type"] ?? contentType);
                },
                onBody: (chunk) => {
                    if (!pieces.add(chunk.length) || received.append(chunk) !== undefined) {
                        exchange.fail(
                            FailureKind.Broken,
                            "sent a response that is too large, or in too many small pieces",
                        );
                    }
                },
                onEnd: () =>
                    resolve({
                        status,
                        headers: { "content-type": contentType },
                        body: new Uint8Array(received.bytes),
                        verdict: Verdict.Ran,
                    }),
                onFailure: reject,
            });
            cancellation.setListener((kind) => exchange.fail(kind, `the call ended: ${kind}`));
            exchange.start();
        }).finally(() => received.clear());
    }

    #recordWrite(state: CallState): void {
        const { call } = state;
        state.writeCount += 1;
        this.#options.context.invariants.check(
            Invariant.ActionAtMostOnce,
            !call.nonIdempotent || state.writeCount === 1,
            () => `call ${call.requestId} was sent ${state.writeCount} times`,
        );
    }

    #isAvailable(server: ServiceView): boolean {
        return this.#options.directory.services(server.service).some((candidate) =>
            candidate.vmId === server.vmId && candidate.incarnationId === server.incarnationId
        );
    }
}

const withVerdict = (error: GreengageError, mayHaveRun: boolean): GreengageError => {
    if (!mayHaveRun || error.verdict !== Verdict.NotRun) {
        return error;
    }
    const code = error.code === ErrorCode.NoCapacity ? ErrorCode.BackendFailed : error.code;
    return new GreengageError(error.message, { code, verdict: Verdict.MayHaveRun, cause: error });
};
