// Stand-in for an engine of a plain service, as the pages tell: it registers, runs requests once and answers with its stamp.
import http from "node:http";
import { call, sleep } from "./system.mjs";

let count = 0;

export class Ledger {
    constructor({ service = "ledger", zone = "jhb-north", controls, host = "127.0.0.1", workMs = 20, record, id, heartbeatMs = 1200, onRun, onArrival }) {
        count += 1;
        Object.assign(this, { service, zone, controls, host, workMs, record, heartbeatMs, onRun, onArrival });
        this.id = id ?? `i-${count.toString(16).padStart(8, "0")}`;
        this.born = Date.now();
        this.sequence = 0;
        this.state = "ready";
        this.runs = [];
        this.sockets = new Set();
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 5000;
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    async start(port = 0) {
        await new Promise((done) => this.server.listen(port, this.host, done));
        this.address = `${this.host}:${this.server.address().port}`;
        this.timer = setInterval(() => void this.register(), this.heartbeatMs);
        void this.register();
        return this;
    }

    async register() {
        if (this.isStopped || this.isSilent) {
            return false;
        }
        this.sequence += 1;
        const body = JSON.stringify({
            service: this.service, address: this.advertised ?? this.address, zone: this.zone, version: "v1", slots: 6, state: this.state,
            cold_remaining_ms: 0, sequence: this.sequence, born: this.born,
        });
        for (const address of this.controls()) {
            const answer = await call(address, {
                method: "POST", path: `/greengageridge/Instances.Heartbeat/${this.id}`, body, timeoutMs: 1000, headers: { "content-type": "application/json" },
            });
            if (answer.status !== undefined && answer.status < 300) {
                return true;
            }
        }
        return false;
    }

    async handle(request, response) {
        const id = request.headers["greengageridge-request-id"];
        const pieces = [];
        try {
            for await (const piece of request) {
                pieces.push(piece);
            }
        }
        catch {
            return;
        }
        const echo = id === undefined ? {} : { "greengageridge-request-id": id };
        if (request.url === "/health") {
            response.writeHead(200, { "greengageridge-instance-id": this.id }).end();
            return;
        }
        this.onArrival?.(this, request);
        const expected = request.headers["greengageridge-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, echo).end();
            return;
        }
        this.runs.push(id);
        this.onRun?.(this, request, Buffer.concat(pieces).toString());
        if (await this.answer?.(request, response, echo, Buffer.concat(pieces))) {
            return;
        }
        await sleep(this.workMs);
        response.writeHead(200, { ...echo, "greengageridge-response-stamp": `${this.id}.${id}`, "greengageridge-engine-load": "1,0,6" }).end(`done ${id}`);
    }

    /** Ends as a crashed process: connections are reset, the port has no listener. */
    stop() {
        this.isStopped = true;
        clearInterval(this.timer);
        this.server.close();
        this.sockets.forEach((socket) => socket.resetAndDestroy());
    }
}
