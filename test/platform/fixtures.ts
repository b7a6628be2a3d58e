import { freePorts, ServerLinks, waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { HEARTBEAT_MS } from "./engine.ts";

const METRICS_PORT = 9_464;
/** Loopback network of this test process. Each daemon has an address of its own, as the metrics port is fixed. */
const LOOPBACK_NETWORK = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}`;
let hostCount = 0;

const nextHost = (): string => {
    hostCount += 1;
    return `${LOOPBACK_NETWORK}.${hostCount}`;
};

/** An entry daemon; its addresses are in the form `host:port`. */
export interface EntryFixture {
    callers: string;
    readiness: string;
    metrics: string;
    entry: ChildProcess;
    /** Paths to servers on 127.0.0.1, if they were requested. */
    links?: ServerLinks;
    /** Returns the log output of the entry daemon so far. */
    entryLog: () => string;
    /** Replaces fields of the settings file. */
    changeSettings: (fields: object) => void;
}

/** A control daemon and its first entry daemon. */
export interface PlatformFixture extends EntryFixture {
    /** `host:port` of the control daemon; the next one is its address for metrics. */
    control: string;
    controlMetrics: string;
    controlProcess: ChildProcess;
    /** Returns the log output of the control daemon so far. */
    controlLog: () => string;
    /** All entry daemons. */
    entries: EntryFixture[];
}

const SOURCE_PROGRAM = "platform/main.ts";
/** Loads TypeScript. Precedes other modules to import, which may be written in it. */
const SOURCE_LOADER = "--import=tsx";

/** Starts a control daemon and entry daemons the way the platform does. */
export const startPlatform = async (
    t: ExecutionContext,
    { entryCount = 1, hasServerLinks = false, nodeArguments = [] as string[], programPath = SOURCE_PROGRAM } =
        {},
): Promise<PlatformFixture> => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-platform-"));
    const [peerPort = 0, control = 0, callers = 0, readiness = 0] = await freePorts(4);
    const controlHost = nextHost();
    const common = {
        zone: "z",
        internal_ports: [peerPort, peerPort],
        seeds: [`${controlHost}:${control}`],
        bootstrap: true,
        heartbeat_ms: HEARTBEAT_MS,
        fault_tolerance: { machines: 1 },
        bounds: { grace_s: 8, retry_budget_ratio: 0.2, retry_budget_slack: 132 },
        unknown_field: "ignored",
    };
    const start = (
        name: string,
        role: "control" | "entry",
        settings: object,
        { linkArguments = [], environment = {} }: ProcessOptions = {},
    ): StartedDaemon => {
        const path = join(folder, `${name}.json`);
        const changeSettings = (fields: object): void =>
            writeFileSync(path, JSON.stringify({ ...common, node_name: name, ...settings, ...fields }));
        changeSettings({});
        const child = spawn(process.execPath, [
            ...(programPath === SOURCE_PROGRAM ? [SOURCE_LOADER] : []),
            ...nodeArguments,
            ...linkArguments,
            programPath,
            role,
        ], {
            env: { ...process.env, GREENGAGERIDGE_SETTINGS: path, ...environment },
            stdio: ["ignore", "pipe", "inherit"],
        });
        let text = "";
        child.stdout?.on("data", (chunk: Buffer) => {
            text += chunk.toString();
        });
        t.teardown(() => void child.kill("SIGKILL"));
        return { child, log: () => text, changeSettings };
    };
    const startEntry = async (number: number): Promise<EntryFixture> => {
        const host = nextHost();
        const serverHost = hasServerLinks ? nextHost() : undefined;
        const addresses = { callers: `${host}:${callers}`, readiness: `${host}:${readiness}` };
        const { child, log, changeSettings } = start(`front-z-${number}`, "entry", {
            ip: host,
            listen: { front: addresses.callers, ready: addresses.readiness },
            data_dir: null,
        }, serverHost === undefined ? {} : linkedProcess(serverHost));
        const links = serverHost === undefined ? undefined : await startLinks(t, serverHost);
        return {
            ...addresses,
            metrics: `${host}:${METRICS_PORT}`,
            entry: child,
            links,
            entryLog: log,
            changeSettings,
        };
    };
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const { child: controlProcess, log: controlLog } = start("core-z-1", "control", {
        ip: controlHost,
        listen: { control: `${controlHost}:${control}` },
        data_dir: join(folder, "data"),
    });
    const first = await startEntry(1);
    const others: EntryFixture[] = [];
    for (let number = 2; number <= entryCount; number += 1) {
        others.push(await startEntry(number));
    }
    return {
        control: `${controlHost}:${control}`,
        controlMetrics: `${controlHost}:${METRICS_PORT}`,
        controlProcess,
        controlLog,
        ...first,
        entries: [first, ...others],
    };
};

interface ProcessOptions {
    linkArguments?: string[];
    environment?: Record<string, string>;
}

/** Options of a process that reaches servers at `serverHost`. */
const linkedProcess = (serverHost: string): ProcessOptions => ({
    linkArguments: ["--import=./packages/faults/src/source.ts"],
    environment: { GREENGAGE_TEST_SERVER_HOST: serverHost },
});

const startLinks = async (t: ExecutionContext, serverHost: string): Promise<ServerLinks> => {
    const links = new ServerLinks(serverHost);
    await links.start();
    t.teardown(() => links.close());
    return links;
};

interface StartedDaemon {
    child: ChildProcess;
    log: () => string;
    changeSettings: (fields: object) => void;
}

export interface CallResult {
    status: number;
    text: string;
    headers: Record<string, string | string[] | undefined>;
}

/** Sends one request. Returns undefined if the connection is refused. */
export const call = async (
    url: string,
    options: { method?: "GET" | "POST" | "DELETE"; body?: string; headers?: Record<string, string>; } = {},
): Promise<CallResult | undefined> => {
    try {
        const { statusCode, headers, body } = await request(url, options);
        return { status: statusCode, headers, text: await body.text() };
    }
    catch (error) {
        const { code } = error as { code?: string; };
        if (code === "ECONNREFUSED") {
            return undefined;
        }
        throw error;
    }
};

/**
 * Time that an entry daemon takes to answer a request that needs no decision, as no route matches it. Sent together with a
 * request, it tells what the daemon adds to its answer from what a busy machine adds.
 */
export const measureAnswerMs = async (callers: string): Promise<number> => {
    const sentAtMs = performance.now();
    await call(`http://${callers}/no-route/`);
    return performance.now() - sentAtMs;
};

/** Repeats a request until its answer has the given status. */
export const callUntil = async (
    status: number,
    url: string,
    options: Parameters<typeof call>[1] = {},
): Promise<CallResult> =>
    await waitFor(`status ${status} of ${url}`, async () => {
        const result = await call(url, options);
        return result?.status === status ? result : undefined;
    });

/** A configuration in wire format with a service of one model on two VMs, and a ledger. */
export const wireConfiguration = (version: number, fields: object = {}): Record<string, unknown> => ({
    version,
    routes: [
        {
            name: "chat",
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
        },
        {
            name: "pay",
            host: "a.example",
            path_prefix: "/pay/",
            kind: "unsafe",
            timeout_ms: 1_200,
            target_latency_ms: 193,
            priority: 2,
            traffic_split: [{ service: "ledger", weight: 1 }],
            attempts: 1,
            allow_anonymous: false,
        },
    ],
    services: [
        {
            name: "llm",
            health_path: "/health",
            max_connections: 400,
            engine: {
                slots: 18,
                kv_capacity_tokens: 1_710_000,
                stride: 6,
                models: [{ name: "m", size: 2, share: 1, pace: 1, load_s: 16, warm_s: 1.6 }],
                step_ms: 6.45,
                per_seq_ms: 0.14,
                context_per_k: 0.0042,
                read_per_s: 56_100,
                pairs_per_m: 0.309,
                chunk: 2_048,
                loads_per_s: 5.5,
                loads_at_once: 8,
                usual: { prompt: 1_115, answer: 152 },
                keeps: 1,
                form_ms: 300,
            },
        },
        { name: "ledger", health_path: "/health", max_connections: 100 },
    ],
    limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "kiosks", api_keys: ["key"], priority: 1 }],
    ...fields,
});

export const chatHeaders = (requestId: string): Record<string, string> => ({
    host: "a.example",
    "greengageridge-request-id": requestId,
    "greengageridge-model": "m",
    "greengageridge-token-usage": "1460,80",
    "greengageridge-prompt-prefix": "5c1e07a2:800",
    "greengageridge-deadline-ms": "8000",
    "greengageridge-tenant": "forged",
    authorization: "Bearer key",
});
