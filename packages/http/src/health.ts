import { type ExchangeHandler, sendJson } from "./exchange.ts";
import { requireKey } from "./keys.ts";

/** Whether a load balancer should send callers' requests, and why not. */
export interface Readiness {
    ready: boolean;
    /** Missing when ready. */
    reason?: string;
}

interface HealthOptions {
    /** Default: the checks need no key. */
    key?: string;
    readiness: () => Readiness;
}

/** Handles `GET /health/live`: the process answers. */
export const liveHandler = ({ key }: HealthOptions): ExchangeHandler => async (exchange) => {
    if (key !== undefined) {
        requireKey(exchange.request, key);
    }
    sendJson(exchange, 200, { live: true });
};

/** Handles `GET /health/ready`: 200 when the daemon may serve callers, 503 otherwise. */
export const readyHandler = ({ key, readiness }: HealthOptions): ExchangeHandler => async (exchange) => {
    if (key !== undefined) {
        requireKey(exchange.request, key);
    }
    const state = readiness();
    sendJson(exchange, state.ready ? 200 : 503, state);
};
