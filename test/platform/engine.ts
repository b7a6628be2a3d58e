import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";

/** Period of the registrations in these tests. */
export const HEARTBEAT_MS = 200;
const LOAD_MS = 50;
/** Work of a group that has lost a member stands still for this long, then the head is broken. */
const STALL_MS = 1_500;
const STALL_CHECK_MS = 50;
/** Time after the acknowledgement of a drain for which requests may still arrive. */
const DRAIN_MS = 2_500;

interface Membership {
    name: string;
    epoch: number;
    rank: number;
    state: string;
    model: string;
    members: string[];
}

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
    /** Groups for which this engine was ready, as `name/epoch/members`. */
    readonly #readyFor = new Set<string>();
    #sequence = 0;
    #group: Membership | undefined;
    #staged: string[] = [];
    #loaded: string[] = [];
    #timers: NodeJS.Timeout[] = [];
    #partedAtMs: number | undefined;
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
            setInterval(() => this.#checkMembers(), STALL_CHECK_MS),
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
            ...(domain === undefined ? {} : {
                domain,
                staged: this.#staged,
                models: this.#loaded.map((name) => ({ name, version: 1, adapters: [] })),
                group: this.#group && {
                    name: this.#group.name,
                    epoch: this.#group.epoch,
                    rank: this.#group.rank,
                    state: this.#group.state,
                },
            }),
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

    /** Whether this engine has been ready under the name, epoch and list of a group. */
    wasReadyFor(group: Membership): boolean {
        return this.#readyFor.has(keyOf(group));
    }

    isMemberOf({ name, epoch }: Membership): boolean {
        return !this.isFrozen && this.#group?.name === name && this.#group.epoch === epoch;
    }

    /** Whether this engine heads the group, and is not broken. */
    heads({ name, epoch }: Membership): boolean {
        const own = this.#group;
        return own?.name === name && own.epoch === epoch && ["open", "closing"].includes(own.state);
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
        if (this.#isStopped) {
            return 421;
        }
        const handlers: Record<string, () => number> = {
            join: () => this.#join(order),
            open: () => this.#setState(order, ["ready", "open"], "open"),
            close: () => this.#setState(order, ["open", "closing", "ready"], "ready"),
            leave: () => {
                this.#group = this.#isIn(order) ? undefined : this.#group;
                return 200;
            },
            stage: () => {
                this.#staged = [order.model ?? ""];
                return 202;
            },
        };
        return handlers[order.operation]?.() ?? 400;
    }

    #join(order: Order): number {
        const own = this.#group;
        if (order.epoch < (own?.epoch ?? 0)) {
            return 412;
        }
        const { fleet, id } = this.#options;
        const members = order.members ?? [];
        const head = fleet?.engines.get(own?.members[0] ?? "");
        if (own !== undefined && !this.#isIn(order) && head?.heads(own)) {
            fleet?.onViolation("TWO", `${id} joins ${order.group} while ${own.name} is served by ${head.id}`);
        }
        const rank = members.indexOf(id);
        const joined = {
            name: order.group,
            epoch: order.epoch,
            rank,
            state: "joining",
            model: order.model ?? "",
            members,
        };
        this.#group = joined;
        setTimeout(() => {
            if (this.#group === joined) {
                joined.state = "ready";
                this.#readyFor.add(keyOf(joined));
                this.#loaded = [joined.model];
                this.#staged = [joined.model];
                void this.register();
            }
        }, LOAD_MS);
        return 202;
    }

    #setState(order: Order, from: string[], to: string): number {
        if (!this.#isIn(order) || this.#group === undefined || !from.includes(this.#group.state)) {
            return 409;
        }
        this.#group.state = to;
        return 202;
    }

    #isIn({ group, epoch }: Order): boolean {
        return this.#group?.name === group && this.#group.epoch === epoch;
    }

    /** Whether all other members of the own group are there. */
    #isWhole(): boolean {
        const { fleet } = this.#options;
        const group = this.#group;
        return fleet === undefined || group === undefined
            || group.members.every((id) => fleet.engines.get(id)?.isMemberOf(group));
    }

    /** A head that has lost a member stands still, and is broken after a while. */
    #checkMembers(): void {
        const group = this.#group;
        if (group === undefined || !this.heads(group) || this.#isWhole()) {
            this.#partedAtMs = undefined;
            return;
        }
        this.#partedAtMs ??= performance.now();
        if (performance.now() - this.#partedAtMs >= STALL_MS) {
            group.state = "broken";
        }
    }

    #run(message: IncomingMessage, response: ServerResponse, body: string): void {
        const { fleet, domain, id } = this.#options;
        const requestId = message.headers["greengageridge-request-id"];
        if (domain !== undefined && this.#group?.state === "broken" && this.#group.rank === 0) {
            response.writeHead(503, { ...idHeader(message), "greengageridge-not-executed": "1" }).end();
            return;
        }
        const isHead = domain === undefined || (this.#group?.state === "open" && this.#group.rank === 0);
        if (!isHead) {
            response.writeHead(421, idHeader(message)).end();
            return;
        }
        if (this.#drainingSinceMs !== undefined && performance.now() - this.#drainingSinceMs > DRAIN_MS) {
            fleet?.onViolation("DRAIN", `${id} gets ${String(requestId)} after its drain`);
        }
        this.#checkGroup();
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

    /** A request may begin only in a group with all of its members. */
    #checkGroup(): void {
        const { fleet, id } = this.#options;
        const group = this.#group;
        if (fleet === undefined || group === undefined) {
            return;
        }
        const missing = group.members.filter((memberId) => {
            const member = fleet.engines.get(memberId);
            return member !== undefined && !member.wasReadyFor(group);
        });
        if (group.members.length !== fleet.modelSizes[group.model] || missing.length > 0) {
            fleet.onViolation(
                "PARTIAL",
                `${id} serves ${group.name}/${group.epoch} without ${missing.join()}`,
            );
        }
    }

    async #stream(response: ServerResponse, after: number, { text, count }: Content): Promise<void> {
        const group = this.#group;
        for (let id = after + 1; id <= count && !response.destroyed; id += 1) {
            while (!this.#isStopped && !response.destroyed && (this.isFrozen || !this.#isWhole())) {
                if (group !== this.#group || group?.state === "broken") {
                    response.destroy();
                    return;
                }
                await new Promise((resolve) => setTimeout(resolve, STALL_CHECK_MS));
            }
            response.write(`id: ${id}\ndata: ${text} ${id}\n\n`);
            await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
        }
        response.end();
    }
}

interface Content {
    text: string;
    count: number;
}

/** What a stream says. A caller that checks its answer sends `TEXT COUNT`. */
const contentOf = (body: string, usualCount: number): Content => {
    const [text = "", count] = body.split(" ");
    return count === undefined ? { text: "piece", count: usualCount } : { text, count: Number(count) };
};

/** The whole answer of a stream. */
export const wholeStream = ({ text, count }: Content): string =>
    Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${text} ${index + 1}\n\n`).join("");

const keyOf = ({ name, epoch, members }: Membership): string => `${name}/${epoch}/${members.join()}`;

const idHeader = ({ headers }: IncomingMessage): Record<string, string> => {
    const id = headers["greengageridge-request-id"];
    return id === undefined ? {} : { "greengageridge-request-id": String(id) };
};

interface Order {
    operation: string;
    group: string;
    epoch: number;
    model?: string;
    members?: string[];
}
