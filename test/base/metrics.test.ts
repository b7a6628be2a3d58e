import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const METRIC_CALL_PATTERN = /\.(?:count|gauge|durationMs)\(\s*"([a-z_]+(?:\.[a-z_]+)+)"/g;
const DOCUMENTED_METRIC_PATTERN = /^\| `([a-z_.]+)` \|/gm;

const matchMetricNames = (text: string, pattern: RegExp): string[] =>
    [...text.matchAll(pattern)].map((match) => match[1] ?? "");

const listSourceFiles = (): string[] =>
    readdirSync("packages", { recursive: true, encoding: "utf8" })
        .filter((path) => path.endsWith(".ts") && !path.includes("node_modules"))
        .map((path) => join("packages", path));

// Guards against undocumented metrics and against documented metrics that the code doesn't report.
test("docs/operators/metrics.md lists exactly the metrics that the code reports", (t) => {
    const reportedNames = new Set(
        listSourceFiles().flatMap((path) =>
            matchMetricNames(readFileSync(path, "utf8"), METRIC_CALL_PATTERN)
        ),
    );
    const documentedNames = matchMetricNames(
        readFileSync("docs/operators/metrics.md", "utf8"),
        DOCUMENTED_METRIC_PATTERN,
    );
    t.deepEqual([...reportedNames].sort(), documentedNames.sort());
    t.is(new Set(documentedNames).size, documentedNames.length);
});
