import { ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import type { OrganisationDemand, OrganisationShare } from "@greengage/protocol";

/** Requests that may come at once after a pause, as time at the allowed rate. */
const BURST_MS = 500;
const DEMAND_WINDOW_MS = 1_000;
/** An organisation without requests for this long is forgotten. */
const IDLE_MS = 60_000;
/** Time after which a place below the concurrency limit is worth another try. */
const CONCURRENCY_RETRY_MS = 1_000;

export interface OrganisationLimitsOptions {
    /** Share of the organisation's limits for this daemon, from the grant. */
    share: (organisation: string) => OrganisationShare | undefined;
    /** Limits of the organisation over all daemons, from the table. */
    limit: (organisation: string) => { requestsPerS: number; maxConcurrent: number; } | undefined;
    /** Daemons that take requests; divides the table's limits while there is no share. */
    daemonCount: () => number;
    /** Default: the monotonic clock. */
    nowMs?: () => number;
}

interface Usage {
    /** Requests that may start now; refilled at the allowed rate. */
    tokens: number;
    refilledAtMs: number;
    inFlight: number;
    windowStartMs: number;
    offeredInWindow: number;
    offeredPerS: number;
    usedAtMs: number;
}

/** Holds each organisation's requests per second and concurrency to this daemon's share of its limits. */
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
        const { requestsPerS, concurrent } = this.#allowed(organisation);
        const usage = this.#touch(organisation, nowMs, requestsPerS);
        if (usage.inFlight >= concurrent) {
            throw limitReached(
                `organisation ${organisation} runs ${usage.inFlight} requests`,
                CONCURRENCY_RETRY_MS,
            );
        }
        if (usage.tokens < 1) {
            const waitMs = (1 - usage.tokens) / Math.max(requestsPerS, 0.01) * 1_000;
            throw limitReached(`organisation ${organisation} sends more requests per second`, waitMs);
        }
        usage.tokens -= 1;
        usage.inFlight += 1;
        let isOver = false;
        return () => {
            usage.inFlight -= isOver ? 0 : 1;
            isOver = true;
        };
    }

    /** What each organisation asked for lately, refused requests included. */
    demand(): OrganisationDemand[] {
        const nowMs = this.#nowMs();
        for (const [organisation, usage] of this.#usage) {
            rollWindow(usage, nowMs);
            if (usage.inFlight === 0 && nowMs - usage.usedAtMs > IDLE_MS) {
                this.#usage.delete(organisation);
            }
        }
        return [...this.#usage].map(([organisation, usage]) => ({
            organisation,
            requestsPerS: usage.offeredPerS,
            concurrent: usage.inFlight,
        }));
    }

    #allowed(organisation: string): { requestsPerS: number; concurrent: number; } {
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

    #touch(organisation: string, nowMs: number, requestsPerS: number): Usage {
        const burst = Math.max(1, requestsPerS * BURST_MS / 1_000);
        const usage = this.#usage.get(organisation) ?? {
            tokens: burst,
            refilledAtMs: nowMs,
            inFlight: 0,
            windowStartMs: nowMs,
            offeredInWindow: 0,
            offeredPerS: 0,
            usedAtMs: nowMs,
        };
        this.#usage.set(organisation, usage);
        const refill = (nowMs - usage.refilledAtMs) / 1_000 * requestsPerS;
        usage.tokens = Math.min(burst, usage.tokens + refill);
        usage.refilledAtMs = nowMs;
        usage.usedAtMs = nowMs;
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
    new GreengageError(`${message}, which is its share of the limit on this daemon`, {
        code: ErrorCode.LimitReached,
        verdict: Verdict.NotRun,
        retryAfterMs,
    });
