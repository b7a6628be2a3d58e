/**
 * Runs all tests with AVA and prints `N passed, N failed` as the last line, counted from AVA's TAP report.
 * Failures of tests that KNOWN-RED.txt lists are printed but not counted.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";

interface TestCounts {
    passed: number;
    failed: number;
    knownFailures: string[];
    plannedCount: number | undefined;
}

/** Reads the titles of known failures from lines of the form `test: <title>`. */
const readKnownFailures = (): Set<string> => {
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

const countLine = (line: string, counts: TestCounts, knownFailures: Set<string>): void => {
    const plan = PLAN_LINE.exec(line);
    if (plan) {
        counts.plannedCount = Number(plan[1]);
        return;
    }
    const result = RESULT_LINE.exec(line);
    if (!result) {
        return;
    }
    if (result[3] !== undefined) {
        // Skipped and todo tests count neither as passed nor as failed.
        return;
    }
    const title = result[2] ?? "";
    if (!result[1]) {
        counts.passed += 1;
        return;
    }
    if ([...knownFailures].some((known) => title.endsWith(known))) {
        counts.knownFailures.push(title);
        return;
    }
    counts.failed += 1;
};

const runTests = async (): Promise<void> => {
    const knownFailures = readKnownFailures();
    const counts: TestCounts = { passed: 0, failed: 0, knownFailures: [], plannedCount: undefined };
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
        countLine(line, counts, knownFailures);
    }
    const exitCode = await exited;
    for (const title of counts.knownFailures) {
        console.log(`known failure (KNOWN-RED.txt): ${title}`);
    }
    if (exitCode !== 0 && counts.failed === 0 && counts.knownFailures.length === 0) {
        // AVA also fails a run for reasons that belong to no single test, such as a crashed process.
        counts.failed = 1;
    }
    console.log(`${counts.passed} passed, ${counts.failed} failed`);
    process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1;
};

await runTests();
