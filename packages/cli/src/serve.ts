import { Daemon, readSettings } from "@greengage/daemon";
import { defineCommand } from "citty";

export const serveCommand = defineCommand({
    meta: { name: "serve", description: "Run the daemon of an entry VM" },
    args: {
        settings: { type: "positional", description: "Settings file, JSON with comments", required: true },
    },
    run: async ({ args }) => {
        const daemon = new Daemon(readSettings(args.settings));
        await daemon.start();
        const stop = (): void => {
            void daemon.close().then(() => process.exit(0));
        };
        process.once("SIGTERM", stop);
        process.once("SIGINT", stop);
    },
});
