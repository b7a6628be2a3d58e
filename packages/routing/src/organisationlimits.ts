import { ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import type { OrganisationDemand, OrganisationShare } from "@greengage/protocol";
import { TokenBucket } from "./tokenbucket.ts";

/** Capacity of the token bucket, as time at the allowed rate. */
const BURST_MS = 500;
const DEMAND_WINDOW_MS = 1_000;
/** The state of an organisation is dropped after this time without requests. */
const IDLE_TIMEOUT_MS = 60_000;
/** Avoids a division by zero for an organisation whose share of the rate is 0. */
const MIN_REQUESTS_PER_S = 0.01;
/** `retryAfterMs` of requests rejected by the concurrency limit. */
const CONCURRENCY_RETRY_MS = 1_000;

export interface OrganisationLimitsOptions {
    /** This daemon's share of the organisation's limits, from the grant. */
    share: (organisation: string) => OrganisationShare | undefined;
    /** Cluster-wide limits of the organisation, from the table. */
    limit: (organisation: string) => { requestsPerS: number; maxConcurrent: number; } | undefined;
    /** Number of daemons that accept requests; divides the cluster-wide limits when no share is assigned. */
    daemonCount: () => number;
    /** Default: the monotonic clock. */
    nowMs?: () => number;
}

interface Usage {
    /** Requests that may start now. Refilled at the allowed rate. */
    bucket: TokenBucket;
    inFlight: number;
    windowStartMs: number;
    offeredInWindow: number;
    offeredPerS: number;
    lastRequestAtMs: number;
}

/** Enforces this daemon's share of each organisation's limits on request rate and concurrency. */
export class OrganisationLimits {
    readonly #options: OrganisationLimitsOptions;
    readonly #nowMs: () => number;
    readonly #usage = new Map<string, Usage>();

    constructor(options: OrganisationLimitsOptions) {
        this.#options = options;
        this.#nowMs = options.nowMs ?? monotonicMs;
    }

    /** Counts a request and returns the function that ends it. Throws `limit-reached` with verdict `notRun`. */
    admit(organisation: string): () => void {
        const nowMs = this.#nowMs();
        const { requestsPerS, concurrent } = this.#allowanceOf(organisation);
        const usage = this.#recordRequest(organisation, nowMs, requestsPerS);
        if (usage.inFlight >= concurrent) {
            throw limitReached(
                `organisation ${organisation} already has ${usage.inFlight} requests in flight`,
                CONCURRENCY_RETRY_MS,
            );
        }
        const delayMs = usage.bucket.delayMs(Math.max(requestsPerS, MIN_REQUESTS_PER_S));
        if (delayMs > 0) {
            throw limitReached(`organisation ${organisation} exceeds its request rate`, delayMs);
        }
        usage.bucket.take();
        usage.inFlight += 1;
        let hasEnded = false;
        return () => {
            usage.inFlight -= hasEnded ? 0 : 1;
            hasEnded = true;
        };
    }

    /** Recent demand of each organisation, including rejected requests. */
    demand(): OrganisationDemand[] {
        const nowMs = this.#nowMs();
        for (const [organisation, usage] of this.#usage) {
            rollWindow(usage, nowMs);
            if (usage.inFlight === 0 && nowMs - usage.lastRequestAtMs > IDLE_TIMEOUT_MS) {
                this.#usage.delete(organisation);
            }
        }
        return [...this.#usage].map(([organisation, usage]) => ({
            organisation,
            requestsPerS: usage.offeredPerS,
            concurrent: usage.inFlight,
        }));
    }

    #allowanceOf(organisation: string): { requestsPerS: number; concurrent: number; } {
        const share = this.#options.share(organisation);
        if (share !== undefined) {
            return share;
        }
        const limit = this.#options.limit(organisation);
        const daemonCount = Math.max(1, this.#options.daemonCount());
        return {
            requestsPerS: (limit?.requestsPerS ?? 0) / daemonCount,
            concurrent: limit === undefined ? 0 : Math.max(1, Math.floor(limit.maxConcurrent / daemonCount)),
        };
    }

    #recordRequest(organisation: string, nowMs: number, requestsPerS: number): Usage {
        const burst = Math.max(1, requestsPerS * BURST_MS / 1_000);
        const usage = this.#usage.get(organisation) ?? {
            bucket: new TokenBucket(burst, nowMs),
            inFlight: 0,
            windowStartMs: nowMs,
            offeredInWindow: 0,
            offeredPerS: 0,
            lastRequestAtMs: nowMs,
        };
        this.#usage.set(organisation, usage);
        usage.bucket.refill(requestsPerS, burst, nowMs);
        usage.lastRequestAtMs = nowMs;
        rollWindow(usage, nowMs);
        usage.offeredInWindow += 1;
        return usage;
    }
}

const rollWindow = (usage: Usage, nowMs: number): void => {
    const elapsedMs = nowMs - usage.windowStartMs;
    if (elapsedMs < DEMAND_WINDOW_MS) {
        return;
    }
    usage.offeredPerS = usage.offeredInWindow / elapsedMs * 1_000;
    usage.offeredInWindow = 0;
    usage.windowStartMs = nowMs;
};

const limitReached = (message: string, retryAfterMs: number): GreengageError =>
    new GreengageError(`${message} (this daemon's share of its limit)`, {
        code: ErrorCode.LimitReached,
        verdict: Verdict.NotRun,
        retryAfterMs,
    });
