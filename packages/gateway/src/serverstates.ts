import type { FleetView, ServerTarget } from "@greengage/protocol";
import type { ReportedLoad } from "./types.ts";

/** Weight of the latest outcome in the moving average of failures. */
const FAILURE_SHARE_SMOOTHING = 0.25;
/** A server with a higher share of failures gets requests only if the others are no better. */
const FAILING_THRESHOLD = 0.6;
/** A failing server is tried again after this time without a request. */
const FAILING_RETRY_INTERVAL_MS = 2_000;
const LOAD_REPORT_LIFETIME_MS = 1_000;
/** Cost added to a server of another zone, in units of its relative load. */
const OTHER_ZONE_COST = 0.3;

/** This daemon's view of a server of a plain service. */
export class ServerState {
    readonly target: ServerTarget;
    #inFlight = 0;
    #failureShare = 0;
    #lastRequestAtMs = -Infinity;
    #reportedLoad: { load: ReportedLoad; atMs: number; } | undefined;

    constructor(target: ServerTarget) {
        this.target = target;
    }

    begin(nowMs: number): void {
        this.#inFlight += 1;
        this.#lastRequestAtMs = nowMs;
    }

    end(hasFailed: boolean): void {
        this.#inFlight -= 1;
        this.#failureShare += FAILURE_SHARE_SMOOTHING * (Number(hasFailed) - this.#failureShare);
    }

    recordLoad(load: ReportedLoad, nowMs: number): void {
        this.#reportedLoad = { load, atMs: nowMs };
    }

    /** Cost of sending another request to this server; the server with the lowest cost is selected. */
    cost(zone: string, nowMs: number): number {
        const reported = this.#reportedLoad;
        const isFresh = reported !== undefined && nowMs - reported.atMs < LOAD_REPORT_LIFETIME_MS;
        const running = isFresh ? reported.load.runningCount + reported.load.waitingCount : 0;
        const load = Math.max(this.#inFlight, running) / Math.max(1, this.target.slotCount);
        const isFailing = this.#failureShare > FAILING_THRESHOLD
            && nowMs - this.#lastRequestAtMs < FAILING_RETRY_INTERVAL_MS;
        return load + this.#failureShare + (isFailing ? 10 : 0)
            + (this.target.zone === zone ? 0 : OTHER_ZONE_COST);
    }
}

/** States of all servers of plain services in the latest fleet view. */
export class ServerStates {
    readonly #states = new Map<string, ServerState>();

    applyView(view: FleetView): void {
        const ids = new Set(view.servers.map((server) => server.serverId));
        for (const id of this.#states.keys()) {
            if (!ids.has(id)) {
                this.#states.delete(id);
            }
        }
        for (const target of view.servers) {
            const known = this.#states.get(target.serverId);
            if (known === undefined || !isSameProcess(known.target, target)) {
                this.#states.set(target.serverId, new ServerState(target));
            }
        }
    }

    /** Servers of a service in order of their cost, except those already tried. */
    ranked(service: string, zone: string, triedIds: ReadonlySet<string>, nowMs: number): ServerState[] {
        return [...this.#states.values()]
            .filter(({ target }) => target.service === service && !triedIds.has(target.serverId))
            .map((state) => ({ state, cost: state.cost(zone, nowMs) }))
            .sort((a, b) => a.cost - b.cost)
            .map(({ state }) => state);
    }
}

const isSameProcess = (known: ServerTarget, target: ServerTarget): boolean =>
    known.address === target.address && known.bornMs === target.bornMs;
