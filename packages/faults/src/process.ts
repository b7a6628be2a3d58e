import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface ManagedProcessOptions {
    command: string;
    args: string[];
    /** Called with each line of standard output. Default: output is discarded. */
    onLine?: (line: string) => void;
    /** Variables added to the environment of this process. */
    environment?: Record<string, string>;
}

// Children are killed on exit, so that a test process that ends early leaves none of them running.
const runningChildren = new Set<ChildProcess>();
process.once("exit", () => runningChildren.forEach((child) => child.kill("SIGKILL")));

/** A child process that tests and measurements can stop, kill, freeze and thaw. */
export class ManagedProcess {
    readonly #child: ChildProcess;
    readonly exited: Promise<number>;

    constructor(options: ManagedProcessOptions) {
        this.#child = spawn(options.command, options.args, {
            stdio: ["ignore", "pipe", "inherit"],
            env: { ...process.env, ...options.environment },
        });
        runningChildren.add(this.#child);
        this.exited = new Promise((resolve) =>
            this.#child.once("exit", (exitCode) => {
                runningChildren.delete(this.#child);
                resolve(exitCode ?? 1);
            })
        );
        if (this.#child.stdout) {
            createInterface({ input: this.#child.stdout }).on("line", (line) => options.onLine?.(line));
        }
    }

    get processId(): number {
        return this.#child.pid ?? 0;
    }

    get isRunning(): boolean {
        return (this.#child.exitCode ?? this.#child.signalCode ?? undefined) === undefined;
    }

    /** Sends SIGTERM and waits until the process has exited. */
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
