/** Randomised run under faults: `npm run chaos -- --seed N --duration-s S [--without KINDS] [--log FILE]`. Last line: JSON. */
import { createWriteStream } from "node:fs";
import { parseArgs } from "node:util";
import { runChaos } from "./chaos/run.ts";

process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        "duration-s": { type: "string", default: "60" },
        without: { type: "string", default: "" },
        log: { type: "string" },
    },
});
const log = values.log === undefined ? undefined : createWriteStream(values.log);
const result = await runChaos({
    seed: Number(values.seed),
    durationS: Number(values["duration-s"]),
    without: values.without.split(","),
    onLine: (source, line) => log?.write(`${source} ${line}\n`),
});
log?.end();
console.log(JSON.stringify(result));
process.exitCode = result.violations > 0 ? 1 : 0;
