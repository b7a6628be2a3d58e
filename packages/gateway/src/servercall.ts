import { GreengageError, monotonicMs, Verdict } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { FailureKind, noCapacity } from "@greengage/routing";
import { Attempt, type AttemptOutcome, leftMs } from "./attempt.ts";
import { backendError, type Call, remainingMs, timeoutError, watchDeadline } from "./call.ts";
import type { GatewayParts } from "./deps.ts";
import type { ServerState } from "./servers.ts";

const MIN_RETRY_MS = 60;
/** Return of a caller for whose request no server has a place. */
const BUSY_RETRY_MS = 300;

/** A request to a plain backend server. */
export class ServerCall {
    readonly #parts: GatewayParts;
    readonly #call: Call;
    readonly #triedIds = new Set<string>();
    #attempt: Attempt | undefined;
    #attemptCount = 0;
    #mayHaveRun = false;
    #endReason: "closed" | "deadline" | undefined;

    constructor(parts: GatewayParts, call: Call) {
        this.#parts = parts;
        this.#call = call;
    }

    async run(): Promise<void> {
        this.#call.response.onClosed(() => this.#stop("closed", FailureKind.Cancelled));
        const cancelDeadline = watchDeadline(this.#call, () => this.#stop("deadline", FailureKind.Deadline));
        try {
            await this.#runAttempts();
        }
        catch (error) {
            this.#fail(error);
        }
        finally {
            cancelDeadline();
        }
    }

    async #runAttempts(): Promise<void> {
        let reason = "no server of the service is known";
        while (this.#endReason === undefined) {
            const server = this.#choose();
            if (server === undefined) {
                throw this.#giveUp(reason);
            }
            if (this.#attemptCount > 0 && !this.#parts.budget.takeRetry(monotonicMs())) {
                throw this.#giveUp(`${reason}; the budget for retries is spent`);
            }
            const outcome = await this.#runAt(server);
            if (this.#endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#finish(outcome)) {
                return;
            }
            reason = outcome.kind === "complete" ? `answered ${outcome.head.status}` : outcome.reason;
            this.#record("request.attemptFailed", {
                server: server.target.serverId,
                outcome: outcome.kind,
                reason,
            });
            if (!this.#canTryAgain(outcome)) {
                throw this.#giveUp(reason);
            }
        }
        if (this.#endReason === "deadline") {
            throw timeoutError(this.#mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun);
        }
    }

    #choose(): ServerState | undefined {
        const { servers, context } = this.#parts;
        return servers.choose(this.#call.service.name, context.zone, this.#triedIds, monotonicMs());
    }

    async #runAt(server: ServerState): Promise<AttemptOutcome> {
        const { pools, dialect } = this.#parts;
        const { request, route, organisation, priority, deadlineAtMs } = this.#call;
        const { serverId, address } = server.target;
        const nowMs = monotonicMs();
        this.#triedIds.add(serverId);
        this.#attemptCount += 1;
        this.#record("request.placed", { server: serverId, attempt: this.#attemptCount });
        const isRepeatable = route.kind === RouteKind.Safe;
        const origin = `http://${address}`;
        const single = isRepeatable ? undefined : pools.single(origin);
        const attempt = new Attempt({
            client: single ?? pools.get(origin, nowMs),
            dialect,
            name: `server ${serverId}`,
            serverRequest: {
                request,
                serverId,
                deadlineMs: leftMs(deadlineAtMs),
                organisation: organisation?.name,
                priority,
                lastEventId: request.lastEventId,
            },
            closesConnection: !isRepeatable,
            mayWrite: () => {
                this.#mayHaveRun = true;
                return true;
            },
            onHead: (head) => {
                if (head.load !== undefined) {
                    server.report(head.load, monotonicMs());
                }
            },
        });
        server.begin(nowMs);
        this.#attempt = attempt;
        const outcome = await attempt.run();
        this.#attempt = undefined;
        if (single !== undefined) {
            void single.destroy();
        }
        server.end(outcome.kind !== "complete" || outcome.head.status >= 500);
        if (outcome.kind === "notRun") {
            this.#mayHaveRun = false;
        }
        return outcome;
    }

    /** Gives a complete answer to the caller. Returns false when another server may do better. */
    #finish({ head, body }: Extract<AttemptOutcome, { kind: "complete"; }>): boolean {
        const { response, route } = this.#call;
        if (head.status >= 500 && route.kind === RouteKind.Safe && this.#mayRepeat()) {
            return false;
        }
        response.send(head.status, head.headers, body);
        this.#record("request.answered", { status: head.status, attempts: this.#attemptCount });
        return true;
    }

    #mayRepeat(): boolean {
        return this.#attemptCount < this.#call.route.maxAttempts && remainingMs(this.#call) > MIN_RETRY_MS
            && this.#choose() !== undefined;
    }

    #canTryAgain(outcome: AttemptOutcome): boolean {
        const isAllowed = outcome.kind === "notRun" || this.#call.route.kind === RouteKind.Safe;
        return isAllowed && this.#mayRepeat() && !this.#call.response.isClosed;
    }

    #giveUp(reason: string): GreengageError {
        return this.#mayHaveRun
            ? backendError(reason)
            : noCapacity(reason, Math.round(BUSY_RETRY_MS * (0.5 + this.#parts.random.fraction())));
    }

    #stop(reason: "closed" | "deadline", kind: FailureKind): void {
        this.#endReason ??= reason;
        this.#attempt?.fail(kind, reason === "closed" ? "the caller has left" : "the time is over");
    }

    #fail(error: unknown): void {
        const failure = error instanceof GreengageError ? error : backendError(String(error));
        const { code, verdict, message, retryAfterMs } = failure;
        this.#record("request.failed", {
            code,
            verdict,
            reason: message,
            attempts: this.#attemptCount,
            retryAfterMs,
        });
        this.#parts.context.metrics.count("gateway.failed", 1, { code });
        this.#call.response.fail(failure);
    }

    #record(event: string, fields: Record<string, string | number | undefined>): void {
        const { request, route } = this.#call;
        this.#parts.context.decisions.record(event, {
            request: request.requestId,
            route: route.name,
            ageMs: Math.round(monotonicMs() - request.receivedAtMs),
            ...fields,
        });
    }
}
