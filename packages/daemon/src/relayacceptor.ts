import { type Context, Lifecycle, messageOf, monotonicMs, sleep } from "@greengage/base";
import { RelayError, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import type { Duplex } from "node:stream";
import { EventLoopLag } from "./eventlooplag.ts";
import { openServerConnection } from "./serverconnection.ts";

/**
 * Limits the connections relayed at a time. Each takes two descriptors and up to 128 KiB of buffers, so all of them take 800
 * of 4,096 descriptors and 50 MiB.
 */
export const MAX_RELAYED_CONNECTIONS = 400;
/** The event loop is too late to serve peers in time without delaying the own callers. */
const MAX_LAG_MS = 150;
/** Shorter than the time that peers wait for the answer. */
const CONNECT_TIMEOUT_MS = 300;
const IDLE_CHECK_INTERVAL_MS = 50;

export interface RelayAcceptorOptions {
    context: Context;
    /** Why this daemon may not send requests to the server; undefined if it may. */
    refuse: (request: RelayRequest) => RelayRefusal | undefined;
    /** Default: opens a TCP connection. */
    connect?: typeof openServerConnection;
    /** Default: 400. */
    maxConnections?: number;
    /** Delay of the event loop. Default: measured. */
    lagMs?: () => number;
}

/** Opens connections to backend servers for peers, always directly, so that no connection takes more than one hop. */
export class RelayAcceptor {
    readonly #options: RelayAcceptorOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #eventLoop = new EventLoopLag();
    readonly #connections = new Set<Duplex>();
    #openingCount = 0;
    #isDraining = false;

    constructor(options: RelayAcceptorOptions) {
        this.#options = options;
    }

    /** Connections that are relayed or about to be. */
    get relayedCount(): number {
        return this.#connections.size + this.#openingCount;
    }

    /** Whether requests are accepted as far as this daemon's state is concerned. */
    get mayRelay(): boolean {
        return !this.#isDraining;
    }

    start(): void {
        this.#eventLoop.start();
        this.#lifecycle.onClose(() => this.#eventLoop.close());
    }

    /** Closes all connections. The peers get errors, so that they resume elsewhere. */
    async close(): Promise<void> {
        this.#isDraining = true;
        const reason = new Error("the relay stops");
        [...this.#connections].forEach((connection) => connection.destroy(reason));
        await this.#lifecycle.close();
    }

    /** Refuses further requests. Open connections go on. */
    drain(): void {
        this.#isDraining = true;
    }

    /** Resolves when no connection is relayed any more, or after `limitMs`. */
    async waitUntilIdle(limitMs: number): Promise<void> {
        const deadlineAtMs = monotonicMs() + limitMs;
        while (this.relayedCount > 0 && monotonicMs() < deadlineAtMs) {
            await sleep(Math.min(IDLE_CHECK_INTERVAL_MS, deadlineAtMs - monotonicMs()));
        }
    }

    /** Opens a connection to a server for a peer. Rejects with `RelayError`. */
    async open(request: RelayRequest, from: string): Promise<Duplex> {
        try {
            this.#check(request);
            const connection = await this.#connect(request);
            this.#add(connection, request, from);
            return connection;
        }
        catch (error) {
            const failure = error instanceof RelayError
                ? error
                : new RelayError(RelayRefusal.ServerUnreachable, messageOf(error), error);
            this.#recordRefusal(request, from, failure);
            throw failure;
        }
    }

    #check(request: RelayRequest): void {
        const refusal = this.#isDraining ? RelayRefusal.Draining : this.#options.refuse(request);
        if (refusal !== undefined) {
            throw new RelayError(refusal, refusalMessages[refusal] ?? refusal);
        }
        const limit = this.#options.maxConnections ?? MAX_RELAYED_CONNECTIONS;
        if (this.relayedCount >= limit) {
            throw new RelayError(RelayRefusal.Overloaded, `it relays ${limit} connections`);
        }
        const lagMs = this.#options.lagMs?.() ?? this.#eventLoop.lagMs;
        if (lagMs > MAX_LAG_MS) {
            throw new RelayError(
                RelayRefusal.Overloaded,
                `its event loop is ${Math.round(lagMs)} ms late`,
            );
        }
    }

    async #connect({ address }: RelayRequest): Promise<Duplex> {
        this.#openingCount += 1;
        try {
            return await (this.#options.connect ?? openServerConnection)(address, CONNECT_TIMEOUT_MS);
        }
        finally {
            this.#openingCount -= 1;
        }
    }

    #add(connection: Duplex, { serverId, address }: RelayRequest, from: string): void {
        const { decisions, metrics } = this.#options.context;
        const openedAtMs = monotonicMs();
        const server = { server: serverId, address, from };
        this.#connections.add(connection);
        decisions.record("relay.opened", { ...server, relayedCount: this.relayedCount });
        metrics.count("relay.opened");
        metrics.gauge("relay.connections", this.relayedCount);
        connection.once("close", () => {
            this.#connections.delete(connection);
            metrics.gauge("relay.connections", this.relayedCount);
            decisions.record("relay.closed", {
                ...server,
                durationMs: Math.round(monotonicMs() - openedAtMs),
                isEndedByServer: connection.readableEnded,
                reason: connection.errored?.message,
            });
        });
    }

    #recordRefusal(
        { serverId, address }: RelayRequest,
        from: string,
        { refusal, message }: RelayError,
    ): void {
        const { decisions, metrics } = this.#options.context;
        const fields = { server: serverId, address, from, refusal, reason: message };
        decisions.record("relay.refused", { ...fields, relayedCount: this.relayedCount });
        metrics.count("relay.refused", 1, { reason: refusal });
    }
}

const refusalMessages: Partial<Record<RelayRefusal, string>> = {
    [RelayRefusal.UnknownServer]: "it doesn't know the server under this address",
    [RelayRefusal.Held]: "the server leaves or wants no requests from it",
    [RelayRefusal.Draining]: "it is about to stop",
};
