import type { ActionService } from "@greengage/actions";
import { ErrorCode } from "@greengage/base";
import type { Dispatcher, ServiceCall, ServiceResponse } from "@greengage/routing";
import type { OrganisationRow, ServiceRow, TableState } from "@greengage/table";
import type { Admission } from "./admission.ts";
import { readBody } from "./body.ts";
import { parseDeadlineMs, runWithDeadline } from "./deadline.ts";
import { notRunError } from "./errors.ts";
import { disconnectSignal, type Exchange, type ExchangeHandler } from "./exchange.ts";
import type { ApiKeys } from "./keys.ts";
import type { HttpLimits } from "./limits.ts";

interface ServicesOptions {
    table: TableState;
    dispatcher: Dispatcher;
    actions: Pick<ActionService, "run">;
    keys: ApiKeys;
    admission: Admission;
    limits: HttpLimits;
}

const MAX_KEY_LENGTH = 200;
const FORWARDED_HEADERS = ["content-type", "accept"] as const;

/** Handles `/v1/services/{service}/*`: forwards requests to plain services. */
export const servicesHandler = (options: ServicesOptions): ExchangeHandler => async (exchange) => {
    const { admission, keys, limits, table } = options;
    const organisation = keys.authenticate(exchange.request);
    const service = requireEnabledService(table, exchange.params["service"] ?? "");
    const callerDeadlineMs = parseDeadlineMs(exchange, { ...limits, deadlineMs: service.timeoutMs });
    const deadlineMs = Math.min(callerDeadlineMs, service.timeoutMs);
    admission.assertEndsInTime(deadlineMs);
    const path = backendPath(exchange, service);
    const body = await readBody(exchange, { limitBytes: limits.bodyBytes, limitMs: limits.bodyMs });
    const createCall = (deadlineAtMs: number): ServiceCall => ({
        ...baseCall(exchange, organisation, service),
        path,
        body,
        deadlineAtMs,
    });
    const subject = { organisation: organisation.name, row: `service/${service.name}` };
    const response = await admission.trackInFlight(
        subject,
        () => runCall(options, exchange, service, deadlineMs, createCall),
    );
    exchange.response.writeHead(response.status, {
        ...response.headers,
        ...exchange.extraHeaders,
        "content-length": String(response.body.length),
        "x-verdict": response.verdict,
    });
    exchange.response.end(response.body);
};

const requireEnabledService = (table: TableState, name: string): ServiceRow => {
    const service = table.service(name);
    if (service === undefined) {
        throw notRunError(ErrorCode.NotFound, `unknown service "${name}"`);
    }
    if (!service.enabled) {
        throw notRunError(ErrorCode.NotFound, `service "${name}" is disabled`);
    }
    return service;
};

const isNonIdempotent = (service: ServiceRow, method: string): boolean =>
    (service.nonIdempotent as string[]).includes(method);

const baseCall = (
    { request, requestId }: Exchange,
    organisation: OrganisationRow,
    service: ServiceRow,
): Omit<ServiceCall, "path" | "body" | "deadlineAtMs"> => {
    const method = request.method ?? "GET";
    const forwardedHeaders = FORWARDED_HEADERS.flatMap((name): [string, string][] => {
        const value = request.headers[name];
        return value === undefined ? [] : [[name, value]];
    });
    return {
        requestId,
        organisation: organisation.name,
        service: service.name,
        method,
        headers: Object.fromEntries(forwardedHeaders),
        nonIdempotent: isNonIdempotent(service, method),
    };
};

/** Path and query for the backend server. Throws `bad-request` for a path that could leave the service's prefix. */
const backendPath = ({ request }: Exchange, service: ServiceRow): string => {
    const [path = "", ...query] = (request.url ?? "").split("?");
    const segments = path.split("/").slice(4);
    const hasDotSegment = segments.some((segment) => /^\.{1,2}$/.test(segment.replace(/%2e/gi, ".")));
    if (hasDotSegment || /%2f|%5c|\\/i.test(path)) {
        throw notRunError(ErrorCode.BadRequest, "the path must not contain `.`, `..` or encoded slashes");
    }
    const suffix = query.length > 0 ? `?${query.join("?")}` : "";
    return `${service.pathPrefix.replace(/\/$/, "")}/${segments.join("/")}${suffix}`;
};

const runCall = (
    options: ServicesOptions,
    exchange: Exchange,
    service: ServiceRow,
    deadlineMs: number,
    createCall: (deadlineAtMs: number) => ServiceCall,
): Promise<ServiceResponse> => {
    const interrupted = exchange.interruption.signal;
    if (!isNonIdempotent(service, exchange.request.method ?? "GET")) {
        const disconnected = disconnectSignal(exchange.response);
        return runWithDeadline(
            { deadlineMs, interrupted, disconnected },
            (signal, deadlineAtMs) => options.dispatcher.callService(createCall(deadlineAtMs), signal),
        );
    }
    const key = readIdempotencyKey(exchange);
    // A disconnect does not abort an action, because the outcome of an aborted action is unknown.
    return runWithDeadline(
        { deadlineMs, interrupted },
        (signal, deadlineAtMs) => options.actions.run(createCall(deadlineAtMs), key, signal),
    );
};

const readIdempotencyKey = ({ request }: Exchange): string => {
    const key = request.headers["idempotency-key"];
    if (typeof key !== "string" || key === "") {
        throw notRunError(ErrorCode.BadRequest, "this call requires an Idempotency-Key header");
    }
    if (key.length > MAX_KEY_LENGTH) {
        const message = `the Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters`;
        throw notRunError(ErrorCode.BadRequest, message);
    }
    return key;
};
