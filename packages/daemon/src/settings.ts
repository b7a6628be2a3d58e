import { LogPart } from "@greengage/base";
import { PlacementName } from "@greengage/membership";
import { z } from "zod";

const host = z.string().min(1);
const key = z.string().min(8);
const level = z.enum(["debug", "info", "warn", "error"]);

const timing = z.strictObject({
    leaseMs: z.number().int().min(200).max(60_000),
    leaseRenewMs: z.number().int().min(50).max(10_000),
    grantMs: z.number().int().min(200).max(60_000),
    grantRenewMs: z.number().int().min(50).max(10_000),
    missingAfterMs: z.number().int().min(200).max(60_000),
    reportBatchMs: z.number().int().min(20).max(10_000),
    unfencedHandoverMs: z.number().int().min(0).max(3_600_000),
    repairAfterMs: z.number().int().min(0).max(600_000),
}).partial();

/** Limits of the HTTP surfaces. The defaults are in `@greengage/http`. */
const limits = z.strictObject({
    bodyBytes: z.number().int().min(1_024).max(64 * 1024 * 1024),
    reportBytes: z.number().int().min(1_024).max(1024 * 1024),
    headerBytes: z.number().int().min(1_024).max(256 * 1024),
    headersMs: z.number().int().min(100).max(600_000),
    bodyMs: z.number().int().min(100).max(600_000),
    concurrentRequests: z.number().int().min(1).max(100_000),
    concurrentPerConnection: z.number().int().min(1).max(1_000),
    connections: z.number().int().min(1).max(100_000),
    deadlineMs: z.number().int().min(100).max(3_600_000),
    maxDeadlineMs: z.number().int().min(100).max(3_600_000),
}).partial();

const daemon = z.strictObject({
    daemonId: z.string().min(1).max(64),
    zone: z.string().min(1).max(64),
    host,
    port: z.number().int().min(1).max(65_535),
    voter: z.boolean().default(false),
    controlOnly: z.boolean().default(false),
});

/** Schema of the settings file of a daemon. */
export const settingsSchema = z.strictObject({
    daemonId: z.string().min(1).max(64),
    zone: z.string().min(1).max(64),
    /** Address of the HTTP surfaces. Port 0 takes any free port. */
    http: z.strictObject({ host, port: z.number().int().min(0).max(65_535) }),
    /** Folder for the replicated log. Voters need one. */
    dataFolder: z.string().min(1).optional(),
    /** First start of the whole system: a voter with an empty folder may found the cluster. */
    bootstrap: z.boolean().default(false),
    /** All daemons, this one included. The same list in every settings file. */
    daemons: z.array(daemon).min(1),
    keys: z.strictObject({
        peers: key,
        backendServers: key,
        operators: key,
        /** Key of the platform's health checks. Without one they need no key. */
        platform: key.optional(),
    }),
    limits: limits.default({}),
    /** Time during which a draining daemon accepts requests that a load balancer still sends. */
    drainGraceMs: z.number().int().min(0).max(600_000).default(5_000),
    /** Time after which requests that still run are cut off when a daemon stops. */
    drainLimitMs: z.number().int().min(0).max(3_600_000).default(120_000),
    log: z.strictObject({
        format: z.enum(["json", "pretty", "hidden"]).default("json"),
        level: level.default("info"),
        /** Levels of single parts that differ from `level`. */
        levels: z.partialRecord(z.enum(LogPart), level).default({}),
    }).default({ format: "json", level: "info", levels: {} }),
    metrics: z.strictObject({
        host,
        port: z.number().int().min(1).max(65_535).default(8_125),
    }).optional(),
    timing: timing.default({}),
    /** Placement and repair policy of the zone's controller. */
    placement: z.enum(PlacementName).default(PlacementName.BestFit),
    /** Limits of the store that model engines load weights from. */
    weightStore: z.strictObject({
        maxLoads: z.number().int().min(1).max(10_000),
        loadLimitMs: z.number().int().min(1_000).max(86_400_000),
    }).partial().default({}),
});

export type Settings = z.infer<typeof settingsSchema>;
