import { sleep } from "@greengage/base";
import { freePorts, waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { HEARTBEAT_MS } from "./engine.ts";
import { call, callUntil, wireConfiguration } from "./fixtures.ts";
import { FULL_DISK_MARKER_VARIABLE } from "./fulldisk.ts";

const METRICS_PORT = 9_464;
const PRELOADED_MODULES = ["tsx", join(import.meta.dirname, "fulldisk.ts")];
const FULL_DISK_TURNS = 6;
const FULL_MS = 1_800;
/** The operator waits this long for one daemon. */
const ATTEMPT_LIMIT_MS = 1_000;
/** Time within which a change must be acknowledged while one disk is full. */
const CHANGE_LIMIT_MS = 8_000;
/** Time within which it must be acknowledged once all disks have room. */
const CALM_CHANGE_LIMIT_MS = 3_000;

const REFUSED_MESSAGE = "a write to the data folder was refused";
const FREED_MESSAGE = "the data folder accepts writes again";

interface ControlProcess {
    child: ChildProcess;
    /** `host:port` for operators. */
    address: string;
    host: string;
    markerPath: string;
    log: () => string;
}

/** Starts three control daemons, whose disks can be made full. */
const startControlProcesses = async (t: ExecutionContext): Promise<ControlProcess[]> => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-full-disks-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const [peerPort = 0, controlPort = 0] = await freePorts(2);
    // A network of its own, as the metrics port is fixed.
    const network = `127.${1 + process.pid % 250}.${251 - Math.floor(process.pid / 250) % 250}`;
    const hosts = [1, 2, 3].map((number) => `${network}.${200 + number}`);
    return hosts.map((host, index) => {
        const name = `core-z${index + 1}-1`;
        const address = `${host}:${controlPort}`;
        const settingsPath = join(folder, `${name}.json`);
        const markerPath = join(folder, `${name}.full`);
        writeFileSync(
            settingsPath,
            JSON.stringify({
                node_name: name,
                ip: host,
                zone: `z${index + 1}`,
                listen: { control: address },
                data_dir: join(folder, name),
                internal_ports: [peerPort, peerPort],
                seeds: hosts.map((seed) => `${seed}:${controlPort}`),
                bootstrap: true,
                heartbeat_ms: HEARTBEAT_MS,
                fault_tolerance: { machines: 1 },
            }),
        );
        const imports = PRELOADED_MODULES.map((module) => `--import=${module}`);
        const child = spawn(process.execPath, [...imports, "platform/main.ts", "control"], {
            env: {
                ...process.env,
                GREENGAGERIDGE_SETTINGS: settingsPath,
                [FULL_DISK_MARKER_VARIABLE]: markerPath,
            },
            stdio: ["ignore", "pipe", "inherit"],
        });
        let text = "";
        child.stdout?.on("data", (chunk: Buffer) => {
            text += chunk.toString();
        });
        t.teardown(() => void child.kill("SIGKILL"));
        return { child, address, host, markerPath, log: () => text };
    });
};

/** Sends a configuration to the daemons in turn, beginning with `first`, until one acknowledges it. Returns the time. */
const replaceConfiguration = async (
    controls: readonly ControlProcess[],
    first: number,
    version: number,
): Promise<number> => {
    const body = JSON.stringify(wireConfiguration(version));
    const startedAtMs = performance.now();
    for (let attempt = 0; performance.now() - startedAtMs < 2 * CHANGE_LIMIT_MS; attempt += 1) {
        const { address } = controls[(first + attempt) % controls.length] ?? {};
        const url = `http://${address}/greengageridge/Config.Replace`;
        const answer = await Promise.race([
            call(url, { method: "POST", body }).catch(() => undefined),
            sleep(ATTEMPT_LIMIT_MS).then(() => undefined),
        ]);
        if (answer?.status === 200) {
            break;
        }
    }
    return Math.round(performance.now() - startedAtMs);
};

const countOf = (message: string, text: string): number => text.split(message).length - 1;

const isDiskFull = async ({ host }: ControlProcess): Promise<boolean> => {
    const answer = await call(`http://${host}:${METRICS_PORT}/metrics`);
    return /^greengage_storage_disk_full 1$/m.test(answer?.text ?? "");
};

// Guards against control daemons that end or stay behind when their disks are full in turn, and against changes that
// are refused or unanswered after the last disk has room again.
test.serial("control daemons acknowledge changes while and after their disks are full in turn", async (t) => {
    t.timeout(110_000);
    const controls = await startControlProcesses(t);
    for (const { address } of controls) {
        await callUntil(200, `http://${address}/greengageridge/Config.Replace`, {
            method: "POST",
            body: JSON.stringify(wireConfiguration(1)),
        });
    }
    let version = 1;
    const change = async (first: number): Promise<number> => {
        version += 1;
        return await replaceConfiguration(controls, first, version);
    };
    const durationsMs: number[] = [];
    for (let turn = 0; turn < FULL_DISK_TURNS; turn += 1) {
        const control = controls[turn % controls.length];
        if (control === undefined) {
            break;
        }
        writeFileSync(control.markerPath, "");
        const endMs = performance.now() + FULL_MS;
        for (let first = turn; performance.now() < endMs; first += 1) {
            durationsMs.push(await change(first));
            await sleep(100);
        }
        t.true(await isDiskFull(control), `turn ${turn}: the metric of a full disk`);
        rmSync(control.markerPath);
        await waitFor("room", async () => await isDiskFull(control) ? undefined : true);
    }
    t.true(Math.max(...durationsMs) < CHANGE_LIMIT_MS, `changes took ${durationsMs.join(", ")} ms`);
    for (const [index, { address }] of controls.entries()) {
        const durationMs = await change(index);
        t.true(durationMs < CALM_CHANGE_LIMIT_MS, `a change took ${durationMs} ms`);
        const { text } = await callUntil(200, `http://${address}/greengageridge/Config.Describe`);
        t.is((JSON.parse(text) as { version: number; }).version, version);
    }
    for (const { child, log } of controls) {
        t.is(child.exitCode, null, "no process ends");
        const turnCount = FULL_DISK_TURNS / controls.length;
        // Lines are written with a delay.
        await waitFor("the last line", async () => countOf(FREED_MESSAGE, log()) >= turnCount || undefined);
        t.is(countOf(REFUSED_MESSAGE, log()), turnCount, "one line for each loss");
        t.is(countOf(FREED_MESSAGE, log()), turnCount, "one line for each regain");
    }
    t.log(`${durationsMs.length} changes, the slowest took ${Math.max(...durationsMs)} ms`);
});
