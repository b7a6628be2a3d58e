import type { ExchangeHandler } from "./exchange.ts";

/** API that a route belongs to, by its users. It is a label of the HTTP metrics. */
export const Surface = {
    Callers: "callers",
    BackendServers: "backendServers",
    Platform: "platform",
    Operators: "operators",
} as const;

export type Surface = typeof Surface[keyof typeof Surface];

type Method = "GET" | "POST" | "PUT" | "PATCH" | "DELETE" | "HEAD";

export const METHODS: readonly Method[] = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"];

export interface Route {
    surface: Surface;
    methods: readonly Method[];
    path: string;
    handler: ExchangeHandler;
}
