import { Client, Pool } from "undici";
import { createConnector } from "./connector.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/** Pools idle for this long are closed, so that pools of replaced backend servers do not accumulate. */
const POOL_IDLE_TIMEOUT_MS = 60_000;

const connectionOptions = {
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
} as const;

/** Connection pools for backend servers, by origin. Each connection runs one exchange at a time. */
export class ConnectionPools {
    readonly #pools = new Map<string, { pool: Pool; usedAtMs: number; }>();

    get(origin: string, nowMs: number): Pool {
        const entry = this.#pools.get(origin)
            ?? { pool: new Pool(origin, connectionOptions), usedAtMs: nowMs };
        entry.usedAtMs = nowMs;
        this.#pools.set(origin, entry);
        return entry.pool;
    }

    /**
     * Creates a client for a single call that must not be repeated. If a backend server closes a kept-alive connection just
     * as a call is written, it is unknown whether the call ran, and such a call could not be retried.
     */
    createSingleUse(origin: string): Client {
        return new Client(origin, connectionOptions);
    }

    closeIdle(nowMs: number): void {
        for (const [origin, { pool, usedAtMs }] of this.#pools) {
            if (
                nowMs - usedAtMs > POOL_IDLE_TIMEOUT_MS && pool.stats.running === 0 && pool.stats.queued === 0
            ) {
                this.#pools.delete(origin);
                void pool.close();
            }
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(({ pool }) => pool.destroy()));
    }
}
