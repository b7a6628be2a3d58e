import type { GreengageError } from "@greengage/base";
import type { EventSink } from "@greengage/routing";
import { once } from "node:events";
import type { Exchange } from "./exchange.ts";
import { createProblem } from "./problem.ts";

const FLUSH_TIMEOUT_MS = 1_000;

/** Writes server-sent events to a caller. The headers are sent with the first event. */
export class ResponseSink implements EventSink {
    readonly #exchange: Exchange;
    readonly #signal: AbortSignal;

    /** The signal aborts waiting for a caller that reads slowly. */
    constructor(exchange: Exchange, signal: AbortSignal) {
        this.#exchange = exchange;
        this.#signal = signal;
    }

    get hasStarted(): boolean {
        return this.#exchange.response.headersSent;
    }

    write(events: Uint8Array): boolean {
        const { request, response } = this.#exchange;
        // The first write sends the headers. Later writes bypass the chunked framing of ServerResponse, which costs
        // four buffers and a tick per event. A pipelined response queued behind another one has no socket yet.
        if (response.headersSent && response.socket && request.httpVersion === "1.1") {
            return response.socket.write(encodeChunk(events));
        }
        this.#writeHead();
        return response.write(events);
    }

    async drained(): Promise<void> {
        const { response } = this.#exchange;
        const { socket } = response;
        const isWaiting = response.writableNeedDrain || socket?.writableNeedDrain === true;
        if (response.destroyed || !isWaiting || this.#signal.aborted) {
            return;
        }
        const stop = new AbortController();
        const options = { signal: stop.signal };
        const waits = [
            once(socket ?? response, "drain", options),
            once(response, "close", options),
            once(this.#signal, "abort", options),
        ];
        await Promise.race(waits).finally(() => stop.abort());
    }

    /** Ends a complete stream with the `[DONE]` marker. */
    end(): void {
        this.#writeHead();
        this.#exchange.response.end("data: [DONE]\n\n");
    }

    /** Ends a failed stream: sends an error event instead of the `[DONE]` marker and closes the connection. */
    fail(error: GreengageError): void {
        const { response } = this.#exchange;
        const event = `event: error\ndata: ${JSON.stringify(createProblem(error))}\n\n`;
        const { socket } = response;
        // A caller that does not read would keep the connection open forever.
        const timer = setTimeout(() => socket?.destroy(), FLUSH_TIMEOUT_MS);
        response.once("close", () => clearTimeout(timer));
        response.end(event, () => socket?.destroySoon());
    }

    #writeHead(): void {
        const { response, extraHeaders } = this.#exchange;
        if (!response.headersSent) {
            response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                ...extraHeaders,
            });
        }
    }
}

/** Encodes data as one chunk of the chunked transfer encoding. */
const encodeChunk = (data: Uint8Array): Buffer => {
    const size = data.length.toString(16);
    const chunk = Buffer.allocUnsafe(size.length + data.length + 4);
    chunk.write(`${size}\r\n`, 0, "latin1");
    chunk.set(data, size.length + 2);
    chunk.write("\r\n", size.length + 2 + data.length, "latin1");
    return chunk;
};
