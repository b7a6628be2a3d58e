import type { Hazard, UnknownAction } from "@greengage/http";
import { defineCommand } from "citty";
import { connectionArgs, jsonArg, operatorArg, parseSafety, resolveOperator, safetyArgs } from "../args.ts";
import { OperatorClient } from "../client.ts";
import { usageError } from "../exit.ts";
import { printHazards, printJson, printTable } from "../output.ts";

const listCommand = defineCommand({
    meta: { name: "list", description: "Show actions whose outcome is unknown" },
    args: { ...connectionArgs, ...jsonArg },
    run: async ({ args }) => {
        const { actions } = await new OperatorClient(args).get<{ actions: UnknownAction[]; }>("actions");
        if (args.json) {
            printJson({ actions });
            return;
        }
        printTable(
            ["organisation", "key", "service", "daemon", "when"],
            actions.map((action) => [
                action.organisation,
                action.key,
                action.service,
                action.daemonId,
                new Date(action.atMs).toISOString(),
            ]),
        );
    },
});

interface SettleResponse {
    dryRun?: boolean;
    result?: string;
    hazards?: Hazard[];
}

const settleCommand = defineCommand({
    meta: {
        name: "settle",
        description: "Record the outcome of an action, after asking the service's owner",
    },
    args: {
        organisation: { type: "positional", description: "Organisation of the action", required: true },
        key: { type: "positional", description: "Idempotency key of the action", required: true },
        outcome: {
            type: "enum",
            options: ["ran", "notRun"],
            description: "Outcome of the action",
            required: true,
        },
        ...operatorArg,
        ...safetyArgs,
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        if (args.reason === undefined) {
            throw usageError("settle requires --reason");
        }
        const { organisation, key, outcome } = args;
        const body = { organisation, key, outcome, operator: resolveOperator(args), ...parseSafety(args) };
        const response = await new OperatorClient(args).post<SettleResponse>("actions/settle", body);
        if (args.json) {
            printJson(response);
            return;
        }
        console.log(response.result ?? `would settle ${organisation} ${key} as ${outcome}`);
        printHazards(response.hazards ?? []);
    },
});

export const actionsCommand = defineCommand({
    meta: { name: "actions", description: "Show and settle actions whose outcome is unknown" },
    subCommands: { list: listCommand, settle: settleCommand },
});
