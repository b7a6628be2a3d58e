import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** Takes addresses without accepting connections: new ones hang, as when the network drops all packets. */
export class SilentListener {
    readonly #child = fork(fileURLToPath(new URL("./silentlistenerprocess.ts", import.meta.url)), {
        execArgv: ["--import=tsx"],
    });
    readonly #killOnExit = (): void => void this.#child.kill("SIGKILL");

    /** Waits until the process can listen. */
    async start(): Promise<void> {
        process.once("exit", this.#killOnExit);
        await once(this.#child, "message");
    }

    /** Listens at addresses that are free. */
    async listen(addresses: readonly { host: string; port: number; }[]): Promise<void> {
        const listening = once(this.#child, "message");
        this.#child.send(addresses);
        await listening;
    }

    /** Frees the addresses. Connections that were opened meanwhile are reset. */
    async stop(): Promise<void> {
        const stopped = once(this.#child, "message");
        this.#child.kill("SIGCONT");
        await stopped;
    }

    async close(): Promise<void> {
        process.off("exit", this.#killOnExit);
        if (this.#child.exitCode === null && this.#child.signalCode === null) {
            const exited = once(this.#child, "exit");
            this.#child.kill("SIGKILL");
            await exited;
        }
    }
}
