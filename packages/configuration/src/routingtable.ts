import type { Configuration, Organisation, Route, ServiceSpec } from "./types.ts";

/** Index of the routes, services and API keys of one configuration. */
export class RoutingTable {
    readonly version: number;
    readonly configuration: Configuration;
    readonly #routesByHost = new Map<string, Map<string, Route>>();
    readonly #servicesByName = new Map<string, ServiceSpec>();
    readonly #organisationsByApiKey = new Map<string, Organisation>();

    constructor(configuration: Configuration) {
        this.configuration = configuration;
        this.version = configuration.version;
        for (const route of configuration.routes) {
            const byPrefix = this.#routesByHost.get(route.host) ?? new Map<string, Route>();
            byPrefix.set(route.pathPrefix, route);
            this.#routesByHost.set(route.host, byPrefix);
        }
        for (const service of configuration.services) {
            this.#servicesByName.set(service.name, service);
        }
        for (const organisation of configuration.organisations ?? []) {
            for (const apiKey of organisation.apiKeys) {
                this.#organisationsByApiKey.set(apiKey, organisation);
            }
        }
    }

    get requiresApiKey(): boolean {
        return this.configuration.organisations !== undefined;
    }

    /** Returns the host's route with the longest prefix that matches the path. `target` may include a query string. */
    match(host: string, target: string): Route | undefined {
        const byPrefix = this.#routesByHost.get(stripPort(host));
        if (byPrefix === undefined) {
            return undefined;
        }
        const queryIndex = target.indexOf("?");
        const path = queryIndex < 0 ? target : target.slice(0, queryIndex);
        for (
            let end = path.lastIndexOf("/");
            end >= 0;
            end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
        ) {
            const route = byPrefix.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }

    service(name: string): ServiceSpec | undefined {
        return this.#servicesByName.get(name);
    }

    organisationOf(apiKey: string): Organisation | undefined {
        return this.#organisationsByApiKey.get(apiKey);
    }
}

const stripPort = (host: string): string => {
    const colonIndex = host.lastIndexOf(":");
    return colonIndex < 0 ? host : host.slice(0, colonIndex);
};

/** Selects a service of a route by weight. `fraction` is a random number in `[0, 1)`. */
export const pickService = (route: Route, fraction: number): string => {
    const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = fraction * totalWeight;
    for (const { service, weight } of route.shares) {
        remaining -= weight;
        if (weight > 0 && remaining < 0) {
            return service;
        }
    }
    return route.shares.findLast((share) => share.weight > 0)?.service ?? "";
};
