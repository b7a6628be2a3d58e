import { type ChildProcess, spawn } from "node:child_process";
import { createServer } from "node:net";
import { createInterface } from "node:readline";

export interface ManagedProcessOptions {
    command: string;
    args: string[];
    /** Gets each line of standard output. Default: lines are dropped. */
    onLine?: (line: string) => void;
}

/** A child process that tests and measurements start, freeze and kill by its own id. */
export class ManagedProcess {
    readonly #child: ChildProcess;
    readonly exited: Promise<number>;

    constructor(options: ManagedProcessOptions) {
        this.#child = spawn(options.command, options.args, { stdio: ["ignore", "pipe", "inherit"] });
        this.exited = new Promise((resolve) => this.#child.once("exit", (code) => resolve(code ?? 1)));
        if (this.#child.stdout) {
            createInterface({ input: this.#child.stdout }).on("line", (line) => options.onLine?.(line));
        }
    }

    get pid(): number {
        return this.#child.pid ?? 0;
    }

    get isRunning(): boolean {
        return this.#child.exitCode === null && this.#child.signalCode === null;
    }

    /** Asks the process to stop and waits for its end. */
    async stop(): Promise<void> {
        if (this.isRunning) {
            this.#child.kill("SIGTERM");
        }
        await this.exited;
    }

    async kill(): Promise<void> {
        if (this.isRunning) {
            this.#child.kill("SIGKILL");
        }
        await this.exited;
    }

    freeze(): void {
        this.#child.kill("SIGSTOP");
    }

    thaw(): void {
        this.#child.kill("SIGCONT");
    }
}

/** Ports on loopback that were free a moment ago. */
export const freePorts = async (count: number): Promise<number[]> => {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(
        servers.map((server) => new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))),
    );
    const ports = servers.map((server) => (server.address() as { port: number; }).port);
    await Promise.all(servers.map((server) => new Promise<void>((resolve) => server.close(() => resolve()))));
    return ports;
};
