import type { ActionService } from "@greengage/actions";
import {
    type Context,
    ErrorCode,
    GreengageError,
    LogPart,
    monotonicMs,
    newId,
    Verdict,
} from "@greengage/base";
import type { ReportAnswer } from "@greengage/membership";
import type { VmReport } from "@greengage/protocol";
import type { Dispatcher } from "@greengage/routing";
import type { EditOutcome, OrganisationRow, RowChange, TableState } from "@greengage/table";
import findMyWay from "find-my-way";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readBody, readJson } from "./body.ts";
import { sendProblem } from "./problem.ts";
import { CollectingSink, ResponseSink } from "./sse.ts";

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_DEADLINE_MS = 120_000;

/** Answer to an operator's edit: its outcome, and where it is in force. */
export interface EditAnswer {
    outcome: EditOutcome;
    inForceZones: string[];
    pendingZones: string[];
}

/** What the operators' surface needs from the daemon. */
export interface OperatorApi {
    status(): object;
    edit(edit: { editId: string; operator: string; changes: RowChange[]; }): Promise<EditAnswer>;
}

export interface HttpSurfaceOptions {
    context: Context;
    listen: { host: string; port: number; };
    keys: { backendServers: string; operators: string; };
    table: TableState;
    dispatcher: Dispatcher;
    actions: ActionService;
    acceptReport: (report: VmReport) => ReportAnswer;
    operators: OperatorApi;
    isReady: () => boolean;
}

type Handler = (
    request: IncomingMessage,
    response: ServerResponse,
    params: Record<string, string>,
) => Promise<void>;

/** The HTTP surfaces of a daemon: callers, backend servers, platform and operators. */
export class HttpSurface {
    readonly #options: HttpSurfaceOptions;
    readonly #server: Server;

    constructor(options: HttpSurfaceOptions) {
        this.#options = options;
        const router = findMyWay({ defaultRoute: (_, response) => sendProblem(response, notFound()) });
        const route = (method: "GET" | "POST", path: string, handler: Handler): void => {
            router.on(method, path, (request, response, params) => {
                handler(request, response as ServerResponse, params as Record<string, string>)
                    .catch((error: unknown) => this.#fail(response as ServerResponse, error));
            });
        };
        route("POST", "/v1/chat/completions", (request, response) => this.#chat(request, response));
        route("GET", "/v1/models", (request, response) => this.#models(request, response));
        route(
            "POST",
            "/v1/services/:service/*",
            (request, response, params) => this.#service(request, response, params),
        );
        route("POST", "/backend/v1/report", (request, response) => this.#report(request, response));
        route("GET", "/health/live", async (_, response) => sendJson(response, 200, { live: true }));
        route("GET", "/health/ready", async (_, response) => {
            const ready = options.isReady();
            sendJson(response, ready ? 200 : 503, { ready });
        });
        route("GET", "/operator/v1/status", async (request, response) => {
            requireKey(request, options.keys.operators);
            sendJson(response, 200, options.operators.status());
        });
        route("GET", "/operator/v1/table", async (request, response) => {
            requireKey(request, options.keys.operators);
            sendJson(response, 200, { version: options.table.version, rows: options.table.rows() });
        });
        route("POST", "/operator/v1/table", (request, response) => this.#edit(request, response));
        this.#server = createServer((request, response) => router.lookup(request, response));
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.#options.listen, () => resolve());
        });
    }

    async close(): Promise<void> {
        await new Promise<void>((resolve) => {
            this.#server.close(() => resolve());
            this.#server.closeIdleConnections();
        });
    }

    #fail(response: ServerResponse, error: unknown): void {
        if (!(error instanceof GreengageError)) {
            this.#options.context.logs(LogPart.Http).error("request failed", { reason: String(error) });
        }
        sendProblem(response, error);
    }

    #organisation(request: IncomingMessage): OrganisationRow {
        const hash = createHash("sha256").update(bearerOf(request)).digest("hex");
        const found = this.#options.table.organisations().find((row) => row.apiKeyHashes.includes(hash));
        if (found === undefined || !found.enabled) {
            throw unauthorized();
        }
        return found;
    }

    async #chat(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const organisation = this.#organisation(request);
        const body = await readJson(request, MAX_BODY_BYTES);
        const model = this.#options.table.model(String(body["model"]));
        if (model === undefined || !model.enabled) {
            throw new GreengageError(`unknown model ${String(body["model"])}`, {
                code: ErrorCode.NotFound,
                verdict: Verdict.NotRun,
            });
        }
        const requestId = newId();
        const abort = abortOnClose(response);
        const call = {
            requestId,
            organisation: organisation.name,
            model: model.name,
            body,
            deadlineAtMs: monotonicMs() + DEFAULT_DEADLINE_MS,
        };
        if (body["stream"] === true) {
            const sink = new ResponseSink(response, requestId);
            await this.#options.dispatcher.generate(call, sink, abort);
            sink.end();
            return;
        }
        const sink = new CollectingSink();
        await this.#options.dispatcher.generate(call, sink, abort);
        sendJson(response, 200, sink.completion(model.name, requestId));
    }

    async #models(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.#organisation(request);
        const data = this.#options.table.models().filter((model) => model.enabled)
            .map((model) => ({ id: model.name, object: "model", owned_by: "greengage" }));
        sendJson(response, 200, { object: "list", data });
    }

    async #service(
        request: IncomingMessage,
        response: ServerResponse,
        params: Record<string, string>,
    ): Promise<void> {
        const organisation = this.#organisation(request);
        const service = this.#options.table.service(params["service"] ?? "");
        if (service === undefined || !service.enabled) {
            throw notFound();
        }
        const method = request.method ?? "GET";
        const nonIdempotent = (service.nonIdempotent as string[]).includes(method);
        const call = {
            requestId: newId(),
            organisation: organisation.name,
            service: service.name,
            method,
            path: service.pathPrefix.replace(/\/$/, "") + `/${params["*"] ?? ""}`,
            headers: { "content-type": request.headers["content-type"] ?? "application/octet-stream" },
            body: await readBody(request, MAX_BODY_BYTES),
            deadlineAtMs: monotonicMs() + service.timeoutMs,
            nonIdempotent,
        };
        const key = request.headers["idempotency-key"];
        if (nonIdempotent && typeof key !== "string") {
            throw new GreengageError("this call needs an Idempotency-Key header", {
                code: ErrorCode.BadRequest,
                verdict: Verdict.NotRun,
            });
        }
        const signal = AbortSignal.timeout(service.timeoutMs);
        const answer = nonIdempotent
            ? await this.#options.actions.run(call, String(key), signal)
            : await this.#options.dispatcher.callService(call, signal);
        response.writeHead(answer.status, { ...answer.headers, "x-verdict": answer.verdict });
        response.end(answer.body);
    }

    async #report(request: IncomingMessage, response: ServerResponse): Promise<void> {
        requireKey(request, this.#options.keys.backendServers);
        const report = await readJson(request, MAX_BODY_BYTES);
        sendJson(response, 200, this.#options.acceptReport(report as unknown as VmReport));
    }

    async #edit(request: IncomingMessage, response: ServerResponse): Promise<void> {
        requireKey(request, this.#options.keys.operators);
        const body = await readJson(request, MAX_BODY_BYTES);
        const edit = body as unknown as { editId: string; operator: string; changes: RowChange[]; };
        sendJson(response, 200, await this.#options.operators.edit(edit));
    }
}

const abortOnClose = (response: ServerResponse): AbortSignal => {
    const controller = new AbortController();
    response.once("close", () => controller.abort());
    return controller.signal;
};

const bearerOf = (request: IncomingMessage): string =>
    /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1] ?? "";

const requireKey = (request: IncomingMessage, key: string): void => {
    const digest = (value: string): Buffer => createHash("sha256").update(value).digest();
    if (!timingSafeEqual(digest(bearerOf(request)), digest(key))) {
        throw unauthorized();
    }
};

const sendJson = (response: ServerResponse, status: number, body: object): void => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
};

const unauthorized = (): GreengageError =>
    new GreengageError("missing or unknown key", { code: ErrorCode.Unauthorized, verdict: Verdict.NotRun });

const notFound = (): GreengageError =>
    new GreengageError("not found", { code: ErrorCode.NotFound, verdict: Verdict.NotRun });
