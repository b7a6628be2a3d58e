import type { TimelineEvent } from "@greengage/base";
import { defineCommand } from "citty";
import { connectionArgs, jsonArg, parseWholeNumber } from "../args.ts";
import { OperatorClient } from "../client.ts";
import { printJson, printNotice, printTable } from "../output.ts";

interface TimelineResponse {
    events: TimelineEvent[];
    unreachable: string[];
}

export const timelineCommand = defineCommand({
    meta: {
        name: "timeline",
        description: "Show the events of all daemons in causal order",
    },
    args: {
        limit: {
            type: "string",
            description: "Maximum number of events, the newest are shown",
            default: "50",
        },
        part: { type: "string", description: "Only events of this part, for example groups" },
        kind: { type: "string", description: "Only events whose kind has this prefix, for example group.s" },
        "since-s": { type: "string", description: "Only events of the last given number of seconds" },
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const query = new URLSearchParams({ limit: String(parseWholeNumber("limit", args.limit)) });
        const sinceS = args["since-s"];
        const filters = {
            part: args.part,
            kind: args.kind,
            sinceMs: sinceS && String(Date.now() - parseWholeNumber("since-s", sinceS) * 1_000),
        };
        for (const [name, value] of Object.entries(filters)) {
            if (value !== undefined) {
                query.set(name, value);
            }
        }
        const response = await new OperatorClient(args).get<TimelineResponse>(`timeline?${query}`);
        if (args.json) {
            printJson(response);
            return;
        }
        printTable(
            ["when", "daemon", "part", "event", "details"],
            response.events.map((event) => [
                `${new Date(event.at.wallMs).toISOString()}+${event.at.counter}`,
                event.daemonId,
                event.part,
                event.kind,
                JSON.stringify(event.details),
            ]),
        );
        if (response.unreachable.length > 0) {
            printNotice(`events of these daemons are missing: ${response.unreachable.join(", ")}`);
        }
    },
});
