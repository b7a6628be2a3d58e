/** Runs one measurement: `npm run measure -- NAME`. The last line is JSON with the figures. */
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
        description: "bytes, processor time and memory of a daemon for control, by role and size",
        run: measureControl,
    },
    table: {
        description: "time from an edit until seven daemons in three zones have applied it",
        run: measureTable,
    },
    drain: {
        description: "new work and cut-off streams when leaders of groups leave",
        run: measureDrain,
    },
    repair: {
        description: "group downtime and stranded accelerators by repair policy",
        run: measureRepair,
    },
    fairness: {
        description: "first token of small organisations with and without the flood of a large one",
        run: measureFairness,
    },
    limits: {
        description: "accepted rate of an organisation over all daemons against its limit",
        run: measureLimits,
    },
    relay: {
        description: "cost of the relay against a relay without checks, at one daemon's share of the peak",
        run: measureRelay,
    },
    placement: {
        description: "bytes and processor time of the exchange of loads and of asking for a place",
        run: measurePlacement,
    },
    routing: {
        description: "first token by strategy, with stragglers and shared prefixes",
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
