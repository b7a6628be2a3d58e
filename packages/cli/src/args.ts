import { newId } from "@greengage/base";
import { userInfo } from "node:os";
import { usageError } from "./exit.ts";

/** Arguments of the connection to a daemon. */
export const connectionArgs = {
    url: {
        type: "string",
        description: "URL of a daemon. Default: GREENGAGE_URL, or http://127.0.0.1:8080",
    },
    "key-file": {
        type: "string",
        description: "File with the operator key. Default: GREENGAGE_KEY_FILE, or the key in GREENGAGE_KEY",
    },
} as const;

export const jsonArg = { json: { type: "boolean", description: "Print JSON", default: false } } as const;

/** Arguments of every write that can be unsafe. */
export const safetyArgs = {
    "dry-run": { type: "boolean", description: "Show what would be done without doing it", default: false },
    force: {
        type: "boolean",
        description: "Proceed although it is unsafe; requires --reason",
        default: false,
    },
    reason: { type: "string", description: "Reason, recorded in the time line" },
} as const;

export const operatorArg = {
    operator: {
        type: "string",
        description:
            "Name recorded in the history. Default: GREENGAGE_OPERATOR, or the name of the current user",
    },
} as const;

export const editArgs = {
    "edit-id": {
        type: "string",
        description: "Id of the edit. After an unknown outcome, send the edit again with the same id",
    },
    wait: {
        type: "boolean",
        description: "Wait until the edit is in effect in all zones",
        negativeDescription: "Don't wait",
        default: true,
    },
} as const;

/** Time limit argument of commands that wait for completion. */
export const waitArg = (defaultS: number) =>
    ({
        "wait-s": { type: "string", description: "Maximum wait in seconds", default: String(defaultS) },
    }) as const;

interface SafetyOptions {
    dryRun: boolean;
    force: boolean;
    reason?: string;
}

export const parseSafety = (
    args: { "dry-run": boolean; force: boolean; reason?: string; },
): SafetyOptions => {
    if (args.force && args.reason === undefined) {
        throw usageError("--force requires --reason");
    }
    return { dryRun: args["dry-run"], force: args.force, reason: args.reason };
};

export const resolveOperator = (args: { operator?: string; }): string =>
    args.operator ?? process.env["GREENGAGE_OPERATOR"] ?? userInfo().username;

export const resolveEditId = (args: { "edit-id"?: string; }): string => args["edit-id"] ?? newId();

/** Parses the value of a flag as a whole number. Throws a usage error for other values. */
export const parseWholeNumber = (name: string, text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw usageError(`--${name} must be a whole number, not "${text}"`);
    }
    return Number(text);
};
