import { monotonicMs, Random, sleep } from "@greengage/base";
import type { Cluster, DaemonHandle } from "../cluster.ts";
import { ActionCallers } from "./actions.ts";
import { ChatCallers } from "./callers.ts";
import { DAEMONS_PER_ZONE, startFleet, VMS_PER_REPLICA } from "./fleet.ts";
import { FaultInjector } from "./inject.ts";
import { Operators } from "./operators.ts";
import { type FaultTargets, planFaults } from "./plan.ts";
import { checkRecords } from "./records.ts";
import { type DaemonStatus, StatusMonitor } from "./statusmonitor.ts";
import { Violations } from "./violations.ts";

const CHAT_CALLER_COUNT = 8;
const ACTION_CALLER_COUNT = 3;
const RECOVERY_LIMIT_MS = 60_000;
const EDIT_IN_EFFECT_LIMIT_MS = 3_000;
/** Allows for several retries, after a 429 or 503 or after an intentional disconnect of the caller. */
const SERVICE_LIMIT_MS = 10_000;
const SERVICE_RETRY_MS = 1_000;
const MAX_PRINTED_REFUSALS = 8;
const CALLERS_END_LIMIT_MS = 20_000;

export interface ChaosOptions {
    seed: number;
    durationS: number;
    /** Fault kinds to exclude. Default: none. */
    without?: string[];
    /** Receives the log lines of all processes. */
    onLine?: (source: string, line: string) => void;
    /** Receives progress and violation messages. Default: `console.log`. */
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

/** Runs a cluster of real processes under the faults planned from a seed and checks the invariants P1 to P8. */
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
    readonly #monitor: StatusMonitor;
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
        this.#monitor = new StatusMonitor(
            cluster,
            this.#violations,
            (vmId) => this.#injector.isHealthy(vmId),
        );
        this.#callers = new ChatCallers(cluster, this.#violations, new Random(options.seed + 1));
        this.#actions = new ActionCallers(cluster, this.#violations, new Random(options.seed + 2));
        this.#operators = new Operators(cluster, this.#violations, new Random(options.seed + 3));
    }

    async run(): Promise<ChaosResult> {
        const { seed, durationS, without } = this.#options;
        if (!await this.#waitForFullService("start")) {
            return this.#result();
        }
        const load = new AbortController();
        const monitoring = new AbortController();
        const callers = [
            ...Array.from({ length: CHAT_CALLER_COUNT }, () => this.#callers.run(load.signal)),
            ...Array.from({ length: ACTION_CALLER_COUNT }, () => this.#actions.run(load.signal)),
            this.#operators.run(load.signal),
        ];
        const monitorTask = this.#monitor.run(monitoring.signal);
        const plan = planFaults(seed, durationS * 1000, faultTargetsOf(this.#cluster), without);
        await this.#injector.run(plan, ({ kind, targets, durationMs }) => {
            this.#log(`fault ${kind} on ${targets.join(", ")} for ${durationMs} ms`);
        });
        this.#cluster.heal();
        this.#log("all faults have ended");
        const recovered = await this.#waitForFullService("recovery");
        load.abort();
        await Promise.race([Promise.all(callers), sleep(CALLERS_END_LIMIT_MS)]);
        if (recovered) {
            await this.#checkService();
        }
        monitoring.abort();
        await monitorTask;
        await this.#checkEnd();
        return this.#result();
    }

    /** Waits until all daemons are ready, all groups serve and all daemons have the same table version. */
    async #waitForFullService(phase: string): Promise<boolean> {
        const startedAtMs = monotonicMs();
        for (;;) {
            const statuses = await this.#monitor.poll();
            const problems = serviceProblems(this.#cluster, statuses);
            if (problems === undefined) {
                this.#log(`${phase} took ${Math.round(monotonicMs() - startedAtMs)} ms`);
                return true;
            }
            if (monotonicMs() - startedAtMs > RECOVERY_LIMIT_MS) {
                this.#violations.add(`${phase} not finished within ${RECOVERY_LIMIT_MS} ms`, problems);
                return false;
            }
            await sleep(200);
        }
    }

    /** Checks that every daemon serves after the recovery and that an edit takes effect everywhere in time. */
    async #checkService(): Promise<void> {
        await Promise.all(this.#cluster.daemons.map((daemon) => this.#checkDaemonServes(daemon)));
        const version = await this.#operators.edit();
        const acceptedAtMs = monotonicMs();
        if (version === undefined) {
            this.#violations.add("no accepted edit after the recovery", "the edit was not accepted");
            return;
        }
        for (;;) {
            const statuses = await this.#monitor.poll();
            const elapsedMs = Math.round(monotonicMs() - acceptedAtMs);
            const lagging = statuses.filter((status) => status.tableVersion < version);
            if (lagging.length === 0) {
                this.#log(`edit in effect on all daemons after ${elapsedMs} ms`);
                return;
            }
            if (elapsedMs > EDIT_IN_EFFECT_LIMIT_MS) {
                const ids = lagging.map((status) => status.daemonId).join(", ");
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
            const { isComplete, status } = await this.#callers.chat(daemon);
            if (isComplete) {
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
                this.#violations.add("table check failed at the end", String(error));
            });
        }
        this.#log(`chats: ${formatCounts(this.#callers.statusCounts)}`);
        for (const [refusal, where] of [...this.#callers.refusals].slice(0, MAX_PRINTED_REFUSALS)) {
            this.#log(`first refusal with ${refusal}: ${where}`);
        }
        this.#log(`actions: ${formatCounts(this.#actions.answerCounts)}`);
        this.#log(`edits: ${formatCounts(this.#operators.answerCounts)}`);
        this.#log(`invariant checks in the daemons: ${formatCounts(this.#monitor.checkCounts())}`);
        this.#log(`violations: ${this.#violations.summary() || "none"}`);
    }

    #result(): ChaosResult {
        return {
            seed: this.#options.seed,
            requests: this.#callers.requests,
            actions: this.#actions.actions.length,
            faults: this.#injector.appliedCount,
            violations: this.#violations.count,
            groupDowntimeS: Math.round(this.#monitor.groupDowntimeS * 10) / 10,
            strandedAcceleratorS: Math.round(this.#monitor.strandedAcceleratorS),
        };
    }

    #log(text: string): void {
        this.#print(`${((monotonicMs() - this.#startedAtMs) / 1000).toFixed(1)} s: ${text}`);
    }
}

const formatCounts = (counts: Map<string, number>): string =>
    [...counts].map(([name, count]) => `${name} ${count}`).join(", ");

const faultTargetsOf = (cluster: Cluster): FaultTargets => {
    const backends = [...cluster.managedBackends.values()];
    const models = backends.filter(({ kind }) => kind === "model");
    return {
        daemonIds: cluster.daemons.map(({ daemonId }) => daemonId),
        voterIds: cluster.daemons.filter(({ voter }) => voter).map(({ daemonId }) => daemonId),
        zones: Object.keys(DAEMONS_PER_ZONE),
        domains: [...new Set(models.map(({ fabricDomain }) => fabricDomain))],
        vmIds: models.map(({ vmId }) => vmId),
        ledgerIds: backends.filter(({ kind }) => kind === "ledger").map(({ vmId }) => vmId),
    };
};

/** Problems that keep the fleet from full service, or undefined if there are none. */
const serviceProblems = (cluster: Cluster, statuses: DaemonStatus[]): string | undefined => {
    const unreachable = cluster.daemons.filter(({ daemonId }) =>
        !statuses.some((status) => status.daemonId === daemonId)
    );
    const problems = unreachable.map(({ daemonId }) => `${daemonId} does not respond`);
    const versions = new Set(statuses.map((status) => status.tableVersion));
    if (versions.size > 1) {
        problems.push(`table versions ${statuses.map((status) => status.tableVersion).join(", ")}`);
    }
    for (const { daemonId, ready, groups } of statuses) {
        if (!ready) {
            problems.push(`${daemonId} is not ready`);
        }
        for (const zone of Object.keys(DAEMONS_PER_ZONE)) {
            for (const model of Object.keys(VMS_PER_REPLICA)) {
                const serves = groups.some((group) =>
                    group.zone === zone && group.model === model && group.state === "serving"
                );
                problems.push(
                    ...(serves ? [] : [`${daemonId} sees no serving group of ${model} in ${zone}`]),
                );
            }
        }
    }
    return problems.length === 0 ? undefined : problems.join("; ");
};
