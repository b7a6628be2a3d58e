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

/** Limits of the HTTP server. The defaults are in `@greengage/http`. */
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

/** Schema of a daemon's settings file. */
export const settingsSchema = z.strictObject({
    daemonId: z.string().min(1).max(64),
    zone: z.string().min(1).max(64),
    /** Listen address of the HTTP server. Port 0 selects a free port. */
    http: z.strictObject({ host, port: z.number().int().min(0).max(65_535) }),
    /** Folder of the replicated log. Required for voters. */
    dataFolder: z.string().min(1).optional(),
    /** Allows a voter with an empty folder to form a new cluster, on the first start of the system. */
    bootstrap: z.boolean().default(false),
    /** All daemons, including this one. Must be identical in all settings files. */
    daemons: z.array(daemon).min(1),
    keys: z.strictObject({
        peers: key,
        backendServers: key,
        operators: key,
        /** Key for the platform's health checks, which need none when it is omitted. */
        platform: key.optional(),
    }),
    limits: limits.default({}),
    /** Time for which a draining daemon still accepts requests, until load balancers stop sending them. */
    drainGraceMs: z.number().int().min(0).max(600_000).default(5_000),
    /** Time after which a stopping daemon interrupts the remaining requests. */
    drainLimitMs: z.number().int().min(0).max(3_600_000).default(120_000),
    log: z.strictObject({
        format: z.enum(["json", "pretty", "hidden"]).default("json"),
        level: level.default("info"),
        /** Overrides `level` for single parts of the daemon. */
        levels: z.partialRecord(z.enum(LogPart), level).default({}),
    }).default({ format: "json", level: "info", levels: {} }),
    metrics: z.strictObject({
        host,
        port: z.number().int().min(1).max(65_535).default(8_125),
    }).optional(),
    timing: timing.default({}),
    /** Policy by which the zone's controller places and repairs groups. */
    placement: z.enum(PlacementName).default(PlacementName.BestFit),
    /** Limits of the store from which model engines load weights. */
    weightStore: z.strictObject({
        maxLoads: z.number().int().min(1).max(10_000),
        loadLimitMs: z.number().int().min(1_000).max(86_400_000),
    }).partial().default({}),
});

export type Settings = z.infer<typeof settingsSchema>;
