import { type ExchangeHandler, sendJson } from "./exchange.ts";
import { requireKey } from "./keys.ts";

/** Whether a load balancer should send caller requests to this daemon. */
export interface Readiness {
    ready: boolean;
    /** Why the daemon is not ready. Missing when it is ready. */
    reason?: string;
}

interface HealthOptions {
    /** Key of the platform. Default: health checks need no key. */
    key?: string;
    readiness: () => Readiness;
}

/** Handles `GET /health/live`: 200 as long as the process responds. */
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
