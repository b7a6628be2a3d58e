import { mergeTimelines, type TimelineEvent } from "@greengage/base";
import type { InFlightCounts } from "../admission.ts";
import type { DaemonSummary, OperatorApi, OperatorRequest, OperatorResponse } from "./api.ts";
import { ok, parseQuery, parseWholeNumber } from "./requests.ts";
import type { OperatorHandler } from "./router.ts";

/** Responses of the daemons, and the ids of those that could not be reached. */
interface FleetResponses<T> {
    responses: T[];
    unreachable: string[];
}

/** Sends a GET request to the operator API of every other daemon and adds the local result. */
const queryDaemons = async <T>(
    api: OperatorApi,
    path: string,
    queryLocal: () => T,
): Promise<FleetResponses<T>> => {
    const unreachable: string[] = [];
    const others = api.daemons.filter((daemon) => daemon.daemonId !== api.daemonId);
    const responses = await Promise.all(others.map(async ({ daemonId }) => {
        const response = await api.forward(daemonId, { method: "GET", path }).catch(() => undefined);
        if (response?.status !== 200) {
            unreachable.push(daemonId);
            return undefined;
        }
        return response.body as T;
    }));
    return {
        responses: [queryLocal(), ...responses.filter((response) => response !== undefined)],
        unreachable,
    };
};

/** Requests in flight on all daemons, by row of the table. */
export const fleetInFlight = async (
    api: OperatorApi,
): Promise<{ counts: InFlightCounts; unreachable: string[]; }> => {
    const { responses, unreachable } = await queryDaemons(
        api,
        "in-flight",
        () => api.admission.inFlightByRow(),
    );
    const counts: InFlightCounts = {};
    for (const [row, count] of responses.flatMap((response) => Object.entries(response))) {
        counts[row] = (counts[row] ?? 0) + count;
    }
    return { counts, unreachable };
};

export const fleetSummaries = (api: OperatorApi): Promise<FleetResponses<DaemonSummary>> =>
    queryDaemons(api, "daemon", () => api.summary());

export const daemonsHandler: OperatorHandler = async (api) => {
    const { responses, unreachable } = await fleetSummaries(api);
    return ok({ daemons: responses.sort((a, b) => a.daemonId.localeCompare(b.daemonId)), unreachable });
};

interface EventFilter {
    limit: number;
    matches: (event: TimelineEvent) => boolean;
}

const parseEventFilter = (request: OperatorRequest): EventFilter => {
    const query = parseQuery(request);
    const limit = parseWholeNumber(query, "limit", 200);
    const sinceMs = parseWholeNumber(query, "sinceMs", 0);
    const part = query.get("part") ?? undefined;
    const kind = query.get("kind") ?? undefined;
    const matches = (event: TimelineEvent): boolean =>
        event.at.wallMs >= sinceMs
        && (part === undefined || event.part === part)
        && (kind === undefined || event.kind.startsWith(kind));
    return { limit, matches };
};

const takeNewest = (events: TimelineEvent[], limit: number): TimelineEvent[] =>
    events.slice(Math.max(0, events.length - limit));

const localEvents = (api: OperatorApi, request: OperatorRequest): TimelineEvent[] => {
    const { limit, matches } = parseEventFilter(request);
    return takeNewest(api.timeline().filter(matches), limit);
};

/** `GET timeline/own`: events of this daemon only. Query as for `timeline`. */
export const ownTimelineHandler: OperatorHandler = async (api, request) => ok(localEvents(api, request));

/** `GET timeline`: events of all daemons in causal order. Query: `limit`, `part`, `kind`, `sinceMs`. */
export const timelineHandler: OperatorHandler = async (api, request) => {
    const { limit } = parseEventFilter(request);
    const path = `timeline/own?${parseQuery(request)}`;
    const { responses, unreachable } = await queryDaemons(api, path, () => localEvents(api, request));
    return ok({ events: takeNewest(mergeTimelines(responses), limit), unreachable });
};

/** `GET status`: status of this daemon, or of the one given by `?daemon=ID`. */
export const statusHandler: OperatorHandler = async (api, request): Promise<OperatorResponse> => {
    const daemonId = parseQuery(request).get("daemon") ?? api.daemonId;
    if (daemonId === api.daemonId) {
        return ok(api.status());
    }
    return await api.forward(daemonId, { method: "GET", path: "status" });
};
