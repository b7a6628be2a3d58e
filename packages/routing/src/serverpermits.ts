import type { Context } from "@greengage/base";
import type { LimitPermitResponse } from "@greengage/protocol";
import type { ServerLimitTable } from "./serverlimits.ts";
import { TokenBucket } from "./tokenbucket.ts";

/** Capacity of the bucket of a server, as time at its rate. */
const BURST_MS = 1_000;
const MIN_BURST = 1;
const MAX_BURST = 3;
/** Permits are not given further ahead: callers leave after about two seconds, and the limit may have ended by then. */
const MAX_ADVANCE_MS = 2_000;
/** A request waits for a permit only if no more urgent one has asked for the server within this time. */
const PRIORITY_WINDOW_MS = 1_000;
const LOG_INTERVAL_MS = 1_000;

export interface ServerPermitsOptions {
    context: Context;
    limits: ServerLimitTable;
    /** Part of the limits that this daemon may use, between 0 and 1. */
    share: (placementKey: string) => number;
    /** Tokens with which a bucket starts. Default: 0, as the server has got requests until now. */
    initialTokens?: () => number;
}

interface PermitState {
    bucket: TokenBucket;
    mostUrgent: { priority: number; atMs: number; };
    grantedCount: number;
    rejectedCount: number;
    loggedAtMs: number;
}

/** One request for a permit. */
export interface PermitQuery {
    /** Name by which the daemon that hands out the permits of the server is selected. */
    placementKey: string;
    serverId: string;
    /** Lower numbers go first. */
    priority: number;
}

/** Numbers of permits of one server since its limit began. */
export interface PermitCounts {
    grantedCount: number;
    rejectedCount: number;
}

/** Hands out permits to send requests to servers that name a limit, at the rate of the limit. */
export class ServerPermits {
    readonly #options: ServerPermitsOptions;
    readonly #states = new Map<string, PermitState>();

    constructor(options: ServerPermitsOptions) {
        this.#options = options;
    }

    /** Time until a request may be sent: 0 for an unlimited server; undefined if it gets no permit in advance. */
    delayMs(query: PermitQuery, nowMs: number): number | undefined {
        const delayMs = this.nextPermitMs(query, nowMs);
        const isPermitted = delayMs === 0 || (delayMs <= MAX_ADVANCE_MS && this.#isMostUrgent(query, nowMs));
        return isPermitted ? delayMs : undefined;
    }

    /** Time until the server takes another request. */
    nextPermitMs({ placementKey, serverId }: PermitQuery, nowMs: number): number {
        const requestsPerS = this.#rateOf(placementKey, serverId, nowMs);
        return requestsPerS === undefined ? 0 : this.#stateOf(serverId, nowMs).bucket.delayMs(requestsPerS);
    }

    /** Uses the next permit, which may lie in the future. */
    take({ placementKey, serverId }: PermitQuery, nowMs: number): void {
        if (this.#rateOf(placementKey, serverId, nowMs) !== undefined) {
            const state = this.#stateOf(serverId, nowMs);
            state.bucket.take();
            state.grantedCount += 1;
            this.#options.context.metrics.count("routing.permits", 1, { outcome: "granted" });
            this.#logCounts(serverId, state, nowMs);
        }
    }

    /** Takes a permit if it comes within `maxDelayMs`. */
    acquire(query: PermitQuery, maxDelayMs: number, nowMs: number): LimitPermitResponse {
        const delayMs = this.delayMs(query, nowMs);
        if (delayMs !== undefined && delayMs <= maxDelayMs) {
            this.take(query, nowMs);
            return { isGranted: true, delayMs };
        }
        this.reject(query, nowMs);
        return { isGranted: false, delayMs: this.nextPermitMs(query, nowMs) };
    }

    /** Counts a request that got no permit. */
    reject({ serverId }: PermitQuery, nowMs: number): void {
        const state = this.#stateOf(serverId, nowMs);
        state.rejectedCount += 1;
        this.#options.context.metrics.count("routing.permits", 1, { outcome: "rejected" });
        this.#logCounts(serverId, state, nowMs);
    }

    /** Forgets all permits; buckets start anew. */
    clear(): void {
        this.#states.clear();
    }

    countsOf(serverId: string): PermitCounts {
        const { grantedCount = 0, rejectedCount = 0 } = this.#states.get(serverId) ?? {};
        return { grantedCount, rejectedCount };
    }

    /** Refills the bucket of a limited server and returns the rate; undefined if the server is unlimited. */
    #rateOf(placementKey: string, serverId: string, nowMs: number): number | undefined {
        const { limits, share } = this.#options;
        const limitPerS = limits.rateOf(serverId, nowMs);
        if (limitPerS === undefined) {
            this.#states.delete(serverId);
            return undefined;
        }
        const requestsPerS = limitPerS * share(placementKey);
        const capacity = Math.min(MAX_BURST, Math.max(MIN_BURST, requestsPerS * BURST_MS / 1_000));
        this.#stateOf(serverId, nowMs).bucket.refill(requestsPerS, capacity, nowMs);
        return requestsPerS;
    }

    /** Whether no more urgent request has asked for the server recently. Requests without a permit wait in this order. */
    #isMostUrgent({ serverId, priority }: PermitQuery, nowMs: number): boolean {
        const state = this.#stateOf(serverId, nowMs);
        const { mostUrgent } = state;
        if (priority <= mostUrgent.priority || nowMs - mostUrgent.atMs > PRIORITY_WINDOW_MS) {
            state.mostUrgent = { priority, atMs: nowMs };
            return true;
        }
        return false;
    }

    #stateOf(serverId: string, nowMs: number): PermitState {
        const known = this.#states.get(serverId);
        if (known !== undefined) {
            return known;
        }
        this.#dropEnded(nowMs);
        const state: PermitState = {
            bucket: new TokenBucket(this.#options.initialTokens?.() ?? 0, nowMs),
            mostUrgent: { priority: Infinity, atMs: nowMs },
            grantedCount: 0,
            rejectedCount: 0,
            loggedAtMs: nowMs,
        };
        this.#states.set(serverId, state);
        return state;
    }

    /** Drops the state of servers that are unlimited now, or gone. */
    #dropEnded(nowMs: number): void {
        for (const serverId of this.#states.keys()) {
            if (this.#options.limits.rateOf(serverId, nowMs) === undefined) {
                this.#states.delete(serverId);
            }
        }
    }

    #logCounts(serverId: string, state: PermitState, nowMs: number): void {
        if (nowMs - state.loggedAtMs < LOG_INTERVAL_MS) {
            return;
        }
        state.loggedAtMs = nowMs;
        const { context, limits } = this.#options;
        context.decisions.record("server.permits", {
            server: serverId,
            requestsPerS: limits.rateOf(serverId, nowMs),
            granted: state.grantedCount,
            rejected: state.rejectedCount,
        });
    }
}
