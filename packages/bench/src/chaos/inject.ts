import { sleep } from "@greengage/base";
import type { Cluster, DataFolderMode } from "../cluster.ts";
import type { FaultKind, PlannedFault } from "./plan.ts";

type EndFault = () => void | Promise<void>;

const GRACEFUL_STOP_LIMIT_MS = 20_000;
const DAEMON_FREEZE_LIMIT_MS = 8_000;

/** Applies planned faults to a cluster and ends each after its duration. */
export class FaultInjector {
    readonly #cluster: Cluster;
    readonly #faultedTargets = new Set<string>();
    readonly #frozenVmIds = new Set<string>();
    readonly #partitionEndsAtMs: number[] = [];
    #appliedCount = 0;

    readonly #handlers: Record<
        FaultKind,
        (targets: string[], durationMs: number) => Promise<EndFault> | EndFault
    > = {
        daemonKilled: ([id = ""]) => this.#killDaemon(id, "keep"),
        daemonStopped: ([id = ""]) => this.#stopDaemon(id),
        daemonFrozen: ([id = ""]) => this.#freezeDaemon(id),
        daemonIsolated: ([id = ""]) => this.#cluster.links.isolateDaemon(id),
        oneWayCut: ([from = "", to = ""]) => this.#cluster.links.faultPair(from, to, { mode: "hold" }),
        halfOpen: ([from = "", to = ""]) => this.#cluster.links.faultPair(from, to, { mode: "swallow" }),
        slowLink: ([from = "", to = ""]) =>
            this.#cluster.links.faultPair(from, to, { delayMs: 150, reorderMs: 150 }),
        zonePartitioned: ([zone = ""]) => this.#partitionZone(zone),
        zoneRestarted: ([zone = ""]) => this.#restartZone(zone),
        folderEmptied: ([id = ""]) => this.#killDaemon(id, "empty"),
        folderOlder: ([id = ""], durationMs) => this.#restoreOlderFolder(id, durationMs),
        domainDark: ([domain = ""]) => this.#freezeVms(this.#vmIdsOfDomain(domain)),
        vmKilled: ([vmId = ""]) => this.#killVm(vmId),
        vmFrozen: ([vmId = ""]) => this.#freezeVms([vmId]),
        vmLeaves: ([vmId = ""]) => this.#stopVm(vmId),
        vmUnreachable: ([vmId = ""]) => this.#cluster.links.faultBackend(vmId, { refuse: true }),
        vmReset: ([vmId = ""]) => this.#resetConnections(vmId),
        straggler: ([vmId = ""]) => this.#changeBehaviour(vmId, { slowdown: 8 }, { slowdown: 1 }),
        lateAnswers: ([vmId = ""]) => this.#changeBehaviour(vmId, { lateMs: 1_500 }, { lateMs: 0 }),
        lostAnswers: ([vmId = ""]) => this.#changeBehaviour(vmId, { lostShare: 0.5 }, { lostShare: 0 }),
        ledgerLosesAnswers: ([vmId = ""]) =>
            this.#changeBehaviour(vmId, { lostShare: 0.5 }, { lostShare: 0 }),
        reportsCut: ([id = ""]) => this.#cutReports(id),
    };

    constructor(cluster: Cluster) {
        this.#cluster = cluster;
    }

    /** Number of applied faults, without those skipped because another fault was active on a target. */
    get appliedCount(): number {
        return this.#appliedCount;
    }

    /** Wall-clock times at which partitions ended, comparable with the times in the stand-ins' records. */
    get partitionEndsAtMs(): readonly number[] {
        return this.#partitionEndsAtMs;
    }

    /** Whether a VM's process is running and not frozen. */
    isHealthy(vmId: string): boolean {
        return !this.#frozenVmIds.has(vmId)
            && this.#cluster.managedBackends.get(vmId)?.process.isRunning === true;
    }

    /** Executes a plan. Resolves when all faults have ended. */
    async run(plan: PlannedFault[], onFault: (fault: PlannedFault) => void): Promise<void> {
        const startedAtMs = performance.now();
        await Promise.all(plan.map(async (fault) => {
            await sleep(fault.atMs - (performance.now() - startedAtMs));
            await this.#apply(fault, onFault);
        }));
    }

    async #apply(fault: PlannedFault, onFault: (fault: PlannedFault) => void): Promise<void> {
        const { kind, targets } = fault;
        const keys = this.#affectedTargets(targets);
        if (keys.some((key) => this.#faultedTargets.has(key))) {
            return;
        }
        keys.forEach((key) => this.#faultedTargets.add(key));
        this.#appliedCount += 1;
        onFault(fault);
        const end = await this.#handlers[kind](targets, fault.durationMs);
        await sleep(
            kind === "daemonFrozen" ? Math.min(fault.durationMs, DAEMON_FREEZE_LIMIT_MS) : fault.durationMs,
        );
        await end();
        keys.forEach((key) => this.#faultedTargets.delete(key));
    }

    /** Targets that a fault affects. A target has one fault at a time, since overlapping ones would undo each other. */
    #affectedTargets(targets: string[]): string[] {
        return targets.flatMap((target) => [
            target,
            ...this.#vmIdsOfDomain(target),
            ...this.#cluster.daemons.filter(({ zone }) => zone === target).map(({ daemonId }) => daemonId),
        ]);
    }

    #vmIdsOfDomain(domain: string): string[] {
        return [...this.#cluster.managedBackends.values()].filter((vm) => vm.fabricDomain === domain)
            .map((vm) => vm.vmId);
    }

    async #killDaemon(id: string, dataFolder: DataFolderMode): Promise<EndFault> {
        await this.#cluster.killDaemon(id);
        return () => this.#cluster.restartDaemon(id, { dataFolder });
    }

    async #restoreOlderFolder(id: string, durationMs: number): Promise<EndFault> {
        this.#cluster.saveDataFolder(id);
        await sleep(durationMs);
        return this.#killDaemon(id, "older");
    }

    async #stopDaemon(id: string): Promise<EndFault> {
        const { process } = this.#cluster.daemon(id);
        await Promise.race([process.stop(), sleep(GRACEFUL_STOP_LIMIT_MS)]);
        return () => this.#cluster.restartDaemon(id);
    }

    #freezeDaemon(id: string): EndFault {
        this.#cluster.freezeDaemon(id);
        return () => this.#cluster.thawDaemon(id);
    }

    #partitionZone(zone: string): EndFault {
        const end = this.#cluster.partitionZone(zone);
        return () => {
            end();
            this.#partitionEndsAtMs.push(Date.now());
        };
    }

    async #restartZone(zone: string): Promise<EndFault> {
        const ids = this.#cluster.daemons.filter((daemon) => daemon.zone === zone).map((daemon) =>
            daemon.daemonId
        );
        const end = this.#partitionZone(zone);
        await Promise.all(ids.map((id) => this.#cluster.killDaemon(id)));
        await Promise.all(ids.map((id) => this.#cluster.restartDaemon(id)));
        return end;
    }

    #freezeVms(vmIds: string[]): EndFault {
        const frozen = vmIds.map((vmId) => [vmId, this.#cluster.managedBackends.get(vmId)] as const);
        for (const [vmId, vm] of frozen) {
            vm?.process.freeze();
            this.#frozenVmIds.add(vmId);
        }
        return () => {
            for (const [vmId, vm] of frozen) {
                vm?.process.thaw();
                this.#frozenVmIds.delete(vmId);
            }
        };
    }

    async #killVm(vmId: string): Promise<EndFault> {
        await this.#cluster.managedBackends.get(vmId)?.process.kill();
        return () => this.#cluster.restartBackend(vmId);
    }

    async #stopVm(vmId: string): Promise<EndFault> {
        const handle = this.#cluster.managedBackends.get(vmId);
        await Promise.race([handle?.process.stop(), sleep(GRACEFUL_STOP_LIMIT_MS)]);
        return () => this.#cluster.restartBackend(vmId);
    }

    #resetConnections(vmId: string): EndFault {
        this.#cluster.links.resetBackend(vmId);
        return () => undefined;
    }

    async #changeBehaviour(
        vmId: string,
        faultyBehaviour: object,
        normalBehaviour: object,
    ): Promise<EndFault> {
        await this.#cluster.controlBackend(vmId, faultyBehaviour).catch(() => undefined);
        return () => this.#cluster.controlBackend(vmId, normalBehaviour).catch(() => undefined);
    }

    #cutReports(id: string): EndFault {
        const { zone } = this.#cluster.daemon(id);
        return this.#cluster.links.faultReports(zone, id, { refuse: true });
    }
}
