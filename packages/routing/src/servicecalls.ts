import { type Context, ErrorCode, GreengageError, Invariant, monotonicMs, Verdict } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { ServiceView } from "@greengage/protocol";
import type { Dispatcher as HttpDispatcher } from "undici";
import type { Cancellation } from "./cancellation.ts";
import type { Pools } from "./connectionpools.ts";
import { Exchange } from "./exchange.ts";
import { type ExchangeError, FailureKind, noCapacity } from "./failures.ts";
import type { RetryBudget } from "./retrybudget.ts";
import type { ServiceCall, ServiceResponse } from "./types.ts";

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

export interface ServiceCallsOptions {
    context: Context;
    directory: Pick<GroupDirectory, "services" | "daemonCount">;
    budget: RetryBudget;
    pools: Pools;
    backendKey: string;
    /** Calls of a service that this daemon may run at once: its part of the row's `maxConcurrent`. */
    limitOf: (service: string) => number;
}

/** Calls backend servers of plain services. */
export class ServiceCalls {
    readonly #options: ServiceCallsOptions;
    readonly #inFlight = new Map<string, number>();
    readonly #running = new Map<string, number>();
    #turn = 0;

    constructor(options: ServiceCallsOptions) {
        this.#options = options;
    }

    /** Calls in flight by VM id of the backend server. */
    counts(): { id: string; count: number; }[] {
        return [...this.#inFlight].map(([id, count]) => ({ id, count }));
    }

    /** An answer with any status counts as run. Throws a GreengageError whose verdict covers all attempts. */
    async run(call: ServiceCall, cancellation: Cancellation): Promise<ServiceResponse> {
        const { service } = call;
        const running = this.#running.get(service) ?? 0;
        if (running >= this.#options.limitOf(service)) {
            throw noCapacity(
                `this daemon already runs ${running} calls of service ${service}`,
                RETRY_AFTER_MS,
            );
        }
        this.#running.set(service, running + 1);
        try {
            return await this.#runAttempts(call, cancellation);
        }
        finally {
            this.#running.set(service, (this.#running.get(service) ?? 1) - 1);
        }
    }

    async #runAttempts(call: ServiceCall, cancellation: Cancellation): Promise<ServiceResponse> {
        const tried = new Set<string>();
        let mayHaveRun = false;
        let writeCount = 0;
        const onWrite = (): void => {
            writeCount += 1;
            this.#options.context.invariants.check(
                Invariant.ActionAtMostOnce,
                !call.nonIdempotent || writeCount === 1,
                () => `call ${call.requestId} is written ${writeCount} times`,
            );
        };
        for (let attempt = 1;; attempt += 1) {
            const server = this.#choose(call.service, tried, mayHaveRun);
            tried.add(server.vmId);
            try {
                return await this.#exchange(call, server, cancellation, onWrite);
            }
            catch (thrown) {
                const error = thrown as ExchangeError;
                mayHaveRun ||= error.verdict !== Verdict.NotRun;
                if (!this.#mayRetry(call, error, attempt, cancellation)) {
                    throw withVerdict(error, mayHaveRun);
                }
            }
        }
    }

    #mayRetry(call: ServiceCall, error: ExchangeError, attempt: number, cancellation: Cancellation): boolean {
        const { budget } = this.#options;
        if (!error.rule.isRetried || attempt >= MAX_ATTEMPTS || cancellation.kind !== undefined) {
            return false;
        }
        if (call.nonIdempotent) {
            return error.verdict === Verdict.NotRun && call.mayStillSend?.() !== false;
        }
        return budget.takeRetry(monotonicMs());
    }

    /** The backend server with the fewest calls of this daemon, among those with room. */
    #choose(service: string, tried: ReadonlySet<string>, mayHaveRun: boolean): ServiceView {
        const { directory } = this.#options;
        const known = directory.services(service);
        const untried = known.filter((server) => !tried.has(server.vmId));
        const free = (untried.length > 0 ? untried : known).filter((server) =>
            this.#count(server)
                < Math.max(1, Math.floor(server.maxConcurrent / directory.daemonCount(server.zone)))
        );
        this.#turn += 1;
        const start = this.#turn % Math.max(1, free.length);
        const rotated = [...free.slice(start), ...free.slice(0, start)];
        const [first, ...others] = rotated;
        if (first === undefined) {
            const reason = known.length > 0 ? "has room for" : "offers";
            throw withVerdict(
                noCapacity(`no backend server ${reason} service ${service}`, RETRY_AFTER_MS),
                mayHaveRun,
            );
        }
        return others.reduce(
            (best, server) => this.#count(server) < this.#count(best) ? server : best,
            first,
        );
    }

    #count(server: ServiceView): number {
        return this.#inFlight.get(server.vmId) ?? 0;
    }

    async #exchange(
        call: ServiceCall,
        server: ServiceView,
        cancellation: Cancellation,
        onWrite: () => void,
    ): Promise<ServiceResponse> {
        const { pools } = this.#options;
        const url = new URL(server.url);
        const single = call.nonIdempotent ? pools.single(url.origin) : undefined;
        this.#inFlight.set(server.vmId, this.#count(server) + 1);
        try {
            const client = single ?? pools.get(url.origin, monotonicMs());
            return await this.#send(call, server, client, cancellation, onWrite);
        }
        finally {
            this.#inFlight.set(server.vmId, this.#count(server) - 1);
            if (this.#count(server) === 0) {
                this.#inFlight.delete(server.vmId);
            }
            void single?.destroy();
        }
    }

    #send(
        call: ServiceCall,
        server: ServiceView,
        client: HttpDispatcher,
        cancellation: Cancellation,
        onWrite: () => void,
    ): Promise<ServiceResponse> {
        return new Promise((resolve, reject) => {
            const chunks: Buffer[] = [];
            let sizeBytes = 0;
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
                    const isAllowed = this.#isAvailable(server) && call.mayStillSend?.() !== false;
                    if (isAllowed) {
                        onWrite();
                    }
                    return isAllowed;
                },
                onHead: (received, headers) => {
                    status = received;
                    contentType = String(headers["content-type"] ?? contentType);
                },
                onBody: (chunk) => {
                    chunks.push(chunk);
                    sizeBytes += chunk.length;
                    if (sizeBytes > MAX_ANSWER_BYTES) {
                        exchange.fail(FailureKind.Broken, "sent an answer that is too large");
                    }
                },
                onEnd: () =>
                    resolve({
                        status,
                        headers: { "content-type": contentType },
                        body: new Uint8Array(Buffer.concat(chunks)),
                        verdict: Verdict.Ran,
                    }),
                onFailure: reject,
            });
            cancellation.listen((kind) => exchange.fail(kind, `the call ended: ${kind}`));
            exchange.start();
        });
    }

    #isAvailable(server: ServiceView): boolean {
        return this.#options.directory.services(server.service).some((known) =>
            known.vmId === server.vmId && known.incarnationId === server.incarnationId
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
