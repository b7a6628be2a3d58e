import { readFileSync } from "node:fs";

/** Ticks per second of the kernel's processor accounting, the same on every Linux platform that Node.js supports. */
const TICKS_PER_S = 100;

/** Processor time and memory that a process has used, as the kernel counts them for this process. */
export interface ProcessUsage {
    cpuS: number;
    rssMb: number;
}

export const readProcessUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the name in brackets and may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuS: ticks / TICKS_PER_S, rssMb: rssKb / 1024 };
};
