import { FaultProxy, LinkMode } from "./proxy.ts";
import { SilentListener } from "./silentlistener.ts";

/** How the paths from a process to servers fail. */
export const PathCut = {
    /** Packets are dropped: open connections fall silent, new ones hang. */
    Silent: "silent",
    /** Open connections are reset, new ones are refused. */
    Reset: "reset",
    /** New connections are refused, open ones live on. */
    RefuseNew: "refuseNew",
} as const;

export type PathCut = typeof PathCut[keyof typeof PathCut];

/** Source address of the connections of a process that `source.ts` doesn't bind to another one. */
const SOURCE = "127.0.0.1";
const HOLD = { toTarget: { mode: LinkMode.Hold }, toSource: { mode: LinkMode.Hold } };

/**
 * Network paths from one process to servers on 127.0.0.1. The process runs with `source.ts` and `host` as its
 * `GREENGAGE_TEST_SERVER_HOST`; a proxy at this address and the port of each server forwards its connections.
 */
export class ServerLinks {
    readonly host: string;
    readonly #proxies = new Map<number, FaultProxy>();
    readonly #silentListener = new SilentListener();
    #cut: PathCut | undefined;

    constructor(host: string) {
        this.host = host;
    }

    /** Connections to servers that were opened since the start. */
    get openedCount(): number {
        return [...this.#proxies.values()].reduce((sum, { openedCount }) => sum + openedCount, 0);
    }

    async start(): Promise<void> {
        await this.#silentListener.start();
    }

    /** Adds the path to the server at a port. */
    async addServer(port: number): Promise<void> {
        const proxy = new FaultProxy({ host: this.host, port, targetPort: port, forwardsResets: true });
        await proxy.start();
        this.#proxies.set(port, proxy);
    }

    async cut(cut: PathCut): Promise<void> {
        this.#cut = cut;
        for (const proxy of this.#proxies.values()) {
            proxy.suspend();
            cutHandlers[cut](proxy);
        }
        if (cut === PathCut.Silent) {
            await this.#silentListener.listen(
                [...this.#proxies.keys()].map((port) => ({ host: this.host, port })),
            );
        }
    }

    /** Ends the cut. */
    async heal(): Promise<void> {
        if (this.#cut === PathCut.Silent) {
            await this.#silentListener.stop();
        }
        this.#cut = undefined;
        for (const proxy of this.#proxies.values()) {
            await proxy.resume();
            proxy.heal();
        }
    }

    async close(): Promise<void> {
        await this.#silentListener.close();
        await Promise.all([...this.#proxies.values()].map((proxy) => proxy.close()));
    }
}

/** What happens to the open connections. */
const cutHandlers: Record<PathCut, (proxy: FaultProxy) => void> = {
    silent: (proxy) => proxy.setFault(SOURCE, HOLD),
    reset: (proxy) => proxy.reset(),
    refuseNew: () => undefined,
};
