/** Determines whether requests of a route may be retried. */
export const RouteKind = {
    /** Idempotent: may run more than once. */
    Safe: "safe",
    /** Not idempotent: must run at most once. */
    Unsafe: "unsafe",
    /** Answered by an event stream; retried only by resuming it. */
    Stream: "stream",
} as const;

export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** Share of a route's requests that one service handles. */
export interface RouteShare {
    service: string;
    /** Relative to the other shares of the route. */
    weight: number;
}

export interface Route {
    name: string;
    /** Compared with the `Host` header, without its port. */
    host: string;
    /** Begins and ends with a slash. The longest matching prefix wins. */
    pathPrefix: string;
    kind: RouteKind;
    /** Maximum duration of a request. An earlier deadline of the caller takes precedence. */
    timeoutMs: number;
    /** Latency target for the response, or for the first event of a stream. */
    targetMs: number;
    /** Lower numbers are served first. */
    priority: number;
    shares: RouteShare[];
    /** Maximum number of backend servers that one request is sent to. */
    maxAttempts: number;
    allowsAnonymous: boolean;
    /** Whether an interrupted stream may be resumed at another backend server. */
    canResume: boolean;
    /** Target for the longest gap between two events of a stream. */
    gapTargetMs?: number;
}

/** Model that the VMs of a service can run. */
export interface ModelSpec {
    name: string;
    /** VMs per replica group. */
    vmCount: number;
    /** Expected fraction of the service's work, from 0 to 1. */
    share: number;
    /** Multiplies all durations of the model's groups. */
    pace: number;
    /** Time to load the weights from the weight store. */
    loadMs: number;
    /** Time to load the weights from the VM's host, when they are staged there. */
    warmLoadMs: number;
}

/** Performance model and limits of a service's model engines. */
export interface EngineProfile {
    models: ModelSpec[];
    /** Requests that one group can run concurrently. */
    slotCount: number;
    kvCapacityTokens: number;
    /** Duration of a decoding step with one request. */
    stepMs: number;
    /** Additional duration per further request in the batch. */
    stepPerRequestMs: number;
    /** Additional duration per 1,000 context tokens of the requests that decode. */
    stepPerContextMs: number;
    /** Prefill throughput. */
    prefillTokensPerMs: number;
    /** Attention cost of prefill, per million pairs of a prompt token and an earlier token. */
    prefillPairsMs: number;
    /** Maximum number of prompt tokens that one step prefills. */
    prefillChunkTokens: number;
    /** Steps per scheduling pass while requests decode. */
    stepsPerPass: number;
    /** Weight loads that may start per second, over all VMs. */
    loadsPerS: number;
    /** Concurrent loads that the weight store serves at full speed. */
    loadsAtOnce: number;
    /** Models that a host can keep staged. */
    stagedModelCount: number;
    /** Time from the order to open a group until it accepts requests. */
    openMs: number;
    /** Expected mean tokens of a prompt; `usualAnswerTokens` for an answer. */
    usualPromptTokens: number;
    usualAnswerTokens: number;
}

export interface ServiceSpec {
    name: string;
    /** Connections that one backend server accepts, summed over all daemons. */
    maxConnections: number;
    /** Undefined for services that don't run models. */
    engine?: EngineProfile;
}

export interface Organisation {
    name: string;
    apiKeys: string[];
    /** Overrides the priority of the route. */
    priority?: number;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headersMs: number;
    idleMs: number;
}

/** Complete configuration. The highest version is in force. */
export interface Configuration {
    version: number;
    routes: Route[];
    services: ServiceSpec[];
    limits: CallerLimits;
    /** Undefined when callers need no API key. */
    organisations?: Organisation[];
}
