import { Logger } from "tslog";
import type { LogWriter } from "./logwriter.ts";

/** Fixed prefix of each part's log lines. */
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
    /** Shape of the lines. Default: `json`. */
    format?: "json" | "pretty" | "hidden";
    /** Lowest level that is written. Default: `info`. */
    level?: LogLevel;
    /** Levels of single parts that differ from `level`. */
    levels?: Partial<Record<LogPart, LogLevel>>;
    /** Takes the lines in place of standard output. With it the shape is JSON. */
    writer?: LogWriter;
}

export interface Log {
    debug(message: string, fields?: object): void;
    info(message: string, fields?: object): void;
    warn(message: string, fields?: object): void;
    error(message: string, fields?: object): void;
}

/** Returns the logger of one part. */
export type LogFactory = (part: LogPart) => Log;

/** Creates a factory of loggers, one per part, that share format and levels. */
export const createLogFactory = (options: LogOptions = {}): LogFactory => {
    const { writer } = options;
    const root = new Logger<unknown>({
        type: writer === undefined ? options.format ?? "json" : "hidden",
        stack: { capture: "off" },
        pretty: { template: "{{yyyy}}-{{mm}}-{{dd}} {{hh}}:{{MM}}:{{ss}}.{{ms}} {{logLevelName}} " },
    });
    return (part) => {
        const level = options.levels?.[part] ?? options.level ?? "info";
        const logger = root.getSubLogger({ minLevel: LogLevel[level] });
        const write =
            (name: "debug" | "info" | "warn" | "error") => (message: string, fields?: object): void => {
                if (writer !== undefined) {
                    if (LogLevel[name] >= LogLevel[level]) {
                        const at = new Date().toISOString();
                        writer.add(JSON.stringify({ at, level: name, part, message, ...fields }));
                    }
                    return;
                }
                const line = `${part}: ${message}`;
                if (fields === undefined) {
                    logger[name](line);
                    return;
                }
                logger[name](fields, line);
            };
        return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
    };
};

/** Discards every line; for tests of single parts. */
export const silentLogs: LogFactory = () => {
    const discard = (): void => undefined;
    return { debug: discard, info: discard, warn: discard, error: discard };
};
