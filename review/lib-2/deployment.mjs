// Starts the project's programs with the commands of the deploy file, on loopback addresses and the real clock.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const NETWORK = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
let hostCount = 0;

export const nextHost = () => {
    hostCount += 1;
    return `${NETWORK}.${hostCount}`;
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const startedAtMs = performance.now();
export const elapsedS = () => ((performance.now() - startedAtMs) / 1_000).toFixed(3);

/** Lines of what was sent, answered and run. */
export class Record {
    #path;

    constructor(path) {
        this.#path = path;
        writeFileSync(path, "");
    }

    write(line) {
        appendFileSync(this.#path, `${elapsedS()} ${line}\n`);
    }
}

/** The words of a role's `run` in the deploy file. */
const commandOf = (role) => {
    const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    return /run = "([^"]+)"/.exec(section)[1].split(" ");
};

/** Bounds, limits and periods as on the page about settings. */
const COMMON = {
    zones: { z1: "r1" },
    zone: "z1",
    region: "r1",
    internal_ports: [7340, 7355],
    heartbeat_ms: 1_200,
    contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"],
    fault_tolerance: { machines: 1, zones: 1, regions: 0 },
    bounds: {
        seed_lag_s: 3,
        reuse_after_s: 2,
        contact_ms: 3000,
        ack_timeout_ms: 4000,
        catch_up_s: 4,
        drain_ms: 2000,
        grace_s: 8,
        loss_slack_ms: 200,
        config_apply_ms: 2000,
        rollback_slack_ms: 250,
        outer_bound_ms: 5000,
        revoke_fail_closed: false,
        revoke_ms: 5000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        retry_budget_slack: 132,
        recover_s: 12,
        pass_ms: 120,
        retry_after_s: 0,
        stall_ms: 6000,
        require_fencing: false,
        ceiling_window_s: 5,
        ceiling_factor: 1.1,
    },
    config_mode: "highest",
};

/** Control and entry daemons as processes of their own. */
export class Deployment {
    controls = [];
    entries = [];
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #children = [];

    constructor({ controlCount = 3, entryCount = 2 } = {}) {
        for (let index = 0; index < controlCount; index += 1) {
            const host = nextHost();
            this.controls.push({ name: `core-${index + 1}`, role: "control", host, address: `${host}:8229` });
        }
        for (let index = 0; index < entryCount; index += 1) {
            const host = nextHost();
            this.entries.push({
                name: `front-${index + 1}`,
                role: "entry",
                host,
                address: `${host}:8227`,
                ready: `${host}:8220`,
            });
        }
    }

    start() {
        for (const daemon of [...this.controls, ...this.entries]) {
            this.startDaemon(daemon, true);
        }
    }

    startDaemon(daemon, bootstrap) {
        const isControl = daemon.role === "control";
        const dataFolder = join(this.#folder, `${daemon.name}.data`);
        if (isControl) {
            mkdirSync(dataFolder, { recursive: true });
        }
        const path = join(this.#folder, `${daemon.name}.json`);
        writeFileSync(
            path,
            JSON.stringify({
                ...COMMON,
                node_name: daemon.name,
                role: daemon.role,
                machine_class: isControl ? "core" : "front",
                serves: [isControl ? "control" : "front"],
                ip: daemon.host,
                listen: isControl ? { control: daemon.address } : { front: daemon.address, ready: daemon.ready },
                seeds: this.controls.slice(0, 3).map(({ address }) => address),
                bootstrap,
                counts_as_loss: isControl,
                limits: isControl
                    ? { cpu_share: 0.405, cpu_cores: 1, memory_mb: 346, max_fds: 4096, link_mbps: 170, disk_mb: 128 }
                    : { cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
                data_dir: isControl ? dataFolder : null,
            }),
        );
        const [program, ...words] = commandOf(daemon.role);
        const child = spawn(program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C.UTF-8", GREENGAGERIDGE_SETTINGS: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        daemon.log = "";
        daemon.process = child;
        daemon.exit = undefined;
        child.stdout.on("data", (chunk) => {
            daemon.log += chunk.toString();
        });
        child.stderr.on("data", (chunk) => {
            daemon.log += chunk.toString();
        });
        child.on("exit", (code, signal) => {
            daemon.exit = { code, signal };
        });
        this.#children.push(child);
    }

    /** Ends all processes that were started. */
    async stop() {
        for (const child of this.#children) {
            child.kill("SIGKILL");
        }
        await Promise.all(this.#children.map((child) =>
            child.exitCode !== null || child.signalCode !== null
                ? undefined
                : new Promise((resolve) => child.once("exit", resolve))
        ));
        rmSync(this.#folder, { recursive: true, force: true });
    }

    dataFolderOf({ name }) {
        return join(this.#folder, `${name}.data`);
    }

    /** Sends a configuration to the control daemons in turn until one acknowledges or refuses it. */
    async configure(document, { limitMs = 20_000 } = {}) {
        const body = JSON.stringify(document);
        const deadlineMs = performance.now() + limitMs;
        for (let attempt = 0; performance.now() < deadlineMs; attempt += 1) {
            const { address } = this.controls[attempt % this.controls.length];
            const answer = await call(address, "POST", "/greengageridge/Config.Replace", {
                headers: { "content-type": "application/json" },
                body,
                timeoutMs: 3_000,
            });
            if (answer.status !== undefined && answer.status < 500) {
                return answer;
            }
            await sleep(200);
        }
        throw new Error("no control daemon has answered the configuration");
    }

    async waitUntilReady(limitMs = 20_000) {
        const deadlineMs = performance.now() + limitMs;
        for (const { ready } of this.entries) {
            for (;;) {
                const answer = await call(ready, "GET", "/greengageridge/ready", { timeoutMs: 1_000 });
                if (answer.status === 200) {
                    break;
                }
                if (performance.now() > deadlineMs) {
                    throw new Error(`${ready} is not ready`);
                }
                await sleep(100);
            }
        }
    }
}

/** Sends one HTTP request on a connection of its own. Never rejects; `status` is undefined without a response. */
export const call = (address, method, path, { headers = {}, body, timeoutMs = 10_000, onData } = {}) =>
    new Promise((resolve) => {
        const [host, port] = address.split(":");
        const message = request({
            host,
            port: Number(port),
            method,
            path,
            agent: false,
            headers: body === undefined ? headers : { ...headers, "content-length": Buffer.byteLength(body) },
        });
        let text = "";
        const finish = (result) => {
            clearTimeout(timer);
            message.destroy();
            resolve({ text, ...result });
        };
        const timer = setTimeout(() => finish({ status: undefined, reason: "timeout" }), timeoutMs);
        message.on("error", (error) => finish({ status: undefined, reason: error.code ?? error.message }));
        message.on("response", (response) => {
            response.on("data", (chunk) => {
                text += chunk.toString();
                onData?.(chunk);
            });
            response.on("error", () =>
                finish({ status: response.statusCode, headers: response.headers, isCut: true })
            );
            response.on(
                "end",
                () => finish({ status: response.statusCode, headers: response.headers, isCut: !response.complete }),
            );
        });
        message.end(body);
    });

/** Listens at an address. Resolves to a function that ends the server and resets its connections. */
export const listen = async (address, handle) => {
    const [host, port] = address.split(":");
    const server = createServer({ keepAliveTimeout: 15_000 }, handle);
    const sockets = new Set();
    server.on("connection", (socket) => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: Number(port) }, resolve);
    });
    return () => {
        sockets.forEach((socket) => socket.resetAndDestroy());
        server.close();
    };
};

export const readBody = async (message) => {
    const chunks = [];
    for await (const chunk of message) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};
