import { freePorts, waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";

export const OPERATOR_KEY = "operator-key";

/** Node.js arguments that run `greengage` from its sources. */
const CLI_ARGS = ["--import=tsx", "packages/cli/src/main.ts"];

export interface RunResult {
    exitCode: number;
    stdout: string;
    stderr: string;
}

const collectOutput = (child: ChildProcess): Promise<RunResult> =>
    new Promise((resolve) => {
        let stdout = "";
        let stderr = "";
        child.stdout?.on("data", (chunk: Buffer) => {
            stdout += chunk.toString("utf8");
        });
        child.stderr?.on("data", (chunk: Buffer) => {
            stderr += chunk.toString("utf8");
        });
        child.once("close", (code) => resolve({ exitCode: code ?? -1, stdout, stderr }));
    });

/** Runs `greengage` with arguments until it exits. */
export const runCli = (args: string[], env: Record<string, string> = {}): Promise<RunResult> =>
    collectOutput(spawn(process.execPath, [...CLI_ARGS, ...args], {
        env: { ...process.env, GREENGAGE_KEY: OPERATOR_KEY, GREENGAGE_OPERATOR: "thandi", ...env },
    }));

export interface DaemonFixture {
    url: string;
    folder: string;
    settingsPath: string;
    process: ChildProcess;
    exited: Promise<RunResult>;
    /** Runs `greengage` against this daemon. */
    cli(...args: string[]): Promise<RunResult>;
}

export const tempFolder = (t: ExecutionContext): string => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-cli-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    return folder;
};

/** Settings of a daemon on the loopback interface that is the only voter. */
export const createSettings = (
    folder: string,
    [peerPort, httpPort]: number[],
    changes: object = {},
): object => ({
    daemonId: "a-1",
    zone: "zone-a",
    http: { host: "127.0.0.1", port: httpPort },
    dataFolder: join(folder, "data"),
    bootstrap: true,
    daemons: [{ daemonId: "a-1", zone: "zone-a", host: "127.0.0.1", port: peerPort, voter: true }],
    keys: { peers: "peer-key", backendServers: "backend-key", operators: OPERATOR_KEY },
    drainGraceMs: 200,
    ...changes,
});

/** Starts a daemon in a separate process and waits until it is ready. */
export const startDaemon = async (t: ExecutionContext, changes: object = {}): Promise<DaemonFixture> => {
    const folder = tempFolder(t);
    const ports = await freePorts(2);
    const settingsPath = join(folder, "settings.json");
    writeFileSync(settingsPath, JSON.stringify(createSettings(folder, ports, changes)));
    const child = spawn(process.execPath, [...CLI_ARGS, "serve", settingsPath]);
    const exited = collectOutput(child);
    t.teardown(async () => {
        child.kill("SIGKILL");
        await exited;
    });
    const url = `http://127.0.0.1:${ports[1]}`;
    await waitFor("readiness", async () => {
        const response = await request(`${url}/health/ready`).catch(() => undefined);
        await response?.body.dump();
        return response?.statusCode === 200 || undefined;
    });
    const cli = (...args: string[]): Promise<RunResult> => runCli(args, { GREENGAGE_URL: url });
    return { url, folder, settingsPath, process: child, exited, cli };
};
