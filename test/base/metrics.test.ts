import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const CALL = /\.(?:count|gauge|durationMs)\(\s*"([a-z_]+(?:\.[a-z_]+)+)"/g;
const LISTED = /^\| `([a-z_.]+)` \|/gm;

const namesIn = (text: string, pattern: RegExp): string[] =>
    [...text.matchAll(pattern)].map((match) => match[1] ?? "");

const sourceFiles = (): string[] =>
    readdirSync("packages", { recursive: true, encoding: "utf8" })
        .filter((path) => path.endsWith(".ts") && !path.includes("node_modules"))
        .map((path) => join("packages", path));

// Guards against metrics that operators can't look up, and against pages that name metrics nobody sends.
test("docs/operators/metrics.md lists exactly the metrics that the code sends", (t) => {
    const sent = new Set(sourceFiles().flatMap((path) => namesIn(readFileSync(path, "utf8"), CALL)));
    const listed = namesIn(readFileSync("docs/operators/metrics.md", "utf8"), LISTED);
    t.deepEqual([...sent].sort(), listed.sort());
    t.is(new Set(listed).size, listed.length);
});
