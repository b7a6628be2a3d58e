import { z } from "zod";

export const RowKind = {
    Model: "model",
    Organisation: "organisation",
    Service: "service",
    Setting: "setting",
} as const;

export type RowKind = typeof RowKind[keyof typeof RowKind];

const priority = z.number().int().min(0).max(9);
const limit = z.number().int().min(1).max(1_000_000);

/** Columns of a model. */
export const modelColumns = z.strictObject({
    /** Number of VMs per replica group. */
    vmsPerReplica: z.number().int().min(1).max(32),
    /** Desired number of replica groups per zone. */
    replicas: z.number().int().min(0).max(1000).default(1),
    weightsGb: z.number().min(0).max(100_000).default(0),
    maxConcurrentPerReplica: limit.default(32),
    contextTokens: z.number().int().min(1).max(10_000_000).default(8192),
    /** 0 is the most urgent. */
    priority: priority.default(5),
    enabled: z.boolean().default(true),
});

/** Columns of an organisation. */
export const organisationColumns = z.strictObject({
    /** SHA-256 of each API key as 64 hexadecimal digits. */
    apiKeyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(16).default([]),
    /** Weight under contention, relative to the other organisations of the same priority. */
    weight: z.number().min(0.01).max(1000).default(1),
    /** 0 is the most urgent. */
    priority: priority.default(5),
    requestsPerS: limit.default(100),
    maxConcurrent: limit.default(100),
    enabled: z.boolean().default(true),
});

/** Columns of a plain HTTP service. */
export const serviceColumns = z.strictObject({
    /** Prepended to the caller's path in requests to the backend server. */
    pathPrefix: z.string().regex(/^\/[\w\-./]*$/).default("/"),
    /** HTTP methods whose requests must run at most once per idempotency key. */
    nonIdempotent: z.array(z.enum(["POST", "PUT", "PATCH", "DELETE"])).default([
        "POST",
        "PUT",
        "PATCH",
        "DELETE",
    ]),
    timeoutMs: z.number().int().min(10).max(600_000).default(10_000),
    maxConcurrent: limit.default(100),
    enabled: z.boolean().default(true),
});

/** Columns of the row `setting/fleet`. */
export const settingColumns = z.strictObject({
    /** Weight of group downtime against stranded accelerators: 1 counts only downtime, 0 only stranded accelerators. */
    downtimeWeight: z.number().min(0).max(1).default(0.5),
});

/** Column schema of each row kind. */
export const columnsByKind = {
    [RowKind.Model]: modelColumns,
    [RowKind.Organisation]: organisationColumns,
    [RowKind.Service]: serviceColumns,
    [RowKind.Setting]: settingColumns,
} as const;

export type ModelColumns = z.infer<typeof modelColumns>;
export type OrganisationColumns = z.infer<typeof organisationColumns>;
export type ServiceColumns = z.infer<typeof serviceColumns>;
export type SettingColumns = z.infer<typeof settingColumns>;

export type Row<Columns> = { name: string; version: number; } & Columns;
export type ModelRow = Row<ModelColumns>;
export type OrganisationRow = Row<OrganisationColumns>;
export type ServiceRow = Row<ServiceColumns>;

/** Stored row with validated columns, defaults included. */
export interface StoredRow {
    kind: RowKind;
    name: string;
    /** Incremented by each edit of the row. */
    version: number;
    columns: Record<string, unknown>;
}
