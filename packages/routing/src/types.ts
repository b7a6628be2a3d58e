import type { Verdict } from "@greengage/base";

/** Generation request of a caller. */
export interface GenerateRequest {
    requestId: string;
    organisation: string;
    model: string;
    /** Body of the chat completion request, as sent by the caller. */
    body: Record<string, unknown>;
    /** Deadline of the caller, in monotonic time. */
    deadlineAtMs: number;
}

/** Destination for the events of a stream. */
export interface EventSink {
    /**
     * Writes complete server-sent events, without the end marker. Returns false when the buffer is full; wait for `drained`
     * before writing more.
     */
    write(events: Uint8Array): boolean;
    drained(): Promise<void>;
}

/** Call to a plain service, that is, a service without a model. */
export interface ServiceCall {
    requestId: string;
    organisation: string;
    service: string;
    method: string;
    /** Path and query relative to the service. */
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    deadlineAtMs: number;
    /** If true, the call is never sent again once a byte may have reached a backend server. */
    nonIdempotent: boolean;
    /** Checked synchronously before each write. The call is not sent if it returns false. */
    mayStillSend?: () => boolean;
}

export interface ServiceResponse {
    status: number;
    headers: Record<string, string>;
    body: Uint8Array;
    verdict: Verdict;
}

/** Dispatches requests of callers to backend servers. */
export interface Dispatcher {
    /**
     * Counts a request against the limits of its organisation and returns a function that ends it. Throws `limit-reached`
     * with verdict `notRun`. `generate` and idempotent calls of `callService` do this themselves.
     */
    admit(organisation: string): () => void;

    /** Resolves when the complete response has been written to `sink`. Throws a GreengageError otherwise. */
    generate(request: GenerateRequest, sink: EventSink, signal: AbortSignal): Promise<void>;

    /** Throws a GreengageError whose verdict says whether the call may have run. */
    callService(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>;
}
