import { monotonicMs, Random, sleep } from "@greengage/base";
import type { Cluster, DaemonHandle } from "../cluster.ts";
import { ActionCallers } from "./actions.ts";
import { ChatCallers } from "./callers.ts";
import { MODELS, startFleet, ZONES } from "./fleet.ts";
import { FaultInjector } from "./inject.ts";
import { Operators } from "./operators.ts";
import { type FaultTargets, planFaults } from "./plan.ts";
import { checkRecords } from "./records.ts";
import { type DaemonStatus, StatusMonitor } from "./statusmonitor.ts";
import { Violations } from "./violations.ts";

const CALLERS = 8;
const ACTION_CALLERS = 3;
const RECOVERY_LIMIT_MS = 60_000;
const IN_FORCE_BOUND_MS = 3_000;
/** Callers that got 429 or 503 try again after a second; a caller may also have disconnected on purpose. */
const SERVICE_LIMIT_MS = 10_000;
const SERVICE_RETRY_MS = 1_000;
const PRINTED_REFUSALS = 8;
const END_LIMIT_MS = 20_000;

export interface ChaosOptions {
    seed: number;
    durationS: number;
    /** Kinds of faults to leave out. Default: none. */
    without?: string[];
    /** Gets the log lines of all processes. */
    onLine?: (source: string, line: string) => void;
    /** Gets what the run reports. Default: it is printed. */
    onMessage?: (line: string) => void;
}

export interface ChaosResult {
    seed: number;
    requests: number;
    actions: number;
    faults: number;
    violations: number;
    groupDowntimeS: number;
    strandedAcceleratorS: number;
}

/** Runs real processes under the faults of a seed and checks every promise. Prints what it finds. */
export const runChaos = async (options: ChaosOptions): Promise<ChaosResult> => {
    const cluster = await startFleet(options.onLine);
    try {
        return await new ChaosRun(cluster, options).run();
    }
    finally {
        await cluster.stop();
    }
};

class ChaosRun {
    readonly #cluster: Cluster;
    readonly #options: ChaosOptions;
    readonly #print: (line: string) => void;
    readonly #violations: Violations;
    readonly #injector: FaultInjector;
    readonly #watch: StatusMonitor;
    readonly #callers: ChatCallers;
    readonly #actions: ActionCallers;
    readonly #operators: Operators;
    readonly #startedAtMs = monotonicMs();

    constructor(cluster: Cluster, options: ChaosOptions) {
        this.#cluster = cluster;
        this.#options = options;
        this.#print = options.onMessage ?? console.log;
        this.#violations = new Violations(this.#print);
        this.#injector = new FaultInjector(cluster);
        this.#watch = new StatusMonitor(cluster, this.#violations, (vmId) => this.#injector.isHealthy(vmId));
        this.#callers = new ChatCallers(cluster, this.#violations, new Random(options.seed + 1));
        this.#actions = new ActionCallers(cluster, this.#violations, new Random(options.seed + 2));
        this.#operators = new Operators(cluster, this.#violations, new Random(options.seed + 3));
    }

    async run(): Promise<ChaosResult> {
        const { seed, durationS, without } = this.#options;
        if (!await this.#recover("start")) {
            return this.#result();
        }
        const load = new AbortController();
        const watching = new AbortController();
        const tasks = [
            ...Array.from({ length: CALLERS }, () => this.#callers.run(load.signal)),
            ...Array.from({ length: ACTION_CALLERS }, () => this.#actions.run(load.signal)),
            this.#operators.run(load.signal),
        ];
        const watch = this.#watch.run(watching.signal);
        const plan = planFaults(seed, durationS * 1000, targetsOf(this.#cluster), without);
        await this.#injector.run(plan, ({ kind, targets, durationMs }) => {
            this.#log(`${kind} of ${targets.join(", ")} for ${durationMs} ms`);
        });
        this.#cluster.heal();
        this.#log("all faults have ended");
        const recovered = await this.#recover("recovery");
        load.abort();
        await Promise.race([Promise.all(tasks), sleep(END_LIMIT_MS)]);
        if (recovered) {
            await this.#checkService();
        }
        watching.abort();
        await watch;
        await this.#checkEnd();
        return this.#result();
    }

    /** Waits until all daemons are ready, all groups serve and all tables are equal. */
    async #recover(what: string): Promise<boolean> {
        const startedAtMs = monotonicMs();
        for (;;) {
            const statuses = await this.#watch.poll();
            const missing = missingOf(this.#cluster, statuses);
            if (missing === undefined) {
                this.#log(`${what} took ${Math.round(monotonicMs() - startedAtMs)} ms`);
                return true;
            }
            if (monotonicMs() - startedAtMs > RECOVERY_LIMIT_MS) {
                this.#violations.add(`no ${what} within ${RECOVERY_LIMIT_MS} ms`, missing);
                return false;
            }
            await sleep(200);
        }
    }

    /** After the recovery every daemon must serve, and an edit must be in effect everywhere in time. */
    async #checkService(): Promise<void> {
        await Promise.all(this.#cluster.daemons.map((daemon) => this.#checkDaemonServes(daemon)));
        const version = await this.#operators.edit();
        const acceptedAtMs = monotonicMs();
        if (version === undefined) {
            this.#violations.add("no edit after the recovery", "an edit was not accepted");
            return;
        }
        for (;;) {
            const statuses = await this.#watch.poll();
            const elapsedMs = Math.round(monotonicMs() - acceptedAtMs);
            const late = statuses.filter((status) => status.tableVersion < version);
            if (late.length === 0) {
                this.#log(`an edit was in effect on all daemons after ${elapsedMs} ms`);
                return;
            }
            if (elapsedMs > IN_FORCE_BOUND_MS) {
                const ids = late.map((status) => status.daemonId).join(", ");
                this.#violations.add("P8 edit not in effect in time", `${ids} after ${elapsedMs} ms`);
                return;
            }
            await sleep(20);
        }
    }

    async #checkDaemonServes(daemon: DaemonHandle): Promise<void> {
        const startedAtMs = monotonicMs();
        const statuses: number[] = [];
        while (monotonicMs() - startedAtMs < SERVICE_LIMIT_MS) {
            const { isWhole, status } = await this.#callers.chat(daemon);
            if (isWhole) {
                return;
            }
            statuses.push(status);
            await sleep(SERVICE_RETRY_MS);
        }
        this.#violations.add("no service after the recovery", `${daemon.daemonId}: ${statuses.join(", ")}`);
    }

    async #checkEnd(): Promise<void> {
        const records = this.#cluster.records();
        this.#actions.check(records);
        checkRecords(records, this.#violations, this.#injector.partitionEndsAtMs);
        const daemon = this.#cluster.daemons.find((candidate) => candidate.process.isRunning);
        if (daemon !== undefined) {
            await this.#operators.check(daemon).catch((error: unknown) => {
                this.#violations.add("no table at the end", String(error));
            });
        }
        this.#log(`chats: ${format(this.#callers.statusCounts)}`);
        for (const [refusal, where] of [...this.#callers.refusals].slice(0, PRINTED_REFUSALS)) {
            this.#log(`first refused with ${refusal} by ${where}`);
        }
        this.#log(`actions: ${format(this.#actions.answerCounts)}`);
        this.#log(`edits: ${format(this.#operators.answerCounts)}`);
        this.#log(`checks in the daemons: ${format(this.#watch.checkCounts())}`);
        this.#log(`violations: ${this.#violations.summary() || "none"}`);
    }

    #result(): ChaosResult {
        return {
            seed: this.#options.seed,
            requests: this.#callers.requests,
            actions: this.#actions.actions.length,
            faults: this.#injector.applied,
            violations: this.#violations.count,
            groupDowntimeS: Math.round(this.#watch.groupDowntimeS * 10) / 10,
            strandedAcceleratorS: Math.round(this.#watch.strandedAcceleratorS),
        };
    }

    #log(text: string): void {
        this.#print(`${((monotonicMs() - this.#startedAtMs) / 1000).toFixed(1)} s: ${text}`);
    }
}

const format = (counts: Map<string, number>): string =>
    [...counts].map(([name, count]) => `${name} ${count}`).join(", ");

const targetsOf = (cluster: Cluster): FaultTargets => {
    const backends = [...cluster.managedBackends.values()];
    const models = backends.filter(({ kind }) => kind === "model");
    return {
        daemonIds: cluster.daemons.map(({ daemonId }) => daemonId),
        voterIds: cluster.daemons.filter(({ voter }) => voter).map(({ daemonId }) => daemonId),
        zones: Object.keys(ZONES),
        domains: [...new Set(models.map(({ fabricDomain }) => fabricDomain))],
        vmIds: models.map(({ vmId }) => vmId),
        ledgerIds: backends.filter(({ kind }) => kind === "ledger").map(({ vmId }) => vmId),
    };
};

/** What keeps the fleet from full service, if anything does. */
const missingOf = (cluster: Cluster, statuses: DaemonStatus[]): string | undefined => {
    const silent = cluster.daemons.filter(({ daemonId }) =>
        !statuses.some((status) => status.daemonId === daemonId)
    );
    const problems = silent.map(({ daemonId }) => `${daemonId} does not answer`);
    const versions = new Set(statuses.map((status) => status.tableVersion));
    if (versions.size > 1) {
        problems.push(`table versions ${statuses.map((status) => status.tableVersion).join(", ")}`);
    }
    for (const { daemonId, ready, groups } of statuses) {
        if (!ready) {
            problems.push(`${daemonId} is not ready`);
        }
        for (const zone of Object.keys(ZONES)) {
            for (const model of Object.keys(MODELS)) {
                const serves = groups.some((group) =>
                    group.zone === zone && group.model === model && group.state === "serving"
                );
                problems.push(...(serves ? [] : [`${daemonId} sees no group of ${model} in ${zone}`]));
            }
        }
    }
    return problems.length === 0 ? undefined : problems.join("; ");
};
