/**
 * Runs the system under random faults: `npm run chaos -- --system NAME --seed N --count N --duration-s S
 * [--without KINDS] [--log FILE]`. System `daemons` is the project's own daemons, `platform` its programs for the users'
 * platform, where `--without pathCuts` leaves out lost paths. Runs `count` consecutive seeds, starting at `seed`. The last line of each run is its result as JSON.
 */
import { runChaos } from "@greengage/bench";
import { createWriteStream, type WriteStream } from "node:fs";
import { parseArgs } from "node:util";
import { runSoak } from "../test/platform/soak/run.ts";

process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

const { values } = parseArgs({
    options: {
        system: { type: "string", default: "daemons" },
        seed: { type: "string", default: "1" },
        count: { type: "string", default: "1" },
        "duration-s": { type: "string", default: "60" },
        without: { type: "string", default: "" },
        log: { type: "string" },
    },
});

const systems: Record<string, typeof runChaos | typeof runSoak> = { daemons: runChaos, platform: runSoak };
const runSystem = systems[values.system];
if (runSystem === undefined) {
    throw new Error(`unknown system "${values.system}"; expected one of: ${Object.keys(systems).join(", ")}`);
}
const openLog = (path: string, seed: number): WriteStream => createWriteStream(`${path}.${seed}`);

for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.count); seed += 1) {
    const log = values.log === undefined ? undefined : openLog(values.log, seed);
    const result = await runSystem({
        seed,
        durationS: Number(values["duration-s"]),
        without: values.without.split(","),
        onLine: (source, line) => log?.write(`${source} ${line}\n`),
    });
    log?.end();
    console.log(JSON.stringify(result));
    process.exitCode = result.violations > 0 ? 1 : process.exitCode;
}
