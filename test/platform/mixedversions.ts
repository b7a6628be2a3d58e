import { sleep } from "@greengage/base";
import { ManagedProcess, waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type EngineFleet, HEARTBEAT_MS, PlatformEngine, type PlatformEngineOptions } from "./engine.ts";
import { call, chatHeaders, wireConfiguration } from "./fixtures.ts";
import { extractFormerVersion, type FormerVersion } from "./formerversion.ts";

const CONTROL_COUNT = 3;
const ENTRY_COUNT = 2;
const NETWORK = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}`;
const PORTS = { peer: 7_011, control: 7_012, callers: 7_013, readiness: 7_014 };
const PAUSE_MS = 40;
const GRACE_MS = 8_000;

/** Lines of the log that a failed test prints. */
const loggedPart = /"part":"consensus"|configuration\.|daemon\.|controller\.|departure\.|vote\./;

/** Longer than any time limit of a route or call; a connection that is never answered counts as no answer. */
const ANSWER_LIMIT_MS = 10_000;

const withinLimit = <T>(answer: Promise<T>): Promise<T | undefined> => {
    answer.catch(() => undefined);
    return Promise.race([answer, sleep(ANSWER_LIMIT_MS).then(() => undefined)]);
};

/** Folders of the programs, by version. */
export type Version = "former" | "present";

interface VersionedDaemon {
    name: string;
    role: "control" | "entry";
    host: string;
    process: ManagedProcess;
}

/** Requests that have been sent in turn to all entry daemons, by status; undefined if there was no answer. */
export interface Outcome {
    path: string;
    status: number | undefined;
}

/** Control and entry daemons, each of either version, with stand-ins for the servers. */
export class MixedVersions {
    readonly daemons: VersionedDaemon[] = [];
    readonly outcomes: Outcome[] = [];
    readonly violations: string[] = [];
    readonly #folders: Record<Version, string>;
    readonly #dataFolder = mkdtempSync(join(tmpdir(), "greengage-versions-"));
    readonly #t: ExecutionContext;
    readonly #ranIds: string[] = [];
    readonly #fleet: EngineFleet = {
        engines: new Map(),
        modelSizes: { m: 2 },
        onRun: (_, { headers }) => void this.#ranIds.push(String(headers["greengageridge-request-id"])),
        onViolation: (rule, detail) => void this.violations.push(`${rule}: ${detail}`),
    };
    readonly #lines: string[] = [];
    #leader: string | undefined;
    #version = 0;
    #requestCount = 0;
    #isSending = true;

    constructor(t: ExecutionContext, former: FormerVersion) {
        this.#t = t;
        this.#folders = { former: extractFormerVersion(former), present: "." };
        t.teardown(async () => {
            this.#isSending = false;
            if (!t.passed) {
                console.log(this.#lines.filter((line) => loggedPart.test(line)).join("\n"));
            }
            await Promise.all(this.daemons.map(({ process }) => process.kill()));
            rmSync(this.#folders.former, { recursive: true, force: true });
            rmSync(this.#dataFolder, { recursive: true, force: true });
        });
    }

    get controls(): VersionedDaemon[] {
        return this.daemons.filter(({ role }) => role === "control");
    }

    get entries(): VersionedDaemon[] {
        return this.daemons.filter(({ role }) => role === "entry");
    }

    /** The control daemon that was elected last. */
    get leader(): VersionedDaemon | undefined {
        return this.daemons.find(({ name }) => name === this.#leader);
    }

    /** Ids of requests that were run more than once. */
    get repeatedIds(): string[] {
        return this.#ranIds.filter((id, index) => id.startsWith("pay") && this.#ranIds.indexOf(id) !== index);
    }

    controlAddresses(): string[] {
        return this.controls.map(({ host }) => `${host}:${PORTS.control}`);
    }

    /** Starts all daemons with empty disks. */
    start(version: Version): void {
        const roles = [...Array(CONTROL_COUNT).fill("control"), ...Array(ENTRY_COUNT).fill("entry")];
        for (const [index, role] of (roles as VersionedDaemon["role"][]).entries()) {
            const daemon = { name: `${role}-${index}`, role, host: `${NETWORK}.${index + 1}` };
            this.daemons.push({ ...daemon, process: this.#spawn(daemon, version, true) });
        }
    }

    /** Stops a daemon with SIGTERM, and with SIGKILL after the grace period, and starts the given version on its disk. */
    async exchange(daemon: VersionedDaemon, version: Version): Promise<void> {
        await Promise.race([daemon.process.stop(), sleep(GRACE_MS)]);
        await daemon.process.kill();
        daemon.process = this.#spawn(daemon, version, false);
        await (daemon.role === "entry" ? this.waitReady(daemon) : this.waitForConfiguration(daemon));
    }

    async waitReady({ host }: VersionedDaemon): Promise<void> {
        const url = `http://${host}:${PORTS.readiness}/greengageridge/ready`;
        await waitFor(`readiness at ${host}`, async () => {
            const answer = await withinLimit(call(url).catch(() => undefined));
            return answer?.status === 200 ? true : undefined;
        });
    }

    /** Waits until a control daemon answers with the newest configuration that was acknowledged. */
    async waitForConfiguration({ name, host }: VersionedDaemon): Promise<void> {
        const version = this.#version;
        await waitFor(`configuration ${version} at ${name}`, async () => {
            const url = `http://${host}:${PORTS.control}/greengageridge/Config.Describe`;
            const answer = await withinLimit(call(url));
            const held = answer?.status === 200
                ? (JSON.parse(answer.text) as { version: number; }).version
                : undefined;
            return held === version ? true : undefined;
        });
    }

    /** Sends the next configuration until a daemon acknowledges it. */
    async replaceConfiguration(): Promise<void> {
        const version = this.#version + 1;
        const { routes, ...fields } = wireConfiguration(version);
        const [, pay] = routes as object[];
        const body = JSON.stringify({
            ...fields,
            routes: [
                ...(routes as object[]),
                { ...pay, name: "read", path_prefix: "/read/", kind: "safe", attempts: 2 },
            ],
        });
        await waitFor(`the acknowledgement of configuration ${version}`, async () => {
            for (const address of this.controlAddresses()) {
                const answer = await this.#post(`http://${address}/greengageridge/Config.Replace`, body);
                if (answer === 200) {
                    return true;
                }
            }
            return undefined;
        });
        this.#version = version;
    }

    /** Sends one report of a server that isn't in this fleet. */
    async report(serverId: string, fields: object): Promise<void> {
        const path = `/greengageridge/Instances.Heartbeat/${serverId}`;
        await waitFor("an acknowledged report", async () => {
            for (const address of this.controlAddresses()) {
                if (await this.#post(`http://${address}${path}`, JSON.stringify(fields)) === 200) {
                    return true;
                }
            }
            return undefined;
        });
    }

    startEngine(options: Pick<PlatformEngineOptions, "id" | "service" | "domain">): Promise<PlatformEngine> {
        return PlatformEngine.start(this.#t, {
            ...options,
            control: this.controlAddresses(),
            fleet: this.#fleet,
        });
    }

    /** Sends a request at a time to the entry daemons in turn, until the test ends. */
    sendTraffic(paths: readonly string[]): void {
        void (async () => {
            while (this.#isSending) {
                const path = paths[this.#requestCount % paths.length] ?? "/";
                const entry = this.entries[Math.floor(this.#requestCount / paths.length) % ENTRY_COUNT];
                this.outcomes.push({ path, status: await this.request(entry, path) });
                await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
            }
        })();
    }

    async request(entry: VersionedDaemon | undefined, path: string): Promise<number | undefined> {
        this.#requestCount += 1;
        const requestId = `${path.split("/")[1]}-${this.#requestCount}`;
        const url = `http://${entry?.host}:${PORTS.callers}${path}${this.#requestCount}`;
        return await this.#post(url, "text", chatHeaders(requestId));
    }

    async #post(
        url: string,
        body: string,
        headers: Record<string, string> = {},
    ): Promise<number | undefined> {
        try {
            return (await withinLimit(call(url, { method: "POST", body, headers })))?.status;
        }
        catch {
            // A connection that is reset while a daemon is exchanged counts as no answer.
            return undefined;
        }
    }

    #spawn(
        { name, role, host }: Omit<VersionedDaemon, "process">,
        version: Version,
        isFirstStart: boolean,
    ): ManagedProcess {
        const path = join(this.#dataFolder, `${name}.json`);
        const isControl = role === "control";
        const settings = {
            node_name: name,
            zone: "z",
            ip: host,
            internal_ports: [PORTS.peer, PORTS.peer],
            seeds: Array.from(
                { length: CONTROL_COUNT },
                (_, index) => `${NETWORK}.${index + 1}:${PORTS.control}`,
            ),
            bootstrap: isFirstStart,
            heartbeat_ms: HEARTBEAT_MS,
            fault_tolerance: { machines: 1 },
            bounds: { grace_s: GRACE_MS / 1_000, retry_budget_ratio: 0.2, retry_budget_slack: 132 },
            ...(isControl
                ? {
                    listen: { control: `${host}:${PORTS.control}` },
                    data_dir: join(this.#dataFolder, name),
                }
                : {
                    listen: {
                        front: `${host}:${PORTS.callers}`,
                        ready: `${host}:${PORTS.readiness}`,
                    },
                }),
        };
        writeFileSync(path, JSON.stringify(settings));
        return new ManagedProcess({
            command: process.execPath,
            args: ["--import=tsx", join(this.#folders[version], "platform/main.ts"), role],
            environment: { GREENGAGERIDGE_SETTINGS: path },
            onLine: (line) => {
                this.#lines.push(`${version} ${name} ${line}`);
                if (line.includes("elected leader")) {
                    this.#leader = name;
                }
            },
        });
    }
}
