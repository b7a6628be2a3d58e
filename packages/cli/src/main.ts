import { defineCommand, runMain } from "citty";
import { checkCommand } from "./check.ts";
import { serveCommand } from "./serve.ts";

const main = defineCommand({
    meta: {
        name: "greengage",
        version: "0.1.0",
        description: "Serving system for models that span several VMs",
    },
    subCommands: { serve: serveCommand, check: checkCommand },
});

void runMain(main);
