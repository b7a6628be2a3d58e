import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { z } from "zod";

const address = z.strictObject({ host: z.string(), port: z.number().int().min(0).max(65535) });

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

/** Schema of the settings file of a daemon. */
export const settingsSchema = z.strictObject({
    daemonId: z.string().min(1),
    zone: z.string().min(1),
    /** HTTP surfaces. */
    http: address,
    /** Folder for the replicated log. Needed by voters. */
    dataFolder: z.string().optional(),
    /** All daemons, this one included. The same list in every settings file. */
    daemons: z.array(z.strictObject({
        daemonId: z.string().min(1),
        zone: z.string().min(1),
        host: z.string(),
        port: z.number().int().min(1).max(65535),
        voter: z.boolean().default(false),
        controlOnly: z.boolean().default(false),
    })).min(1),
    keys: z.strictObject({
        peers: z.string().min(8),
        backendServers: z.string().min(8),
        operators: z.string().min(8),
        platform: z.string().min(8).optional(),
    }),
    log: z.strictObject({
        format: z.enum(["json", "pretty", "hidden"]).default("json"),
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    }).default({ format: "json", level: "info" }),
    metrics: z.strictObject({ host: z.string(), port: z.number().int().default(8125) }).optional(),
    timing: timing.default({}),
    /** VMs of the zone that may read weights from the weight store at once. */
    weightStoreLoads: z.number().int().min(1).max(10_000).default(8),
});

export type Settings = z.infer<typeof settingsSchema>;

/** The settings file can't be used. */
export class SettingsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SettingsError";
    }
}

/** Reads and checks a settings file in JSON with comments. Throws SettingsError. */
export const readSettings = (path: string): Settings => {
    const text = readFileSync(path, "utf8");
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    const first = errors[0];
    if (first !== undefined) {
        const line = text.slice(0, first.offset).split("\n").length;
        throw new SettingsError(`${path}:${line}: ${printParseErrorCode(first.error)}`);
    }
    const result = settingsSchema.safeParse(value);
    if (!result.success) {
        const issues = result.error.issues.map((issue) =>
            `${path}: ${issue.path.join(".")}: ${issue.message}`
        );
        throw new SettingsError(issues.join("\n"));
    }
    return result.data;
};
