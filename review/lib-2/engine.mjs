// Stand-in for a model engine or a server of a plain service, as the users' pages describe them.
import { call, listen, nextHost, readBody, sleep } from "./deployment.mjs";

const HEARTBEAT_MS = 1_200;
const FORM_MS = 300;
const STALL_MS = 6_000;
const REJOIN_MS = 200;
const EVENT_GAP_MS = 35;
const EVENT_COUNT = 28;

export class Engine {
    id;
    service;
    host;
    address;
    state = "ready";
    /** Group that this engine is a member of. */
    group;
    staged = [];
    isUp = false;
    /** Called with each order before it is carried out. Returns false if it shall get no answer; it may be carried out later. */
    onOrder = () => true;
    #options;
    #born = Date.now();
    #sequence = 0;
    #orderCount = 0;
    #highestEpoch = 0;
    #lastModel;
    #timer;
    #close;

    /** `fleet`: engines by id, shared by all. `models`: by name, with `load_s` and `warm_s`. */
    constructor(options) {
        this.#options = options;
        this.id = options.id;
        this.service = options.service;
        this.host = options.host ?? nextHost();
        this.address = `${this.host}:8120`;
        this.staged = options.staged ?? [];
    }

    async start() {
        this.#close = await listen(this.address, (message, response) => void this.#handle(message, response));
        this.isUp = true;
        this.#options.fleet.set(this.id, this);
        const beat = () => void this.heartbeat();
        this.#timer = setInterval(beat, HEARTBEAT_MS);
        beat();
    }

    /** Ends at once: all connections are reset, and nothing more is sent. */
    crash() {
        this.isUp = false;
        clearInterval(this.#timer);
        this.#close();
    }

    async heartbeat() {
        if (!this.isUp) {
            return;
        }
        this.#sequence += 1;
        const { domain, zone = "z1", controls } = this.#options;
        const body = JSON.stringify({
            service: this.service,
            address: this.address,
            zone,
            version: "v1",
            slots: 18,
            state: this.state,
            cold_remaining_ms: 0,
            sequence: this.#sequence,
            born: this.#born,
            ...(domain === undefined ? {} : {
                stage: "hybrid",
                domain,
                staged: this.staged,
                models: this.#lastModel === undefined
                    ? []
                    : [{ name: this.#lastModel, version: 1, adapters: [] }],
                group: this.group === undefined ? null : {
                    name: this.group.name,
                    epoch: this.group.epoch,
                    rank: this.group.rank,
                    state: this.group.state,
                },
            }),
        });
        for (const { address } of controls) {
            const answer = await call(address, "POST", `/greengageridge/Instances.Heartbeat/${this.id}`, {
                headers: { "content-type": "application/json" },
                body,
                timeoutMs: 1_000,
            });
            if (answer.status >= 200 && answer.status < 300) {
                return;
            }
        }
    }

    /** State of this engine as the head of its group, or undefined. A head that stands still is broken after `stall_ms`. */
    headState() {
        const { group } = this;
        if (!this.isUp || group === undefined || group.rank !== 0) {
            return undefined;
        }
        this.#checkMembers();
        return group.state;
    }

    #checkMembers() {
        const { group } = this;
        if (group === undefined || group.rank !== 0 || !["open", "closing"].includes(group.state)) {
            return;
        }
        const isComplete = group.members.every((id) => {
            const other = this.#options.fleet.get(id);
            return other?.isUp && other.group?.name === group.name && other.group.epoch === group.epoch;
        });
        if (!isComplete) {
            group.standsStillSinceMs ??= performance.now();
        }
        if (performance.now() - (group.standsStillSinceMs ?? Infinity) > STALL_MS) {
            group.state = "broken";
            void this.heartbeat();
        }
    }

    async #handle(message, response) {
        const body = await readBody(message).catch(() => undefined);
        if (body === undefined || !this.isUp) {
            return;
        }
        const requestId = message.headers["greengageridge-request-id"];
        const echo = requestId === undefined ? {} : { "greengageridge-request-id": requestId };
        const expected = message.headers["greengageridge-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { ...echo, "greengageridge-not-executed": "1" }).end();
            return;
        }
        if (message.url === "/greengageridge/order") {
            const order = JSON.parse(body.toString());
            this.#options.record(`order ${this.id} gets ${JSON.stringify(order)}`);
            if (this.onOrder(order) === false) {
                return;
            }
            const status = this.carryOut(order);
            this.#options.record(`order ${this.id} answers ${status} to ${order.operation} ${order.group ?? ""}`);
            response.writeHead(status, { "content-type": "application/json" }).end("{}");
            return;
        }
        if (message.url === "/greengageridge/report") {
            const report = {
                stage: "hybrid",
                models: [],
                busy: false,
                sequence: this.#orderCount,
                queued: 0,
                running: 0,
                kv_used: 0,
                kv_total: 1_710_000,
                handles: 0,
                pace: 1,
            };
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
            return;
        }
        await this.#run(message, response, body, echo);
    }

    async #run(message, response, body, echo) {
        const { domain, record, runRequest } = this.#options;
        const id = message.headers["greengageridge-request-id"];
        if (domain !== undefined) {
            const state = this.headState();
            if (state !== "open") {
                const status = state === "broken" ? 503 : 421;
                response.writeHead(status, { ...echo, "greengageridge-not-executed": "1" }).end();
                return;
            }
        }
        record(`run ${this.id} runs ${id} ${message.method} ${message.url}`);
        const head = {
            ...echo,
            "greengageridge-response-stamp": `stamp.${this.id}.${id}`,
            "greengageridge-engine-load": "1,0,18",
        };
        if (runRequest !== undefined) {
            await runRequest({ engine: this, message, response, body, head });
            return;
        }
        if (domain === undefined) {
            await sleep(40);
            response.writeHead(200, { ...head, "content-type": "application/json" }).end(`{"id":"${id}"}`);
            return;
        }
        await this.#stream(message, response, head);
    }

    async #stream(message, response, head) {
        const { group } = this;
        await sleep(60);
        for (let event = Number(message.headers["last-event-id"] ?? 0) + 1; event <= EVENT_COUNT; event += 1) {
            // Nothing moves while the group is not whole.
            while (this.isUp && !response.destroyed && this.group === group) {
                this.#checkMembers();
                if (group.standsStillSinceMs === undefined || group.state === "broken") {
                    break;
                }
                await sleep(50);
            }
            if (!this.isUp || response.destroyed || this.group !== group || group.state === "broken") {
                response.destroy();
                return;
            }
            if (!response.headersSent) {
                response.writeHead(200, { ...head, "content-type": "text/event-stream" });
            }
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            await sleep(EVENT_GAP_MS);
        }
        response.end();
    }

    /** Carries an order out. Returns the status of its answer. */
    carryOut(order) {
        return (this.#orders[order.operation] ?? (() => 400))(order);
    }

    #orders = {
        join: (order) => this.#join(order),
        open: (order) => {
            if (!this.#isIn(order) || this.group.rank !== 0) {
                return 409;
            }
            if (this.group.state === "open") {
                return 200;
            }
            if (this.group.state !== "ready") {
                return 409;
            }
            this.#begin();
            const { group } = this;
            setTimeout(() => this.#setState(group, "open"), FORM_MS);
            return 202;
        },
        close: (order) => {
            if (!this.#isIn(order) || this.group.rank !== 0) {
                return 409;
            }
            if (this.group.state === "open") {
                this.#begin();
                const { group } = this;
                this.#setState(group, "closing");
                setTimeout(() => this.#setState(group, "ready"), 1_000);
                return 202;
            }
            return 200;
        },
        leave: (order) => {
            if (this.#isIn(order)) {
                this.#begin();
                this.group = undefined;
                void this.heartbeat();
            }
            return 200;
        },
        stage: ({ model }) => {
            if (this.staged.includes(model)) {
                return 200;
            }
            this.#begin();
            setTimeout(() => this.#stage(model), this.#loadMs(model));
            return 202;
        },
    };

    #join(order) {
        const { name, members, epoch } = { name: order.group, members: order.members, epoch: order.epoch };
        const isSame = this.#isIn(order);
        if (epoch < this.#highestEpoch || (isSame && this.group.members.join() !== members.join())) {
            return 412;
        }
        if (isSame) {
            return 200;
        }
        this.#begin();
        this.#options.onJoin?.(this, this.group, order);
        this.#highestEpoch = epoch;
        const joined = { name, epoch, members, rank: members.indexOf(this.id), state: "joining", model: order.model };
        this.group = joined;
        const joinMs = this.#lastModel === order.model
            ? REJOIN_MS
            : this.staged.includes(order.model)
            ? this.#options.models[order.model].warm_s * 1_000
            : this.#loadMs(order.model);
        setTimeout(() => {
            if (this.group === joined && this.isUp) {
                this.#lastModel = order.model;
                this.#stage(order.model);
                this.#setState(joined, "ready");
            }
        }, joinMs);
        void this.heartbeat();
        return 202;
    }

    #begin() {
        this.#orderCount += 1;
    }

    #stage(model) {
        if (this.isUp) {
            this.staged = [model];
            void this.heartbeat();
        }
    }

    /** Before the first request, loads take one tenth of the time. */
    #loadMs(model) {
        const { load_s } = this.#options.models[model];
        return load_s * (this.#options.hasServed() ? 1_000 : 100);
    }

    #setState(group, state) {
        if (this.group === group && this.isUp) {
            group.state = state;
            void this.heartbeat();
        }
    }

    #isIn({ group, epoch }) {
        return this.group?.name === group && this.group.epoch === epoch;
    }
}
