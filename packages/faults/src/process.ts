import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface ManagedProcessOptions {
    command: string;
    args: string[];
    /** Gets each line of standard output. Default: lines are dropped. */
    onLine?: (line: string) => void;
    /** Added to the environment. */
    environment?: Record<string, string>;
}

// A test process that ends early, on a signal or an error, leaves no child process behind.
const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach((child) => child.kill("SIGKILL")));

/** A child process that tests and measurements start, freeze and kill by its own id. */
export class ManagedProcess {
    readonly #child: ChildProcess;
    readonly exited: Promise<number>;

    constructor(options: ManagedProcessOptions) {
        this.#child = spawn(options.command, options.args, {
            stdio: ["ignore", "pipe", "inherit"],
            env: { ...process.env, ...options.environment },
        });
        running.add(this.#child);
        this.exited = new Promise((resolve) =>
            this.#child.once("exit", (code) => {
                running.delete(this.#child);
                resolve(code ?? 1);
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
