import { ErrorCode, GreengageError, type Random, Verdict } from "@greengage/base";
import { type Organisation, pickService, type Route, type RoutingTable } from "@greengage/configuration";
import { type Call, deadlineOf } from "./call.ts";
import { culpritIdsOf } from "./crashsuspects.ts";
import type { CallerRequest, CallerResponse } from "./types.ts";

const NOT_READY_RETRY_AFTER_MS = 300;

export interface CallResolutionInput {
    /** Undefined until the daemon has received configuration and fleet view. */
    routing: RoutingTable | undefined;
    request: CallerRequest;
    response: CallerResponse;
    random: Random;
}

/** Resolves route, service and organisation of a request. Throws if the request is not allowed. */
export const resolveCall = ({ routing, request, response, random }: CallResolutionInput): Call => {
    if (routing === undefined) {
        throw notRunError(
            ErrorCode.Unavailable,
            "the daemon has not received configuration and fleet view yet",
            NOT_READY_RETRY_AFTER_MS,
        );
    }
    const route = routing.match(request.host, request.target);
    if (route === undefined) {
        throw notRunError(ErrorCode.NotFound, `no route for ${request.host}${request.target}`);
    }
    const organisation = authorize(routing, route, request);
    const service = routing.service(pickService(route, random.nextFloat()));
    if (service === undefined) {
        throw notRunError(ErrorCode.Internal, `route ${route.name} has no service`);
    }
    return {
        request,
        response,
        route,
        service,
        organisation,
        culpritIds: culpritIdsOf(request, organisation),
        priority: organisation?.priority ?? route.priority,
        deadlineAtMs: deadlineOf(request, route),
    };
};

const authorize = (routing: RoutingTable, route: Route, request: CallerRequest): Organisation | undefined => {
    if (!routing.requiresApiKey) {
        return undefined;
    }
    const organisation = request.apiKey === undefined ? undefined : routing.organisationOf(request.apiKey);
    if (organisation === undefined && !route.allowsAnonymous) {
        throw notRunError(ErrorCode.Unauthorized, "missing or unknown API key");
    }
    return organisation;
};

const notRunError = (code: ErrorCode, message: string, retryAfterMs?: number): GreengageError =>
    new GreengageError(message, { code, verdict: Verdict.NotRun, retryAfterMs });
