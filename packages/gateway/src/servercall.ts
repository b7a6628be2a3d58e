import { type GreengageError, monotonicMs } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { noCapacity } from "@greengage/routing";
import { Attempt, type AttemptOutcome, wholeMsUntil } from "./attempt.ts";
import { backendError, type Call, CallExecution, remainingMs } from "./call.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import type { ServerState } from "./serverstates.ts";

/** A request is not retried with less time than this left. */
const MIN_REMAINING_MS = 60;
/** Mean `retryAfterMs` of requests for which no server is available. */
const BUSY_RETRY_AFTER_MS = 300;

/** Handles a request to a plain service, that is, a service without a model engine. */
export class ServerCall {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;
    readonly #execution: CallExecution;
    readonly #triedIds = new Set<string>();

    constructor(deps: GatewayDependencies, call: Call) {
        this.#deps = deps;
        this.#call = call;
        this.#execution = new CallExecution(deps, call);
    }

    run(): Promise<void> {
        return this.#execution.run(() => this.#runAttempts());
    }

    async #runAttempts(): Promise<void> {
        let reason = "no server of the service is available";
        while (this.#execution.endReason === undefined) {
            const server = this.#selectServer();
            if (server === undefined) {
                throw this.#finalError(reason);
            }
            if (!this.#execution.reserveAttempt()) {
                throw this.#finalError(`${reason}; the retry budget is exhausted`);
            }
            const outcome = await this.#runAttempt(server);
            if (this.#execution.endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#deliverResponse(outcome)) {
                return;
            }
            reason = outcome.kind === "complete"
                ? `responded with status ${outcome.head.status}`
                : outcome.reason;
            this.#execution.record("request.attemptFailed", {
                server: server.target.serverId,
                outcome: outcome.kind,
                reason,
            });
            if (!this.#mayRetry(outcome)) {
                throw this.#finalError(reason);
            }
        }
    }

    #selectServer(): ServerState | undefined {
        const { servers, context } = this.#deps;
        return servers.select(this.#call.service.name, context.zone, this.#triedIds, monotonicMs());
    }

    async #runAttempt(server: ServerState): Promise<AttemptOutcome> {
        const { pools, dialect } = this.#deps;
        const { request, route, organisation, priority, deadlineAtMs } = this.#call;
        const { serverId, address } = server.target;
        const nowMs = monotonicMs();
        this.#triedIds.add(serverId);
        this.#execution.attemptCount += 1;
        this.#execution.record("request.placed", { server: serverId, attempt: this.#execution.attemptCount });
        const isSafe = route.kind === RouteKind.Safe;
        const origin = `http://${address}`;
        const mayHaveRunBefore = this.#execution.mayHaveRun;
        const singleUseClient = isSafe ? undefined : pools.createSingleUse(origin);
        const attempt = new Attempt({
            client: singleUseClient ?? pools.get(origin, nowMs),
            dialect,
            name: `server ${serverId}`,
            serverRequest: {
                request,
                serverId,
                deadlineMs: wholeMsUntil(deadlineAtMs),
                organisation: organisation?.name,
                priority,
                lastEventId: request.lastEventId,
            },
            closesConnection: !isSafe,
            mayWrite: () => {
                this.#execution.mayHaveRun = true;
                return true;
            },
            onHead: (head) => {
                if (head.load !== undefined) {
                    server.recordLoad(head.load, monotonicMs());
                }
            },
        });
        server.begin(nowMs);
        this.#execution.attempt = attempt;
        const outcome = await attempt.run();
        this.#execution.attempt = undefined;
        if (singleUseClient !== undefined) {
            void singleUseClient.destroy();
        }
        server.end(outcome.kind !== "complete" || outcome.head.status >= 500);
        if (outcome.kind === "notRun") {
            this.#execution.mayHaveRun = mayHaveRunBefore;
        }
        return outcome;
    }

    /** Sends a complete response to the caller. Returns false if the request should be retried instead. */
    #deliverResponse({ head, body }: Extract<AttemptOutcome, { kind: "complete"; }>): boolean {
        const { response, route } = this.#call;
        if (head.status >= 500 && route.kind === RouteKind.Safe && this.#hasAttemptsLeft()) {
            return false;
        }
        response.send(head.status, head.headers, body);
        this.#execution.record("request.answered", {
            status: head.status,
            attempts: this.#execution.attemptCount,
        });
        return true;
    }

    #hasAttemptsLeft(): boolean {
        return this.#execution.attemptCount < this.#call.route.maxAttempts
            && remainingMs(this.#call) > MIN_REMAINING_MS
            && this.#selectServer() !== undefined;
    }

    #mayRetry(outcome: AttemptOutcome): boolean {
        const isAllowed = outcome.kind === "notRun" || this.#call.route.kind === RouteKind.Safe;
        return isAllowed && this.#hasAttemptsLeft() && !this.#call.response.isClosed;
    }

    #finalError(reason: string): GreengageError {
        return this.#execution.mayHaveRun
            ? backendError(reason)
            : noCapacity(reason, Math.round(BUSY_RETRY_AFTER_MS * (0.5 + this.#deps.random.nextFloat())));
    }
}
