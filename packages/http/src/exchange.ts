import { newId } from "@greengage/base";
import type { IncomingMessage, ServerResponse } from "node:http";

/** An HTTP request and its response. */
export interface Exchange {
    request: IncomingMessage;
    response: ServerResponse;
    /** Path parameters of the route. */
    params: Record<string, string | undefined>;
    /** Sent to backend servers and returned to the client as `x-request-id`. */
    requestId: string;
    /** Headers added to every response, including errors. */
    extraHeaders: Record<string, string>;
    /** Aborted when a shutdown ends the time for requests in progress. The request then needs its final response. */
    interruption: AbortController;
}

export type ExchangeHandler = (exchange: Exchange) => Promise<void>;

export const createExchange = (
    request: IncomingMessage,
    response: ServerResponse,
    params: Exchange["params"],
): Exchange => {
    const requestId = newId();
    return {
        request,
        response,
        params,
        requestId,
        extraHeaders: { "x-request-id": requestId },
        interruption: new AbortController(),
    };
};

export const sendJson = (
    exchange: Exchange,
    status: number,
    body: unknown,
    contentType = "application/json",
): void => {
    const bytes = Buffer.from(JSON.stringify(body));
    exchange.response.writeHead(status, {
        "content-type": contentType,
        "content-length": String(bytes.length),
        ...exchange.extraHeaders,
    });
    exchange.response.end(bytes);
};

/** Aborts when the client closes its connection before the response is complete. */
export const disconnectSignal = (response: ServerResponse): AbortSignal => {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
};
