import { VERSION } from "@greengage/daemon";
import { defineCommand } from "citty";
import { actionsCommand } from "./commands/actions.ts";
import { checkCommand } from "./commands/check.ts";
import { drainCommand, undrainCommand } from "./commands/drain.ts";
import { groupsCommand } from "./commands/groups.ts";
import { serveCommand } from "./commands/serve.ts";
import { statusCommand } from "./commands/status.ts";
import { tableCommand } from "./commands/table.ts";
import { timelineCommand } from "./commands/timeline.ts";
import { runProgram } from "./program.ts";

const main = defineCommand({
    meta: {
        name: "greengage",
        version: VERSION,
        description: "Serving system for models that span several VMs",
    },
    subCommands: {
        serve: serveCommand,
        check: checkCommand,
        status: statusCommand,
        table: tableCommand,
        groups: groupsCommand,
        actions: actionsCommand,
        drain: drainCommand,
        undrain: undrainCommand,
        timeline: timelineCommand,
    },
});

const run = async (): Promise<void> => {
    const rawArgs = process.argv.slice(2);
    if (rawArgs.length === 1 && rawArgs[0] === "--version") {
        console.log(VERSION);
        return;
    }
    process.exitCode = await runProgram(main, rawArgs);
};

void run();
