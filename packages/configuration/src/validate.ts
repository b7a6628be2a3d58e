import type { Configuration, Route } from "./types.ts";

/** Returns one message per problem of a configuration, and none when it is valid. */
export const validateConfiguration = (configuration: Configuration): string[] => [
    ...versionProblems(configuration),
    ...duplicateRouteProblems(configuration.routes),
    ...configuration.routes.flatMap((route) => routeProblems(route, serviceNames(configuration))),
    ...apiKeyProblems(configuration),
];

const serviceNames = (configuration: Configuration): Set<string> =>
    new Set(configuration.services.map((service) => service.name));

const versionProblems = ({ version }: Configuration): string[] =>
    Number.isSafeInteger(version) && version > 0 ? [] : ["the version is not a positive integer"];

const duplicateRouteProblems = (routes: readonly Route[]): string[] => {
    const nameByLocation = new Map<string, string>();
    const problems: string[] = [];
    for (const { name, host, pathPrefix } of routes) {
        const location = `${host}${pathPrefix}`;
        const other = nameByLocation.get(location);
        if (other !== undefined) {
            problems.push(`routes ${other} and ${name} have the same host and prefix`);
        }
        nameByLocation.set(location, name);
    }
    return problems;
};

const routeProblems = (route: Route, services: Set<string>): string[] => {
    const { name, pathPrefix, shares, timeoutMs, maxAttempts } = route;
    const problems = shares.filter(({ service }) => !services.has(service))
        .map(({ service }) => `route ${name} refers to the unknown service ${service}`);
    const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
    const checks: [boolean, string][] = [
        [
            pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
            "has a path prefix without slashes at both ends",
        ],
        [
            totalWeight > 0 && shares.every(({ weight }) => weight >= 0),
            "needs a service with a weight above 0, and no negative weights",
        ],
        [timeoutMs > 0, "has no timeout above 0"],
        [maxAttempts >= 1, "allows fewer than one attempt"],
    ];
    return [
        ...problems,
        ...checks.filter(([isValid]) => !isValid).map(([, reason]) => `route ${name} ${reason}`),
    ];
};

const apiKeyProblems = ({ organisations = [] }: Configuration): string[] => {
    const owners = new Map<string, string>();
    const problems: string[] = [];
    for (const { name, apiKeys } of organisations) {
        for (const apiKey of apiKeys) {
            const owner = owners.get(apiKey);
            if (owner !== undefined && owner !== name) {
                problems.push(`organisations ${owner} and ${name} share a key`);
            }
            owners.set(apiKey, name);
        }
    }
    return problems;
};
