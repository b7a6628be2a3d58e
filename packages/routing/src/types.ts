import type { Verdict } from "@greengage/base";

/** One generation request of a caller. */
export interface GenerateRequest {
    requestId: string;
    organisation: string;
    model: string;
    /** Body of the chat completion, as the caller sent it. */
    body: Record<string, unknown>;
    /** Monotonic time at which the caller's deadline passes. */
    deadlineAtMs: number;
}

/** Where the events of a stream go. */
export interface EventSink {
    /**
     * Takes the data of complete server-sent events, the end marker not included.
     * Returns false when the caller reads slowly; then wait for `drained`.
     */
    write(events: Uint8Array): boolean;
    drained(): Promise<void>;
}

/** A call to a plain service. */
export interface ServiceCall {
    requestId: string;
    organisation: string;
    service: string;
    method: string;
    /** Path and query below the service. */
    path: string;
    headers: Record<string, string>;
    body: Uint8Array;
    deadlineAtMs: number;
    /** Never send again once a byte may have reached the backend server. */
    nonIdempotent: boolean;
    /** Checked in the same step as the first write. The call is not sent when it returns false. */
    mayStillSend?: () => boolean;
}

export interface ServiceResponse {
    status: number;
    headers: Record<string, string>;
    body: Uint8Array;
    verdict: Verdict;
}

/** Runs requests of callers on backend servers. */
export interface Dispatcher {
    /**
     * Counts a request against the limits of its organisation and returns the function that ends it.
     * Throws `limit-reached` with verdict `notRun`. `generate` and idempotent `callService` do this themselves.
     */
    admit(organisation: string): () => void;

    /** Resolves when the whole answer has been written. Throws a GreengageError otherwise. */
    generate(request: GenerateRequest, sink: EventSink, signal: AbortSignal): Promise<void>;

    /** Throws a GreengageError whose verdict says whether the call may have run. */
    callService(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>;
}
