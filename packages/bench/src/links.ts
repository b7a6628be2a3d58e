import { type DirectionFault, FaultProxy, type LinkFaultChange, LinkMode } from "@greengage/faults";

interface Endpoint {
    zone: string;
    proxy: FaultProxy;
}

/** Change of one link: the connections that `source` opens through `proxy`. */
interface LinkChange {
    proxy: FaultProxy;
    source: string;
    change: LinkFaultChange;
}

/** Ends one fault; other faults of the same links go on. */
export type EndFault = () => void;

const HOLD_BOTH: LinkFaultChange = { toTarget: { mode: LinkMode.Hold }, toSource: { mode: LinkMode.Hold } };

/**
 * Fault-injecting proxies of a cluster. Each process opens its connections from its own loopback address,
 * so one proxy per listening process is enough to cut each directed pair on its own.
 */
export class Links {
    readonly #peers = new Map<string, Endpoint>();
    readonly #surfaces = new Map<string, Endpoint>();
    readonly #backends = new Map<string, Endpoint>();
    readonly #zones: string[];
    readonly #faults = new Set<LinkChange[]>();

    constructor(zones: string[]) {
        this.#zones = zones;
    }

    /** Address from which a daemon opens its connections. */
    daemonSource(daemonId: string): string {
        return `127.0.1.${[...this.#peers.keys()].indexOf(daemonId) + 1}`;
    }

    /** Address from which the backend servers of a zone open their connections. */
    backendSource(zone: string): string {
        return `127.0.2.${this.#zones.indexOf(zone) + 1}`;
    }

    /** Puts proxies in front of a daemon's two ports and returns the proxies' ports. */
    async addDaemon(
        daemonId: string,
        zone: string,
        ports: { peer: number; http: number; },
    ): Promise<{ peer: number; http: number; }> {
        const peer = await startProxy(ports.peer);
        const http = await startProxy(ports.http);
        this.#peers.set(daemonId, { zone, proxy: peer });
        this.#surfaces.set(daemonId, { zone, proxy: http });
        return { peer: peer.port, http: http.port };
    }

    /** Puts a proxy in front of a backend server and returns its port. */
    async addBackend(vmId: string, zone: string, port: number): Promise<number> {
        const proxy = await startProxy(port);
        this.#backends.set(vmId, { zone, proxy });
        return proxy.port;
    }

    /** Changes the bytes that flow from one daemon to another, whoever opened the connection. */
    faultPair(fromId: string, toId: string, fault: Partial<DirectionFault>): EndFault {
        return this.#begin(this.#pair(fromId, toId, fault));
    }

    /** Cuts the network between a zone's daemons and backend servers and all other zones. */
    partitionZone(zone: string): EndFault {
        const changes: LinkChange[] = [];
        const inside = [...this.#peers].filter(([, peer]) => peer.zone === zone).map(([id]) => id);
        const outside = [...this.#peers].filter(([, peer]) => peer.zone !== zone).map(([id]) => id);
        for (const insideId of inside) {
            for (const outsideId of outside) {
                changes.push(...this.#pair(insideId, outsideId, { mode: LinkMode.Hold }));
                changes.push(...this.#pair(outsideId, insideId, { mode: LinkMode.Hold }));
            }
        }
        for (const { zone: backendZone, proxy } of this.#backends.values()) {
            for (const daemonId of backendZone === zone ? outside : inside) {
                changes.push({ proxy, source: this.daemonSource(daemonId), change: HOLD_BOTH });
            }
        }
        return this.#begin(changes);
    }

    /** Cuts a daemon off from all other daemons, but not from callers and backend servers. */
    isolateDaemon(daemonId: string): EndFault {
        const others = [...this.#peers.keys()].filter((id) => id !== daemonId);
        return this.#begin(others.flatMap((other) => [
            ...this.#pair(daemonId, other, { mode: LinkMode.Hold }),
            ...this.#pair(other, daemonId, { mode: LinkMode.Hold }),
        ]));
    }

    /** Changes the links between all daemons and a backend server. */
    faultBackend(vmId: string, change: LinkFaultChange): EndFault {
        const { proxy } = this.#get(this.#backends, vmId);
        return this.#begin(
            [...this.#peers.keys()].map((id) => ({ proxy, source: this.daemonSource(id), change })),
        );
    }

    /** Changes the links on which a zone's backend servers report to a daemon. */
    faultReports(zone: string, daemonId: string, change: LinkFaultChange): EndFault {
        const { proxy } = this.#get(this.#surfaces, daemonId);
        return this.#begin([{ proxy, source: this.backendSource(zone), change }]);
    }

    /** Resets the connections between daemons and a backend server. */
    resetBackend(vmId: string): void {
        this.#get(this.#backends, vmId).proxy.reset();
    }

    /** Bytes of a daemon's HTTP surfaces through its proxy: reports, and requests to its `url`. */
    surfaceTraffic(daemonId: string): { toTargetBytes: number; toSourceBytes: number; } {
        return this.#get(this.#surfaces, daemonId).proxy.traffic;
    }

    /** Ends all faults. */
    heal(): void {
        this.#faults.clear();
        for (const { proxy } of this.#all()) {
            proxy.heal();
        }
    }

    async close(): Promise<void> {
        await Promise.all(this.#all().map(({ proxy }) => proxy.close()));
    }

    #pair(fromId: string, toId: string, fault: Partial<DirectionFault>): LinkChange[] {
        const from = this.#get(this.#peers, fromId);
        const to = this.#get(this.#peers, toId);
        return [
            { proxy: to.proxy, source: this.daemonSource(fromId), change: { toTarget: fault } },
            { proxy: from.proxy, source: this.daemonSource(toId), change: { toSource: fault } },
        ];
    }

    #begin(changes: LinkChange[]): EndFault {
        this.#faults.add(changes);
        apply(changes);
        return () => this.#end(changes);
    }

    #end(changes: LinkChange[]): void {
        if (!this.#faults.delete(changes)) {
            return;
        }
        for (const { proxy, source } of changes) {
            const others = [...this.#faults].flat().filter((other) =>
                other.proxy === proxy && other.source === source
            );
            // One change, so that no held byte passes in between.
            proxy.setFault(source, merge(others));
        }
    }

    #get(endpoints: Map<string, Endpoint>, id: string): Endpoint {
        const endpoint = endpoints.get(id);
        if (endpoint === undefined) {
            throw new Error(`no proxy for ${id}`);
        }
        return endpoint;
    }

    #all(): Endpoint[] {
        return [...this.#peers.values(), ...this.#surfaces.values(), ...this.#backends.values()];
    }
}

const PASS: DirectionFault = { mode: LinkMode.Pass, delayMs: 0, reorderMs: 0 };
const HEALTHY: LinkFaultChange = { toTarget: PASS, toSource: PASS, refuse: false };

const merge = (links: LinkChange[]): LinkFaultChange =>
    links.reduce((merged, { change }) => ({
        toTarget: { ...merged.toTarget, ...change.toTarget },
        toSource: { ...merged.toSource, ...change.toSource },
        refuse: change.refuse ?? merged.refuse,
    }), HEALTHY);

const apply = (changes: LinkChange[]): void => {
    for (const { proxy, source, change } of changes) {
        proxy.setFault(source, change);
    }
};

const startProxy = async (targetPort: number): Promise<FaultProxy> => {
    const proxy = new FaultProxy({ targetPort });
    await proxy.start();
    return proxy;
};
