import { type Context, monotonicMs, type Random } from "@greengage/base";
import type { LimitPermitRequest, LimitPermitResponse, ServerLimit } from "@greengage/protocol";
import { type LimitObservation, ServerLimitTable } from "./serverlimits.ts";
import { type PermitQuery, ServerPermits } from "./serverpermits.ts";

/** Part of a limit that all daemons use together while nobody hands out permits, as their clocks and counts differ. */
const FALLBACK_SHARE = 0.5;

/** Maximum wait for a permit of requests without a target latency. Longer waits would hold a slot for nothing. */
export const MAX_PERMIT_WAIT_MS = 1_000;

export interface RequestLimitsOptions {
    context: Context;
    random: Random;
    /** Asks the daemon that hands out the permits of a server. Resolves to undefined without an answer. */
    requestPermit: (request: LimitPermitRequest) => Promise<LimitPermitResponse | undefined>;
}

/** Limits that backend servers name, and this daemon's permits to send requests to them. */
export class RequestLimits {
    readonly table: ServerLimitTable;
    readonly #requestPermit: RequestLimitsOptions["requestPermit"];
    /** Permits while no other daemon hands them out. */
    readonly #fallbackPermits: ServerPermits;
    /** Times before which no permit is handed out, by server id. */
    readonly #nextPermitAtMs = new Map<string, number>();
    #daemonCount = 1;

    constructor({ context, random, requestPermit }: RequestLimitsOptions) {
        this.table = new ServerLimitTable(context);
        this.#requestPermit = requestPermit;
        this.#fallbackPermits = new ServerPermits({
            context,
            limits: this.table,
            share: () => FALLBACK_SHARE / this.#daemonCount,
            // Daemons that lose the one that hands out permits together don't send their first requests together.
            initialTokens: () => random.nextFloat(),
        });
    }

    /** Divides the limits among this many daemons while nobody hands out permits. */
    setDaemonCount(count: number): void {
        this.#daemonCount = Math.max(1, count);
    }

    observe(observation: LimitObservation): void {
        this.table.observe(observation);
    }

    merge(limits: readonly ServerLimit[]): void {
        this.table.merge(limits, monotonicMs());
    }

    list(): ServerLimit[] {
        return this.table.list(monotonicMs());
    }

    recent(): ServerLimit[] {
        return this.table.recent(monotonicMs());
    }

    isLimited(serverId: string): boolean {
        return this.table.rateOf(serverId, monotonicMs()) !== undefined;
    }

    /** Time until this daemon may send a request without a permit of another one; undefined if that is too long. */
    fallbackDelayMs(query: PermitQuery): number | undefined {
        return this.#fallbackPermits.delayMs(query, monotonicMs());
    }

    takeFallbackPermit(query: PermitQuery): void {
        this.#fallbackPermits.take(query, monotonicMs());
    }

    /** Called when another daemon has handed out permits, so that those for the next loss of it don't accumulate. */
    resetFallback(): void {
        this.#fallbackPermits.clear();
    }

    /** Acquires a permit for a server, if it comes within `maxDelayMs`. Servers without a limit need none. */
    async acquire(query: PermitQuery, maxDelayMs: number): Promise<LimitPermitResponse> {
        const { serverId } = query;
        if (!this.isLimited(serverId)) {
            return { isGranted: true, delayMs: 0 };
        }
        const nowMs = monotonicMs();
        const delayMs = (this.#nextPermitAtMs.get(serverId) ?? 0) - nowMs;
        if (delayMs > maxDelayMs) {
            return { isGranted: false, delayMs };
        }
        const answer = await this.#requestPermit({
            ...query,
            maxDelayMs,
            limits: this.recent(),
        });
        if (answer === undefined) {
            return this.#fallbackPermits.acquire(query, maxDelayMs, monotonicMs());
        }
        this.resetFallback();
        this.#nextPermitAtMs.delete(serverId);
        if (!answer.isGranted) {
            this.#dropPassed(nowMs);
            this.#nextPermitAtMs.set(serverId, monotonicMs() + answer.delayMs);
        }
        return answer;
    }

    #dropPassed(nowMs: number): void {
        for (const [serverId, atMs] of this.#nextPermitAtMs) {
            if (atMs <= nowMs) {
                this.#nextPermitAtMs.delete(serverId);
            }
        }
    }
}
