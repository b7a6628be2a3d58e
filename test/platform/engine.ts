import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { type Content, contentOf, eventOf } from "./content.ts";
import { GroupMember, type Order } from "./member.ts";

/** Period of the registrations in these tests. */
export const HEARTBEAT_MS = 200;
const STALL_CHECK_MS = 50;
/** Time after the acknowledgement of a drain for which requests may still arrive. */
const DRAIN_MS = 2_500;

export interface PlatformEngineOptions {
    id: string;
    service: string;
    /** Missing on a plain service. */
    domain?: string;
    /** `host:port` of the control surfaces. */
    control: string | string[];
    /** Address for the registrations, `host:port`. Default: the engine's own. */
    advertised?: string;
    /** Default: an ephemeral port. */
    port?: number;
    /** The engines that can be in groups together. Default: checks of groups are left out. */
    fleet?: EngineFleet;
}

/** What engines know of each other, and what is noted of their requests. */
export interface EngineFleet {
    readonly engines: Map<string, PlatformEngine>;
    /** VMs of a group, by model. */
    readonly modelSizes: Record<string, number>;
    /** A request begins to run. */
    onRun: (engineId: string, message: IncomingMessage) => void;
    onViolation: (rule: string, detail: string) => void;
}

/** Stand-in of a backend server on the users' platform, by its published protocol. */
export class PlatformEngine {
    readonly #options: PlatformEngineOptions;
    readonly #server: Server;
    readonly #born = Date.now();
    readonly member: GroupMember;
    #sequence = 0;
    #timers: NodeJS.Timeout[] = [];
    #drainingSinceMs: number | undefined;
    #isStopped = false;
    state: "ready" | "draining" = "ready";
    /** Registrations that were acknowledged. */
    acknowledgedCount = 0;
    /** Headers of the requests that ran here. */
    readonly ran: IncomingMessage["headers"][] = [];
    /** Pause between two events of a stream. */
    eventGapMs = 5;
    eventCount = 4;
    /** Work of a request to a plain service. */
    workMs = 0;
    /** The process stands still: it answers nothing and sends nothing. */
    isFrozen = false;
    /** Orders get no answer and are carried out this much later. */
    orderDelayMs = 0;
    /** Connections close after a request has run, in place of its answer. */
    losesAnswers = false;

    constructor(options: PlatformEngineOptions) {
        this.#options = options;
        this.member = new GroupMember({
            id: options.id,
            fleet: options.fleet,
            isFrozen: () => this.isFrozen,
            onReady: () => void this.register(),
        });
        this.#server = createServer((message, response) => void this.#handle(message, response));
        // Short, so that idle connections close while callers still want to use them.
        this.#server.keepAliveTimeout = 1_000;
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
        this.#timers = [
            setInterval(() => void this.register(), HEARTBEAT_MS),
            setInterval(() => this.member.checkMembers(), STALL_CHECK_MS),
        ];
    }

    /** `host:port`. */
    get address(): string {
        return this.#options.advertised ?? `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    get id(): string {
        return this.#options.id;
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

    /** Resets idle connections without notice. */
    dropIdleConnections(): void {
        this.#server.closeIdleConnections();
    }

    /** Sends registrations until one is acknowledged, as a drain is announced. Returns whether it was. */
    async announceDrain(): Promise<boolean> {
        this.state = "draining";
        const before = this.acknowledgedCount;
        await this.register();
        if (this.acknowledgedCount > before) {
            this.#drainingSinceMs = performance.now();
        }
        return this.acknowledgedCount > before;
    }

    async register(): Promise<void> {
        if (this.isFrozen || this.#isStopped) {
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
            born: this.#born,
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
            // The next registration tries again, as an engine's does.
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
            // The caller has gone in the middle of its request.
            return;
        }
        if (this.isFrozen) {
            return;
        }
        const expected = message.headers["greengageridge-expect-instance"];
        if (expected !== undefined && expected !== this.#options.id) {
            response.writeHead(421, idHeader(message)).end();
            return;
        }
        const body = Buffer.concat(chunks).toString();
        if (message.url === "/greengageridge/order") {
            this.#takeOrder(JSON.parse(body) as Order, response);
            return;
        }
        if (message.url === "/greengageridge/report") {
            response.end(JSON.stringify({ pace: 1, queued: 0, running: 0 }));
            return;
        }
        this.#run(message, response, body);
    }

    #takeOrder(order: Order, response: ServerResponse): void {
        if (this.orderDelayMs > 0) {
            setTimeout(() => this.#order(order), this.orderDelayMs);
            return;
        }
        response.writeHead(this.#order(order)).end();
        void this.register();
    }

    #order(order: Order): number {
        return this.#isStopped ? 421 : this.member.order(order);
    }

    #run(message: IncomingMessage, response: ServerResponse, body: string): void {
        const { fleet, domain, id } = this.#options;
        const requestId = message.headers["greengageridge-request-id"];
        if (domain !== undefined && this.member.isBrokenHead) {
            response.writeHead(503, { ...idHeader(message), "greengageridge-not-executed": "1" }).end();
            return;
        }
        if (domain !== undefined && !this.member.takesRequests) {
            response.writeHead(421, idHeader(message)).end();
            return;
        }
        if (this.#drainingSinceMs !== undefined && performance.now() - this.#drainingSinceMs > DRAIN_MS) {
            fleet?.onViolation("DRAIN", `${id} gets ${String(requestId)} after its drain`);
        }
        this.member.checkRequest();
        this.ran.push(message.headers);
        fleet?.onRun(id, message);
        const head = { ...idHeader(message), "greengageridge-response-stamp": "stamp" };
        if (domain === undefined) {
            if (this.losesAnswers) {
                message.socket.resetAndDestroy();
                return;
            }
            const text = body === "amount" ? "done" : `done ${body}`;
            setTimeout(() => response.writeHead(200, head).end(text), this.workMs);
            return;
        }
        response.writeHead(200, { ...head, "content-type": "text/event-stream" });
        void this.#stream(
            response,
            Number(message.headers["last-event-id"] ?? 0),
            contentOf(body, this.eventCount),
        );
    }

    async #stream(response: ServerResponse, after: number, content: Content): Promise<void> {
        const { group } = this.member;
        for (let id = after + 1; id <= content.count && !response.destroyed; id += 1) {
            while (!this.#isStopped && !response.destroyed && (this.isFrozen || !this.member.isWhole())) {
                if (group !== this.member.group || this.member.isBrokenHead) {
                    response.destroy();
                    return;
                }
                await new Promise((resolve) => setTimeout(resolve, STALL_CHECK_MS));
            }
            response.write(eventOf(content, id));
            await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
        }
        response.end();
    }
}

const idHeader = ({ headers }: IncomingMessage): Record<string, string> => {
    const id = headers["greengageridge-request-id"];
    return id === undefined ? {} : { "greengageridge-request-id": String(id) };
};
