import { Client, Pool } from "undici";
import { createConnector } from "./connector.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 10_000;
/** Pools without a request for this long are closed, so that replaced backend servers leave nothing behind. */
const IDLE_POOL_MS = 60_000;

const connectionOptions = {
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: KEEP_ALIVE_MS,
} as const;

/** Connections to backend servers, by origin. One exchange at a time runs on a connection. */
export class Pools {
    readonly #pools = new Map<string, { pool: Pool; usedAtMs: number; }>();

    get(origin: string, nowMs: number): Pool {
        const entry = this.#pools.get(origin)
            ?? { pool: new Pool(origin, connectionOptions), usedAtMs: nowMs };
        entry.usedAtMs = nowMs;
        this.#pools.set(origin, entry);
        return entry.pool;
    }

    /**
     * A connection for one call alone. A kept connection that the backend server closes at the moment of the
     * write leaves it open whether the call ran, which a call that must not be repeated can't recover from.
     */
    single(origin: string): Client {
        return new Client(origin, connectionOptions);
    }

    closeIdle(nowMs: number): void {
        for (const [origin, { pool, usedAtMs }] of this.#pools) {
            if (nowMs - usedAtMs > IDLE_POOL_MS && pool.stats.running === 0 && pool.stats.queued === 0) {
                this.#pools.delete(origin);
                void pool.close();
            }
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.#pools.values()].map(({ pool }) => pool.destroy()));
    }
}
