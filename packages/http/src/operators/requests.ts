import { ErrorCode } from "@greengage/base";
import { z } from "zod";
import { notRunError, validateFields } from "../errors.ts";
import type { Hazard, OperatorRequest, OperatorResponse } from "./api.ts";

const editId = z.string().min(1).max(128);
const operator = z.string().min(1).max(64);
const reason = z.string().min(3).max(500);

/** Fields of every write that can be unsafe. */
const safety = {
    /** Returns what the write would do without doing it. */
    dryRun: z.boolean().default(false),
    /** Proceeds despite hazards. Requires a reason. */
    force: z.boolean().default(false),
    reason: reason.optional(),
};

const columns = z.record(z.string(), z.unknown());

export const editRequest = z.strictObject({
    editId,
    operator,
    changes: z.array(z.strictObject({
        kind: z.string(),
        name: z.string(),
        baseVersion: z.number().int().min(0),
        columns: columns.optional(),
    })).min(1).max(10_000),
    ...safety,
});

export const importRequest = z.strictObject({
    editId,
    operator,
    /** Rows as returned by `table/export`. The version defaults to the current one. */
    rows: z.array(z.strictObject({
        kind: z.string(),
        name: z.string(),
        version: z.number().int().min(0).optional(),
        columns,
    })).max(10_000),
    /** Whether to delete rows that are missing from the import. */
    replace: z.boolean().default(false),
    ...safety,
});

export const drainRequest = z.strictObject({
    target: z.enum(["vm", "daemon"]),
    id: z.string().min(1).max(200),
    operator,
    ...safety,
});

export const undrainRequest = z.strictObject({
    target: z.enum(["vm", "daemon"]),
    id: z.string().min(1).max(200),
    operator,
});

export const settleRequest = z.strictObject({
    organisation: z.string().min(1),
    key: z.string().min(1),
    outcome: z.enum(["ran", "notRun"]),
    operator,
    dryRun: safety.dryRun,
    force: safety.force,
    reason,
});

export type DrainRequest = z.infer<typeof drainRequest>;
export type UndrainRequest = z.infer<typeof undrainRequest>;

/** Validates the body of an operator request. Throws `bad-request`. */
export const parseBody = <T>(schema: z.ZodType<T>, request: OperatorRequest): T =>
    validateFields(schema, request.body, ErrorCode.BadRequest);

export const parseQuery = (request: OperatorRequest): URLSearchParams =>
    new URLSearchParams(request.path.split("?", 2)[1] ?? "");

/** Reads a whole number from the query. Throws `bad-request` for other values. */
export const parseWholeNumber = (query: URLSearchParams, name: string, defaultValue: number): number => {
    const text = query.get(name) ?? String(defaultValue);
    if (!/^\d{1,15}$/.test(text)) {
        throw notRunError(ErrorCode.BadRequest, `${name} must be a whole number, not "${text}"`);
    }
    return Number(text);
};

export const ok = (body: unknown): OperatorResponse => ({ status: 200, body });

/** Throws `unsafe` for a write with hazards that is not forced, and `bad-request` when force has no reason. */
export const requireSafe = (
    hazards: Hazard[],
    options: { force: boolean; reason?: string; },
): void => {
    if (hazards.length === 0) {
        return;
    }
    const details = hazards.map(({ detail }) => detail).join("; ");
    if (!options.force) {
        const message = `rejected as unsafe: ${details}. To proceed, send force with a reason`;
        throw notRunError(ErrorCode.Unsafe, message, { hazards });
    }
    if (options.reason === undefined) {
        throw notRunError(ErrorCode.BadRequest, `force requires a reason: ${details}`, { hazards });
    }
};
