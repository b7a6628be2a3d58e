import { type ErrorCode, GreengageError, type GreengageErrorOptions, Verdict } from "@greengage/base";
import type { z } from "zod";

/** Error with additional members in its problem document, for example the hazards of a rejected edit. */
export class DetailedError extends GreengageError {
    readonly members: Record<string, unknown>;

    constructor(message: string, options: GreengageErrorOptions, members: Record<string, unknown>) {
        super(message, options);
        this.members = members;
    }
}

/** Creates an error for a request that had no effect. */
export const notRunError = (
    code: ErrorCode,
    message: string,
    members: Record<string, unknown> = {},
): DetailedError => new DetailedError(message, { code, verdict: Verdict.NotRun }, members);

/** Validates a value against a schema. Throws an error that names every invalid field. */
export const validateFields = <T>(schema: z.ZodType<T>, value: unknown, code: ErrorCode): T => {
    const result = schema.safeParse(value);
    if (result.success) {
        return result.data;
    }
    const fields = result.error.issues.map((issue) => ({
        field: issue.path.join(".") || "(body)",
        reason: issue.message,
    }));
    const message = fields.map(({ field, reason }) => `${field}: ${reason}`).join("; ");
    throw notRunError(code, message, { fields });
};
