import { monotonicMs } from "@greengage/base";
import { admissionLimitMs } from "./admission.ts";
import { type Call, isCallerRetry, remainingMs } from "./call.ts";
import { placementKeyOf } from "./controllers.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import { incarnationOf, waitForReturn } from "./serversignals.ts";
import type { ServerState } from "./serverstates.ts";

/** Server selected for one attempt, or why there is none. */
export type ServerSelection =
    | { kind: "server"; server: ServerState; startDelayMs: number; }
    | { kind: "none"; }
    /** All servers name limits that leave no room for the request. */
    | { kind: "limited"; retryAfterMs: number; }
    /** All servers pause for longer than the request can wait; `retryAfterMs` is spread over the callers. */
    | { kind: "paused"; retryAfterMs: number; };

/** Selects servers of a plain service for the attempts of one request. */
export class ServerSelector {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;
    #hasWaitedForReturn = false;

    constructor(deps: GatewayDependencies, call: Call) {
        this.#deps = deps;
        this.#call = call;
    }

    /** Servers that have not been tried and may get requests, in order of preference; those that leave come last. */
    candidates(triedIds: ReadonlySet<string>): ServerState[] {
        const { serverHolds } = this.#deps;
        const nowMs = monotonicMs();
        const isLeaving = ({ target }: ServerState): boolean => serverHolds.isLeaving(incarnationOf(target));
        return this.#servers(triedIds)
            .filter(({ target }) => !serverHolds.isHeld(incarnationOf(target), nowMs))
            .sort((a, b) => Number(isLeaving(a)) - Number(isLeaving(b)));
    }

    #servers(triedIds: ReadonlySet<string>): ServerState[] {
        const { servers, context } = this.#deps;
        return servers.ranked(this.#call.service.name, context.zone, triedIds, monotonicMs());
    }

    /** Selects the first candidate that may get a request now. Only if there is none, the request waits for a limited one. */
    async select(triedIds: ReadonlySet<string>, isRetry: boolean): Promise<ServerSelection> {
        const candidates = this.candidates(triedIds);
        let soonest: { server: ServerState; delayMs: number; } | undefined;
        for (const server of candidates) {
            const { isGranted, delayMs } = await this.#acquire(server, 0);
            if (isGranted) {
                return { kind: "server", server, startDelayMs: 0 };
            }
            if (soonest === undefined || delayMs < soonest.delayMs) {
                soonest = { server, delayMs };
            }
        }
        return soonest === undefined
            ? await this.#waitForReturn(triedIds, isRetry)
            : await this.#waitFor(soonest.server, isRetry);
    }

    async #waitForReturn(triedIds: ReadonlySet<string>, isRetry: boolean): Promise<ServerSelection> {
        const servers = this.#servers(new Set()).map(({ target }) => incarnationOf(target));
        const wait = await waitForReturn(this.#deps, this.#call, servers, {
            isRetry: isRetry || isCallerRetry(this.#call),
            hasWaited: this.#hasWaitedForReturn,
        });
        this.#hasWaitedForReturn = true;
        if (wait.kind === "returned") {
            return await this.select(triedIds, isRetry);
        }
        return wait.kind === "tooLate"
            ? { kind: "paused", retryAfterMs: wait.retryAfterMs }
            : { kind: "none" };
    }

    async #waitFor(server: ServerState, isRetry: boolean): Promise<ServerSelection> {
        const { request, route } = this.#call;
        const limitMs = admissionLimitMs({
            elapsedMs: monotonicMs() - request.receivedAtMs,
            targetMs: route.targetMs,
            remainingMs: remainingMs(this.#call),
            isRetry: isRetry || isCallerRetry(this.#call),
        });
        const { isGranted, delayMs } = await this.#acquire(server, limitMs);
        return isGranted
            ? { kind: "server", server, startDelayMs: delayMs }
            : { kind: "limited", retryAfterMs: delayMs };
    }

    async #acquire(
        { target: { serverId } }: ServerState,
        maxDelayMs: number,
    ): Promise<{ isGranted: boolean; delayMs: number; }> {
        const { service, priority } = this.#call;
        const query = { placementKey: placementKeyOf(service.name), serverId, priority };
        return await this.#deps.requestLimits.acquire(query, maxDelayMs);
    }
}
