import { messageOf } from "@greengage/base";
import { Daemon, readSettings } from "@greengage/daemon";
import { defineCommand } from "citty";
import { ExitCode } from "../exit.ts";
import { printNotice } from "../output.ts";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Drains on the first signal. The second signal exits immediately and aborts requests in flight. */
const stopOnSignal = (daemon: Daemon): void => {
    let isStopping = false;
    const stop = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            printNotice(`greengage: second signal (${signal}), stopping immediately`);
            process.exit(ExitCode.Failed);
        }
        isStopping = true;
        daemon.stop().then(
            (isFinished) => process.exit(isFinished ? ExitCode.Success : ExitCode.Failed),
            (error: unknown) => {
                printNotice(`greengage: ${messageOf(error)}`);
                process.exit(ExitCode.Failed);
            },
        );
    };
    for (const signal of SIGNALS) {
        process.on(signal, stop);
    }
};

export const serveCommand = defineCommand({
    meta: { name: "serve", description: "Run the daemon of an entry VM" },
    args: {
        settings: { type: "positional", description: "Settings file, JSON with comments", required: true },
    },
    run: async ({ args }) => {
        const daemon = new Daemon(readSettings(args.settings));
        stopOnSignal(daemon);
        await daemon.start();
    },
});
