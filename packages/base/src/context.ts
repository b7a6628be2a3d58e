import { type Decisions, silentDecisions } from "./decisions.ts";
import { Invariants } from "./invariants.ts";
import { type LogFactory, LogPart, silentLogs } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { Timeline } from "./timeline.ts";

/** What every part of a process needs: who it is, and where it reports. */
export interface Context {
    /** Id of the daemon, or of the test process. */
    daemonId: string;
    zone: string;
    logs: LogFactory;
    /** One line for each decision on a request or a belief. */
    decisions: Decisions;
    metrics: Metrics;
    timeline: Timeline;
    invariants: Invariants;
}

export interface ContextOptions {
    daemonId: string;
    zone: string;
    /** Default: no lines. */
    logs?: LogFactory;
    /** Default: no lines. */
    decisions?: Decisions;
    /** Default: nothing is sent. */
    metrics?: Metrics;
}

/** Creates the context of one process. */
export const createContext = (options: ContextOptions): Context => {
    const logs = options.logs ?? silentLogs;
    const metrics = options.metrics ?? new Metrics();
    const timeline = new Timeline({ daemonId: options.daemonId });
    const invariants = new Invariants({ log: logs(LogPart.Invariant), metrics, timeline });
    const decisions = options.decisions ?? silentDecisions;
    return { daemonId: options.daemonId, zone: options.zone, logs, decisions, metrics, timeline, invariants };
};
