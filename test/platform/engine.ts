import { sleep } from "@greengage/base";
import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { request } from "undici";
import { GroupMember, type Order } from "./groupmember.ts";
import { formatEvent, parseContent, type StreamContent } from "./streamcontent.ts";

/** Interval between registrations. */
export const HEARTBEAT_MS = 200;
const MEMBER_CHECK_MS = 50;
const ORDER_PATH = "/greengageridge/order";
const REPORT_PATH = "/greengageridge/report";
/** Time after the acknowledgement of a drain in which requests may still arrive. */
const DRAIN_GRACE_MS = 2_500;

export interface PlatformEngineOptions {
    id: string;
    service: string;
    /** Undefined for a plain service. */
    domain?: string;
    /** `host:port` of one or more control daemons. */
    control: string | string[];
    /** `host:port` sent in registrations. Default: the engine's own address. */
    advertisedAddress?: string;
    /** Default: an ephemeral port. */
    port?: number;
    /** Engines that can form groups with this one. Default: group checks are skipped. */
    fleet?: EngineFleet;
}

/** State shared by the engines of a test, and callbacks for their requests and rule violations. */
export interface EngineFleet {
    readonly engines: Map<string, PlatformEngine>;
    /** Number of VMs per group, by model. */
    readonly modelSizes: Record<string, number>;
    /** Called when an engine begins to run a request. */
    onRun: (engineId: string, message: IncomingMessage) => void;
    onViolation: (rule: string, detail: string) => void;
    /** Prompt parts that crash each engine at the first event of a request, unless they are its last part. */
    readonly deadlyParts?: ReadonlySet<string>;
    /** Paths of requests that crash each server that begins to run them. */
    readonly deadlyPaths?: ReadonlySet<string>;
    /** Called when a request arrives at an engine, whether or not the engine runs it. */
    onArrival?: (engineId: string, message: IncomingMessage) => void;
    /** Called when an engine has crashed, with the deadly part or path if there was one. */
    onCrash?: (engine: PlatformEngine, culprit?: string) => void;
    /** Called when an engine turns a request away and asks for a pause. */
    onPause?: (engineId: string) => void;
}

/** Stand-in for a backend server on the users' platform that speaks the platform's published protocol. */
export class PlatformEngine {
    readonly #options: PlatformEngineOptions;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    readonly #bornMs = Date.now();
    readonly member: GroupMember;
    #port = 0;
    #sequence = 0;
    #timers: NodeJS.Timeout[] = [];
    #drainingSinceMs: number | undefined;
    #isStopped = false;
    state: "ready" | "draining" = "ready";
    /** Number of acknowledged registrations. */
    acknowledgedCount = 0;
    /** Headers of the requests that this engine has run. */
    readonly executedHeaders: IncomingMessage["headers"][] = [];
    /** Streams that have been accepted and have no event yet. */
    waitingStreamCount = 0;
    /** Time from the start of a stream to its first event. */
    firstEventMs = 0;
    /** Whether the head of a streaming response is sent before the time of its first event. */
    sendsHeadEarly = false;
    /** Pause between two events of a stream. */
    eventGapMs = 5;
    eventCount = 4;
    /** Processing time of a request to a plain service. */
    workMs = 0;
    /** Simulates a frozen process, which neither answers nor sends anything. */
    isFrozen = false;
    /** End of the current silence, on the monotonic clock. */
    #silentUntilMs = 0;
    /** If above 0, orders get no answer and are executed after this delay. */
    orderDelayMs = 0;
    /** Operations of which the next order gets no answer, and is carried out only on demand. */
    readonly unansweredOperations = new Set<string>();
    /** Orders that got no answer, by operation. */
    readonly lateOrders = new Map<string, Order>();
    /** Called when an order to join arrives, before it is carried out. */
    beforeJoin: () => void = () => undefined;
    /** Whether a plain service resets the connection after a request has run instead of answering. */
    dropsAnswers = false;
    /** Requests per second that the engine takes from all daemons together, named in its answers. */
    requestLimitPerS: number | undefined;
    /** Whether the engine says in all its answers that it leaves. Its registrations don't. */
    saysLeaving = false;
    /** If set, requests are turned away with 503, with this time in seconds as Retry-After. */
    retryAfterS: string | undefined;
    /** Whether it sends no registrations any more, as after the acknowledgement of its end. */
    sendsNoRegistrations = false;
    /** Whether answers that turn a request away state that it hasn't run. */
    statesNotRun = true;

    constructor(options: PlatformEngineOptions) {
        this.#options = options;
        this.member = new GroupMember({
            id: options.id,
            fleet: options.fleet,
            isFrozen: () => this.isFrozen,
            onReady: () => void this.register(),
        });
        this.#server = createServer((message, response) => void this.#handle(message, response));
        // Short, so that idle connections close at times when clients are about to reuse them.
        this.#server.keepAliveTimeout = 1_000;
        this.#server.on("connection", (socket) => {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        options.fleet?.engines.set(options.id, this);
    }

    static async start(t: ExecutionContext, options: PlatformEngineOptions): Promise<PlatformEngine> {
        const engine = new PlatformEngine(options);
        await engine.listen();
        t.teardown(() => engine.stop());
        return engine;
    }

    async listen(): Promise<void> {
        await new Promise<void>((resolve) =>
            this.#server.listen(this.#options.port ?? 0, "127.0.0.1", resolve)
        );
        this.#port = (this.#server.address() as AddressInfo).port;
        this.#timers = [
            setInterval(() => void this.register(), HEARTBEAT_MS),
            setInterval(() => this.member.checkMembers(), MEMBER_CHECK_MS),
        ];
    }

    /** `host:port`. */
    get address(): string {
        return this.#options.advertisedAddress ?? `127.0.0.1:${this.#port}`;
    }

    get id(): string {
        return this.#options.id;
    }

    /** Start time as in its registrations. */
    get bornMs(): number {
        return this.#bornMs;
    }

    get port(): number {
        return this.#port;
    }

    stop(): void {
        this.#isStopped = true;
        if (this.#options.fleet?.engines.get(this.id) === this) {
            this.#options.fleet.engines.delete(this.id);
        }
        this.#timers.forEach((timer) => clearInterval(timer));
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Resets all connections and stops, as a process that ends by a fault does. */
    crash(culprit?: string): void {
        if (this.#isStopped) {
            return;
        }
        this.#sockets.forEach((socket) => socket.resetAndDestroy());
        this.stop();
        this.#options.fleet?.onCrash?.(this, culprit);
    }

    /** Closes idle connections without notice. */
    dropIdleConnections(): void {
        this.#server.closeIdleConnections();
    }

    /** Announces a drain with a registration. Returns whether it was acknowledged. */
    async announceDrain(): Promise<boolean> {
        this.state = "draining";
        const acknowledgedBefore = this.acknowledgedCount;
        await this.register();
        if (this.acknowledgedCount > acknowledgedBefore) {
            this.#drainingSinceMs = performance.now();
        }
        return this.acknowledgedCount > acknowledgedBefore;
    }

    /** Sends nothing for a while, then goes on with everything that has arrived, as a process that was paused. */
    fallSilent(durationMs: number): void {
        this.#silentUntilMs = performance.now() + durationMs;
    }

    get #isSilent(): boolean {
        return performance.now() < this.#silentUntilMs;
    }

    async #waitForSilence(): Promise<void> {
        while (this.#isSilent && !this.#isStopped) {
            await sleep(this.#silentUntilMs - performance.now());
        }
    }

    async register(): Promise<void> {
        if (this.isFrozen || this.#isSilent || this.#isStopped || this.sendsNoRegistrations) {
            return;
        }
        const { id, service, domain, control } = this.#options;
        this.#sequence += 1;
        const body = JSON.stringify({
            service,
            address: this.address,
            zone: "z",
            version: "v1",
            slots: 18,
            state: this.state,
            cold_remaining_ms: 0,
            sequence: this.#sequence,
            born: this.#bornMs,
            ...(domain === undefined ? {} : { domain, ...this.member.registration() }),
        });
        for (const address of [control].flat()) {
            if (
                await this.#sendRegistration(
                    `http://${address}/greengageridge/Instances.Heartbeat/${id}`,
                    body,
                )
            ) {
                this.acknowledgedCount += 1;
                return;
            }
        }
    }

    async #sendRegistration(url: string, body: string): Promise<boolean> {
        try {
            const answer = await request(url, {
                method: "POST",
                body,
                headers: { "content-type": "application/json" },
                signal: AbortSignal.timeout(1_000),
            });
            await answer.body.dump();
            return answer.statusCode === 200;
        }
        catch {
            // The next periodic registration retries, as on a real engine.
            return false;
        }
    }

    async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        try {
            for await (const chunk of message) {
                chunks.push(chunk as Buffer);
            }
        }
        catch {
            // The client disconnected while it was sending its request.
            return;
        }
        await this.#waitForSilence();
        if (this.isFrozen || this.#isStopped) {
            return;
        }
        if (message.url !== ORDER_PATH && message.url !== REPORT_PATH) {
            this.#options.fleet?.onArrival?.(this.id, message);
        }
        const expected = message.headers["greengageridge-expect-instance"];
        if (expected !== undefined && expected !== this.#options.id) {
            response.writeHead(421, requestIdHeader(message)).end();
            return;
        }
        const body = Buffer.concat(chunks).toString();
        if (message.url === ORDER_PATH) {
            this.#handleOrder(JSON.parse(body) as Order, response);
            return;
        }
        if (message.url === REPORT_PATH) {
            response.end(JSON.stringify({ pace: 1, queued: 0, running: 0 }));
            return;
        }
        this.#handleRequest(message, response, body);
    }

    /** Carries out the order of an operation that got no answer. */
    executeLateOrder(operation: string): void {
        const order = this.lateOrders.get(operation);
        if (order !== undefined) {
            this.#executeOrder(order);
        }
    }

    #handleOrder(order: Order, response: ServerResponse): void {
        if (this.unansweredOperations.delete(order.operation)) {
            this.lateOrders.set(order.operation, order);
            return;
        }
        if (order.operation === "join") {
            this.beforeJoin();
        }
        if (this.orderDelayMs > 0) {
            setTimeout(() => this.#executeOrder(order), this.orderDelayMs);
            return;
        }
        response.writeHead(this.#executeOrder(order)).end();
        void this.register();
    }

    #executeOrder(order: Order): number {
        return this.#isStopped ? 421 : this.member.executeOrder(order);
    }

    #handleRequest(message: IncomingMessage, response: ServerResponse, body: string): void {
        const { fleet, domain, id } = this.#options;
        const requestId = message.headers["greengageridge-request-id"];
        if (domain !== undefined && this.member.isBrokenHead) {
            response.writeHead(503, { ...requestIdHeader(message), "greengageridge-not-executed": "1" })
                .end();
            return;
        }
        if (domain !== undefined && !this.member.acceptsRequests) {
            response.writeHead(421, requestIdHeader(message)).end();
            return;
        }
        if (
            this.#drainingSinceMs !== undefined && performance.now() - this.#drainingSinceMs > DRAIN_GRACE_MS
        ) {
            fleet?.onViolation("DRAIN", `${id} received ${String(requestId)} after its drain`);
        }
        if (this.retryAfterS !== undefined) {
            fleet?.onPause?.(id);
            response.writeHead(503, {
                ...requestIdHeader(message),
                ...this.#leavingHeader(),
                ...(this.statesNotRun ? { "greengageridge-not-executed": "1" } : {}),
                "retry-after": this.retryAfterS,
            }).end();
            return;
        }
        this.member.checkGroupReady();
        this.executedHeaders.push(message.headers);
        fleet?.onRun(id, message);
        const head = {
            ...requestIdHeader(message),
            "greengageridge-response-stamp": "stamp",
            ...this.#leavingHeader(),
            ...(this.requestLimitPerS === undefined
                ? {}
                : { "server-limit": this.requestLimitPerS.toFixed(1) }),
        };
        if (domain === undefined) {
            if (this.#isDeadly(message)) {
                this.crash(message.url);
                return;
            }
            if (this.dropsAnswers) {
                message.socket.resetAndDestroy();
                return;
            }
            const text = body === "amount" ? "done" : `done ${body}`;
            void this.#answer(response, head, text);
            return;
        }
        void this.#beginStream(message, response, head, parseContent(body, this.eventCount));
    }

    async #answer(response: ServerResponse, head: Record<string, string>, text: string): Promise<void> {
        await sleep(this.workMs);
        await this.#waitForSilence();
        response.writeHead(200, head).end(text);
    }

    #isDeadly({ url = "" }: IncomingMessage): boolean {
        return this.#options.fleet?.deadlyPaths?.has(url) ?? false;
    }

    #leavingHeader(): Record<string, string> {
        return this.saysLeaving ? { "server-leaving": "1" } : {};
    }

    async #beginStream(
        message: IncomingMessage,
        response: ServerResponse,
        head: Record<string, string>,
        content: StreamContent,
    ): Promise<void> {
        this.waitingStreamCount += 1;
        const streamHead = { ...head, "content-type": "text/event-stream" };
        if (this.sendsHeadEarly) {
            response.writeHead(200, streamHead).flushHeaders();
        }
        if (this.firstEventMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, this.firstEventMs));
        }
        await this.#waitForSilence();
        this.waitingStreamCount -= 1;
        if (response.destroyed) {
            return;
        }
        const { deadlyParts } = this.#options.fleet ?? {};
        const deadlyPart = sharedPartsOf(message).find((part) => deadlyParts?.has(part));
        if (deadlyPart !== undefined || this.#isDeadly(message)) {
            this.crash(deadlyPart ?? message.url);
            return;
        }
        if (!response.headersSent) {
            response.writeHead(200, streamHead);
        }
        await this.#stream(response, Number(message.headers["last-event-id"] ?? 0), content);
    }

    async #stream(response: ServerResponse, lastEventId: number, content: StreamContent): Promise<void> {
        const { group } = this.member;
        for (let id = lastEventId + 1; id <= content.count && !response.destroyed; id += 1) {
            while (!this.#isStopped && !response.destroyed && (this.isFrozen || !this.member.isComplete())) {
                if (group !== this.member.group || this.member.isBrokenHead) {
                    response.destroy();
                    return;
                }
                await new Promise((resolve) => setTimeout(resolve, MEMBER_CHECK_MS));
            }
            await this.#waitForSilence();
            response.write(formatEvent(content, id));
            await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
        }
        response.end();
    }
}

/** Returns the prompt parts of a request except the last one, which belongs to the request itself. */
export const sharedPartsOf = ({ headers }: IncomingMessage): string[] =>
    String(headers["greengageridge-prompt-prefix"] ?? "").split(",").slice(0, -1)
        .map((part) => part.trim().split(":")[0] ?? "");

const requestIdHeader = ({ headers }: IncomingMessage): Record<string, string> => {
    const id = headers["greengageridge-request-id"];
    return id === undefined ? {} : { "greengageridge-request-id": String(id) };
};
