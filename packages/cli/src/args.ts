import { newId } from "@greengage/base";
import { userInfo } from "node:os";
import { usageError } from "./exit.ts";

/** Which daemon to talk to, and with which key. */
export const connectionArgs = {
    url: {
        type: "string",
        description: "URL of a daemon. Default: GREENGAGE_URL, or http://127.0.0.1:8080",
    },
    "key-file": {
        type: "string",
        description: "File with the operators' key. Default: GREENGAGE_KEY_FILE, or the key in GREENGAGE_KEY",
    },
} as const;

export const jsonArg = { json: { type: "boolean", description: "Print JSON", default: false } } as const;

/** Arguments of each write that can harm. */
export const safetyArgs = {
    "dry-run": { type: "boolean", description: "Only say what would be done", default: false },
    force: { type: "boolean", description: "Go on although it is unsafe; needs --reason", default: false },
    reason: { type: "string", description: "Why, for the time line" },
} as const;

export const operatorArg = {
    operator: {
        type: "string",
        description: "Name for the history. Default: GREENGAGE_OPERATOR, or the user's name",
    },
} as const;

export const editArgs = {
    "edit-id": {
        type: "string",
        description: "Id of the edit. Send it again with the same id after an unknown outcome",
    },
    wait: {
        type: "boolean",
        description: "Wait until it is in effect everywhere",
        negativeDescription: "Don't wait",
        default: true,
    },
} as const;

/** Time limit of commands that wait for progress. */
export const waitArg = (defaultS: number) =>
    ({
        "wait-s": { type: "string", description: "Longest wait in seconds", default: String(defaultS) },
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
        throw usageError("--force needs --reason");
    }
    return { dryRun: args["dry-run"], force: args.force, reason: args.reason };
};

export const resolveOperator = (args: { operator?: string; }): string =>
    args.operator ?? process.env["GREENGAGE_OPERATOR"] ?? userInfo().username;

export const resolveEditId = (args: { "edit-id"?: string; }): string => args["edit-id"] ?? newId();

/** A whole number of a flag. Throws a usage error. */
export const parseWholeNumber = (name: string, text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw usageError(`--${name} must be a whole number, it is "${text}"`);
    }
    return Number(text);
};
