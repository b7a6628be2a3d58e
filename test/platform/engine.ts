import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";

/** Period of the registrations in these tests. */
export const HEARTBEAT_MS = 200;
const LOAD_MS = 50;

interface Membership {
    name: string;
    epoch: number;
    rank: number;
    state: string;
}

export interface PlatformEngineOptions {
    id: string;
    service: string;
    /** Missing on a plain service. */
    domain?: string;
    /** `host:port` of the control surface. */
    control: string;
}

/** Stand-in of a backend server on the users' platform, by its published protocol. */
export class PlatformEngine {
    readonly #options: PlatformEngineOptions;
    readonly #server: Server;
    readonly #born = Date.now();
    #sequence = 0;
    #group: Membership | undefined;
    #staged: string[] = [];
    #loaded: string[] = [];
    #timer: NodeJS.Timeout | undefined;
    state: "ready" | "draining" = "ready";
    /** Registrations that were acknowledged. */
    acknowledgedCount = 0;
    /** Headers of the requests that ran here. */
    readonly ran: IncomingMessage["headers"][] = [];
    /** Pause between two events of a stream. */
    eventGapMs = 5;
    eventCount = 4;

    constructor(options: PlatformEngineOptions) {
        this.#options = options;
        this.#server = createServer((message, response) => void this.#handle(message, response));
    }

    static async start(t: ExecutionContext, options: PlatformEngineOptions): Promise<PlatformEngine> {
        const engine = new PlatformEngine(options);
        await new Promise<void>((resolve) => engine.#server.listen(0, "127.0.0.1", resolve));
        engine.#timer = setInterval(() => void engine.register(), HEARTBEAT_MS);
        t.teardown(() => engine.stop());
        return engine;
    }

    /** `host:port`. */
    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#server.closeAllConnections();
        this.#server.close();
    }

    async register(): Promise<void> {
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
                group: this.#group,
            }),
        });
        const url = `http://${control}/greengageridge/Instances.Heartbeat/${id}`;
        try {
            const answer = await request(url, {
                method: "POST",
                body,
                headers: { "content-type": "application/json" },
            });
            await answer.body.dump();
            this.acknowledgedCount += answer.statusCode === 200 ? 1 : 0;
        }
        catch {
            // The next registration tries again, as an engine's does.
        }
    }

    async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
        const expected = message.headers["greengageridge-expect-instance"];
        if (expected !== undefined && expected !== this.#options.id) {
            response.writeHead(421, idHeader(message)).end();
            return;
        }
        if (message.url === "/greengageridge/order") {
            response.writeHead(this.#order(JSON.parse(Buffer.concat(chunks).toString()) as Order)).end();
            void this.register();
            return;
        }
        if (message.url === "/greengageridge/report") {
            response.end(JSON.stringify({ pace: 1, queued: 0, running: 0 }));
            return;
        }
        this.#run(message, response);
    }

    #order(order: Order): number {
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
        if (order.epoch < (this.#group?.epoch ?? 0)) {
            return 412;
        }
        const rank = order.members?.indexOf(this.#options.id) ?? -1;
        this.#group = { name: order.group, epoch: order.epoch, rank, state: "joining" };
        setTimeout(() => {
            if (this.#isIn(order) && this.#group !== undefined) {
                this.#group.state = "ready";
                this.#loaded = [order.model ?? ""];
                this.#staged = [order.model ?? ""];
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

    #run(message: IncomingMessage, response: ServerResponse): void {
        const id = message.headers["greengageridge-request-id"];
        const isHead = this.#options.domain === undefined
            || (this.#group?.state === "open" && this.#group.rank === 0);
        if (!isHead) {
            response.writeHead(421, idHeader(message)).end();
            return;
        }
        this.ran.push(message.headers);
        const head = { "greengageridge-request-id": id, "greengageridge-response-stamp": "stamp" };
        if (this.#options.domain === undefined) {
            response.writeHead(200, head).end("done");
            return;
        }
        response.writeHead(200, { ...head, "content-type": "text/event-stream" });
        void this.#stream(response, Number(message.headers["last-event-id"] ?? 0));
    }

    async #stream(response: ServerResponse, after: number): Promise<void> {
        for (let id = after + 1; id <= this.eventCount && !response.destroyed; id += 1) {
            response.write(`id: ${id}\ndata: piece ${id}\n\n`);
            await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
        }
        response.end();
    }
}

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
