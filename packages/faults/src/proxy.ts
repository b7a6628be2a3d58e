import { createServer, type Server, type Socket } from "node:net";
import { ProxiedConnection } from "./proxied.ts";

/** What happens to the bytes of one direction. */
export const LinkMode = {
    Pass: "pass",
    /** Bytes wait until the fault ends, as TCP resends after a network partition. */
    Hold: "hold",
    /** Bytes are lost: the connection stays half-open, also after the fault has ended. */
    Swallow: "swallow",
} as const;

export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** Fault of one direction of a link. */
export interface DirectionFault {
    mode: LinkMode;
    /** Added to the way of each chunk. */
    delayMs: number;
    /** Each connection adds a constant of up to this, so that connections overtake each other. */
    reorderMs: number;
}

/** Fault of the connections that one source address opens through a proxy. */
export interface LinkFault {
    toTarget: DirectionFault;
    toSource: DirectionFault;
    /** New connections are reset at once. */
    refuse: boolean;
}

export type LinkFaultChange = {
    toTarget?: Partial<DirectionFault>;
    toSource?: Partial<DirectionFault>;
    refuse?: boolean;
};

const PASS: DirectionFault = { mode: LinkMode.Pass, delayMs: 0, reorderMs: 0 };
const HEALTHY: LinkFault = { toTarget: PASS, toSource: PASS, refuse: false };

export interface FaultProxyOptions {
    /** Port on loopback that the proxy connects to. */
    targetPort: number;
    /** Port on loopback that the proxy listens on. Default: any free one. */
    port?: number;
}

/** TCP proxy on loopback that injects faults, by the source address of each connection. */
export class FaultProxy {
    readonly #options: FaultProxyOptions;
    readonly #faults = new Map<string, LinkFault>();
    readonly #connections = new Set<ProxiedConnection>();
    readonly #server: Server;
    #port = 0;
    #sizes = { toTargetBytes: 0, toSourceBytes: 0 };

    constructor(options: FaultProxyOptions) {
        this.#options = options;
        this.#server = createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket));
    }

    get port(): number {
        return this.#port;
    }

    /** Bytes passed on since the start. */
    get traffic(): { toTargetBytes: number; toSourceBytes: number; } {
        return { ...this.#sizes };
    }

    get connectionCount(): number {
        return this.#connections.size;
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.#options.port ?? 0, "127.0.0.1", resolve);
        });
        this.#port = (this.#server.address() as { port: number; }).port;
    }

    async close(): Promise<void> {
        this.reset();
        await new Promise<void>((resolve) => this.#server.close(() => resolve()));
    }

    /** Changes the fault of the connections from `source`, present and new ones. */
    setFault(source: string, change: LinkFaultChange): void {
        const before = this.#faultOf(source);
        this.#faults.set(source, {
            toTarget: { ...before.toTarget, ...change.toTarget },
            toSource: { ...before.toSource, ...change.toSource },
            refuse: change.refuse ?? before.refuse,
        });
        this.#applyFaults(source);
    }

    /** Ends the faults of a source, or of all. */
    heal(source?: string): void {
        const sources = source === undefined ? [...this.#faults.keys()] : [source];
        for (const healed of sources) {
            this.#faults.delete(healed);
            this.#applyFaults(healed);
        }
    }

    /** Resets the present connections of a source, or all. */
    reset(source?: string): void {
        for (const connection of this.#connections) {
            if (source === undefined || connection.source === source) {
                connection.reset();
            }
        }
    }

    #faultOf(source: string): LinkFault {
        return this.#faults.get(source) ?? HEALTHY;
    }

    #applyFaults(source: string): void {
        for (const connection of this.#connections) {
            if (connection.source === source) {
                connection.flush();
            }
        }
    }

    #accept(socket: Socket): void {
        const source = socket.remoteAddress ?? "";
        if (this.#faultOf(source).refuse) {
            socket.resetAndDestroy();
            return;
        }
        const connection = new ProxiedConnection({
            source,
            socket,
            targetPort: this.#options.targetPort,
            fault: () => this.#faultOf(source),
            onBytes: (direction, sizeBytes) => {
                this.#sizes[`${direction}Bytes`] += sizeBytes;
            },
            onClose: () => this.#connections.delete(connection),
        });
        this.#connections.add(connection);
    }
}
