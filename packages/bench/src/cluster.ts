import { freePorts, ManagedProcess, waitFor } from "@greengage/faults";
import type { HostOptions, StandinOptions } from "@greengage/standins";
import { createHash } from "node:crypto";
import { cpSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { Links } from "./links.ts";

export const CALLER_KEY = "caller-key-of-the-bench";
const BACKEND_KEY = "backend-key-of-the-bench";
export const OPERATOR_KEY = "operator-key-of-the-bench";

export interface DaemonHandle {
    daemonId: string;
    zone: string;
    url: string;
    /** HTTP base URL that bypasses the fault-injecting proxy. */
    directUrl: string;
    settingsPath: string;
    voter: boolean;
    process: ManagedProcess;
}

/** Data folder of a restarted daemon: unchanged, emptied, or replaced by the copy of `saveDataFolder`. */
export type DataFolderMode = "keep" | "empty" | "older";

/** A stand-in for a backend server that can be restarted at the same address. */
export interface BackendHandle {
    vmId: string;
    zone: string;
    fabricDomain: string;
    kind: "model" | "ledger";
    /** Base URL that bypasses the proxy, for the control endpoint. */
    directUrl: string;
    start: () => ManagedProcess;
    process: ManagedProcess;
}

export interface StandinRecord {
    atMs: number;
    vmId: string;
    incarnationId: string;
    kind: string;
    [field: string]: unknown;
}

export interface ClusterOptions {
    /** Number of daemons by zone. */
    daemonsPerZone: Record<string, number>;
    /** Runs `dist/greengage` instead of the sources. Default: false. */
    executable?: boolean;
    /** Routes all connections through fault-injecting proxies. Not supported with `executable`. Default: false. */
    proxied?: boolean;
    /** Number of voting daemons per zone. Default: 1. */
    votersPerZone?: number;
    /** Overrides top-level keys of each daemon's settings. */
    settings?: object;
    onLine?: (source: string, line: string) => void;
}

/** Runs daemons and stand-ins for backend servers as separate processes on loopback. */
export class Cluster {
    /** Operator key that every daemon accepts. */
    readonly operatorKey = OPERATOR_KEY;
    readonly folder = mkdtempSync(join(tmpdir(), "greengage-"));
    readonly daemons: DaemonHandle[] = [];
    readonly backends = new Map<string, ManagedProcess>();
    readonly managedBackends = new Map<string, BackendHandle>();
    /** Fault-injecting proxies; without `proxied` there are none. */
    readonly links: Links;
    readonly #recordPath = join(this.folder, "records.jsonl");
    readonly #options: ClusterOptions;

    constructor(options: ClusterOptions) {
        this.#options = options;
        this.links = new Links(Object.keys(options.daemonsPerZone));
    }

    async start(): Promise<void> {
        const daemonPlacements = Object.entries(this.#options.daemonsPerZone).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ daemonId: `${zone}-${index + 1}`, zone, index }))
        );
        const ports = await freePorts(daemonPlacements.length * 2);
        const daemons = daemonPlacements.map(({ daemonId, zone, index }, position) => ({
            daemonId,
            zone,
            host: "127.0.0.1",
            port: ports[position * 2] ?? 0,
            voter: index < (this.#options.votersPerZone ?? 1),
        }));
        const voters = daemons.filter((daemon) => daemon.voter);
        const lastVoter = voters.at(-1);
        if (voters.length % 2 === 0 && lastVoter !== undefined) {
            // Settings with an even number of voters are rejected.
            lastVoter.voter = false;
        }
        const advertisedDaemons = structuredClone(daemons);
        const httpPorts = daemonPlacements.map((_, position) => ports[position * 2 + 1] ?? 0);
        const advertisedHttpPorts = [...httpPorts];
        if (this.#options.proxied) {
            for (const [position, { daemonId, zone, port }] of daemons.entries()) {
                const realPorts = { peer: port, http: httpPorts[position] ?? 0 };
                const proxies = await this.links.addDaemon(daemonId, zone, realPorts);
                Object.assign(advertisedDaemons[position] ?? {}, { port: proxies.peer });
                advertisedHttpPorts[position] = proxies.http;
            }
        }
        for (const [position, daemon] of daemons.entries()) {
            const { daemonId, zone, voter } = daemon;
            const httpPort = httpPorts[position] ?? 0;
            const settingsPath = join(this.folder, `${daemonId}.json`);
            const settings = {
                daemonId,
                zone,
                http: { host: "127.0.0.1", port: httpPort },
                dataFolder: this.dataFolder(daemonId),
                bootstrap: voter,
                // A daemon listens on the port of its own entry, so that one bypasses the proxy.
                daemons: advertisedDaemons.map((other) => other.daemonId === daemonId ? daemon : other),
                keys: {
                    peers: "peer-key-of-the-bench",
                    backendServers: BACKEND_KEY,
                    operators: OPERATOR_KEY,
                },
                ...this.#options.settings,
            };
            writeFileSync(settingsPath, JSON.stringify(settings));
            const url = `http://127.0.0.1:${advertisedHttpPorts[position]}`;
            const directUrl = `http://127.0.0.1:${httpPort}`;
            const process = this.startDaemonProcess(daemonId, settingsPath);
            this.daemons.push({ daemonId, zone, url, directUrl, settingsPath, voter, process });
        }
        await Promise.all(this.daemons.map((daemon) => this.waitUntilReady(daemon)));
    }

    startDaemonProcess(daemonId: string, settingsPath: string): ManagedProcess {
        const onLine = (line: string): void => this.#options.onLine?.(daemonId, line);
        if (this.#options.executable) {
            return new ManagedProcess({ command: "dist/greengage", args: ["serve", settingsPath], onLine });
        }
        const args = ["--import=tsx", "packages/cli/src/main.ts", "serve", settingsPath];
        if (!this.#options.proxied) {
            return new ManagedProcess({ command: process.execPath, args, onLine });
        }
        return new ManagedProcess({
            command: process.execPath,
            args: ["--import=tsx", "--import=./packages/faults/src/source.ts", ...args.slice(1)],
            environment: { GREENGAGE_TEST_SOURCE: this.links.daemonSource(daemonId) },
            onLine,
        });
    }

    dataFolder(daemonId: string): string {
        return join(this.folder, `${daemonId}-data`);
    }

    /** Copies a daemon's data folder for a later `restartDaemon` with `dataFolder: "older"`. */
    saveDataFolder(daemonId: string): void {
        const daemon = this.daemon(daemonId);
        // Pausing the process makes the copy consistent, like a disk snapshot.
        daemon.process.freeze();
        const folder = this.dataFolder(daemonId);
        rmSync(`${folder}.older`, { recursive: true, force: true });
        if (existsSync(folder)) {
            cpSync(folder, `${folder}.older`, { recursive: true });
        }
        daemon.process.thaw();
    }

    async killDaemon(daemonId: string): Promise<void> {
        await this.daemon(daemonId).process.kill();
    }

    freezeDaemon(daemonId: string): void {
        this.daemon(daemonId).process.freeze();
    }

    thawDaemon(daemonId: string): void {
        this.daemon(daemonId).process.thaw();
    }

    /** Kills a daemon if it still runs and starts it again, without waiting until it is ready. */
    async restartDaemon(
        daemonId: string,
        options: { dataFolder: DataFolderMode; } = { dataFolder: "keep" },
    ): Promise<void> {
        const daemon = this.daemon(daemonId);
        await daemon.process.kill();
        this.#applyDataFolderMode(daemonId, options.dataFolder);
        daemon.process = this.startDaemonProcess(daemonId, daemon.settingsPath);
    }

    #applyDataFolderMode(daemonId: string, mode: DataFolderMode): void {
        const folder = this.dataFolder(daemonId);
        const savedFolder = `${folder}.older`;
        const usesSavedFolder = mode === "older" && existsSync(savedFolder);
        if (mode === "keep" || (mode === "older" && !usesSavedFolder) || !existsSync(folder)) {
            return;
        }
        rmSync(folder, { recursive: true });
        if (usesSavedFolder) {
            cpSync(savedFolder, folder, { recursive: true });
            return;
        }
        mkdirSync(folder);
    }

    /** Partitions a zone from the others. The returned function ends this fault only. */
    partitionZone(zone: string): () => void {
        return this.links.partitionZone(zone);
    }

    /** Ends all network faults. */
    heal(): void {
        this.links.heal();
    }

    async waitUntilReady(daemon: DaemonHandle): Promise<void> {
        await waitFor(`readiness of daemon ${daemon.daemonId}`, async () => {
            const response = await request(`${daemon.url}/health/ready`).catch(() => undefined);
            await response?.body.dump();
            return response?.statusCode === 200 ? true : undefined;
        });
    }

    startBackend(
        kind: "model" | "ledger",
        options: Omit<StandinOptions, "daemonUrls" | "key">,
    ): ManagedProcess {
        const json = JSON.stringify({
            recordPath: this.#recordPath,
            ...options,
            daemonUrls: this.#daemonUrlsOf(options.zone),
            key: BACKEND_KEY,
        });
        return this.#startStandin(options.vmId, [kind, json]);
    }

    /** Starts a stand-in that keeps its address across restarts and, with `proxied`, is behind a proxy. */
    async addBackend(
        kind: "model" | "ledger",
        options: Omit<StandinOptions, "daemonUrls" | "key">,
    ): Promise<BackendHandle> {
        const { vmId, zone, fabricDomain } = options;
        const [port = 0] = await freePorts(1);
        let proxyOptions: Partial<StandinOptions> = {};
        if (this.#options.proxied) {
            const announcedPort = await this.links.addBackend(vmId, zone, port);
            proxyOptions = {
                announcedUrl: `http://127.0.0.1:${announcedPort}`,
                sourceAddress: this.links.backendSource(zone),
            };
        }
        const start = (): ManagedProcess => this.startBackend(kind, { ...options, port, ...proxyOptions });
        const directUrl = `http://127.0.0.1:${port}`;
        const handle = { vmId, zone, fabricDomain, kind, directUrl, start, process: start() };
        this.managedBackends.set(vmId, handle);
        return handle;
    }

    /** Kills a stand-in from `addBackend` if it still runs and starts it again. */
    async restartBackend(vmId: string): Promise<void> {
        const handle = this.#managedBackend(vmId);
        await handle.process.kill();
        handle.process = handle.start();
    }

    /** Changes the behaviour of a stand-in from `addBackend`. */
    async controlBackend(vmId: string, behaviour: object): Promise<void> {
        const response = await request(`${this.#managedBackend(vmId).directUrl}/control`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(behaviour),
        });
        await response.body.dump();
    }

    #managedBackend(vmId: string): BackendHandle {
        const handle = this.managedBackends.get(vmId);
        if (handle === undefined) {
            throw new Error(`unknown backend server ${vmId}`);
        }
        return handle;
    }

    /** Starts several backend servers in one process. Each reports to the daemons of its zone. */
    startBackendHost(vms: HostOptions["vms"]): ManagedProcess {
        const zones = [...new Set(vms.map((vm) => vm.zone))];
        const options: HostOptions = {
            key: BACKEND_KEY,
            daemonUrls: Object.fromEntries(zones.map((zone) => [zone, this.#daemonUrlsOf(zone)])),
            vms,
        };
        return this.#startStandin(`host-${this.backends.size + 1}`, ["host", JSON.stringify(options)]);
    }

    /** Starts the weight store and returns its URL. */
    async startWeightStore(gbPerS: number): Promise<string> {
        const [port = 0] = await freePorts(1);
        this.#startStandin("weight-store", ["weights", JSON.stringify({ port, gbPerS })]);
        return `http://127.0.0.1:${port}`;
    }

    #daemonUrlsOf(zone: string): string[] {
        return this.daemons.filter((daemon) => daemon.zone === zone).map((daemon) => daemon.url);
    }

    #startStandin(name: string, args: string[]): ManagedProcess {
        const child = new ManagedProcess({
            command: process.execPath,
            args: ["--import=tsx", "packages/standins/src/main.ts", ...args],
            onLine: (line) => this.#options.onLine?.(name, line),
        });
        this.backends.set(name, child);
        return child;
    }

    /** Calls a daemon's operator API and returns the parsed response. */
    async callOperatorApi(
        daemon: DaemonHandle,
        method: "GET" | "POST",
        path: string,
        body?: object,
        options: { timeoutMs?: number; } = {},
    ): Promise<unknown> {
        const response = await request(`${daemon.url}/operator/v1/${path}`, {
            method,
            headers: { authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            signal: options.timeoutMs === undefined ? undefined : AbortSignal.timeout(options.timeoutMs),
        });
        return await response.body.json();
    }

    daemon(daemonId: string): DaemonHandle {
        const found = this.daemons.find((daemon) => daemon.daemonId === daemonId);
        if (found === undefined) {
            throw new Error(`unknown daemon ${daemonId}`);
        }
        return found;
    }

    /** Orders, requests and actions that the stand-ins received. */
    records(): StandinRecord[] {
        if (!existsSync(this.#recordPath)) {
            return [];
        }
        const lines = readFileSync(this.#recordPath, "utf8").trim().split("\n");
        return lines.map((line) => JSON.parse(line) as StandinRecord);
    }

    /** Kills all processes of the cluster and removes its folder. */
    async stop(): Promise<void> {
        const processes = [...this.backends.values(), ...this.daemons.map((daemon) => daemon.process)];
        await Promise.all(processes.map((child) => child.kill()));
        await this.links.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Starts a cluster and waits until its daemons are ready. */
export const launchCluster = async (options: ClusterOptions): Promise<Cluster> => {
    const cluster = new Cluster(options);
    await cluster.start();
    return cluster;
};

/** Hash of a caller's API key, as the table stores it. Default: the hash of `CALLER_KEY`. */
export const callerKeyHash = (key = CALLER_KEY): string => createHash("sha256").update(key).digest("hex");
