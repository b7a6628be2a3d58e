import { createConnector, createStreamConnector } from "@greengage/base";
import type { Duplex } from "node:stream";
import { Client, Pool } from "undici";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/** Pools idle for this long are closed, so that pools of replaced backend servers do not accumulate. */
const POOL_IDLE_TIMEOUT_MS = 60_000;

export interface ConnectionPoolsOptions {
    /** Called with the address (`host:port`) of each direct connection that opens. */
    onOpened?: (address: string) => void;
}

/** Connection pools for backend servers, by origin. Each connection runs one exchange at a time. */
export class ConnectionPools {
    readonly #pools = new Map<string, { pool: Pool; usedAtMs: number; }>();
    /** Pools that only finish their calls. */
    readonly #retired = new Set<Pool>();
    readonly #connectionOptions;

    constructor({ onOpened }: ConnectionPoolsOptions = {}) {
        this.#connectionOptions = {
            pipelining: 1,
            connect: createConnector(CONNECT_TIMEOUT_MS, onOpened),
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        } as const;
    }

    get(origin: string, nowMs: number): Pool {
        const entry = this.#pools.get(origin)
            ?? { pool: new Pool(origin, this.#connectionOptions), usedAtMs: nowMs };
        entry.usedAtMs = nowMs;
        this.#pools.set(origin, entry);
        return entry.pool;
    }

    /**
     * Creates a client for a single call that must not be repeated. If a backend server closes a kept-alive connection just
     * as a call is written, it is unknown whether the call ran, and such a call could not be retried.
     */
    createSingleUse(origin: string): Client {
        return new Client(origin, this.#connectionOptions);
    }

    /** Creates a client for a single call over a connection that is already open, as through a peer. */
    createRelayed(origin: string, stream: Duplex): Client {
        return new Client(origin, { pipelining: 1, connect: createStreamConnector(stream) });
    }

    /** Closes the idle connections of an origin; calls in progress keep theirs. */
    retire(origin: string): void {
        const pool = this.#pools.get(origin)?.pool;
        if (pool !== undefined) {
            this.#pools.delete(origin);
            this.#retired.add(pool);
            const forget = (): void => void this.#retired.delete(pool);
            // Rejects if the pool is destroyed meanwhile, which closes it as well.
            pool.close().then(forget, forget);
        }
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
        await Promise.all(
            [...[...this.#pools.values()].map(({ pool }) => pool), ...this.#retired].map((pool) =>
                pool.destroy()
            ),
        );
    }
}
