/** Options of a stand-in, given as JSON on the command line. */
export interface StandinOptions {
    vmId: string;
    zone: string;
    fabricDomain: string;
    /** Port on loopback. Default: any free port. */
    port?: number;
    /** Base URLs of the daemons that receive reports, tried in turn. */
    daemonUrls: string[];
    key: string;
    /** Default: 8. */
    accelerators?: number;
    /** Whether orders with an outdated fencing token are refused. Default: true. */
    checksFencing?: boolean;
    /** Time to load a model. Default: 300. */
    loadMs?: number;
    /** Time to the first token. Default: 20. */
    firstTokenMs?: number;
    /** Time between tokens. Default: 10. */
    tokenGapMs?: number;
    /** Number of tokens in an answer unless the request sets `max_tokens`. Default: 16. */
    tokens?: number;
    /** Default: 32. */
    maxConcurrent?: number;
    /** Interval between reports. Default: 1000. */
    reportMs?: number;
    /** File to which orders, requests, actions and their results are appended, one JSON object per line. */
    recordPath?: string;
    /** Name of the plain service; ledgers only. */
    service?: string;
    /** URL to report when the stand-in is behind a proxy. Default: its own address. */
    announcedUrl?: string;
    /** Loopback address that outgoing connections are bound to. Default: any. */
    sourceAddress?: string;
    /** Base URL of the weight store to download from after `loadMs`. Default: nothing is downloaded. */
    weightStoreUrl?: string;
    /** Size of the download from the weight store. Default: 10. */
    weightsGb?: number;
    /** Capacity of the prefix cache. Default: 64. */
    cachedPrefixes?: number;
    /** Added to the time to the first token when the prefix is not cached. Default: 0. */
    prefixMissMs?: number;
    /**
     * Texts by phase. The process ends in that phase when it answers a request whose path or body contains the text.
     * Ledgers have only the phase `beforeHead`. Default: none does.
     */
    crashTexts?: Partial<Record<CrashPhase, string>>;
}

/** Phase of an answer: before its head is sent, or between the head and the first event. */
export const CrashPhase = { BeforeHead: "beforeHead", AfterHead: "afterHead" } as const;

export type CrashPhase = typeof CrashPhase[keyof typeof CrashPhase];

/** Options of a process that hosts several backend servers. */
export interface HostOptions {
    key: string;
    /** Base URLs of the daemons that receive reports, by zone. */
    daemonUrls: Record<string, string[]>;
    vms: ({ kind: "model" | "ledger"; } & Omit<StandinOptions, "daemonUrls" | "key">)[];
}

/** Settings that the control endpoint changes while a stand-in runs. */
export interface Behaviour {
    /** Factor by which a straggler's load time, time to first token and token gap grow. */
    slowdown: number;
    /** Delay of each answer after its request has been processed. */
    lateMs: number;
    /** Share of the answers that are dropped by closing the connection after the request has been processed. */
    lostShare: number;
    /** Whether load orders end in the state `failed`. */
    failsLoads: boolean;
    /** Requests per second from all daemons together that answers name; undefined names no limit. */
    requestLimitPerS?: number;
}

export const DEFAULT_BEHAVIOUR: Behaviour = { slowdown: 1, lateMs: 0, lostShare: 0, failsLoads: false };
