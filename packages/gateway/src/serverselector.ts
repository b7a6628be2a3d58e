import { monotonicMs } from "@greengage/base";
import { admissionLimitMs } from "./admission.ts";
import { type Call, isCallerRetry, remainingMs } from "./call.ts";
import { placementKeyOf } from "./controllers.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import type { ServerState } from "./serverstates.ts";

/** Server selected for one attempt, or why there is none. */
export type ServerSelection =
    | { kind: "server"; server: ServerState; startDelayMs: number; }
    | { kind: "none"; }
    /** All servers name limits that leave no room for the request. */
    | { kind: "limited"; retryAfterMs: number; };

/** Selects servers of a plain service for the attempts of one request. */
export class ServerSelector {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;

    constructor(deps: GatewayDependencies, call: Call) {
        this.#deps = deps;
        this.#call = call;
    }

    /** Servers that have not been tried, in order of preference. */
    candidates(triedIds: ReadonlySet<string>): ServerState[] {
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
        return soonest === undefined ? { kind: "none" } : await this.#waitFor(soonest.server, isRetry);
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
