import { type GreengageError, monotonicMs } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { noCapacity } from "@greengage/routing";
import { Attempt, type AttemptOutcome, leftMs } from "./attempt.ts";
import { backendError, type Call, CallRun, remainingMs } from "./call.ts";
import type { GatewayParts } from "./dependencies.ts";
import type { ServerState } from "./serverstates.ts";

const MIN_RETRY_MS = 60;
/** Return of a caller for whose request no server has a place. */
const BUSY_RETRY_MS = 300;

/** A request to a plain backend server. */
export class ServerCall {
    readonly #parts: GatewayParts;
    readonly #call: Call;
    readonly #run: CallRun;
    readonly #triedIds = new Set<string>();

    constructor(parts: GatewayParts, call: Call) {
        this.#parts = parts;
        this.#call = call;
        this.#run = new CallRun(parts, call);
    }

    run(): Promise<void> {
        return this.#run.run(() => this.#runAttempts());
    }

    async #runAttempts(): Promise<void> {
        let reason = "no server of the service is known";
        while (this.#run.endReason === undefined) {
            const server = this.#choose();
            if (server === undefined) {
                throw this.#giveUp(reason);
            }
            if (!this.#run.takeAttempt()) {
                throw this.#giveUp(`${reason}; the budget for retries is spent`);
            }
            const outcome = await this.#runAt(server);
            if (this.#run.endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#finish(outcome)) {
                return;
            }
            reason = outcome.kind === "complete" ? `answered ${outcome.head.status}` : outcome.reason;
            this.#run.record("request.attemptFailed", {
                server: server.target.serverId,
                outcome: outcome.kind,
                reason,
            });
            if (!this.#canTryAgain(outcome)) {
                throw this.#giveUp(reason);
            }
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
        this.#run.attemptCount += 1;
        this.#run.record("request.placed", { server: serverId, attempt: this.#run.attemptCount });
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
                this.#run.mayHaveRun = true;
                return true;
            },
            onHead: (head) => {
                if (head.load !== undefined) {
                    server.report(head.load, monotonicMs());
                }
            },
        });
        server.begin(nowMs);
        this.#run.attempt = attempt;
        const outcome = await attempt.run();
        this.#run.attempt = undefined;
        if (single !== undefined) {
            void single.destroy();
        }
        server.end(outcome.kind !== "complete" || outcome.head.status >= 500);
        if (outcome.kind === "notRun") {
            this.#run.mayHaveRun = false;
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
        this.#run.record("request.answered", { status: head.status, attempts: this.#run.attemptCount });
        return true;
    }

    #mayRepeat(): boolean {
        return this.#run.attemptCount < this.#call.route.maxAttempts && remainingMs(this.#call) > MIN_RETRY_MS
            && this.#choose() !== undefined;
    }

    #canTryAgain(outcome: AttemptOutcome): boolean {
        const isAllowed = outcome.kind === "notRun" || this.#call.route.kind === RouteKind.Safe;
        return isAllowed && this.#mayRepeat() && !this.#call.response.isClosed;
    }

    #giveUp(reason: string): GreengageError {
        return this.#run.mayHaveRun
            ? backendError(reason)
            : noCapacity(reason, Math.round(BUSY_RETRY_MS * (0.5 + this.#parts.random.fraction())));
    }
}
