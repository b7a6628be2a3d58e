import type { FleetView, ServerTarget } from "@greengage/protocol";
import type { ReportedLoad } from "./types.ts";

/** Weight of the newest outcome in the share of failures. */
const FAILURE_WEIGHT = 0.25;
/** A server whose share of failures is above this gets requests only when the others do no better. */
const FAILING_SHARE = 0.6;
/** After this time without a request a failing server is tried again. */
const RETRY_FAILING_MS = 2_000;
const REPORT_LIFE_MS = 1_000;
/** Milliseconds that a server of another zone must be better by. */
const OTHER_ZONE_COST = 0.3;

/** A plain backend server at this daemon. */
export class ServerState {
    readonly target: ServerTarget;
    #inFlight = 0;
    #failureShare = 0;
    #usedAtMs = -Infinity;
    #reported: { load: ReportedLoad; atMs: number; } | undefined;

    constructor(target: ServerTarget) {
        this.target = target;
    }

    begin(nowMs: number): void {
        this.#inFlight += 1;
        this.#usedAtMs = nowMs;
    }

    end(hasFailed: boolean): void {
        this.#inFlight -= 1;
        this.#failureShare += FAILURE_WEIGHT * (Number(hasFailed) - this.#failureShare);
    }

    report(load: ReportedLoad, nowMs: number): void {
        this.#reported = { load, atMs: nowMs };
    }

    /** Cost of a further request; the lowest is chosen. */
    cost(zone: string, nowMs: number): number {
        const reported = this.#reported;
        const isFresh = reported !== undefined && nowMs - reported.atMs < REPORT_LIFE_MS;
        const running = isFresh ? reported.load.runningCount + reported.load.waitingCount : 0;
        const load = Math.max(this.#inFlight, running) / Math.max(1, this.target.slotCount);
        const isFailing = this.#failureShare > FAILING_SHARE && nowMs - this.#usedAtMs < RETRY_FAILING_MS;
        return load + this.#failureShare + (isFailing ? 10 : 0)
            + (this.target.zone === zone ? 0 : OTHER_ZONE_COST);
    }
}

/** All plain backend servers of the last view. */
export class ServerStates {
    readonly #states = new Map<string, ServerState>();

    take(view: FleetView): void {
        const ids = new Set(view.servers.map((server) => server.serverId));
        for (const id of this.#states.keys()) {
            if (!ids.has(id)) {
                this.#states.delete(id);
            }
        }
        for (const target of view.servers) {
            const known = this.#states.get(target.serverId);
            if (known === undefined || known.target.address !== target.address) {
                this.#states.set(target.serverId, new ServerState(target));
            }
        }
    }

    /** The server of a service with the lowest cost, without those that were tried already. */
    choose(
        service: string,
        zone: string,
        triedIds: ReadonlySet<string>,
        nowMs: number,
    ): ServerState | undefined {
        let best: ServerState | undefined;
        let bestCost = Infinity;
        for (const state of this.#states.values()) {
            if (state.target.service !== service || triedIds.has(state.target.serverId)) {
                continue;
            }
            const cost = state.cost(zone, nowMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = state;
            }
        }
        return best;
    }
}
