import { type Context, createContext, monotonicMs, newId } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { GroupView, OrganisationDemand, OrganisationShare, ServiceView } from "@greengage/protocol";
import {
    BackendDispatcher,
    type BackendDispatcherOptions,
    type EventSink,
    type GenerateRequest,
    type ServiceCall,
} from "@greengage/routing";
import type { ServiceRow } from "@greengage/table";
import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export const groupOf = (fields: Partial<GroupView> = {}): GroupView => ({
    groupId: "group-1",
    generation: 1,
    model: "assistant",
    zone: "zone-a",
    fabricDomain: "rack-1",
    state: "serving",
    memberVmIds: ["vm-1"],
    leaderUrl: "http://127.0.0.1:1",
    maxConcurrent: 8,
    load: { runningRequests: 0, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 },
    ...fields,
});

/** Fake group directory whose contents are set by the test. */
export class FakeDirectory {
    groups: GroupView[] = [];
    shares = new Map<string, OrganisationShare>();
    isGrantValid = true;
    demandSource: () => OrganisationDemand[] = () => [];
    readonly suspected = new Set<string>();
    readonly #listeners = new Set<() => void>();

    setGroups(groups: GroupView[]): void {
        this.groups = groups;
        this.#listeners.forEach((listener) => listener());
    }

    servingGroups(model: string): GroupView[] {
        return this.groups.filter((group) =>
            group.model === model && group.state === "serving" && this.isGrantValid
            && !this.suspected.has(group.groupId)
        );
    }

    isServing(_: string, groupId: string, generation: number): boolean {
        return this.isGrantValid
            && this.groups.some((group) =>
                group.groupId === groupId && group.generation === generation && group.state === "serving"
            );
    }

    allGroups = (): GroupView[] => this.groups;
    serviceViews: ServiceView[] = [];
    services = (): ServiceView[] => this.serviceViews;
    daemonCount = (): number => 1;
    share = (organisation: string): OrganisationShare | undefined => this.shares.get(organisation);

    suspect(group: GroupView): void {
        this.suspected.add(group.groupId);
    }

    setDemandSource(source: () => OrganisationDemand[]): void {
        this.demandSource = source;
    }

    setInFlightSource(): void {
        // These tests do not cover grant renewals, which use this source.
    }

    onChange(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }
}

export interface ReceivedRequest {
    requestId: string;
    headers: IncomingMessage["headers"];
    body: {
        max_tokens?: number;
        greengage?: { resume_text: string; resume_tokens: number; };
    };
    /** Index of the connection that carried the request, counted from 0. */
    connection: number;
    isClosed: boolean;
}

type RequestHandler = (request: ReceivedRequest, response: ServerResponse) => void | Promise<void>;

/** HTTP server with a handler set by the test, and the requests that it received. */
export interface FakeEngine {
    url: string;
    received: ReceivedRequest[];
    handle: RequestHandler;
}

export const startEngine = async (t: ExecutionContext, handle: RequestHandler): Promise<FakeEngine> => {
    const sockets = new Map<Socket, number>();
    const engine: FakeEngine = { url: "", received: [], handle };
    const server = createServer((incoming, response) => {
        const chunks: Buffer[] = [];
        incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
        incoming.on("end", () => {
            const text = Buffer.concat(chunks).toString();
            const request: ReceivedRequest = {
                requestId: String(incoming.headers["x-request-id"]),
                headers: incoming.headers,
                body: text === "" ? {} : JSON.parse(text),
                connection: sockets.get(incoming.socket) ?? -1,
                isClosed: false,
            };
            response.once("close", () => request.isClosed = true);
            engine.received.push(request);
            void engine.handle(request, response);
        });
    });
    server.on("connection", (socket) => sockets.set(socket, sockets.size));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    engine.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return engine;
};

export const eventOf = (token: string): string =>
    `data: ${JSON.stringify({ choices: [{ index: 0, delta: { content: token } }] })}\n\n`;

export const END_MARKER = "data: [DONE]\n\n";

export const sendHead = (request: ReceivedRequest, response: ServerResponse): void => {
    response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": request.requestId });
};

/** Streams the tokens `t0 t1 ...`, starting after those that a resumed request already has. */
export const streamTokens = (count: number): RequestHandler => (request, response) => {
    sendHead(request, response);
    for (let index = request.body.greengage?.resume_tokens ?? 0; index < count; index += 1) {
        response.write(eventOf(`t${index} `));
    }
    response.end(END_MARKER);
};

export const respondWithStatus = (code: number): RequestHandler => (request, response) => {
    response.writeHead(code, { "x-request-id": request.requestId });
    response.end();
};

/** Collects the events that a caller receives. */
export class CollectingSink implements EventSink {
    text = "";

    write(events: Uint8Array): boolean {
        this.text += Buffer.from(events).toString();
        return true;
    }

    drained = (): Promise<void> => Promise.resolve();

    get tokenText(): string {
        return this.text.split("\n\n").filter((event) => event !== "")
            .map((event) => JSON.parse(event.slice("data: ".length)).choices[0].delta.content as string)
            .join("");
    }
}

export interface DispatcherFixture {
    context: Context;
    directory: FakeDirectory;
    dispatcher: BackendDispatcher;
    request: (fields?: Partial<GenerateRequest>) => GenerateRequest;
}

/** Creates a dispatcher with a fake directory. */
export const createDispatcher = (
    t: ExecutionContext,
    options: Partial<BackendDispatcherOptions> = {},
): DispatcherFixture => {
    const context = createContext({ daemonId: "daemon-1", zone: "zone-a" });
    const directory = new FakeDirectory();
    const dispatcher = new BackendDispatcher({
        context,
        directory: directory as unknown as GroupDirectory,
        table: { organisation: () => organisationRow, service: () => serviceRow },
        backendKey: "key",
        knownDaemonCount: 1,
        strategy: "leastInFlight",
        ...options,
    });
    t.teardown(() => dispatcher.close());
    const request = (fields: Partial<GenerateRequest> = {}): GenerateRequest => ({
        requestId: newId(),
        organisation: "umbrella-corner",
        model: "assistant",
        body: { messages: [{ role: "user", content: "Umbrellas left?" }] },
        deadlineAtMs: monotonicMs() + 30_000,
        ...fields,
    });
    return { context, directory, dispatcher, request };
};

const organisationRow = {
    name: "umbrella-corner",
    version: 1,
    apiKeyHashes: [],
    weight: 1,
    priority: 5,
    requestsPerS: 1_000,
    maxConcurrent: 1_000,
    enabled: true,
};

/** A backend server of the service `ledger`. */
export const serviceViewOf = (vmId: string, url: string): ServiceView => ({
    vmId,
    incarnationId: "1",
    service: "ledger",
    zone: "zone-a",
    url,
    maxConcurrent: 8,
    available: true,
});

/** A call of the service `ledger`; a POST is not idempotent. */
export const serviceCallOf = (method: "GET" | "POST"): ServiceCall => ({
    requestId: newId(),
    organisation: "umbrella-corner",
    service: "ledger",
    method,
    path: "/sales",
    headers: {},
    body: new Uint8Array(),
    deadlineAtMs: monotonicMs() + 10_000,
    nonIdempotent: method === "POST",
});

export const neverAborted = (): AbortSignal => new AbortController().signal;

const serviceRow: ServiceRow = {
    name: "ledger",
    version: 1,
    pathPrefix: "/",
    nonIdempotent: ["POST"],
    timeoutMs: 10_000,
    maxConcurrent: 2,
    enabled: true,
};
