/** Runs a measurement: `npm run measure -- NAME`. The last output line is the result as JSON. */
import { measureControl } from "./measure/control.ts";
import { measureDrain } from "./measure/drain.ts";
import { measureFairness } from "./measure/fairness.ts";
import { measureLimits } from "./measure/limits.ts";
import { measurePlacement } from "./measure/placement.ts";
import { measureRelay } from "./measure/relay.ts";
import { measureRepair } from "./measure/repair.ts";
import { measureRouting } from "./measure/routing.ts";
import { measureTable } from "./measure/table.ts";

export interface Measurement {
    description: string;
    run: () => Promise<object>;
}

const measurements: Record<string, Measurement> = {
    control: {
        description: "control traffic, CPU time and memory of a daemon, by role and cluster size",
        run: measureControl,
    },
    table: {
        description: "time from a table edit until seven daemons in three zones have applied it",
        run: measureTable,
    },
    drain: {
        description: "new requests and interrupted streams when group leaders leave",
        run: measureDrain,
    },
    repair: {
        description: "group downtime and stranded accelerators by placement policy",
        run: measureRepair,
    },
    fairness: {
        description: "time to first token of small organisations, with and without a flood from a large one",
        run: measureFairness,
    },
    limits: {
        description: "accepted request rate of an organisation over all daemons, compared with its limit",
        run: measureLimits,
    },
    relay: {
        description:
            "cost of a daemon's relay compared with a relay without checks, at one daemon's share of the peak load",
        run: measureRelay,
    },
    placement: {
        description: "bytes and CPU time of usage exchange calls and placement calls",
        run: measurePlacement,
    },
    routing: {
        description: "time to first token by routing strategy, with stragglers and shared prefixes",
        run: measureRouting,
    },
};

const run = async (name: string | undefined): Promise<void> => {
    const measurement = measurements[name ?? ""];
    if (measurement === undefined) {
        for (const [known, { description }] of Object.entries(measurements)) {
            console.log(`${known}: ${description}`);
        }
        process.exitCode = name === undefined ? 0 : 2;
        return;
    }
    console.log(JSON.stringify(await measurement.run()));
};

process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));
await run(process.argv[2]);
