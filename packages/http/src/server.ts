import type { ActionService } from "@greengage/actions";
import {
    type Context,
    ErrorCode,
    GreengageError,
    type InterruptedRequest,
    type Log,
    LogPart,
    messageOf,
    monotonicMs,
    ServerConnections,
    Verdict,
} from "@greengage/base";
import type { ReportResponse } from "@greengage/membership";
import type { VmReport } from "@greengage/protocol";
import type { Dispatcher } from "@greengage/routing";
import type { TableState } from "@greengage/table";
import findMyWay, { type HTTPMethod } from "find-my-way";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Admission } from "./admission.ts";
import { readJson } from "./body.ts";
import { chatHandler, modelsHandler } from "./chat.ts";
import { notRunError } from "./errors.ts";
import { createExchange, type Exchange, sendJson } from "./exchange.ts";
import { liveHandler, type Readiness, readyHandler } from "./health.ts";
import { interruptionError, settleInterrupted, shutdownError } from "./interruption.ts";
import { ApiKeys, requireKey } from "./keys.ts";
import type { HttpLimits } from "./limits.ts";
import { createListener, errorMessage } from "./listener.ts";
import type { OperatorResponse } from "./operators/api.ts";
import type { OperatorRouter } from "./operators/router.ts";
import { sendProblem, toGreengageError } from "./problem.ts";
import { reportHandler } from "./reports.ts";
import { METHODS, type Route, Surface } from "./routes.ts";
import { servicesHandler } from "./services.ts";

/** Time for the final responses to interrupted requests. Longer than the discard timeout of an incomplete body. */
const FINAL_RESPONSE_TIMEOUT_MS = 2_000;
const OPERATOR_PREFIX = "/operator/v1/";

interface HttpServerOptions {
    context: Context;
    listen: { host: string; port: number; };
    keys: { backendServers: string; operators: string; platform?: string; };
    limits: HttpLimits;
    admission: Admission;
    table: TableState;
    dispatcher: Dispatcher;
    actions: Pick<ActionService, "run">;
    acceptReport: (report: VmReport) => ReportResponse;
    operators: OperatorRouter;
    readiness: () => Readiness;
    /** Whether caller requests are served. A control-only daemon serves none. */
    servesCallers: boolean;
}

/** HTTP server of a daemon with the APIs for callers, backend servers, the platform and operators. */
export class HttpServer {
    readonly #options: HttpServerOptions;
    readonly #log: Log;
    readonly #keys: ApiKeys;
    readonly #server: Server;
    readonly #connections: ServerConnections;
    readonly #router = findMyWay({
        defaultRoute: (request, response) =>
            this.#handleUnmatchedRequest(request, response as ServerResponse),
    });
    readonly #exchanges = new Set<Exchange>();
    #stopWatchingTable: () => void = () => undefined;
    #isClosing = false;

    constructor(options: HttpServerOptions) {
        this.#options = options;
        this.#log = options.context.logs(LogPart.Http);
        this.#keys = new ApiKeys(options.table);
        for (const route of this.#routes()) {
            this.#router.on(route.methods as HTTPMethod[], route.path, (request, response, params) => {
                void this.#serve(route, this.#createExchange(request, response as ServerResponse, params));
            });
        }
        this.#server = createListener(options.limits);
        this.#connections = new ServerConnections(
            this.#server,
            (request, response) => this.#router.lookup(request, response),
            { onInterrupted: (interrupted) => this.#recordInterrupted(interrupted) },
        );
    }

    /** Port that the server listens on. */
    get port(): number {
        return (this.#server.address() as AddressInfo).port;
    }

    /** Starts to accept connections. Throws when the address is in use. */
    async start(): Promise<void> {
        this.#stopWatchingTable = this.#keys.start();
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.#options.listen, () => resolve());
        });
    }

    /**
     * Stops listening and finishes the requests in progress on all APIs, for at most `limitMs`. Closes idle connections
     * at once and the others after their response. Requests that are not finished by then are interrupted and get a
     * final response. Resolves to their number.
     */
    async finishRequests(limitMs: number): Promise<number> {
        this.#connections.closeAfterResponses();
        await this.#connections.stopListening();
        if (await this.#connections.closeWhenIdle(limitMs)) {
            return 0;
        }
        const interruptedCount = this.#exchanges.size;
        this.#connections.rejectIncompleteHeads(errorMessage(shutdownError(Verdict.NotRun)));
        for (const { interruption } of this.#exchanges) {
            interruption.abort();
        }
        await this.#connections.closeWhenIdle(FINAL_RESPONSE_TIMEOUT_MS);
        return interruptedCount;
    }

    /** Stops listening and closes all connections. Requests in flight are aborted. */
    async close(): Promise<void> {
        this.#isClosing = true;
        this.#stopWatchingTable();
        this.#log.info("closing all connections", { ...this.#connections.counts() });
        await new Promise<void>((resolve) => {
            this.#server.close(() => resolve());
            this.#connections.closeAll();
        });
    }

    #routes(): Route[] {
        const options = { ...this.#options, keys: this.#keys };
        const health = { key: this.#options.keys.platform, readiness: this.#options.readiness };
        const report = {
            key: this.#options.keys.backendServers,
            zone: this.#options.context.zone,
            limits: this.#options.limits,
            accept: this.#options.acceptReport,
        };
        const callers: Route[] = [
            {
                surface: Surface.Callers,
                methods: ["POST"],
                path: "/v1/chat/completions",
                handler: chatHandler(options),
            },
            {
                surface: Surface.Callers,
                methods: ["GET"],
                path: "/v1/models",
                handler: modelsHandler(options),
            },
            {
                surface: Surface.Callers,
                methods: ["GET", "POST", "PUT", "PATCH", "DELETE"],
                path: "/v1/services/:service/*",
                handler: servicesHandler(options),
            },
        ];
        return [
            ...(this.#options.servesCallers ? callers : []),
            {
                surface: Surface.BackendServers,
                methods: ["POST"],
                path: "/backend/v1/report",
                handler: reportHandler(report),
            },
            {
                surface: Surface.Platform,
                methods: ["GET", "HEAD"],
                path: "/health/live",
                handler: liveHandler(health),
            },
            {
                surface: Surface.Platform,
                methods: ["GET", "HEAD"],
                path: "/health/ready",
                handler: readyHandler(health),
            },
            {
                surface: Surface.Operators,
                methods: METHODS,
                path: `${OPERATOR_PREFIX}*`,
                handler: (exchange) => this.#handleOperatorRequest(exchange),
            },
        ];
    }

    #createExchange(
        request: IncomingMessage,
        response: ServerResponse,
        params: Exchange["params"],
    ): Exchange {
        const exchange = createExchange(request, response, params);
        this.#exchanges.add(exchange);
        response.once("close", () => this.#exchanges.delete(exchange));
        return exchange;
    }

    async #serve(route: Route, exchange: Exchange): Promise<void> {
        const startedAtMs = monotonicMs();
        if (this.#options.admission.closesConnections) {
            this.#connections.closeAfterResponse(exchange.request);
        }
        try {
            await this.#runHandler(route, exchange);
        }
        catch (error) {
            this.#sendError(exchange, error);
        }
        this.#recordMetrics(route.surface, exchange.response.statusCode, monotonicMs() - startedAtMs);
    }

    #runHandler(route: Route, exchange: Exchange): Promise<void> {
        if (route.surface !== Surface.Callers) {
            return route.handler(exchange);
        }
        return this.#options.admission.run(exchange.request.socket, () => route.handler(exchange));
    }

    #recordInterrupted({ progress, request, ageMs, isClosedByClient }: InterruptedRequest): void {
        const closedBy = isClosedByClient ? "client" : "daemon";
        this.#options.context.metrics.count("http.interrupted", 1, { progress, closedBy });
        if (this.#isClosing && !isClosedByClient) {
            const target = request === undefined ? "" : `${request.method} ${request.url?.split("?", 1)[0]}`;
            this.#log.warn("the shutdown interrupted a request", {
                target,
                progress,
                ageMs: Math.round(ageMs),
            });
        }
    }

    #recordMetrics(surface: Surface, status: number, durationMs: number): void {
        const { metrics } = this.#options.context;
        metrics.count("http.requests", 1, { surface, status: String(status) });
        metrics.durationMs("http.request_ms", durationMs, { surface });
    }

    #handleUnmatchedRequest(request: IncomingMessage, response: ServerResponse): void {
        const exchange = this.#createExchange(request, response, {});
        const path = (request.url ?? "").split("?", 1)[0] ?? "";
        const allowed = METHODS.filter((method) => this.#router.find(method, path));
        if (allowed.length === 0) {
            this.#sendError(exchange, notRunError(ErrorCode.NotFound, `no path ${path}`));
            return;
        }
        const list = allowed.join(", ");
        exchange.extraHeaders["allow"] = list;
        const message = `method ${request.method} is not allowed on ${path}; allowed: ${list}`;
        this.#sendError(exchange, notRunError(ErrorCode.MethodNotAllowed, message));
    }

    #sendError(exchange: Exchange, thrown: unknown): void {
        const { request, response, extraHeaders } = exchange;
        const error = toGreengageError(thrown);
        if (response.destroyed) {
            return;
        }
        if (!(thrown instanceof GreengageError) || response.headersSent) {
            this.#log.error(`request ${exchange.requestId} failed`, { reason: messageOf(thrown) });
        }
        if (response.headersSent) {
            response.destroy();
            return;
        }
        sendProblem(request, response, error, extraHeaders);
    }

    async #runOperatorRequest(
        { request, interruption }: Exchange,
        path: string,
        body: unknown,
    ): Promise<OperatorResponse> {
        const method = request.method ?? "GET";
        const response = this.#options.operators.handle({ method, path, body });
        try {
            return await settleInterrupted(response, interruption.signal);
        }
        catch (error) {
            throw method === "GET" ? shutdownError(Verdict.NotRun) : interruptionError(error);
        }
    }

    async #handleOperatorRequest(exchange: Exchange): Promise<void> {
        const { request } = exchange;
        requireKey(request, this.#options.keys.operators);
        const { bodyBytes, bodyMs } = this.#options.limits;
        const body = request.method === "GET"
            ? undefined
            : await readJson(exchange, { limitBytes: bodyBytes, limitMs: bodyMs });
        const path = (request.url ?? "").slice(OPERATOR_PREFIX.length);
        const response = await this.#runOperatorRequest(exchange, path, body);
        const contentType = response.status < 400 ? "application/json" : "application/problem+json";
        sendJson(exchange, response.status, response.body, contentType);
    }
}
