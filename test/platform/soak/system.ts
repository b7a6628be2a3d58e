import { monotonicMs, sleep } from "@greengage/base";
import { FaultProxy, freePorts, ManagedProcess, ServerLinks } from "@greengage/faults";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type EngineFleet, HEARTBEAT_MS, PlatformEngine } from "../engine.ts";
import type { DeadlyContents } from "./deadlycontents.ts";

const CONTROL_COUNT = 3;
const ENTRY_COUNT = 3;
const DOMAINS = ["d0", "d1"];
const ENGINES_PER_DOMAIN = 7;
const LEDGER_COUNT = 2;
/** Makes streams last up to about a second, so that most engine faults interrupt one. */
const EVENT_GAP_MS = 20;
/** Long enough for connection resets to hit payments in progress. */
const WORK_MS = 40;
/** Time from a crash to the start of the next engine at the same address. */
const CRASH_RESTART_MS = 3_000;
/** Time between SIGTERM and SIGKILL. */
const GRACE_S = 8;
/** Loopback network of this run, so that concurrent runs don't interfere. */
const LOOPBACK_NETWORK = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}`;
const PEER_PORT = 7_001;

/** Address at which an entry daemon reaches the engines. */
const serverHostOf = (hostNumber: number): string => `${LOOPBACK_NETWORK}.${100 + hostNumber}`;

export const MODEL_SIZES: Record<string, number> = { large: 3, small: 2 };

/** One daemon process under test. */
export interface SoakDaemon {
    name: string;
    role: "control" | "entry";
    process: ManagedProcess;
    /** `host:port` for callers of an entry daemon, or for operators of a control daemon. */
    address: string;
    /** Proxy between callers and an entry daemon; undefined for control daemons. */
    proxy?: FaultProxy;
    /** Paths from an entry daemon to the engines; undefined for control daemons. */
    links?: ServerLinks;
    /** Whether a process fault is active; a second one would end it early. */
    hasProcessFault: boolean;
    /** End of the last process fault, on the monotonic clock. */
    processFaultEndedAtMs: number;
}

/** An engine behind a proxy. Its replacement has the same address and a new id. */
export interface SoakEngine {
    name: string;
    service: string;
    domain?: string;
    engine: PlatformEngine;
    proxy: FaultProxy;
    port: number;
    isBeingReplaced: boolean;
}

export interface SoakSystemOptions {
    fleet: EngineFleet;
    deadlyContents: DeadlyContents;
    /** Called with the log lines of all processes. */
    onLine?: (source: string, line: string) => void;
}

/** The daemon processes as the platform starts them, and stand-ins for the engines. */
export class SoakSystem {
    readonly daemons: SoakDaemon[] = [];
    readonly engines: SoakEngine[] = [];
    readonly #options: SoakSystemOptions;
    readonly #folder = mkdtempSync(join(tmpdir(), "greengage-soak-"));
    readonly #settings = new Map<string, object>();
    #incarnation = 0;
    #isStopped = false;

    constructor(options: SoakSystemOptions) {
        this.#options = options;
    }

    get controls(): SoakDaemon[] {
        return this.daemons.filter(({ role }) => role === "control");
    }

    get entries(): SoakDaemon[] {
        return this.daemons.filter(({ role }) => role === "entry");
    }

    get deadlyContents(): DeadlyContents {
        return this.#options.deadlyContents;
    }

    /** Whether no daemon has had a process fault for `durationMs`. */
    isCalmFor(durationMs: number): boolean {
        return this.daemons.every(({ hasProcessFault, processFaultEndedAtMs }) =>
            !hasProcessFault && monotonicMs() - processFaultEndedAtMs >= durationMs
        );
    }

    async start(): Promise<void> {
        const controlPorts = await freePorts(CONTROL_COUNT);
        const seeds = controlPorts.map((port, index) => `${LOOPBACK_NETWORK}.${index + 1}:${port}`);
        for (const [index, address] of seeds.entries()) {
            this.#addDaemon("control", index + 1, address, seeds);
        }
        const entryPorts = await freePorts(2 * ENTRY_COUNT);
        for (let index = 0; index < ENTRY_COUNT; index += 1) {
            const [callersPort = 0, readyPort = 0] = entryPorts.slice(2 * index);
            const proxy = new FaultProxy({ targetPort: callersPort });
            await proxy.start();
            const hostNumber = CONTROL_COUNT + index + 1;
            const links = new ServerLinks(serverHostOf(hostNumber));
            await links.start();
            const address = `127.0.0.1:${callersPort}`;
            this.#addDaemon("entry", hostNumber, address, seeds, { proxy, links, readyPort });
        }
        for (const domain of DOMAINS) {
            for (let index = 0; index < ENGINES_PER_DOMAIN; index += 1) {
                await this.#addEngine({ name: `${domain}-${index}`, service: "llm", domain });
            }
        }
        for (let index = 0; index < LEDGER_COUNT; index += 1) {
            await this.#addEngine({ name: `ledger-${index}`, service: "ledger" });
        }
    }

    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.daemons.map((daemon) => daemon.process.kill()));
        for (const { engine, proxy } of this.engines) {
            engine.stop();
            await proxy.close();
        }
        await Promise.all(this.entries.flatMap(({ proxy, links }) => [proxy?.close(), links?.close()]));
        rmSync(this.#folder, { recursive: true, force: true });
    }

    /** Restarts a daemon that has exited. */
    restart(daemon: SoakDaemon, { deletesData = false } = {}): void {
        if (deletesData) {
            rmSync(this.#dataFolder(daemon.name), { recursive: true, force: true });
        }
        this.writeSettings(daemon, { bootstrap: false });
        daemon.process = this.#spawn(daemon.name, daemon.role, daemon.links);
    }

    /** Merges changes into the settings file of a daemon. */
    writeSettings(daemon: SoakDaemon, change: object): void {
        const settings = { ...this.#settings.get(daemon.name), ...change };
        this.#settings.set(daemon.name, settings);
        writeFileSync(this.#settingsPath(daemon.name), JSON.stringify(settings));
    }

    seedsOf(daemon: SoakDaemon): string[] {
        return (this.#settings.get(daemon.name) as { seeds: string[]; }).seeds;
    }

    /** Stops an engine, and starts another one at its address after `pauseMs`. */
    async replaceEngine(target: SoakEngine, pauseMs: number): Promise<void> {
        if (target.isBeingReplaced) {
            return;
        }
        target.isBeingReplaced = true;
        target.engine.stop();
        target.proxy.reset();
        await sleep(pauseMs);
        if (!this.#isStopped) {
            target.engine = this.#createEngine(target);
            await target.engine.listen();
        }
        target.isBeingReplaced = false;
    }

    /** Starts the replacement of an engine that has crashed. */
    async restartEngine(crashed: PlatformEngine): Promise<void> {
        const target = this.engines.find(({ engine }) => engine === crashed);
        if (target !== undefined) {
            await this.replaceEngine(target, CRASH_RESTART_MS);
        }
    }

    #addDaemon(
        role: SoakDaemon["role"],
        hostNumber: number,
        address: string,
        seeds: string[],
        entry?: { proxy: FaultProxy; links: ServerLinks; readyPort: number; },
    ): void {
        const name = `${role}-${hostNumber}`;
        this.#settings.set(name, {
            node_name: name,
            zone: "z",
            ip: `${LOOPBACK_NETWORK}.${hostNumber}`,
            internal_ports: [PEER_PORT, PEER_PORT],
            seeds,
            bootstrap: true,
            heartbeat_ms: HEARTBEAT_MS,
            fault_tolerance: { machines: 1 },
            bounds: { grace_s: GRACE_S, retry_budget_ratio: 0.2, retry_budget_slack: 132 },
            ...(entry === undefined
                ? { listen: { control: address }, data_dir: this.#dataFolder(name) }
                : { listen: { front: address, ready: `127.0.0.1:${entry.readyPort}` } }),
        });
        writeFileSync(this.#settingsPath(name), JSON.stringify(this.#settings.get(name)));
        const process = this.#spawn(name, role, entry?.links);
        this.daemons.push({
            name,
            role,
            address,
            process,
            proxy: entry?.proxy,
            links: entry?.links,
            hasProcessFault: false,
            processFaultEndedAtMs: -Infinity,
        });
    }

    #spawn(name: string, role: string, links?: ServerLinks): ManagedProcess {
        const linkArguments = links === undefined ? [] : ["--import=./packages/faults/src/source.ts"];
        return new ManagedProcess({
            command: process.execPath,
            args: ["--import=tsx", ...linkArguments, "platform/main.ts", role],
            environment: {
                GREENGAGERIDGE_SETTINGS: this.#settingsPath(name),
                ...(links === undefined ? {} : { GREENGAGE_TEST_SERVER_HOST: links.host }),
            },
            onLine: (line) => this.#options.onLine?.(name, line),
        });
    }

    async #addEngine(definition: Pick<SoakEngine, "name" | "service" | "domain">): Promise<void> {
        const [port = 0] = await freePorts(1);
        const proxy = new FaultProxy({ targetPort: port });
        await proxy.start();
        await Promise.all(this.entries.map(({ links }) => links?.addServer(proxy.port)));
        const engine = this.#createEngine({ ...definition, proxy, port });
        await engine.listen();
        this.engines.push({ ...definition, proxy, port, engine, isBeingReplaced: false });
    }

    #createEngine(
        { name, service, domain, proxy, port }: Omit<SoakEngine, "engine" | "isBeingReplaced">,
    ): PlatformEngine {
        this.#incarnation += 1;
        const engine = new PlatformEngine({
            id: `${name}-${this.#incarnation}`,
            service,
            domain,
            control: this.controls.map(({ address }) => address),
            advertisedAddress: `127.0.0.1:${proxy.port}`,
            port,
            fleet: this.#options.fleet,
        });
        engine.eventGapMs = EVENT_GAP_MS;
        engine.workMs = WORK_MS;
        return engine;
    }

    #dataFolder(name: string): string {
        return join(this.#folder, `${name}-data`);
    }

    #settingsPath(name: string): string {
        return join(this.#folder, `${name}.json`);
    }
}
