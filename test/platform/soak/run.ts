import { monotonicMs, Random, sleep } from "@greengage/base";
import { Violations } from "@greengage/bench";
import type { EngineFleet } from "../engine.ts";
import { SoakCallers } from "./callers.ts";
import { runFaults } from "./faults.ts";
import { SoakOperators } from "./operators.ts";
import { MODEL_SIZES, type SoakDaemon, SoakSystem } from "./system.ts";

const CALLER_COUNT = 20;
const START_LIMIT_MS = 30_000;
/** All daemons must serve again this long after the last fault. */
const RECOVER_MS = 15_000;
const TRY_PAUSE_MS = 200;
/** A caller's longest request, and its answer. */
const END_LIMIT_MS = 10_000;

export interface SoakOptions {
    seed: number;
    durationS: number;
    /** Gets the log lines of all processes. */
    onLine?: (source: string, line: string) => void;
    /** Gets what the run reports. Default: it is printed. */
    onSay?: (line: string) => void;
}

export interface SoakResult {
    seed: number;
    requests: number;
    configurations: number;
    faults: number;
    violations: number;
}

/** Runs the processes of the platform under the faults of a seed, and checks the promises from outside. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
    const run = new SoakRun(options);
    try {
        return await run.run();
    }
    finally {
        await run.stop();
    }
};

class SoakRun {
    readonly #options: SoakOptions;
    readonly #violations: Violations;
    readonly #callers: SoakCallers;
    readonly #system: SoakSystem;
    readonly #startedAtMs = monotonicMs();
    readonly #load = new AbortController();
    #faultCount = 0;

    constructor(options: SoakOptions) {
        this.#options = options;
        this.#violations = new Violations((line) => this.#say(line));
        this.#callers = new SoakCallers(new Random(options.seed + 1), this.#violations);
        const fleet: EngineFleet = {
            engines: new Map(),
            modelSizes: MODEL_SIZES,
            onRun: (engineId, message) => this.#callers.noteRun(engineId, message),
            onViolation: (rule, detail) => this.#violations.add(rule, detail),
        };
        this.#system = new SoakSystem({ fleet, onLine: options.onLine });
    }

    async run(): Promise<SoakResult> {
        const { seed, durationS } = this.#options;
        await this.#system.start();
        const { controls, entries } = this.#system;
        const operators = new SoakOperators(controls, new Random(seed + 2), this.#violations);
        await this.#waitUntil("first configuration", START_LIMIT_MS, () => operators.replace());
        await this.#checkService("start", START_LIMIT_MS);
        const { signal } = this.#load;
        const tasks = [
            ...Array.from({ length: CALLER_COUNT }, () => this.#callers.run(entries, signal)),
            operators.run(signal),
        ];
        await runFaults(this.#system, new Random(seed), durationS * 1_000, (kind, faultMs) => {
            this.#faultCount += 1;
            this.#say(`${kind} for ${faultMs} ms`);
        });
        this.#say("all faults have ended");
        await this.#checkService("recovery", RECOVER_MS);
        this.#load.abort();
        await Promise.race([Promise.all(tasks), sleep(END_LIMIT_MS)]);
        await Promise.all(
            controls.map((control) =>
                this.#waitUntil(`configuration at ${control.name}`, RECOVER_MS, () => operators.read(control))
            ),
        );
        this.#say([...this.#callers.statusCounts].map(([key, count]) => `${key}: ${count}`).join(", "));
        this.#say(`violations: ${this.#violations.summary() || "none"}`);
        return {
            seed,
            requests: this.#callers.requestCount,
            configurations: operators.acknowledgedCount,
            faults: this.#faultCount,
            violations: this.#violations.count,
        };
    }

    async stop(): Promise<void> {
        this.#load.abort();
        await this.#system.stop();
    }

    /** Each entry daemon must stream and pay. */
    async #checkService(what: string, limitMs: number): Promise<void> {
        const startedAtMs = monotonicMs();
        await Promise.all(this.#system.entries.map((entry) => this.#checkEntry(what, entry, limitMs)));
        this.#say(`${what} took ${Math.round(monotonicMs() - startedAtMs)} ms`);
    }

    async #checkEntry(what: string, entry: SoakDaemon, limitMs: number): Promise<void> {
        await this.#waitUntil(
            `${what}: a stream at ${entry.name}`,
            limitMs,
            () => this.#callers.stream(entry),
        );
        await this.#waitUntil(`${what}: a payment at ${entry.name}`, limitMs, () => this.#callers.pay(entry));
    }

    async #waitUntil(what: string, limitMs: number, attempt: () => Promise<boolean>): Promise<void> {
        const untilMs = monotonicMs() + limitMs;
        while (!await attempt()) {
            if (monotonicMs() > untilMs) {
                this.#violations.add("RECOVER", `no ${what} within ${limitMs} ms`);
                return;
            }
            await sleep(TRY_PAUSE_MS);
        }
    }

    #say(text: string): void {
        const line = `${((monotonicMs() - this.#startedAtMs) / 1_000).toFixed(1)} s: ${text}`;
        (this.#options.onSay ?? console.log)(line);
    }
}
