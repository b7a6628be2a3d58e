import { type DirectionFault, FaultProxy, type LinkFaultChange, LinkMode } from "@greengage/faults";

interface Endpoint {
    zone: string;
    proxy: FaultProxy;
}

/** Fault change for the connections that `source` opens through `proxy`. */
interface LinkChange {
    proxy: FaultProxy;
    source: string;
    change: LinkFaultChange;
}

/** Ends one fault; other faults of the same links remain active. */
export type EndFault = () => void;

const HOLD_BOTH: LinkFaultChange = { toTarget: { mode: LinkMode.Hold }, toSource: { mode: LinkMode.Hold } };

/**
 * Fault-injecting proxies of a cluster. Daemons, and the backend servers of each zone, connect from their own
 * loopback address, so one proxy per listening port can tell the sources apart and fault each link separately.
 */
export class Links {
    readonly #peers = new Map<string, Endpoint>();
    readonly #surfaces = new Map<string, Endpoint>();
    readonly #backends = new Map<string, Endpoint>();
    readonly #zones: string[];
    readonly #activeFaults = new Set<LinkChange[]>();

    constructor(zones: string[]) {
        this.#zones = zones;
    }

    /** Loopback address that a daemon connects from. */
    daemonSource(daemonId: string): string {
        return `127.0.1.${[...this.#peers.keys()].indexOf(daemonId) + 1}`;
    }

    /** Loopback address that the backend servers of a zone connect from. */
    backendSource(zone: string): string {
        return `127.0.2.${this.#zones.indexOf(zone) + 1}`;
    }

    /** Starts proxies for a daemon's peer and HTTP ports and returns the proxies' ports. */
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

    /** Starts a proxy for a backend server and returns the proxy's port. */
    async addBackend(vmId: string, zone: string, port: number): Promise<number> {
        const proxy = await startProxy(port);
        this.#backends.set(vmId, { zone, proxy });
        return proxy.port;
    }

    /** Faults the traffic from one daemon to another, whichever of them opened the connection. */
    faultPair(fromId: string, toId: string, fault: Partial<DirectionFault>): EndFault {
        return this.#beginFault(this.#changePair(fromId, toId, fault));
    }

    /** Partitions a zone's daemons and backend servers from those of all other zones. */
    partitionZone(zone: string): EndFault {
        const changes: LinkChange[] = [];
        const inside = [...this.#peers].filter(([, peer]) => peer.zone === zone).map(([id]) => id);
        const outside = [...this.#peers].filter(([, peer]) => peer.zone !== zone).map(([id]) => id);
        for (const insideId of inside) {
            for (const outsideId of outside) {
                changes.push(...this.#changePair(insideId, outsideId, { mode: LinkMode.Hold }));
                changes.push(...this.#changePair(outsideId, insideId, { mode: LinkMode.Hold }));
            }
        }
        for (const { zone: backendZone, proxy } of this.#backends.values()) {
            for (const daemonId of backendZone === zone ? outside : inside) {
                changes.push({ proxy, source: this.daemonSource(daemonId), change: HOLD_BOTH });
            }
        }
        return this.#beginFault(changes);
    }

    /** Disconnects a daemon from all other daemons, but not from callers and backend servers. */
    isolateDaemon(daemonId: string): EndFault {
        const otherIds = [...this.#peers.keys()].filter((id) => id !== daemonId);
        return this.#beginFault(otherIds.flatMap((other) => [
            ...this.#changePair(daemonId, other, { mode: LinkMode.Hold }),
            ...this.#changePair(other, daemonId, { mode: LinkMode.Hold }),
        ]));
    }

    /** Faults the links from all daemons to a backend server. */
    faultBackend(vmId: string, change: LinkFaultChange): EndFault {
        const { proxy } = this.#endpoint(this.#backends, vmId);
        return this.#beginFault(
            [...this.#peers.keys()].map((id) => ({ proxy, source: this.daemonSource(id), change })),
        );
    }

    /** Faults the links on which a zone's backend servers report to a daemon. */
    faultReports(zone: string, daemonId: string, change: LinkFaultChange): EndFault {
        const { proxy } = this.#endpoint(this.#surfaces, daemonId);
        return this.#beginFault([{ proxy, source: this.backendSource(zone), change }]);
    }

    /** Resets all connections to a backend server. */
    resetBackend(vmId: string): void {
        this.#endpoint(this.#backends, vmId).proxy.reset();
    }

    /** HTTP bytes through a daemon's proxy: reports of backend servers, and requests to the daemon's `url`. */
    surfaceTraffic(daemonId: string): { toTargetBytes: number; toSourceBytes: number; } {
        return this.#endpoint(this.#surfaces, daemonId).proxy.traffic;
    }

    /** Ends all faults. */
    heal(): void {
        this.#activeFaults.clear();
        for (const { proxy } of this.#endpoints()) {
            proxy.heal();
        }
    }

    async close(): Promise<void> {
        await Promise.all(this.#endpoints().map(({ proxy }) => proxy.close()));
    }

    #changePair(fromId: string, toId: string, fault: Partial<DirectionFault>): LinkChange[] {
        const from = this.#endpoint(this.#peers, fromId);
        const to = this.#endpoint(this.#peers, toId);
        return [
            { proxy: to.proxy, source: this.daemonSource(fromId), change: { toTarget: fault } },
            { proxy: from.proxy, source: this.daemonSource(toId), change: { toSource: fault } },
        ];
    }

    #beginFault(changes: LinkChange[]): EndFault {
        this.#activeFaults.add(changes);
        applyChanges(changes);
        return () => this.#endFault(changes);
    }

    #endFault(changes: LinkChange[]): void {
        if (!this.#activeFaults.delete(changes)) {
            return;
        }
        for (const { proxy, source } of changes) {
            const others = [...this.#activeFaults].flat().filter((other) =>
                other.proxy === proxy && other.source === source
            );
            // A single update, so that no held bytes pass between two updates.
            proxy.setFault(source, mergeChanges(others));
        }
    }

    #endpoint(endpoints: Map<string, Endpoint>, id: string): Endpoint {
        const endpoint = endpoints.get(id);
        if (endpoint === undefined) {
            throw new Error(`no proxy for ${id}`);
        }
        return endpoint;
    }

    #endpoints(): Endpoint[] {
        return [...this.#peers.values(), ...this.#surfaces.values(), ...this.#backends.values()];
    }
}

const PASS: DirectionFault = { mode: LinkMode.Pass, delayMs: 0, reorderMs: 0 };
const HEALTHY: LinkFaultChange = { toTarget: PASS, toSource: PASS, refuse: false };

const mergeChanges = (links: LinkChange[]): LinkFaultChange =>
    links.reduce((merged, { change }) => ({
        toTarget: { ...merged.toTarget, ...change.toTarget },
        toSource: { ...merged.toSource, ...change.toSource },
        refuse: change.refuse ?? merged.refuse,
    }), HEALTHY);

const applyChanges = (changes: LinkChange[]): void => {
    for (const { proxy, source, change } of changes) {
        proxy.setFault(source, change);
    }
};

const startProxy = async (targetPort: number): Promise<FaultProxy> => {
    const proxy = new FaultProxy({ targetPort });
    await proxy.start();
    return proxy;
};
