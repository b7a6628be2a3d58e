import { monotonicMs, Random, sleep } from "@greengage/base";
import { Violations } from "@greengage/bench";
import { type EngineFleet, sharedPartsOf } from "../engine.ts";
import { LimitChecker } from "../requestlimits.ts";
import { SoakCallers } from "./callers.ts";
import { CONTACT_MS, DeadlyContents, runDeadlyRequests } from "./deadlycontents.ts";
import { runFaults } from "./faults.ts";
import { runLimits } from "./limits.ts";
import { SoakOperators } from "./operators.ts";
import { bounds, cutPaths, PathCutChecker, type PathCutOptions, runPathCuts } from "./pathcuts.ts";
import { MODEL_SIZES, type SoakDaemon, SoakSystem } from "./system.ts";

const CALLER_COUNT = 20;
const START_TIMEOUT_MS = 30_000;
/** Time after the last fault within which all entry daemons must serve again. */
const RECOVERY_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 200;
/** Time after the last fault in which no daemon is excused for a while from the checks of limits and deadly contents. */
const CALM_MS = CONTACT_MS + 4_000;
/** Covers the longest request of a caller. */
const END_TIMEOUT_MS = 10_000;

export interface SoakOptions {
    seed: number;
    durationS: number;
    /** Kinds of faults that are left out; only `pathCuts` can be. */
    without?: readonly string[];
    /** Called with the log lines of all processes. */
    onLine?: (source: string, line: string) => void;
    /** Called with the progress messages of the run. Default: they are printed. */
    onMessage?: (line: string) => void;
}

export interface SoakResult {
    seed: number;
    requests: number;
    configurations: number;
    faults: number;
    violations: number;
}

/** Runs the programs for the platform under the faults of a seed, and checks their guarantees from outside. */
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
    readonly #limitChecker: LimitChecker;
    readonly #pathCutChecker: PathCutChecker;
    readonly #callers: SoakCallers;
    readonly #system: SoakSystem;
    readonly #startedAtMs = monotonicMs();
    readonly #trafficAbort = new AbortController();
    #faultCount = 0;

    constructor(options: SoakOptions) {
        this.#options = options;
        this.#violations = new Violations((line) => this.#logMessage(line));
        const deadlyContents = new DeadlyContents(
            new Random(options.seed + 3),
            this.#violations,
            () => this.#system.isCalmFor(CONTACT_MS),
        );
        this.#limitChecker = new LimitChecker(
            (detail) => this.#violations.add("LIMIT", detail),
            () => !this.#system.isCalmFor(CONTACT_MS),
        );
        this.#pathCutChecker = new PathCutChecker(this.#violations);
        this.#callers = new SoakCallers(
            new Random(options.seed + 1),
            this.#violations,
            deadlyContents,
            this.#pathCutChecker,
        );
        const fleet: EngineFleet = {
            engines: new Map(),
            modelSizes: MODEL_SIZES,
            onRun: (engineId, message) => this.#callers.recordRun(engineId, message),
            onViolation: (rule, detail) => this.#violations.add(rule, detail),
            deadlyParts: deadlyContents.parts,
            deadlyPaths: deadlyContents.paths,
            onArrival: (engineId, message) => {
                deadlyContents.recordArrival(engineId, [message.url ?? "", ...sharedPartsOf(message)]);
                this.#limitChecker.recordArrival(engineId);
            },
            onCrash: (engine, culprit) => {
                deadlyContents.recordCrash(culprit);
                void this.#system.restartEngine(engine);
            },
        };
        this.#system = new SoakSystem({ fleet, deadlyContents, onLine: options.onLine });
    }

    async run(): Promise<SoakResult> {
        const { seed, durationS } = this.#options;
        await this.#system.start();
        const { controls, entries } = this.#system;
        const operators = new SoakOperators(controls, new Random(seed + 2), this.#violations);
        await this.#waitUntil("first configuration", START_TIMEOUT_MS, () => operators.replace());
        await this.#checkService("start", START_TIMEOUT_MS);
        const { signal } = this.#trafficAbort;
        const tasks = [
            ...Array.from({ length: CALLER_COUNT }, () => this.#callers.run(entries, signal)),
            operators.run(signal),
        ];
        const backgroundAbort = new AbortController();
        const background = [
            runLimits(this.#system, this.#limitChecker, new Random(seed + 4), backgroundAbort.signal),
            runDeadlyRequests(this.#system.deadlyContents, new Random(seed + 5), backgroundAbort.signal),
        ];
        const pathCuts = this.#pathCutOptions();
        const pathCutAbort = new AbortController();
        const cuts = this.#cutsPaths ? [runPathCuts(pathCuts, pathCutAbort.signal)] : [];
        await runFaults(this.#system, new Random(seed), durationS * 1_000, (kind, faultMs) => {
            this.#faultCount += 1;
            this.#logMessage(`${kind} for ${faultMs} ms`);
        });
        pathCutAbort.abort();
        await Promise.all(cuts);
        await sleep(CALM_MS);
        backgroundAbort.abort();
        await Promise.all(background);
        this.#logMessage("all faults have ended");
        await this.#checkService("recovery", RECOVERY_TIMEOUT_MS);
        if (this.#cutsPaths) {
            await cutPaths(pathCuts, bounds.calm);
        }
        this.#trafficAbort.abort();
        await Promise.race([Promise.all(tasks), sleep(END_TIMEOUT_MS)]);
        this.#pathCutChecker.check().forEach((line) => this.#logMessage(line));
        await Promise.all(
            controls.map((control) =>
                this.#waitUntil(
                    `configuration at ${control.name}`,
                    RECOVERY_TIMEOUT_MS,
                    () => operators.read(control),
                )
            ),
        );
        this.#logMessage(
            [...this.#callers.statusCounts].map(([key, count]) => `${key}: ${count}`).join(", "),
        );
        this.#logMessage(`violations: ${this.#violations.summary() || "none"}`);
        return {
            seed,
            requests: this.#callers.requestCount,
            configurations: operators.acknowledgedCount,
            faults: this.#faultCount,
            violations: this.#violations.count,
        };
    }

    get #cutsPaths(): boolean {
        return this.#options.without?.includes("pathCuts") !== true;
    }

    #pathCutOptions(): PathCutOptions {
        return {
            entries: this.#system.entries,
            checker: this.#pathCutChecker,
            random: new Random(this.#options.seed + 6),
            onCut: (description) => {
                this.#faultCount += 1;
                this.#logMessage(description);
            },
        };
    }

    async stop(): Promise<void> {
        this.#trafficAbort.abort();
        await this.#system.stop();
    }

    /** Waits until every entry daemon serves a stream and a payment. */
    async #checkService(phase: string, limitMs: number): Promise<void> {
        const startedAtMs = monotonicMs();
        await Promise.all(this.#system.entries.map((entry) => this.#checkEntry(phase, entry, limitMs)));
        this.#logMessage(`${phase} took ${Math.round(monotonicMs() - startedAtMs)} ms`);
    }

    async #checkEntry(phase: string, entry: SoakDaemon, limitMs: number): Promise<void> {
        await this.#waitUntil(
            `${phase}: a stream at ${entry.name}`,
            limitMs,
            () => this.#callers.stream(entry),
        );
        await this.#waitUntil(
            `${phase}: a payment at ${entry.name}`,
            limitMs,
            () => this.#callers.pay(entry),
        );
    }

    async #waitUntil(description: string, limitMs: number, attempt: () => Promise<boolean>): Promise<void> {
        const deadlineMs = monotonicMs() + limitMs;
        while (!await attempt()) {
            if (monotonicMs() > deadlineMs) {
                this.#violations.add("RECOVER", `no ${description} within ${limitMs} ms`);
                return;
            }
            await sleep(RETRY_INTERVAL_MS);
        }
    }

    #logMessage(text: string): void {
        const line = `${((monotonicMs() - this.#startedAtMs) / 1_000).toFixed(1)} s: ${text}`;
        (this.#options.onMessage ?? console.log)(line);
    }
}
