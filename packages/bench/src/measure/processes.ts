import { ManagedProcess } from "@greengage/faults";
import { type LoadOptions, type LoadResult, STARTED_LINE } from "./loadoptions.ts";
import { type ProcessUsage, readProcessUsage } from "./processusage.ts";

const MEASURE_FOLDER = "packages/bench/src/measure";

/** Starts a helper process of a measurement. */
export const startProcess = (
    file: string,
    options: object,
    onLine: (line: string) => void,
): ManagedProcess =>
    new ManagedProcess({
        command: process.execPath,
        args: ["--import=tsx", `${MEASURE_FOLDER}/${file}`, JSON.stringify(options)],
        onLine,
    });

/** Result of a load generator run, with the resource usage of the measured process during the run. */
export interface MeasuredRun extends LoadResult {
    /** CPU time as a share of one core. */
    cpuShare: number;
    rssMb: number;
}

/** Runs the load generator and measures the resource usage of process `pid` during the run. */
export const runLoad = async (options: LoadOptions, pid: number): Promise<MeasuredRun> => {
    let before: ProcessUsage | undefined;
    let after: ProcessUsage | undefined;
    let lastLine = "";
    const generator = startProcess("load.ts", options, (line) => {
        lastLine = line;
        if (line === STARTED_LINE) {
            before = readProcessUsage(pid);
            return;
        }
        after = readProcessUsage(pid);
    });
    await generator.exited;
    if (before === undefined || after === undefined) {
        throw new Error("load generator exited before printing a result");
    }
    const cpuShare = (after.cpuS - before.cpuS) * 1_000 / options.durationMs;
    return { ...JSON.parse(lastLine) as LoadResult, cpuShare, rssMb: Math.round(after.rssMb) };
};
