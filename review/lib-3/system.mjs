// Starts the programs of deploy/system.toml as separate processes on loopback addresses, as the platform does.
import { spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const startedAt = performance.now();
export const nowS = () => ((performance.now() - startedAt) / 1000).toFixed(3);

/** Bounds of the sheet of ucf-kiosk. */
export const BOUNDS = {
    seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
    loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_bound_ms: 5000, revoke_fail_closed: false,
    revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 132, recover_s: 12, pass_ms: 120,
    retry_after_s: 0, stall_ms: 6000, require_fencing: false, ceiling_window_s: 5, ceiling_factor: 1.1,
};

/** The command of a role, from the deploy file. */
const commandOf = (role) => {
    const section = readFileSync(join(root, "deploy/system.toml"), "utf8").split(`[roles.${role}]`)[1] ?? "";
    const run = /^run = "([^"]+)"/m.exec(section)?.[1];
    if (run === undefined) {
        throw new Error(`the deploy file has no role ${role}`);
    }
    return run.split(" ");
};

const isFree = (host, port) =>
    new Promise((done) => {
        const server = net.createServer().once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** A loopback network on which nobody listens at the given ports. */
const freeNetwork = async (ports) => {
    for (let attempt = 0; attempt < 200; attempt += 1) {
        const network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
        const checks = await Promise.all(ports.map((port) => isFree(`${network}.1`, port)));
        if (checks.every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
};

/** Lines of the record, kept in memory and written at the end. */
export class Record {
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.lines = [];
    }

    add(text) {
        this.lines.push(`${nowS().padStart(8)} s  ${text}`);
        if (process.env.VERBOSE === "1") {
            console.log(this.lines.at(-1));
        }
    }

    save() {
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
    }
}

const ZONES = ["jhb-north", "jhb-east", "pta-central"];

export class System {
    static async create(record, { cores = 3, fronts = 2, restartMs = 300, settings = {} } = {}) {
        const system = new System();
        system.record = record;
        system.restartMs = restartMs;
        system.extra = settings;
        system.folder = mkdtempSync(join(tmpdir(), "review-3-"));
        system.ports = { front: 8227, ready: 8220, control: 8229, peer: 7340 };
        system.network = await freeNetwork([...Object.values(system.ports), 9464]);
        system.daemons = [];
        system.isStopped = false;
        for (let index = 0; index < cores; index += 1) {
            system.addDaemon("control", index);
        }
        for (let index = 0; index < fronts; index += 1) {
            system.addDaemon("entry", index);
        }
        return system;
    }

    addDaemon(role, index) {
        const isCore = role === "control";
        const name = `${isCore ? "core" : "front"}-${ZONES[index % 3]}-${Math.floor(index / 3) + 1}`;
        const ip = `${this.network}.${(isCore ? 1 : 101) + index}`;
        const daemon = {
            name, role, ip, zone: ZONES[index % 3], child: undefined, exits: 0, ownExits: 0, isHeld: false,
            dataFolder: isCore ? join(this.folder, name) : undefined, isFirstStart: true, logPath: join(this.folder, `${name}.log`),
        };
        this.daemons.push(daemon);
        return daemon;
    }

    get cores() {
        return this.daemons.filter(({ role }) => role === "control");
    }

    get fronts() {
        return this.daemons.filter(({ role }) => role === "entry");
    }

    control(daemon) {
        return `${daemon.ip}:${this.ports.control}`;
    }

    front(daemon) {
        return `${daemon.ip}:${this.ports.front}`;
    }

    ready(daemon) {
        return `${daemon.ip}:${this.ports.ready}`;
    }

    settingsOf({ name, role, ip, zone, dataFolder, isFirstStart }) {
        const { front, ready, control, peer } = this.ports;
        const isCore = role === "control";
        return {
            node_name: name, role, machine_class: isCore ? "core" : "front", serves: [isCore ? "control" : "front"], ip, zone,
            region: "za-gauteng", zones: Object.fromEntries(ZONES.map((id) => [id, "za-gauteng"])),
            listen: isCore ? { control: `${ip}:${control}` } : { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
            internal_ports: [peer, peer + 15], seeds: this.cores.slice(0, 3).map((core) => this.control(core)),
            bootstrap: isFirstStart, counts_as_loss: isCore,
            limits: { cpu_share: 1, cpu_cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: isCore ? 128 : 0 },
            data_dir: dataFolder ?? null, discovery: "registry", entry: "vip", heartbeat_ms: 1200,
            contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"],
            fault_tolerance: { machines: 1, zones: 1, regions: 0 }, bounds: BOUNDS, config_mode: "highest", ...this.extra,
        };
    }

    startAll() {
        this.daemons.forEach((daemon) => this.start(daemon));
    }

    start(daemon) {
        const settingsPath = join(this.folder, `${daemon.name}.json`);
        writeFileSync(settingsPath, JSON.stringify(this.settingsOf(daemon)));
        if (daemon.dataFolder !== undefined) {
            mkdirSync(daemon.dataFolder, { recursive: true });
        }
        const [program, ...args] = commandOf(daemon.role);
        const log = openSync(daemon.logPath, "a");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, args, {
            cwd: root,
            env: { PATH, HOME, LANG, GREENGAGERIDGE_SETTINGS: settingsPath },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        daemon.child = child;
        daemon.isFirstStart = false;
        child.once("exit", (code, signal) => {
            daemon.exits += 1;
            daemon.ownExits += daemon.wasSignalled ? 0 : 1;
            this.record.add(`${daemon.name} has ended: ${signal ?? `exit code ${code}`}${daemon.wasSignalled ? "" : " (by itself)"}`);
            daemon.wasSignalled = false;
            if (daemon.child === child) {
                daemon.child = undefined;
            }
            // "A process that exits or is killed is restarted after a short delay."
            if (!this.isStopped && !daemon.isHeld) {
                setTimeout(() => !this.isStopped && !daemon.isHeld && daemon.child === undefined && this.start(daemon), this.restartMs);
            }
        });
        this.record.add(`${daemon.name} starts`);
    }

    signal(daemon, signal) {
        if (daemon.child === undefined) {
            return;
        }
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            daemon.wasSignalled = true;
        }
        this.record.add(`${daemon.name} gets ${signal}`);
        daemon.child.kill(signal);
    }

    /** Kills a daemon; it starts again after `restartMs`, unless it is held. */
    async kill(daemon, { isHeld = false } = {}) {
        daemon.isHeld = isHeld;
        const { child } = daemon;
        if (child !== undefined) {
            const ended = new Promise((done) => child.once("exit", done));
            this.signal(daemon, "SIGKILL");
            await ended;
        }
    }

    wipe(daemon) {
        rmSync(daemon.dataFolder, { recursive: true, force: true });
        this.record.add(`${daemon.name} has lost its disk`);
    }

    release(daemon) {
        daemon.isHeld = false;
        if (daemon.child === undefined) {
            this.start(daemon);
        }
    }

    log(daemon) {
        return readFileSync(daemon.logPath, "utf8");
    }

    async stop() {
        this.isStopped = true;
        await Promise.all(this.daemons.map(async (daemon) => {
            const { child } = daemon;
            daemon.wasSignalled = true;
            if (child !== undefined && child.exitCode === null && child.signalCode === null) {
                const ended = new Promise((done) => child.once("exit", done));
                child.kill("SIGCONT");
                child.kill("SIGKILL");
                await ended;
            }
        }));
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** One call on a new connection. Never rejects; `status` is undefined without a complete answer. */
export const call = (address, { method = "GET", path = "/", headers = {}, body, timeoutMs = 1000, localAddress } = {}) =>
    new Promise((done) => {
        const [host, port] = address.split(":");
        const finish = (result) => {
            clearTimeout(timer);
            done(result);
        };
        const request = http.request({ host, port, method, path, headers, agent: false, localAddress }, (response) => {
            const pieces = [];
            response.on("data", (piece) => pieces.push(piece));
            response.on("end", () =>
                finish(response.complete
                    ? { status: response.statusCode, headers: response.headers, text: Buffer.concat(pieces).toString() }
                    : { error: "broken off", partialStatus: response.statusCode, headers: response.headers, text: Buffer.concat(pieces).toString() }));
            response.on("error", (error) => finish({ error: error.code ?? error.message, partialStatus: response.statusCode }));
        });
        const timer = setTimeout(() => {
            finish({ error: "timeout" });
            request.destroy();
        }, timeoutMs);
        request.on("error", (error) => finish({ error: error.code ?? error.message }));
        request.end(body);
    });

/** Sends a configuration as an operator does: again and again, to one daemon after the other, until it is acknowledged. */
export const replaceConfiguration = async (system, configuration, { limitMs = 20_000, cores } = {}) => {
    const body = JSON.stringify(configuration);
    const untilMs = performance.now() + limitMs;
    let last;
    for (let attempt = 0; performance.now() < untilMs; attempt += 1) {
        const list = cores ?? system.cores;
        const daemon = list[attempt % list.length];
        last = await call(system.control(daemon), {
            method: "POST", path: "/greengageridge/Config.Replace", body, timeoutMs: 1000, headers: { "content-type": "application/json" },
        });
        if (last.status === 200) {
            return { isAcknowledged: true, by: daemon };
        }
        await sleep(Math.min(100 + 50 * attempt, 1000));
    }
    return { isAcknowledged: false, last };
};

export const readConfiguration = (system, daemon) =>
    call(system.control(daemon), { path: "/greengageridge/Config.Describe", timeoutMs: 1000 });

export const waitFor = async (what, condition, limitMs = 30_000) => {
    const untilMs = performance.now() + limitMs;
    while (performance.now() < untilMs) {
        const result = await condition();
        if (result) {
            return result;
        }
        await sleep(100);
    }
    throw new Error(`not within ${limitMs} ms: ${what}`);
};

/** A small configuration: one plain service with a safe and an unsafe route, one tenant. */
export const plainConfiguration = (version, { routes = [], services = [], tenants, ...rest } = {}) => ({
    version,
    routes: [
        route("read", "/read/", "safe", "ledger", { attempts: 2 }),
        route("charge", "/charge/", "unsafe", "ledger"),
        ...routes,
    ],
    services: [{ name: "ledger", health_path: "/health", max_connections: 100, protocol: "h1", tls: false }, ...services],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: tenants ?? [{ name: "hule930", api_keys: ["key-one"], priority: 1 }],
    ...rest,
});

export const route = (name, prefix, kind, service, fields = {}) => ({
    name, host: "ficu95.example", path_prefix: prefix, kind, timeout_ms: 2500, target_latency_ms: 200, priority: 2, service, attempts: 1,
    allow_anonymous: false, sticky_sessions: false, enable_resume: false, ...fields,
});

let requestCount = 0;
export const requestId = () => `r${process.pid.toString(16)}${(requestCount += 1).toString(16).padStart(8, "0")}`;

export const clientHeaders = (id, fields = {}) => ({
    host: "ficu95.example", "greengageridge-request-id": id, "greengageridge-deadline-ms": "2500", authorization: "Bearer key-one", ...fields,
});

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export const runCase = async (folder, play) => {
    const record = new Record(folder);
    const ends = [];
    const watchdog = setTimeout(() => {
        record.add("the case took too long");
        record.save();
        ends.reduceRight((before, end) => before.then(end), Promise.resolve()).finally(() => process.exit(2));
    }, 112_000);
    let code = 2;
    try {
        const isBroken = await play({ record, onEnd: (end) => ends.push(end) });
        code = isBroken ? 1 : 0;
        record.add(isBroken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
        console.error(error);
    }
    for (const end of ends.reverse()) {
        await Promise.resolve(end()).catch((error) => record.add(`not ended: ${error}`));
    }
    clearTimeout(watchdog);
    record.save();
    process.exit(code);
};
