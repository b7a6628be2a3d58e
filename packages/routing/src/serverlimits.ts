import type { Context } from "@greengage/base";
import type { ServerLimit } from "@greengage/protocol";

/** What a response of a backend server says about the rate of requests that the server takes. */
export const LimitStatement = {
    /** Nothing: the response is not a success of the server, or its limit is unreadable. */
    Unstated: "unstated",
    /** The server takes any number of requests. */
    Unlimited: "unlimited",
    Limited: "limited",
} as const;

export type LimitStatement = typeof LimitStatement[keyof typeof LimitStatement];

export type NamedLimit =
    | { statement: typeof LimitStatement.Unstated; }
    | { statement: typeof LimitStatement.Unlimited; }
    | { statement: typeof LimitStatement.Limited; requestsPerS: number; };

export const UNSTATED_LIMIT: NamedLimit = { statement: LimitStatement.Unstated };

/** Requests per second, as a decimal number without sign. Exponents and other notations count as unreadable. */
const DECIMAL = /^\d+(\.\d+)?$/;

/** Decodes a header field with a limit. If it names several, the lowest one holds. */
export const parseLimit = (field: string | string[]): NamedLimit => {
    const rates = [field].flat().flatMap((text) => text.split(",")).map((text) => text.trim())
        .filter((text) => DECIMAL.test(text)).map(Number);
    return rates.length === 0
        ? UNSTATED_LIMIT
        : { statement: LimitStatement.Limited, requestsPerS: Math.min(...rates) };
};

/** A response with what it says about its server's limit; times are monotonic. */
export interface LimitObservation {
    serverId: string;
    limit: NamedLimit;
    /** Time at which the request was written. */
    sentAtMs: number;
    receivedAtMs: number;
}

/** Limits that no response has confirmed for this long are dropped: the server has probably ended. */
const LIMIT_TTL_MS = 60_000;
/** Retention of ended limits, longer than the news of one takes to reach all daemons. */
const ENDED_TTL_MS = 5_000;
/** Time within which the exchange of limits reaches all daemons. Younger limits are sent along with each request for a permit. */
const RECENT_MS = 500;
/** Rate for a server that names a lower one, such as zero: only a response can show that the limit has ended. */
const MIN_REQUESTS_PER_S = 0.25;
/** After the end of a limit, the rate doubles in this time, so that a server that has just recovered gets no rush. */
const RAMP_DOUBLING_MS = 500;
/** After this time, the server takes any number of requests. */
const RAMP_MS = 2_000;

interface LimitState {
    requestsPerS: number;
    sinceMs: number;
    /** Time of the latest response that named the limit, or ended it. */
    atMs: number;
    daemonId: string;
    hasEnded: boolean;
}

/**
 * Request rates that backend servers name in their responses, by server id. They come from own responses and from other
 * daemons; for each server the latest response decides.
 */
export class ServerLimitTable {
    readonly #context: Context;
    readonly #states = new Map<string, LimitState>();

    constructor(context: Context) {
        this.#context = context;
    }

    /** Records what a response of this daemon says. */
    observe({ serverId, limit, sentAtMs, receivedAtMs }: LimitObservation): void {
        const known = this.#states.get(serverId);
        const origin = { atMs: receivedAtMs, daemonId: this.#context.daemonId };
        if (limit.statement === LimitStatement.Limited) {
            const sinceMs = known === undefined || known.hasEnded ? receivedAtMs : known.sinceMs;
            const { requestsPerS } = limit;
            this.#set(serverId, { ...origin, requestsPerS, sinceMs, hasEnded: false });
        }
        else if (
            limit.statement === LimitStatement.Unlimited && known !== undefined && !known.hasEnded
            // The response to an earlier request may have been created before the limit was named.
            && sentAtMs >= known.atMs
        ) {
            this.#set(serverId, { ...known, ...origin, hasEnded: true });
        }
    }

    /** Merges limits from another daemon. */
    merge(limits: readonly ServerLimit[], nowMs: number): void {
        for (const { serverId, requestsPerS, sinceAgeMs, ageMs, daemonId, hasEnded } of limits) {
            const known = this.#states.get(serverId);
            const atMs = nowMs - ageMs;
            const isKnownLimit = known !== undefined || !hasEnded;
            if (isKnownLimit && (known === undefined || atMs > known.atMs)) {
                this.#set(serverId, { requestsPerS, sinceMs: nowMs - sinceAgeMs, atMs, daemonId, hasEnded });
            }
        }
    }

    /** Request rate that the server takes now; undefined if it is unlimited. */
    rateOf(serverId: string, nowMs: number): number | undefined {
        const state = this.#states.get(serverId);
        if (state === undefined) {
            return undefined;
        }
        const ageMs = nowMs - state.atMs;
        const rate = Math.max(MIN_REQUESTS_PER_S, state.requestsPerS);
        if (state.hasEnded) {
            return ageMs < RAMP_MS ? rate * 2 ** (Math.max(0, ageMs) / RAMP_DOUBLING_MS) : undefined;
        }
        return ageMs < LIMIT_TTL_MS ? rate : undefined;
    }

    /** All limits, including those that have ended recently. */
    list(nowMs: number): ServerLimit[] {
        for (const [serverId, { atMs, hasEnded }] of this.#states) {
            if (nowMs - atMs >= (hasEnded ? ENDED_TTL_MS : LIMIT_TTL_MS)) {
                this.#states.delete(serverId);
            }
        }
        return [...this.#states].map(([serverId, { requestsPerS, sinceMs, atMs, daemonId, hasEnded }]) => ({
            serverId,
            requestsPerS,
            sinceAgeMs: nowMs - sinceMs,
            ageMs: nowMs - atMs,
            daemonId,
            hasEnded,
        }));
    }

    /** Limits with a response so recent that other daemons may not know of it yet. */
    recent(nowMs: number): ServerLimit[] {
        return this.list(nowMs).filter(({ ageMs }) => ageMs < RECENT_MS);
    }

    #set(serverId: string, state: LimitState): void {
        const known = this.#states.get(serverId);
        this.#states.set(serverId, state);
        const isSame = known?.requestsPerS === state.requestsPerS && known.hasEnded === state.hasEnded;
        if (!isSame) {
            this.#context.decisions.record("server.limit", {
                server: serverId,
                requestsPerS: state.requestsPerS,
                hasEnded: state.hasEnded,
                former: known?.requestsPerS,
                toldTo: state.daemonId,
                forMs: Math.round(state.atMs - state.sinceMs),
            });
            this.#context.metrics.gauge("routing.limited_servers", this.#limitedCount());
        }
    }

    #limitedCount(): number {
        return [...this.#states.values()].filter(({ hasEnded }) => !hasEnded).length;
    }
}
