/**
 * Runs all tests with AVA and prints `N passed, N failed` as the last line, counted from AVA's TAP report.
 * Tests named in KNOWN-RED.txt are reported and not counted as failures.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";

interface Tally {
    passed: number;
    failed: number;
    knownRed: string[];
    plannedCount: number | undefined;
}

/** Titles of the tests listed as known failures: lines of the form `test: <title>`. */
const readKnownRed = (): Set<string> => {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
    return new Set(
        lines.filter((line) => line.startsWith("test: ")).map((line) => line.slice("test: ".length).trim()),
    );
};

const RESULT_LINE = /^(not )?ok \d+ - (.*?)(?: # (SKIP|TODO).*)?$/;
const PLAN_LINE = /^1\.\.(\d+)$/;

const countLine = (line: string, tally: Tally, knownRed: Set<string>): void => {
    const plan = PLAN_LINE.exec(line);
    if (plan) {
        tally.plannedCount = Number(plan[1]);
        return;
    }
    const result = RESULT_LINE.exec(line);
    if (!result) {
        return;
    }
    if (result[3] !== undefined) {
        // Skipped tests prove nothing.
        return;
    }
    const title = result[2] ?? "";
    if (!result[1]) {
        tally.passed += 1;
        return;
    }
    if ([...knownRed].some((known) => title.endsWith(known))) {
        tally.knownRed.push(title);
        return;
    }
    tally.failed += 1;
};

const run = async (): Promise<void> => {
    const knownRed = readKnownRed();
    const tally: Tally = { passed: 0, failed: 0, knownRed: [], plannedCount: undefined };
    const runner = spawn(process.execPath, [
        "node_modules/ava/entrypoints/cli.mjs",
        "--tap",
        ...process.argv.slice(2),
    ], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const exited = new Promise<number>((resolve) => runner.once("exit", (code) => resolve(code ?? 1)));
    for await (const line of createInterface({ input: runner.stdout })) {
        console.log(line);
        countLine(line, tally, knownRed);
    }
    const exitCode = await exited;
    for (const title of tally.knownRed) {
        console.log(`known failure (KNOWN-RED.txt): ${title}`);
    }
    if (exitCode !== 0 && tally.failed === 0 && tally.knownRed.length === 0) {
        // AVA fails a run for reasons that no single test carries, such as a crashed process.
        tally.failed = 1;
    }
    console.log(`${tally.passed} passed, ${tally.failed} failed`);
    process.exitCode = tally.failed === 0 && tally.passed > 0 ? 0 : 1;
};

await run();
