import { Logger } from "tslog";
import type { LogWriter } from "./logwriter.ts";

/** Component that a log line comes from: its prefix, or its `part` field. */
export const LogPart = {
    Daemon: "daemon",
    Peer: "peer",
    Consensus: "consensus",
    Table: "table",
    Membership: "membership",
    Groups: "groups",
    Routing: "routing",
    Actions: "actions",
    Http: "http",
    Invariant: "invariant",
    Standin: "stand-in",
    Bench: "bench",
} as const;

export type LogPart = typeof LogPart[keyof typeof LogPart];

export const LogLevel = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LogLevel;

export interface LogOptions {
    /** Default: `json`. `hidden` discards all lines. */
    format?: "json" | "pretty" | "hidden";
    /** Minimum level of the lines that are written. Default: `info`. */
    level?: LogLevel;
    /** Minimum levels of single components, in place of `level`. */
    levels?: Partial<Record<LogPart, LogLevel>>;
    /** Writes the lines in place of standard output. The format is then always JSON. */
    writer?: LogWriter;
}

export interface Log {
    debug(message: string, fields?: object): void;
    info(message: string, fields?: object): void;
    warn(message: string, fields?: object): void;
    error(message: string, fields?: object): void;
}

/** Returns the logger of a component. */
export type LogFactory = (part: LogPart) => Log;

/** Creates a factory of loggers, one per component, with shared options. */
export const createLogFactory = (options: LogOptions = {}): LogFactory => {
    const { writer } = options;
    const root = new Logger<unknown>({
        type: writer === undefined ? options.format ?? "json" : "hidden",
        stack: { capture: "off" },
        pretty: { template: "{{yyyy}}-{{mm}}-{{dd}} {{hh}}:{{MM}}:{{ss}}.{{ms}} {{logLevelName}} " },
    });
    return (part) => {
        const minLevel = options.levels?.[part] ?? options.level ?? "info";
        const logger = root.getSubLogger({ minLevel: LogLevel[minLevel] });
        const createLogMethod = (methodLevel: "debug" | "info" | "warn" | "error") =>
        (
            message: string,
            fields?: object,
        ): void => {
            if (writer !== undefined) {
                if (LogLevel[methodLevel] >= LogLevel[minLevel]) {
                    const at = new Date().toISOString();
                    writer.add(JSON.stringify({ at, level: methodLevel, part, message, ...fields }));
                }
                return;
            }
            const prefixedMessage = `${part}: ${message}`;
            if (fields === undefined) {
                logger[methodLevel](prefixedMessage);
                return;
            }
            logger[methodLevel](fields, prefixedMessage);
        };
        return {
            debug: createLogMethod("debug"),
            info: createLogMethod("info"),
            warn: createLogMethod("warn"),
            error: createLogMethod("error"),
        };
    };
};

/** Discards every line; for tests of single components. */
export const silentLogs: LogFactory = () => {
    const discard = (): void => undefined;
    return { debug: discard, info: discard, warn: discard, error: discard };
};
