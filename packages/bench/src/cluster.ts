import { freePorts, ManagedProcess, waitFor } from "@greengage/faults";
import type { StandinOptions } from "@greengage/standins";
import { createHash } from "node:crypto";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";

export const CALLER_KEY = "caller-key-of-the-bench";
const BACKEND_KEY = "backend-key-of-the-bench";
const OPERATOR_KEY = "operator-key-of-the-bench";

export interface DaemonHandle {
    daemonId: string;
    zone: string;
    url: string;
    settingsPath: string;
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
    /** Daemons per zone, by zone. */
    daemonsPerZone: Record<string, number>;
    /** Runs the daemons from `dist/greengage` in place of the sources. Default: false. */
    executable?: boolean;
    onLine?: (source: string, line: string) => void;
}

/** Daemons and stand-ins as separate processes on loopback. */
export class Cluster {
    readonly folder = mkdtempSync(join(tmpdir(), "greengage-"));
    readonly daemons: DaemonHandle[] = [];
    readonly backends = new Map<string, ManagedProcess>();
    readonly #recordPath = join(this.folder, "records.jsonl");
    readonly #options: ClusterOptions;

    constructor(options: ClusterOptions) {
        this.#options = options;
    }

    async start(): Promise<void> {
        const places = Object.entries(this.#options.daemonsPerZone).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ daemonId: `${zone}-${index + 1}`, zone, index }))
        );
        const ports = await freePorts(places.length * 2);
        const daemons = places.map(({ daemonId, zone, index }, position) => ({
            daemonId,
            zone,
            host: "127.0.0.1",
            port: ports[position * 2],
            voter: index === 0,
        }));
        for (const [position, { daemonId, zone }] of places.entries()) {
            const httpPort = ports[position * 2 + 1] ?? 0;
            const settingsPath = join(this.folder, `${daemonId}.json`);
            const settings = {
                daemonId,
                zone,
                http: { host: "127.0.0.1", port: httpPort },
                ...(daemons[position]?.voter
                    ? { dataFolder: this.dataFolder(daemonId), bootstrap: true }
                    : {}),
                daemons,
                keys: {
                    peers: "peer-key-of-the-bench",
                    backendServers: BACKEND_KEY,
                    operators: OPERATOR_KEY,
                },
            };
            writeFileSync(settingsPath, JSON.stringify(settings));
            const url = `http://127.0.0.1:${httpPort}`;
            const process = this.startDaemonProcess(daemonId, settingsPath);
            this.daemons.push({ daemonId, zone, url, settingsPath, process });
        }
        await Promise.all(this.daemons.map((daemon) => this.waitUntilReady(daemon)));
    }

    /** Folder of a voter's files. */
    dataFolder(daemonId: string): string {
        return join(this.folder, `${daemonId}.data`);
    }

    startDaemonProcess(daemonId: string, settingsPath: string): ManagedProcess {
        const onLine = (line: string): void => this.#options.onLine?.(daemonId, line);
        if (this.#options.executable) {
            return new ManagedProcess({ command: "dist/greengage", args: ["serve", settingsPath], onLine });
        }
        const args = ["--import=tsx", "packages/cli/src/main.ts", "serve", settingsPath];
        return new ManagedProcess({ command: process.execPath, args, onLine });
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
        const daemonUrls = this.daemons.filter((daemon) => daemon.zone === options.zone).map((daemon) =>
            daemon.url
        );
        const json = JSON.stringify({
            recordPath: this.#recordPath,
            ...options,
            daemonUrls,
            key: BACKEND_KEY,
        });
        const child = new ManagedProcess({
            command: process.execPath,
            args: ["--import=tsx", "packages/standins/src/main.ts", kind, json],
            onLine: (line) => this.#options.onLine?.(options.vmId, line),
        });
        this.backends.set(options.vmId, child);
        return child;
    }

    /** Sends an operator's request to a daemon and returns the parsed answer. */
    async operate(
        daemon: DaemonHandle,
        method: "GET" | "POST",
        path: string,
        body?: object,
    ): Promise<unknown> {
        const response = await request(`${daemon.url}/operator/v1/${path}`, {
            method,
            headers: { authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
        });
        return await response.body.json();
    }

    daemon(daemonId: string): DaemonHandle {
        const found = this.daemons.find((daemon) => daemon.daemonId === daemonId);
        if (found === undefined) {
            throw new Error(`no daemon ${daemonId}`);
        }
        return found;
    }

    /** What the stand-ins recorded: every order, request and action they got. */
    records(): StandinRecord[] {
        if (!existsSync(this.#recordPath)) {
            return [];
        }
        const lines = readFileSync(this.#recordPath, "utf8").trim().split("\n");
        return lines.map((line) => JSON.parse(line) as StandinRecord);
    }

    /** Ends every process that this cluster started. */
    async stop(): Promise<void> {
        const all = [...this.backends.values(), ...this.daemons.map((daemon) => daemon.process)];
        await Promise.all(all.map((child) => child.kill()));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Starts a cluster and waits until its daemons are ready. */
export const clusterOf = async (options: ClusterOptions): Promise<Cluster> => {
    const cluster = new Cluster(options);
    await cluster.start();
    return cluster;
};

/** Hash of the API key of the bench's only organisation. */
export const callerKeyHash = (): string => createHash("sha256").update(CALLER_KEY).digest("hex");
