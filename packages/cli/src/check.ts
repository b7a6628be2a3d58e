import { readSettings } from "@greengage/daemon";
import { defineCommand } from "citty";

export const checkCommand = defineCommand({
    meta: { name: "check", description: "Check a settings file" },
    args: {
        settings: { type: "positional", description: "Settings file, JSON with comments", required: true },
    },
    run: ({ args }) => {
        const settings = readSettings(args.settings);
        console.log(`${args.settings} is valid for daemon ${settings.daemonId} of zone ${settings.zone}`);
    },
});
