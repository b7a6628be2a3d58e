import type { GreengageError, RequestProgress } from "@greengage/base";
import type { NamedLimit, PauseRequest } from "@greengage/routing";

/** Part of a prompt, such as a prefix, that requests may share. */
export interface PromptPart {
    id: string;
    tokens: number;
}

/** Parameters of a request to a model engine that determine its cost. */
export interface GenerationParameters {
    model: string;
    promptTokens: number;
    /** Maximum length of the answer. */
    maxAnswerTokens: number;
    parts: PromptPart[];
}

/** Request of a caller with its complete body. */
export interface CallerRequest {
    /** Set by the caller, with a new id for each of its own retries. */
    requestId: string;
    host: string;
    method: string;
    /** Request target (path and query) as received. */
    target: string;
    /** Headers to forward, with lower-case names. */
    headers: Record<string, string | string[]>;
    body: Buffer;
    apiKey?: string;
    /** Time that the caller waits, counted from `receivedAtMs`. */
    deadlineMs?: number;
    /** Monotonic time at which the request head had been read. */
    receivedAtMs: number;
    generation?: GenerationParameters;
    /** Set if the caller itself resumes a stream. */
    lastEventId?: string;
}

/** A request whose connection closed before the response was complete. */
export interface InterruptedCall {
    /** Undefined if the head of the request had not been read. */
    requestId: string | undefined;
    progress: RequestProgress;
    /** Time since the head was read, or since the connection was last idle. */
    ageMs: number;
    isClosedByCaller: boolean;
    /** Address and port of the caller. */
    peer: string;
    /** Requests that the connection has carried. */
    requestCount: number;
}

export type ResponseHeaders = Record<string, string | string[]>;

/** Response to a caller. */
export interface CallerResponse {
    /** Whether the caller has closed its connection. */
    readonly isClosed: boolean;
    /** Whether a part of the response has been sent. */
    readonly hasStarted: boolean;
    /** Whether the complete response has been passed on for sending. */
    readonly hasEnded: boolean;
    /** Registers a listener that is called if the caller closes its connection before the response has ended. */
    onClosed(listener: () => void): void;
    sendHead(status: number, headers: ResponseHeaders): void;
    /** Returns false when the buffer is full; use `onDrained` to learn when it has drained. */
    write(chunk: Uint8Array): boolean;
    onDrained(listener: () => void): void;
    end(): void;
    /** Sends a complete response. */
    send(status: number, headers: ResponseHeaders, body: Buffer): void;
    /** Aborts the response, so that it can't appear complete. */
    destroy(): void;
    /** Ends the response with an error, in the way that `outcomeOfError` states. */
    fail(error: GreengageError): void;
}

/** Load of a backend server, as reported in its responses. */
export interface ReportedLoad {
    runningCount: number;
    waitingCount: number;
    slotCount: number;
}

/** Decoded response head of a backend server. */
export interface ServerHead {
    status: number;
    /** Whether the server states that it has not run the request. */
    isNotRun: boolean;
    /** Whether the response carries the server's signature, which marks it as produced by the server itself. */
    hasSignature: boolean;
    load?: ReportedLoad;
    /** Rate of requests that the server takes from all daemons together. */
    limit: NamedLimit;
    /** Whether the server says that it is about to end. */
    isLeaving: boolean;
    /** Pause that the server asks this daemon for. */
    pause?: PauseRequest;
    /** Another server that prevents this one from serving the request. */
    culpritId?: string;
    /** Headers to forward to the caller. */
    headers: ResponseHeaders;
}

/** Request to a backend server with its routing metadata. */
export interface ServerRequest {
    request: CallerRequest;
    /** Server that the request is addressed to. Any other server rejects it. */
    serverId: string;
    /** Time after which the server stops processing the request. */
    deadlineMs: number;
    organisation?: string;
    /** Lower numbers go first. */
    priority: number;
    /** Id of the last event that the caller has received, if a stream is resumed. */
    lastEventId?: string;
}

/** Encodes requests to backend servers and decodes their responses. */
export interface ServerDialect {
    /** Header name in lower case. */
    requestIdHeader: string;
    encode(request: ServerRequest): Record<string, string>;
    decode(status: number, headers: Record<string, string | string[] | undefined>): ServerHead;
}
