/** Says what may be repeated of the requests of a route. */
export const RouteKind = {
    /** May run more than once. */
    Safe: "safe",
    /** Runs at most once. */
    Unsafe: "unsafe",
    /** Answered by a stream of events; may be repeated only by resumption. */
    Stream: "stream",
} as const;

export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** One service that takes part of a route's requests. */
export interface RouteShare {
    service: string;
    /** Relative to the other shares of the route. */
    weight: number;
}

export interface Route {
    name: string;
    /** Compared with the `Host` header, without a port. */
    host: string;
    /** Begins and ends with a slash. The longest prefix of a path wins. */
    pathPrefix: string;
    kind: RouteKind;
    /** Longest time for which a request is kept waiting. */
    timeoutMs: number;
    /** Time to the answer, or to the first event of a stream, that callers expect. */
    targetMs: number;
    /** The lower number goes first. */
    priority: number;
    shares: RouteShare[];
    /** Backend servers that one request may be sent to. */
    maxAttempts: number;
    allowsAnonymous: boolean;
    /** Whether a broken stream may go on at another backend server. */
    canResume: boolean;
    /** Longest pause between two events of a stream that callers accept. */
    gapTargetMs?: number;
}

/** One model that the VMs of a service can run. */
export interface ModelSpec {
    name: string;
    /** VMs of one replica group. */
    vmCount: number;
    /** Part of the service's work that the model is expected to get, 0 to 1. */
    share: number;
    /** Factor on all durations of the model's groups. */
    pace: number;
    /** Load from the weight store. */
    loadMs: number;
    /** Load from the VM's own host, where the weights are staged. */
    warmLoadMs: number;
}

/** How the model engines of a service work. */
export interface EngineProfile {
    models: ModelSpec[];
    /** Requests that one group runs at once. */
    slotCount: number;
    kvCapacityTokens: number;
    /** Duration of a step with one request. */
    stepMs: number;
    /** Longer step for each further request. */
    stepPerRequestMs: number;
    /** Longer step for each 1,000 tokens of context of the requests that write. */
    stepPerContextMs: number;
    /** Prompt tokens read in a millisecond. */
    prefillTokensPerMs: number;
    /** Time for a million pairs of a prompt token and an earlier token. */
    prefillPairsMs: number;
    /** Prompt tokens read in one step at the most. */
    prefillChunkTokens: number;
    /** Steps in one pass while requests write. */
    stepsPerPass: number;
    /** Loads that may begin in a second, over all VMs. */
    loadsPerS: number;
    /** Loads at the full speed of the weight store. */
    loadsAtOnce: number;
    /** Models that a host keeps staged. */
    stagedModelCount: number;
    /** From an order to open a group until it takes requests. */
    openMs: number;
    /** Mean tokens of a prompt and of an answer. */
    usualPromptTokens: number;
    usualAnswerTokens: number;
}

export interface ServiceSpec {
    name: string;
    /** Connections that one backend server accepts from all daemons together. */
    maxConnections: number;
    /** Missing on services that don't run models. */
    engine?: EngineProfile;
}

export interface Organisation {
    name: string;
    apiKeys: string[];
    /** Goes before the priority of the route. */
    priority?: number;
}

/** Limits of what callers may send. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headersMs: number;
    idleMs: number;
}

/** A whole configuration. The highest version is in force. */
export interface Configuration {
    version: number;
    routes: Route[];
    services: ServiceSpec[];
    limits: CallerLimits;
    /** Undefined where callers need no key. */
    organisations?: Organisation[];
}
