import { Cluster, seedTable, startZoneBackends, waitForServingGroups } from "@greengage/bench";
import test, { type ExecutionContext } from "ava";
import { build } from "esbuild";
import { spawn } from "node:child_process";
import { cpSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { tempFolder } from "./fixture.ts";

const PAGES_FOLDER = "docs/operators";
const ZONES = ["jhb-north", "jhb-east", "pta-central"];
const SHELL_BLOCK = /^( *)```sh\n(.*?)^ *```$/gms;

interface ScriptBlock {
    page: string;
    script: string;
}

const readScriptBlocks = (page: string): ScriptBlock[] =>
    [...readFileSync(join(PAGES_FOLDER, page), "utf8").matchAll(SHELL_BLOCK)].map((match) => ({
        page,
        script: match[2] ?? "",
    }));

/** Lists the pages in reading order. */
const listPagesInOrder = (): string[] => {
    const first = ["README.md", "start.md", "table.md", "replace.md", "leave.md"];
    const others = readdirSync(PAGES_FOLDER).filter((page) => page.endsWith(".md") && !first.includes(page));
    return [...first, ...others];
};

const startFleet = async (t: ExecutionContext): Promise<Cluster> => {
    const cluster = new Cluster({ daemonsPerZone: { "jhb-north": 2, "jhb-east": 1, "pta-central": 1 } });
    t.teardown(() => cluster.stop());
    await cluster.start();
    await seedTable(cluster);
    for (const zone of ZONES) {
        startZoneBackends(cluster, zone, { modelVms: 3 });
    }
    await waitForServingGroups(cluster, ZONES.length);
    return cluster;
};

/** Creates a folder with the examples and the bundled command line. */
const prepareFolder = async (t: ExecutionContext): Promise<{ folder: string; bundle: string; }> => {
    const folder = tempFolder(t);
    const bundle = join(folder, "greengage.cjs");
    cpSync("examples", join(folder, "examples"), { recursive: true });
    await build({
        entryPoints: ["packages/cli/src/main.ts"],
        outfile: bundle,
        bundle: true,
        platform: "node",
        mainFields: ["module", "main"],
        external: ["unix-dgram", "msgpackr-extract", "bufferutil", "utf-8-validate"],
        logLevel: "error",
    });
    return { folder, bundle };
};

const runScript = (
    script: string,
    options: { cwd: string; env: Record<string, string>; },
): Promise<{ exitCode: number; output: string; }> =>
    new Promise((resolve) => {
        const child = spawn("bash", ["-e", "-c", script], {
            cwd: options.cwd,
            env: { ...process.env, ...options.env },
        });
        let output = "";
        const onData = (chunk: Buffer): void => {
            output += chunk.toString("utf8");
        };
        child.stdout.on("data", onData);
        child.stderr.on("data", onData);
        child.once("close", (code) => resolve({ exitCode: code ?? -1, output }));
    });

// Guards against documented commands that no longer run as shown.
test("every command in the operator documentation runs as shown", async (t) => {
    t.timeout(180_000);
    const cluster = await startFleet(t);
    const { folder, bundle } = await prepareFolder(t);
    const keyFile = join(folder, "operator-key");
    writeFileSync(keyFile, `${cluster.operatorKey}\n`);
    const env = {
        GREENGAGE_URL: cluster.daemon("jhb-north-1").url,
        GREENGAGE_KEY_FILE: keyFile,
        GREENGAGE_OPERATOR: "thandi",
    };
    const blocks = listPagesInOrder().flatMap(readScriptBlocks);
    t.true(blocks.length > 15);
    for (const { page, script } of blocks) {
        const program = `greengage() { "${process.execPath}" "${bundle}" "$@"; }\n${script}`;
        const { exitCode, output } = await runScript(program, { cwd: folder, env });
        t.is(exitCode, 0, `${page}:\n${script}\n${output}`);
    }
});
