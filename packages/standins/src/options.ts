/** Options of a stand-in process, given as JSON in its first argument. */
export interface StandinOptions {
    vmId: string;
    zone: string;
    fabricDomain: string;
    /** Port on loopback. Default: any free one. */
    port?: number;
    /** Base URLs of daemons that take reports, tried in turn. */
    daemonUrls: string[];
    key: string;
    /** Default: 8. */
    accelerators?: number;
    /** Refuse orders with an old fencing token. Default: true. */
    checksFencing?: boolean;
    /** Time to load a model. Default: 300. */
    loadMs?: number;
    /** Time to the first token. Default: 20. */
    firstTokenMs?: number;
    /** Time between tokens. Default: 10. */
    tokenGapMs?: number;
    /** Tokens of an answer, unless the request sets `max_tokens`. Default: 16. */
    tokens?: number;
    /** Default: 32. */
    maxConcurrent?: number;
    /** Default: 1000. */
    reportMs?: number;
    /** File that gets one JSON line per order, request and action. */
    recordPath?: string;
    /** Name of the plain service; ledger engines only. */
    service?: string;
    /** URL in reports, where a proxy stands before the stand-in. Default: its own address. */
    announcedUrl?: string;
    /** Loopback address from which it opens connections. Default: any. */
    sourceAddress?: string;
    /** Weight store from which a model engine loads. Default: it takes `loadMs` alone. */
    weightStoreUrl?: string;
    /** Default: 10. */
    weightsGb?: number;
    /** Prefixes that the prefix cache holds. Default: 64. */
    cachedPrefixes?: number;
    /** Added to the time to the first token when the prefix is not cached. Default: 0. */
    prefixMissMs?: number;
}

/** Options of a process that hosts several backend servers. */
export interface HostOptions {
    key: string;
    /** Base URLs of daemons that take reports, by zone. */
    daemonUrls: Record<string, string[]>;
    vms: ({ kind: "model" | "ledger"; } & Omit<StandinOptions, "daemonUrls" | "key">)[];
}

/** What the control endpoint changes while a stand-in runs. */
export interface Behaviour {
    /** Factor on all times of a straggler. */
    slowdown: number;
    /** Delay of each answer after the work is done. */
    lateMs: number;
    /** Share of the answers that are lost after the work is done: the connection ends without them. */
    lostShare: number;
    /** Orders to load end in the state `failed`. */
    failsLoads: boolean;
}

export const DEFAULT_BEHAVIOUR: Behaviour = { slowdown: 1, lateMs: 0, lostShare: 0, failsLoads: false };
