import type { GreengageError } from "@greengage/base";
import type { EventSink } from "@greengage/routing";
import { once } from "node:events";
import type { Exchange } from "./exchange.ts";
import { problemOf } from "./problem.ts";

/** Writes events of a stream to a caller. The headers go out with the first event. */
export class ResponseSink implements EventSink {
    readonly #exchange: Exchange;

    constructor(exchange: Exchange) {
        this.#exchange = exchange;
    }

    get hasStarted(): boolean {
        return this.#exchange.response.headersSent;
    }

    write(events: Uint8Array): boolean {
        this.#writeHead();
        return this.#exchange.response.write(events);
    }

    async drained(): Promise<void> {
        const { response } = this.#exchange;
        if (response.destroyed || !response.writableNeedDrain) {
            return;
        }
        const stop = new AbortController();
        const options = { signal: stop.signal };
        await Promise.race([once(response, "drain", options), once(response, "close", options)])
            .finally(() => stop.abort());
    }

    /** Ends a complete stream with its end marker. */
    end(): void {
        this.#writeHead();
        this.#exchange.response.end("data: [DONE]\n\n");
    }

    /** Ends a broken stream: an error event in place of the end marker, then the connection closes. */
    fail(error: GreengageError): void {
        const { response } = this.#exchange;
        const event = `event: error\ndata: ${JSON.stringify(problemOf(error))}\n\n`;
        response.end(event, () => response.socket?.destroySoon());
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
