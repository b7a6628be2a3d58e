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
}
