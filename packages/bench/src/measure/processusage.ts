import { readFileSync } from "node:fs";

/** Kernel clock ticks per second (USER_HZ), the same on every Linux platform that Node.js supports. */
const TICKS_PER_S = 100;

/** CPU time and resident memory of a process, from the kernel's accounting. */
export interface ProcessUsage {
    cpuS: number;
    rssMb: number;
}

export const readProcessUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the process name in parentheses and may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuS: ticks / TICKS_PER_S, rssMb: rssKb / 1024 };
};
