// Stand-ins for clients, the operator and servers, as PROTOCOL.md describes them.
import { Agent, createServer, request } from "node:http";
import { HEARTBEAT_MS, now, sleep } from "./system.mjs";

/** One HTTP call on a connection of its own. Resolves to `{ status, headers, text }` or `{ error }`. */
export const call = (address, { method = "GET", path, headers = {}, body, timeoutMs = 1_000, agent }) =>
    new Promise((done) => {
        const [host, port] = address.split(":");
        const message = request({
            host,
            port,
            method,
            path,
            headers: { ...headers, ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }) },
            agent: agent ?? new Agent({ keepAlive: false }),
        });
        const timer = setTimeout(() => message.destroy(new Error("no answer in time")), timeoutMs);
        const finish = (result) => {
            clearTimeout(timer);
            done({ ...result, isKept: message.reusedSocket });
        };
        message.on("error", (error) => finish({ error: error.code ?? error.message }));
        message.on("response", (response) => {
            let text = "";
            response.on("data", (chunk) => {
                text += chunk;
            });
            response.on("error", (error) => finish({ error: error.code ?? error.message, status: response.statusCode }));
            response.on("aborted", () => finish({ error: "aborted", status: response.statusCode, text }));
            response.on("end", () => finish({ status: response.statusCode, headers: response.headers, text }));
        });
        message.end(body);
    });

/** Calls control daemons in turn until one answers with a status below 500, as operators and servers do. */
export const callControl = async (system, options, { tries = 12, first = 0 } = {}) => {
    let last;
    for (let count = 0; count < tries; count += 1) {
        const { controls } = system;
        const machine = controls[(first + count) % controls.length];
        last = { ...await call(machine.control, options), machine };
        if (last.status !== undefined && last.status < 500 && last.error === undefined) {
            return last;
        }
        await sleep(Math.min(1_000, 100 * 1.5 ** count));
    }
    return last;
};

export class Operator {
    constructor(system, record) {
        this.system = system;
        this.record = record;
        this.acknowledged = 0;
    }

    /** Sends a configuration until it is acknowledged. Resolves to the daemon that has done so, or undefined. */
    async replace(configuration, options) {
        const body = JSON.stringify(configuration);
        const { version } = configuration;
        this.record.write("operator sends", { version });
        const answer = await callControl(this.system, {
            method: "POST",
            path: "/greengageridge/Config.Replace",
            headers: { "content-type": "application/json" },
            body,
        }, options);
        const isAcknowledged = answer.status === 200;
        this.record.write(isAcknowledged ? "operator got the acknowledgement" : "operator got none", {
            version,
            from: answer.machine.name,
            status: answer.status,
            error: answer.error,
        });
        if (isAcknowledged) {
            this.acknowledged = Math.max(this.acknowledged, version);
        }
        return isAcknowledged ? answer.machine : undefined;
    }

    /** Reads the configuration once at each daemon. Resolves to the versions that came. */
    async readEverywhere() {
        const answers = await Promise.all(this.system.controls.map(async (machine) => {
            const answer = await call(machine.control, { path: "/greengageridge/Config.Describe" });
            const version = answer.status === 200 ? JSON.parse(answer.text).version : undefined;
            this.record.write("operator reads", {
                from: machine.name,
                status: answer.status,
                error: answer.error,
                version,
            });
            return version;
        }));
        return answers.filter((version) => version !== undefined);
    }
}

/** A server of a plain service. */
export class PlainServer {
    constructor(system, record, { id, service, zone, host }) {
        Object.assign(this, { system, record, id, service, zone, host });
        this.sequence = 0;
        this.born = Date.now();
        this.state = "ready";
        this.beats = true;
        this.arrivals = [];
        this.workMs = 20;
        this.sockets = new Set();
    }

    async start() {
        this.server = createServer((message, response) => this.#handle(message, response));
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        await new Promise((done) => this.server.listen(0, this.host, done));
        this.address = `${this.host}:${this.server.address().port}`;
        this.#beat();
    }

    /** Ends the process: connections are reset and the address refuses new ones. */
    exit() {
        this.beats = false;
        this.record.write("server exits", { server: this.id });
        this.server.close();
        this.sockets.forEach((socket) => socket.resetAndDestroy());
    }

    heartbeat() {
        this.sequence += 1;
        return {
            path: `/greengageridge/Instances.Heartbeat/${this.id}`,
            body: JSON.stringify({
                service: this.service,
                address: this.address,
                zone: this.zone,
                version: "v1",
                slots: 6,
                state: this.state,
                cold_remaining_ms: 0,
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

    /** Says that it is about to end. Resolves to the daemon that has acknowledged it. */
    async deregister(options) {
        this.beats = false;
        this.sequence += 1;
        const body = JSON.stringify({ born: this.born, sequence: this.sequence });
        const answer = await this.send({ path: `/greengageridge/Instances.Deregister/${this.id}`, body }, options);
        this.record.write("server got the answer to its deregistration", {
            server: this.id,
            from: answer.machine.name,
            status: answer.status,
        });
        return answer.status === 200 ? answer.machine : undefined;
    }

    async #beat() {
        let first = 0;
        while (this.beats) {
            const beat = this.heartbeat();
            void this.send(beat, { tries: 3, first: first++ });
            await sleep(HEARTBEAT_MS);
        }
    }

    #handle(message, response) {
        const id = message.headers["greengageridge-request-id"];
        const chunks = [];
        message.on("data", (chunk) => chunks.push(chunk));
        message.on("end", () => {
            const expected = message.headers["greengageridge-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                response.writeHead(421, { "greengageridge-request-id": id, "at-server": this.id }).end();
                return;
            }
            this.arrivals.push({ id, at: now() });
            this.record.write("server runs", { server: this.id, request: id });
            setTimeout(() => {
                if (this.spoils?.()) {
                    this.record.write("server spoils its answer", { server: this.id, request: id });
                    sendWithoutEnd(response, id, this.id);
                    return;
                }
                response.writeHead(200, {
                    "greengageridge-request-id": id,
                    "greengageridge-response-stamp": `stamp-${this.id}`,
                    "greengageridge-engine-load": "1,0,6",
                });
                response.end("done");
            }, this.workMs);
        });
    }
}

/** Sends a body in small chunks without end, until the caller closes. */
const sendWithoutEnd = (response, id, serverId) => {
    response.writeHead(200, {
        "greengageridge-request-id": id,
        "greengageridge-response-stamp": `stamp-${serverId}`,
        "transfer-encoding": "chunked",
    });
    response.flushHeaders();
    const { socket } = response;
    const block = "1\r\nx\r\n".repeat(5_000);
    const send = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The socket takes more.
        }
        if (!socket.destroyed) {
            socket.once("drain", send);
        }
    };
    socket.on("error", () => undefined);
    send();
};

/** A configuration with a ledger service, a safe and an unsafe route. */
export const ledgerConfiguration = (version, fields = {}) => ({
    version,
    routes: [
        {
            name: "stock-read",
            host: "a.example",
            path_prefix: "/read/",
            kind: "safe",
            timeout_ms: 1_200,
            target_latency_ms: 193,
            priority: 2,
            service: "ledger",
            attempts: 2,
            allow_anonymous: false,
        },
        {
            name: "vend-charge",
            host: "a.example",
            path_prefix: "/pay/",
            kind: "unsafe",
            timeout_ms: 1_200,
            target_latency_ms: 193,
            priority: 2,
            service: "ledger",
            attempts: 1,
            allow_anonymous: false,
        },
    ],
    services: [{ name: "ledger", health_path: "/health", max_connections: 100, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "kiosks", api_keys: ["key-1"], priority: 1 }],
    ...fields,
});

let requestCount = 0;

/** Sends one request of a client. */
export const sendRequest = async (record, entry, { method, path, body, headers = {}, timeoutMs = 2_500, agent }) => {
    requestCount += 1;
    const id = `r${String(requestCount).padStart(6, "0")}`;
    const sentAt = now();
    record.write("client sends", { request: id, to: entry.name, method, path });
    const answer = await call(entry.front, {
        method,
        path,
        body,
        timeoutMs,
        agent,
        headers: {
            host: "a.example",
            "greengageridge-request-id": id,
            "greengageridge-deadline-ms": String(timeoutMs),
            authorization: "Bearer key-1",
            ...headers,
        },
    });
    record.write("client got", {
        request: id,
        status: answer.status,
        error: answer.error,
        connection: answer.isKept ? "kept" : undefined,
    });
    return { id, sentAt, entry, ...answer };
};

/** Waits until a condition holds. Throws after `limitMs`. */
export const waitFor = async (what, condition, limitMs = 30_000) => {
    const endsAt = now() + limitMs;
    while (now() < endsAt) {
        const result = await condition();
        if (result) {
            return result;
        }
        await sleep(50);
    }
    throw new Error(`${what} didn't happen within ${limitMs} ms`);
};

/** Waits until an entry daemon says that it is ready. */
export const waitReady = (entry, limitMs) =>
    waitFor(`readiness of ${entry.name}`, async () =>
        (await call(entry.ready, { path: "/greengageridge/ready" })).status === 200, limitMs);

/** Passes the bytes of each connection on only after a delay, as a slow network does. Resolves to its address. */
export const startDelayingProxy = async (host, target, delayMs) => {
    const { createServer: createTcpServer, connect } = await import("node:net");
    const server = createTcpServer((socket) => {
        socket.on("error", () => undefined);
        const chunks = [];
        socket.on("data", (chunk) => chunks.push(chunk));
        setTimeout(() => {
            const [targetHost, port] = target.split(":");
            const onward = connect({ host: targetHost, port: Number(port) });
            onward.on("error", () => socket.destroy());
            onward.on("connect", () => {
                onward.write(Buffer.concat(chunks));
                onward.on("data", (chunk) => socket.destroyed || socket.write(chunk));
            });
        }, delayMs);
    });
    await new Promise((done) => server.listen(0, host, done));
    return { address: `${host}:${server.address().port}`, close: () => server.close() };
};

/** Sends requests at a steady rate until stopped, to the entry daemons in turn. Collects their results. */
export const startTraffic = (system, record, perS, create) => {
    const results = [];
    let count = 0;
    const timer = setInterval(() => {
        const entry = system.entries[count % system.entries.length];
        const request = create(count++);
        void sendRequest(record, entry, request).then((result) => results.push({ ...result, ...request }));
    }, 1_000 / perS);
    return { results, stop: () => clearInterval(timer) };
};
