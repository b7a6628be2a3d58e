// Stand-in for a model engine, as PROTOCOL.md describes it: membership of a group, orders, reports and event streams.
import { createServer } from "node:http";
import { callControl } from "./callers.mjs";
import { HEARTBEAT_MS, now, sleep } from "./system.mjs";

const STALL_MS = 6_000;
const FORM_MS = 300;
const REJOIN_MS = 200;
/** Before the first request, loads take a tenth of the time. */
const FIRST_LOAD_MS = 1_200;
const WARM_MS = 1_100;
const EVENT_GAP_MS = 30;
const EVENT_COUNT = 20;

/** All engines of a run, and the rules that only they together can see broken. */
export class Fleet {
    constructor(system, record, { modelSizes }) {
        Object.assign(this, { system, record, modelSizes });
        this.engines = new Map();
        this.broken = [];
    }

    report(rule, detail) {
        this.record.write(`rule ${rule} broken`, { detail: JSON.stringify(detail) });
        this.broken.push(`${rule}: ${detail}`);
    }
}

export class Engine {
    constructor(fleet, { id, domain, zone, host }) {
        Object.assign(this, { fleet, id, domain, zone, host });
        this.system = fleet.system;
        this.record = fleet.record;
        this.born = Date.now();
        this.sequence = 0;
        this.orderCount = 0;
        this.seenEpoch = 0;
        this.beats = true;
        this.isUp = true;
        this.state = "ready";
        this.staged = [];
        this.arrivals = [];
        this.sockets = new Set();
        this.readyKeys = new Set();
        /** Returns for an order how late it is carried out, unanswered; 0 for one that is answered. */
        this.lateMsOf = () => 0;
    }

    async start() {
        this.server = createServer((message, response) => this.#handle(message, response));
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        await new Promise((done) => this.server.listen(0, this.host, done));
        this.address = `${this.host}:${this.server.address().port}`;
        this.fleet.engines.set(this.id, this);
        this.stallTimer = setInterval(() => this.#checkMembers(), 100);
        this.#beat();
    }

    /** Ends the process for good: connections are reset and the address refuses new ones. */
    exit(reason) {
        this.beats = false;
        this.isUp = false;
        clearInterval(this.stallTimer);
        this.record.write("engine ends", { engine: this.id, reason });
        this.server.close();
        this.sockets.forEach((socket) => socket.resetAndDestroy());
    }

    get description() {
        const { group } = this;
        return group === undefined ? "no group" : `${group.name} epoch ${group.epoch} rank ${group.rank} ${group.state}`;
    }

    heartbeat() {
        this.sequence += 1;
        const { group } = this;
        return {
            path: `/greengageridge/Instances.Heartbeat/${this.id}`,
            body: JSON.stringify({
                service: "llm",
                address: this.address,
                zone: this.zone,
                version: "v1",
                slots: 18,
                state: this.state,
                cold_remaining_ms: 0,
                stage: "hybrid",
                models: this.lastModel === undefined ? [] : [{ name: this.lastModel, version: 1, adapters: [] }],
                staged: this.staged,
                domain: this.domain,
                group: group && { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
                sequence: this.sequence,
                born: this.born,
            }),
        };
    }

    async send({ path, body }, options) {
        return await callControl(this.system, {
            method: "POST",
            path,
            headers: { "content-type": "application/json" },
            body,
        }, options);
    }

    async deregister(options) {
        this.beats = false;
        this.sequence += 1;
        const body = JSON.stringify({ born: this.born, sequence: this.sequence });
        const answer = await this.send({ path: `/greengageridge/Instances.Deregister/${this.id}`, body }, options);
        this.record.write("engine got the answer to its deregistration", {
            engine: this.id,
            from: answer.machine.name,
            status: answer.status,
        });
        return answer.status === 200 ? answer.machine : undefined;
    }

    async #beat() {
        let first = 0;
        while (this.beats) {
            void this.send(this.heartbeat(), { tries: 3, first: first++ });
            await sleep(HEARTBEAT_MS);
        }
    }

    /** Engines report a change immediately. */
    #reportChange() {
        this.record.write("engine is in", { engine: this.id, state: JSON.stringify(this.description) });
        if (this.beats) {
            void this.send(this.heartbeat(), { tries: 3 });
        }
    }

    #checkMembers() {
        const { group } = this;
        if (group === undefined || group.rank !== 0 || !["open", "closing"].includes(group.state)) {
            this.stalledSince = undefined;
            return;
        }
        const isComplete = group.members.every((id) => {
            const member = this.fleet.engines.get(id);
            return member?.isUp && member.group?.name === group.name && member.group.epoch === group.epoch;
        });
        this.stalledSince = isComplete ? undefined : this.stalledSince ?? now();
        if (this.stalledSince !== undefined && now() - this.stalledSince >= STALL_MS) {
            group.state = "broken";
            this.#reportChange();
        }
    }

    #handle(message, response) {
        const chunks = [];
        message.on("data", (chunk) => chunks.push(chunk));
        message.on("error", () => undefined);
        message.on("end", () => {
            const id = message.headers["greengageridge-request-id"];
            const echo = id === undefined ? {} : { "greengageridge-request-id": id };
            const expected = message.headers["greengageridge-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                response.writeHead(421, { ...echo, "at-server": this.id }).end();
            }
            else if (message.url === "/greengageridge/report") {
                response.writeHead(200, { "content-type": "application/json" });
                response.end(JSON.stringify({
                    stage: "hybrid",
                    models: this.lastModel === undefined ? [] : [{ name: this.lastModel, version: 1, adapters: [] }],
                    busy: false,
                    sequence: this.orderCount,
                    queued: 0,
                    running: 0,
                    kv_used: 0,
                    kv_total: 1_710_000,
                    handles: 0,
                    pace: 1,
                }));
            }
            else if (message.url === "/greengageridge/order") {
                this.#receiveOrder(JSON.parse(Buffer.concat(chunks).toString()), response);
            }
            else {
                this.#handleRequest(message, response, echo);
            }
        });
    }

    #receiveOrder(order, response) {
        const lateMs = this.lateMsOf(order);
        const { operation, group, epoch } = order;
        if (lateMs > 0) {
            this.record.write("engine leaves an order unanswered", { engine: this.id, operation, group, epoch, lateMs });
            setTimeout(() => {
                const status = this.isUp ? this.#execute(order) : "ended";
                this.record.write("engine carries the order out late", { engine: this.id, operation, group, epoch, status });
            }, lateMs);
            return;
        }
        const status = this.#execute(order);
        this.record.write("engine answers an order", { engine: this.id, operation, group, epoch, status });
        response.writeHead(status, { "content-type": "application/json" }).end("{}");
    }

    #execute(order) {
        const handlers = { join: this.#join, open: this.#open, close: this.#close, leave: this.#leave, stage: this.#stage };
        const status = handlers[order.operation]?.call(this, order) ?? 400;
        this.orderCount += Number(status === 202);
        return status;
    }

    #isIn({ group: name, epoch }) {
        return this.group?.name === name && this.group.epoch === epoch;
    }

    #join({ group: name, epoch, model, members }) {
        const { group } = this;
        if (epoch < this.seenEpoch || (this.#isIn({ group: name, epoch }) && group.members.join() !== members.join())) {
            return 412;
        }
        if (this.#isIn({ group: name, epoch })) {
            return 200;
        }
        const head = group === undefined ? undefined : this.fleet.engines.get(group.members[0]);
        if (head?.isUp && head.group?.name === group.name && head.group.epoch === group.epoch && ["open", "closing"].includes(head.group.state)) {
            this.fleet.report(
                "TWO",
                `${this.id} takes a join of ${name} epoch ${epoch} while ${head.id}, the head of its group ${group.name} epoch ${group.epoch}, is ${head.group.state}`,
            );
        }
        this.seenEpoch = epoch;
        const joined = { name, epoch, model, members, rank: members.indexOf(this.id), state: "joining" };
        this.group = joined;
        this.#reportChange();
        const takesMs = this.lastModel === model ? REJOIN_MS : this.staged.includes(model) ? WARM_MS : FIRST_LOAD_MS;
        setTimeout(() => {
            if (this.group === joined && this.isUp) {
                joined.state = "ready";
                this.lastModel = model;
                this.staged = [model];
                this.readyKeys.add(keyOf(joined));
                this.#reportChange();
            }
        }, takesMs);
        return 202;
    }

    #open(order) {
        const { group } = this;
        if (!this.#isIn(order) || group.rank !== 0 || !["ready", "open"].includes(group.state)) {
            return 409;
        }
        if (group.state === "open" || this.isOpening) {
            return 200;
        }
        this.isOpening = true;
        setTimeout(() => {
            this.isOpening = false;
            if (this.group === group && group.state === "ready") {
                group.state = "open";
                this.#reportChange();
            }
        }, FORM_MS);
        return 202;
    }

    #close(order) {
        if (!this.#isIn(order) || !["open", "closing", "ready"].includes(this.group.state)) {
            return 409;
        }
        if (this.group.state === "ready") {
            return 200;
        }
        this.group.state = "ready";
        this.#reportChange();
        return 202;
    }

    #leave(order) {
        if (this.#isIn(order)) {
            this.group = undefined;
            this.#reportChange();
        }
        return 200;
    }

    #stage({ model }) {
        this.staged = [model];
        return 202;
    }

    #handleRequest(message, response, echo) {
        const { group } = this;
        const id = message.headers["greengageridge-request-id"];
        if (group?.state === "broken") {
            response.writeHead(503, { ...echo, "greengageridge-not-executed": "1", "at-server": this.id }).end();
            return;
        }
        if (group?.rank !== 0 || group.state !== "open") {
            response.writeHead(421, { ...echo, "at-server": this.id }).end();
            return;
        }
        this.arrivals.push({ id, at: now() });
        const missing = group.members.filter((member) => !this.fleet.engines.get(member)?.readyKeys.has(keyOf(group)));
        if (group.members.length !== this.fleet.modelSizes[group.model] || missing.length > 0) {
            this.fleet.report("PARTIAL", `${id} begins in ${group.name} epoch ${group.epoch}, where ${missing.join()} was never ready`);
        }
        this.record.write("engine runs", { engine: this.id, request: id, group: group.name });
        response.writeHead(200, {
            ...echo,
            "greengageridge-response-stamp": `stamp-${this.id}`,
            "content-type": "text/event-stream",
            "greengageridge-engine-load": "1,0,18",
        });
        void this.#stream(response, Number(message.headers["last-event-id"] ?? 0));
    }

    async #stream(response, lastId) {
        for (let event = lastId + 1; event <= EVENT_COUNT; event += 1) {
            while (this.stalledSince !== undefined && this.isUp) {
                await sleep(50);
            }
            if (response.destroyed || !this.isUp) {
                return;
            }
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            await sleep(EVENT_GAP_MS);
        }
        response.end();
    }
}

const keyOf = ({ name, epoch, members }) => `${name}/${epoch}/${members.join()}`;

/** A configuration with a service of model engines. */
export const modelConfiguration = (version, models) => ({
    version,
    routes: [{
        name: "restock-advice",
        host: "a.example",
        path_prefix: "/chat/",
        kind: "streaming",
        timeout_ms: 8_000,
        target_latency_ms: 400,
        priority: 1,
        service: "llm",
        attempts: 2,
        allow_anonymous: false,
        sticky_sessions: true,
        enable_resume: true,
        gap_target_ms: 250,
    }],
    services: [{
        name: "llm",
        health_path: "/health",
        max_connections: 464,
        protocol: "h1",
        tls: false,
        engine: {
            slots: 18,
            kv_capacity_tokens: 1_710_000,
            kv_token_bytes: 50_752,
            link_mbps: 400_000,
            stride: 6,
            models,
            step_ms: 6.45,
            per_seq_ms: 0.14,
            context_per_k: 0.0042,
            read_per_s: 56_100,
            pairs_per_m: 0.309,
            chunk: 2_048,
            report_lag_ms: 200,
            loads_per_s: 5.5,
            loads_at_once: 8,
            usual: { prompt: 1_115, answer: 152 },
            keeps: 1,
            far_x: 4,
            form_ms: FORM_MS,
        },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "kiosks", api_keys: ["key-1"], priority: 1 }],
});

let chatCount = 0;

/** A request of a client for a generation. */
export const chatRequest = (model) => {
    chatCount += 1;
    return {
        method: "POST",
        path: "/chat/1",
        body: `prompt ${chatCount}`,
        timeoutMs: 8_000,
        headers: {
            "greengageridge-model": model,
            "greengageridge-token-usage": "200,120",
            "greengageridge-prompt-prefix": `5c1e07a2:40,${(0x1000_0000 + chatCount).toString(16)}:160`,
        },
    };
};
