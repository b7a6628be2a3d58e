import { type Context, ErrorCode, GreengageError, Invariant, monotonicMs, Verdict } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { GroupView, ServiceView } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { Agent, type Dispatcher as HttpDispatcher, request } from "undici";
import type { Dispatcher, EventSink, GenerateRequest, ServiceCall, ServiceResponse } from "./types.ts";

const RETRY_AFTER_MS = 1_000;
const END_MARKER = "data: [DONE]\n\n";

export interface HttpDispatcherOptions {
    context: Context;
    directory: GroupDirectory;
    table: TableState;
    /** Key that backend servers expect with requests. */
    backendKey: string;
}

/** Sends requests to backend servers over HTTP. */
export class BackendDispatcher implements Dispatcher {
    readonly #options: HttpDispatcherOptions;
    readonly #agent: HttpDispatcher = new Agent({ pipelining: 1, connections: 512 });
    #next = 0;

    constructor(options: HttpDispatcherOptions) {
        this.#options = options;
    }

    close(): Promise<void> {
        return this.#agent.close();
    }

    async generate(call: GenerateRequest, sink: EventSink, signal: AbortSignal): Promise<void> {
        const group = this.#chooseGroup(call.model);
        const { context, directory } = this.#options;
        const isAllowed = directory.isServing(group.zone, group.groupId, group.generation);
        context.invariants.check(
            Invariant.WholeGroupServes,
            isAllowed,
            () => `dispatch to group ${group.groupId}`,
        );
        const response = await request(`${group.leaderUrl}/v1/chat/completions`, {
            method: "POST",
            dispatcher: this.#agent,
            signal,
            headers: {
                "content-type": "application/json",
                authorization: `Bearer ${this.#options.backendKey}`,
                "x-request-id": call.requestId,
                "x-deadline-ms": String(Math.max(0, Math.round(call.deadlineAtMs - monotonicMs()))),
                "x-group-id": group.groupId,
                "x-group-generation": String(group.generation),
            },
            body: JSON.stringify({ ...call.body, stream: true }),
        });
        if (response.statusCode !== 200 || response.headers["x-request-id"] !== call.requestId) {
            response.body.destroy();
            throw backendFailed(
                `group ${group.groupId} answered with status ${response.statusCode}`,
                Verdict.NotRun,
            );
        }
        await this.#relay(response.body, sink, group);
    }

    async callService(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
        const server = this.#chooseServer(call.service);
        if (call.mayStillSend?.() === false) {
            throw new GreengageError("the time to send the call has passed", {
                code: ErrorCode.Timeout,
                verdict: Verdict.NotRun,
            });
        }
        const response = await request(server.url + call.path, {
            method: call.method as HttpDispatcher.HttpMethod,
            dispatcher: this.#agent,
            signal,
            headers: {
                ...call.headers,
                authorization: `Bearer ${this.#options.backendKey}`,
                "x-request-id": call.requestId,
            },
            body: call.body.length > 0 ? call.body : undefined,
        }).catch((error: unknown) => {
            throw backendFailed(`call to service ${call.service} failed`, Verdict.MayHaveRun, error);
        });
        const body = new Uint8Array(await response.body.arrayBuffer());
        if (response.headers["x-request-id"] !== call.requestId) {
            throw backendFailed("the backend server answered another request", Verdict.MayHaveRun);
        }
        const headers = {
            "content-type": String(response.headers["content-type"] ?? "application/octet-stream"),
        };
        return { status: response.statusCode, headers, body, verdict: Verdict.Ran };
    }

    #chooseGroup(model: string): GroupView {
        const groups = this.#options.directory.servingGroups(model);
        const group = groups[this.#next++ % Math.max(1, groups.length)];
        if (group === undefined) {
            throw noCapacity(`no replica group serves model ${model}`);
        }
        return group;
    }

    #chooseServer(service: string): ServiceView {
        const servers = this.#options.directory.services(service);
        const server = servers[this.#next++ % Math.max(1, servers.length)];
        if (server === undefined) {
            throw noCapacity(`no backend server offers service ${service}`);
        }
        return server;
    }

    async #relay(body: AsyncIterable<Uint8Array>, sink: EventSink, group: GroupView): Promise<void> {
        let tail = "";
        for await (const chunk of body) {
            tail = (tail + Buffer.from(chunk).toString("latin1")).slice(-END_MARKER.length);
            const isEnd = tail === END_MARKER;
            const events = isEnd ? chunk.subarray(0, chunk.length - END_MARKER.length) : chunk;
            if (events.length > 0 && !sink.write(events)) {
                await sink.drained();
            }
            if (isEnd) {
                return;
            }
        }
        throw backendFailed(
            `group ${group.groupId} ended its stream without the end marker`,
            Verdict.MayHaveRun,
        );
    }
}

const backendFailed = (message: string, verdict: Verdict, cause?: unknown): GreengageError =>
    new GreengageError(message, { code: ErrorCode.BackendFailed, verdict, cause });

const noCapacity = (message: string): GreengageError =>
    new GreengageError(message, {
        code: ErrorCode.NoCapacity,
        verdict: Verdict.NotRun,
        retryAfterMs: RETRY_AFTER_MS,
    });
