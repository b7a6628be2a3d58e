import { ManagedProcess } from "@greengage/faults";
import { type LoadOptions, type LoadResult, STARTED_LINE } from "./loadoptions.ts";
import { type ProcessUsage, readProcessUsage } from "./processusage.ts";

const FOLDER = "packages/bench/src/measure";

/** Starts one of the measurement's own processes. */
export const startProcess = (
    file: string,
    options: object,
    onLine: (line: string) => void,
): ManagedProcess =>
    new ManagedProcess({
        command: process.execPath,
        args: ["--import=tsx", `${FOLDER}/${file}`, JSON.stringify(options)],
        onLine,
    });

/** Figures of one run of the load generator, with the usage of the measured process in the same time. */
export interface MeasuredRun extends LoadResult {
    /** Share of one core. */
    cpuShare: number;
    rssMb: number;
}

/** Runs the load generator and measures the process `pid` meanwhile. */
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
        throw new Error("the load generator ended early");
    }
    const cpuShare = (after.cpuS - before.cpuS) * 1_000 / options.durationMs;
    return { ...JSON.parse(lastLine) as LoadResult, cpuShare, rssMb: Math.round(after.rssMb) };
};
