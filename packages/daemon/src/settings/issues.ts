import type { z } from "zod";
import { settingsSchema } from "../settings.ts";
import { closestWord } from "./closestword.ts";
import type { KeyPath, SettingsSource } from "./source.ts";

type Issue = z.core.$ZodIssue;
type IssueOf<Code extends Issue["code"]> = Extract<Issue, { code: Code; }>;

const unitByOrigin: Record<string, string> = { string: " characters", array: " entries" };

const unitOf = (issue: { origin: string; }): string => unitByOrigin[issue.origin] ?? "";

/** Describes the allowed values, by issue code. */
const allowedByCode: { [Code in Issue["code"]]?: (issue: IssueOf<Code>) => string; } = {
    invalid_type: (issue) => `a value of type ${issue.expected}`,
    invalid_value: (issue) => `one of ${issue.values.map((value) => JSON.stringify(value)).join(", ")}`,
    too_small: (issue) => `at least ${issue.minimum}${unitOf(issue)}`,
    too_big: (issue) => `at most ${issue.maximum}${unitOf(issue)}`,
    invalid_format: (issue) => `a string of the form ${issue.pattern ?? issue.format}`,
};

const describeAllowed = (issue: Issue): string => {
    const handler = allowedByCode[issue.code] as ((issue: Issue) => string) | undefined;
    return handler?.(issue) ?? issue.message;
};

/** Keys that the schema allows at a path. */
const knownKeys = (keyPath: KeyPath): string[] => {
    let schema: unknown = settingsSchema;
    for (const segment of keyPath) {
        const unwrapped = unwrapSchema(schema);
        schema = typeof segment === "number"
            ? (unwrapped as z.ZodArray).element
            : (unwrapped as z.ZodObject).shape[segment];
    }
    const inner = unwrapSchema(schema) as Partial<z.ZodObject> & { keyType?: { options: string[]; }; };
    return inner.shape === undefined ? inner.keyType?.options ?? [] : Object.keys(inner.shape);
};

const unwrapSchema = (schema: unknown): unknown => {
    let inner = schema as { unwrap?: () => unknown; element?: unknown; };
    while (inner.unwrap !== undefined && inner.element === undefined) {
        inner = inner.unwrap() as typeof inner;
    }
    return inner;
};

const describeUnknownKeys = (issue: IssueOf<"unrecognized_keys">, source: SettingsSource): string[] => {
    const keyPath = issue.path as KeyPath;
    const known = knownKeys(keyPath);
    return issue.keys.map((key) => {
        const nearest = closestWord(key, known);
        const allowed = nearest === undefined
            ? `one of ${known.join(", ")}`
            : `"${nearest}" (the nearest known key)`;
        return source.describe([...keyPath, key], "an unknown key", allowed);
    });
};

/** Converts a schema issue to error lines. */
export const describeIssue = (issue: Issue, source: SettingsSource): string[] => {
    if (issue.code === "unrecognized_keys") {
        return describeUnknownKeys(issue, source);
    }
    const keyPath = issue.path as KeyPath;
    return [source.describe(keyPath, source.excerptOf(keyPath), describeAllowed(issue))];
};
