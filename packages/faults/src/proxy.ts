import { createServer, type Server, type Socket } from "node:net";
import { ProxiedConnection } from "./proxiedconnection.ts";

/** How the bytes of one direction are handled. */
export const LinkMode = {
    Pass: "pass",
    /** Bytes are queued until the fault ends, as TCP retransmits them after a network partition. */
    Hold: "hold",
    /** Bytes are dropped. The connection stays half-open, and is reset at the next byte or end of stream after the fault. */
    Swallow: "swallow",
} as const;

export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** Fault of one direction of a link. */
export interface DirectionFault {
    mode: LinkMode;
    /** Latency added to each chunk. */
    delayMs: number;
    /** Upper bound of a random latency that is constant per connection, so that connections overtake each other. */
    reorderMs: number;
}

/** Fault of the connections that one source address opens through a proxy. */
export interface LinkFault {
    toTarget: DirectionFault;
    toSource: DirectionFault;
    /** Resets new connections at once. */
    refuse: boolean;
}

export type LinkFaultChange = {
    toTarget?: Partial<DirectionFault>;
    toSource?: Partial<DirectionFault>;
    refuse?: boolean;
};

const PASS: DirectionFault = { mode: LinkMode.Pass, delayMs: 0, reorderMs: 0 };
const NO_FAULT: LinkFault = { toTarget: PASS, toSource: PASS, refuse: false };

export interface FaultProxyOptions {
    /** Port on loopback that the proxy connects to. */
    targetPort: number;
    /** Port on loopback that the proxy listens on. Default: any free one. */
    port?: number;
    /** Loopback address that the proxy listens on. Default: 127.0.0.1. */
    host?: string;
    /** Whether the reset of one side resets the other. Default: it ends the other. */
    forwardsResets?: boolean;
}

/** TCP proxy on loopback that injects faults per source address. */
export class FaultProxy {
    readonly #options: FaultProxyOptions;
    readonly #faults = new Map<string, LinkFault>();
    readonly #connections = new Set<ProxiedConnection>();
    readonly #server: Server;
    #port = 0;
    #openedCount = 0;
    #byteCounts = { toTargetBytes: 0, toSourceBytes: 0 };

    constructor(options: FaultProxyOptions) {
        this.#options = options;
        this.#server = createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket));
    }

    get port(): number {
        return this.#port;
    }

    /** Bytes forwarded since the start. */
    get traffic(): { toTargetBytes: number; toSourceBytes: number; } {
        return { ...this.#byteCounts };
    }

    get connectionCount(): number {
        return this.#connections.size;
    }

    /** Connections accepted since the start. */
    get openedCount(): number {
        return this.#openedCount;
    }

    async start(): Promise<void> {
        await this.#listen(this.#options.port ?? 0);
        this.#port = (this.#server.address() as { port: number; }).port;
    }

    /** Stops listening, so that the system refuses new connections. Open ones live on. */
    suspend(): void {
        this.#server.close();
    }

    /** Listens again after `suspend`. */
    async resume(): Promise<void> {
        await this.#listen(this.#port);
    }

    async close(): Promise<void> {
        this.reset();
        if (this.#server.listening) {
            await new Promise<void>((resolve) => this.#server.close(() => resolve()));
        }
    }

    /** Changes the fault of existing and new connections from `source`. */
    setFault(source: string, change: LinkFaultChange): void {
        const current = this.#faultOf(source);
        this.#faults.set(source, {
            toTarget: { ...current.toTarget, ...change.toTarget },
            toSource: { ...current.toSource, ...change.toSource },
            refuse: change.refuse ?? current.refuse,
        });
        this.#applyFaults(source);
    }

    /** Removes the fault of one source, or of all sources. */
    heal(source?: string): void {
        const sources = source === undefined ? [...this.#faults.keys()] : [source];
        for (const healedSource of sources) {
            this.#faults.delete(healedSource);
            this.#applyFaults(healedSource);
        }
    }

    /** Resets the open connections of one source, or of all sources. */
    reset(source?: string): void {
        for (const connection of this.#connections) {
            if (source === undefined || connection.source === source) {
                connection.reset();
            }
        }
    }

    async #listen(port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, this.#options.host ?? "127.0.0.1", () => {
                this.#server.off("error", reject);
                resolve();
            });
        });
    }

    #faultOf(source: string): LinkFault {
        return this.#faults.get(source) ?? NO_FAULT;
    }

    #applyFaults(source: string): void {
        for (const connection of this.#connections) {
            if (connection.source === source) {
                connection.flush();
            }
        }
    }

    #accept(socket: Socket): void {
        this.#openedCount += 1;
        const source = socket.remoteAddress ?? "";
        if (this.#faultOf(source).refuse) {
            socket.resetAndDestroy();
            return;
        }
        const connection = new ProxiedConnection({
            source,
            socket,
            targetPort: this.#options.targetPort,
            forwardsResets: this.#options.forwardsResets ?? false,
            fault: () => this.#faultOf(source),
            onBytes: (direction, sizeBytes) => {
                this.#byteCounts[`${direction}Bytes`] += sizeBytes;
            },
            onClose: () => this.#connections.delete(connection),
        });
        this.#connections.add(connection);
    }
}
