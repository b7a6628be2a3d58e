import { type Context, monotonicMs, type Random } from "@greengage/base";
import type { LimitPermitResponse, ServerLimit } from "@greengage/protocol";
import { type LimitObservation, type PermitQuery, ServerLimitTable, ServerPermits } from "@greengage/routing";
import type { PlacementClient } from "./placementclient.ts";

/** Part of a limit that all entry daemons together use without a control daemon, as their clocks and counts differ. */
const FALLBACK_SHARE = 0.5;

/** Limits that backend servers name, and this daemon's permits to send requests to them. */
export class RequestLimits {
    readonly #table: ServerLimitTable;
    readonly #placementClient: PlacementClient;
    /** Permits without a control daemon. */
    readonly #fallbackPermits: ServerPermits;
    /** Times before which a control daemon gives no permit, by server id. */
    readonly #nextPermitAtMs = new Map<string, number>();
    #daemonCount = 1;

    constructor(context: Context, placementClient: PlacementClient, random: Random) {
        this.#table = new ServerLimitTable(context);
        this.#placementClient = placementClient;
        this.#fallbackPermits = new ServerPermits({
            context,
            limits: this.#table,
            share: () => FALLBACK_SHARE / this.#daemonCount,
            // Daemons that lose their control daemon together don't send their first requests together.
            initialTokens: () => random.nextFloat(),
        });
    }

    /** Divides the limits among this many entry daemons while no control daemon answers. */
    setDaemonCount(count: number): void {
        this.#daemonCount = Math.max(1, count);
    }

    observe(observation: LimitObservation): void {
        this.#table.observe(observation);
    }

    merge(limits: readonly ServerLimit[]): void {
        this.#table.merge(limits, monotonicMs());
    }

    list(): ServerLimit[] {
        return this.#table.list(monotonicMs());
    }

    recent(): ServerLimit[] {
        return this.#table.recent(monotonicMs());
    }

    isLimited(serverId: string): boolean {
        return this.#table.rateOf(serverId, monotonicMs()) !== undefined;
    }

    /** Time until this daemon may send a request without a control daemon; undefined if that is too long. */
    fallbackDelayMs(query: PermitQuery): number | undefined {
        return this.#fallbackPermits.delayMs(query, monotonicMs());
    }

    takeFallbackPermit(query: PermitQuery): void {
        this.#fallbackPermits.take(query, monotonicMs());
    }

    /** Called when a control daemon has answered, so that permits for the next loss of it don't accumulate. */
    resetFallback(): void {
        this.#fallbackPermits.clear();
    }

    /** Acquires a permit for a server of a plain service, if it comes within `maxDelayMs`. */
    async acquire(query: PermitQuery, maxDelayMs: number): Promise<LimitPermitResponse> {
        const { serverId } = query;
        const nowMs = monotonicMs();
        const delayMs = (this.#nextPermitAtMs.get(serverId) ?? 0) - nowMs;
        if (delayMs > maxDelayMs) {
            return { isGranted: false, delayMs };
        }
        const answer = await this.#placementClient.acquirePermit({
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
            this.#nextPermitAtMs.set(serverId, monotonicMs() + answer.delayMs);
        }
        return answer;
    }
}
