import { messageOf } from "@greengage/base";
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { type Settings, settingsSchema } from "../settings.ts";
import { settingsChecks } from "./checks.ts";
import { SettingsError } from "./error.ts";
import { describeIssue } from "./issues.ts";
import { SettingsSource } from "./source.ts";

const readText = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        throw new SettingsError([`${path}: the file can't be read: ${messageOf(error)}`]);
    }
};

/** Parses and validates settings in JSON with comments. Throws SettingsError with all problems found. */
export const parseSettings = (path: string, text: string): Settings => {
    const source = new SettingsSource(path, text);
    const result = settingsSchema.safeParse(parse(text, [], { allowTrailingComma: true }));
    if (!result.success) {
        throw new SettingsError(result.error.issues.flatMap((issue) => describeIssue(issue, source)));
    }
    const problems = settingsChecks.flatMap((check) => check(result.data));
    if (problems.length > 0) {
        throw new SettingsError(
            problems.map(({ keyPath, found, allowed }) => source.describe(keyPath, found, allowed)),
        );
    }
    return result.data;
};

/** Reads, parses and validates a settings file. Throws SettingsError. */
export const readSettings = (path: string): Settings => parseSettings(path, readText(path));
