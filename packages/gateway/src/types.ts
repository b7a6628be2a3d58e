import type { GreengageError } from "@greengage/base";

/** Part of a prompt that requests may share. */
export interface PromptPart {
    id: string;
    tokens: number;
}

/** What a request to a model engine says about its work. */
export interface GenerationParameters {
    model: string;
    promptTokens: number;
    /** Longest answer. */
    maxAnswerTokens: number;
    parts: PromptPart[];
}

/** A request of a caller, read in full. */
export interface CallerRequest {
    /** Chosen by the caller; each of its attempts has its own. */
    requestId: string;
    host: string;
    method: string;
    /** Path and query, as received. */
    target: string;
    /** Headers to pass on, with names in lower case. */
    headers: Record<string, string | string[]>;
    body: Buffer;
    apiKey?: string;
    /** Time that the caller waits, from `receivedAtMs` on. */
    deadlineMs?: number;
    /** Monotonic time at which the head of the request had been read. */
    receivedAtMs: number;
    generation?: GenerationParameters;
    /** Set when the caller resumes a stream by itself. */
    lastEventId?: string;
}

export type ResponseHeaders = Record<string, string | string[]>;

/** The way back to a caller. */
export interface CallerResponse {
    /** Whether the caller has closed its connection. */
    readonly isClosed: boolean;
    /** Whether a byte of the answer has gone out. */
    readonly hasStarted: boolean;
    /** Calls `listener` when the caller closes its connection before the answer has ended. */
    onClosed(listener: () => void): void;
    sendHead(status: number, headers: ResponseHeaders): void;
    /** Returns false when the caller reads slowly; then `onDrained` is called once it has caught up. */
    write(chunk: Uint8Array): boolean;
    onDrained(listener: () => void): void;
    end(): void;
    /** Sends a whole answer. */
    send(status: number, headers: ResponseHeaders, body: Buffer): void;
    /** Breaks the answer off, so that it can't look complete. */
    destroy(): void;
    /** Sends an error answer, or breaks the answer off if it has begun. */
    fail(error: GreengageError): void;
}

/** Load of a backend server, as it tells it on an answer. */
export interface ReportedLoad {
    runningCount: number;
    waitingCount: number;
    slotCount: number;
}

/** Head of a backend server's answer. */
export interface ServerHead {
    status: number;
    /** The server says that it has not run the request. */
    isNotRun: boolean;
    /** Whether it carries the server's signature, as each answer of a server's own work does. */
    hasSignature: boolean;
    load?: ReportedLoad;
    /** Server that stands in the way of an answer of this one. */
    culpritId?: string;
    /** Headers for the caller. */
    headers: ResponseHeaders;
}

/** What a backend server is told with a request. */
export interface ServerRequest {
    request: CallerRequest;
    /** Server that must handle the request. Any other rejects it. */
    serverId: string;
    /** Time after which the server stops. */
    deadlineMs: number;
    organisation?: string;
    /** The lower number goes first. */
    priority: number;
    /** Last event that the caller has, when a stream is resumed. */
    lastEventId?: string;
}

/** Encoding of requests to backend servers and of their answers. */
export interface ServerDialect {
    /** In lower case. */
    requestIdHeader: string;
    encode(request: ServerRequest): Record<string, string>;
    decode(status: number, headers: Record<string, string | string[] | undefined>): ServerHead;
}
