/** Runs one measurement: `npm run measure -- NAME`. The last line is JSON with the figures. */

import { measureFairness } from "./measure/fairness.ts";
import { measureLimits } from "./measure/limits.ts";
import { measureRelay } from "./measure/relay.ts";
import { measureRouting } from "./measure/routing.ts";

export interface Measurement {
    description: string;
    run: () => Promise<object>;
}

const measurements: Record<string, Measurement> = {
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

await run(process.argv[2]);
