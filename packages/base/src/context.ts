import { type Decisions, silentDecisions } from "./decisions.ts";
import { Invariants } from "./invariants.ts";
import { type LogFactory, LogPart, silentLogs } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { Timeline } from "./timeline.ts";

/** Identity of a process and its logs, metrics and other telemetry; passed to every component of the process. */
export interface Context {
    /** Id of the daemon, or of the test process. */
    daemonId: string;
    zone: string;
    logs: LogFactory;
    /** Structured log of the decisions about requests and cluster state. */
    decisions: Decisions;
    metrics: Metrics;
    timeline: Timeline;
    invariants: Invariants;
}

export interface ContextOptions {
    daemonId: string;
    zone: string;
    /** Default: discards all lines. */
    logs?: LogFactory;
    /** Default: discards all decisions. */
    decisions?: Decisions;
    /** Default: metrics are collected but not sent to a StatsD server. */
    metrics?: Metrics;
}

/** Creates the context of a process. Defaults discard logs and decisions. */
export const createContext = (options: ContextOptions): Context => {
    const logs = options.logs ?? silentLogs;
    const metrics = options.metrics ?? new Metrics();
    const timeline = new Timeline({ daemonId: options.daemonId });
    const invariants = new Invariants({ log: logs(LogPart.Invariant), metrics, timeline });
    const decisions = options.decisions ?? silentDecisions;
    return { daemonId: options.daemonId, zone: options.zone, logs, decisions, metrics, timeline, invariants };
};
