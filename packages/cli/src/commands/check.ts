import { readSettings } from "@greengage/daemon";
import { defineCommand } from "citty";
import { jsonArg } from "../args.ts";
import { printJson } from "../output.ts";

export const checkCommand = defineCommand({
    meta: { name: "check", description: "Check a settings file without starting anything" },
    args: {
        settings: { type: "positional", description: "Settings file, JSON with comments", required: true },
        ...jsonArg,
    },
    run: ({ args }) => {
        const { daemonId, zone } = readSettings(args.settings);
        if (args.json) {
            printJson({ valid: true, daemonId, zone });
            return;
        }
        console.log(`${args.settings} is valid for daemon ${daemonId} in zone ${zone}`);
    },
});
