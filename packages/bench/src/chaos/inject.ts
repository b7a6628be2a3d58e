import { sleep } from "@greengage/base";
import type { Cluster, DataFolderMode } from "../cluster.ts";
import type { FaultKind, PlannedFault } from "./plan.ts";

type End = () => void | Promise<void>;

const LEAVE_LIMIT_MS = 20_000;
const FREEZE_LIMIT_MS = 8_000;

/** Applies the faults of a plan to a cluster and ends each after its time. */
export class FaultInjector {
    readonly #cluster: Cluster;
    readonly #busy = new Set<string>();
    readonly #frozenVmIds = new Set<string>();
    readonly #partitionEndsAtMs: number[] = [];
    #applied = 0;

    readonly #handlers: Record<FaultKind, (targets: string[], durationMs: number) => Promise<End> | End> = {
        daemonKilled: ([id = ""]) => this.#replaceDaemon(id, "keep"),
        daemonStopped: ([id = ""]) => this.#stopDaemon(id),
        daemonFrozen: ([id = ""]) => this.#freezeDaemon(id),
        daemonIsolated: ([id = ""]) => this.#cluster.links.isolateDaemon(id),
        oneWayCut: ([from = "", to = ""]) => this.#cluster.links.faultPair(from, to, { mode: "hold" }),
        halfOpen: ([from = "", to = ""]) => this.#cluster.links.faultPair(from, to, { mode: "swallow" }),
        slowLink: ([from = "", to = ""]) =>
            this.#cluster.links.faultPair(from, to, { delayMs: 150, reorderMs: 150 }),
        zonePartitioned: ([zone = ""]) => this.#partition(zone),
        zoneRestarted: ([zone = ""]) => this.#restartZone(zone),
        folderEmptied: ([id = ""]) => this.#replaceDaemon(id, "empty"),
        folderOlder: ([id = ""], durationMs) => this.#returnOlder(id, durationMs),
        domainDark: ([domain = ""]) => this.#freezeVms(this.#vmsOf(domain)),
        vmKilled: ([vmId = ""]) => this.#killVm(vmId),
        vmFrozen: ([vmId = ""]) => this.#freezeVms([vmId]),
        vmLeaves: ([vmId = ""]) => this.#leave(vmId),
        vmUnreachable: ([vmId = ""]) => this.#cluster.links.faultBackend(vmId, { refuse: true }),
        vmReset: ([vmId = ""]) => this.#reset(vmId),
        straggler: ([vmId = ""]) => this.#misbehave(vmId, { slowdown: 8 }, { slowdown: 1 }),
        lateAnswers: ([vmId = ""]) => this.#misbehave(vmId, { lateMs: 1_500 }, { lateMs: 0 }),
        lostAnswers: ([vmId = ""]) => this.#misbehave(vmId, { lostShare: 0.5 }, { lostShare: 0 }),
        ledgerLosesAnswers: ([vmId = ""]) => this.#misbehave(vmId, { lostShare: 0.5 }, { lostShare: 0 }),
        reportsCut: ([id = ""]) => this.#cutReports(id),
    };

    constructor(cluster: Cluster) {
        this.#cluster = cluster;
    }

    /** Faults that were applied. One whose target was still under another process fault is left out. */
    get applied(): number {
        return this.#applied;
    }

    /** When partitions ended, in wall-clock time as the stand-ins record it. */
    get partitionEndsAtMs(): readonly number[] {
        return this.#partitionEndsAtMs;
    }

    /** Whether a VM's process runs and is not frozen. */
    isHealthy(vmId: string): boolean {
        return !this.#frozenVmIds.has(vmId)
            && this.#cluster.managedBackends.get(vmId)?.process.isRunning === true;
    }

    /** Runs a plan. Resolves when all faults have ended. */
    async run(plan: PlannedFault[], onFault: (fault: PlannedFault) => void): Promise<void> {
        const startedAtMs = performance.now();
        await Promise.all(plan.map(async (fault) => {
            await sleep(fault.atMs - (performance.now() - startedAtMs));
            await this.#apply(fault, onFault);
        }));
    }

    async #apply(fault: PlannedFault, onFault: (fault: PlannedFault) => void): Promise<void> {
        const { kind, targets } = fault;
        const keys = this.#busyKeys(targets);
        if (keys.some((key) => this.#busy.has(key))) {
            return;
        }
        keys.forEach((key) => this.#busy.add(key));
        this.#applied += 1;
        onFault(fault);
        const end = await this.#handlers[kind](targets, fault.durationMs);
        await sleep(kind === "daemonFrozen" ? Math.min(fault.durationMs, FREEZE_LIMIT_MS) : fault.durationMs);
        await end();
        keys.forEach((key) => this.#busy.delete(key));
    }

    /** Two faults of one process at once would undo each other, so a target has one at a time. */
    #busyKeys(targets: string[]): string[] {
        return targets.flatMap((target) => [
            target,
            ...this.#vmsOf(target),
            ...this.#cluster.daemons.filter(({ zone }) => zone === target).map(({ daemonId }) => daemonId),
        ]);
    }

    #vmsOf(domain: string): string[] {
        return [...this.#cluster.managedBackends.values()].filter((vm) => vm.fabricDomain === domain)
            .map((vm) => vm.vmId);
    }

    async #replaceDaemon(id: string, dataFolder: DataFolderMode): Promise<End> {
        await this.#cluster.killDaemon(id);
        return () => this.#cluster.restartDaemon(id, { dataFolder });
    }

    async #returnOlder(id: string, durationMs: number): Promise<End> {
        this.#cluster.saveDataFolder(id);
        await sleep(durationMs);
        return this.#replaceDaemon(id, "older");
    }

    async #stopDaemon(id: string): Promise<End> {
        const { process } = this.#cluster.daemon(id);
        await Promise.race([process.stop(), sleep(LEAVE_LIMIT_MS)]);
        return () => this.#cluster.restartDaemon(id);
    }

    #freezeDaemon(id: string): End {
        this.#cluster.freezeDaemon(id);
        return () => this.#cluster.thawDaemon(id);
    }

    #partition(zone: string): End {
        const end = this.#cluster.partitionZone(zone);
        return () => {
            end();
            this.#partitionEndsAtMs.push(Date.now());
        };
    }

    async #restartZone(zone: string): Promise<End> {
        const ids = this.#cluster.daemons.filter((daemon) => daemon.zone === zone).map((daemon) =>
            daemon.daemonId
        );
        const end = this.#partition(zone);
        await Promise.all(ids.map((id) => this.#cluster.killDaemon(id)));
        await Promise.all(ids.map((id) => this.#cluster.restartDaemon(id)));
        return end;
    }

    #freezeVms(vmIds: string[]): End {
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

    async #killVm(vmId: string): Promise<End> {
        await this.#cluster.managedBackends.get(vmId)?.process.kill();
        return () => this.#cluster.restartBackend(vmId);
    }

    async #leave(vmId: string): Promise<End> {
        const handle = this.#cluster.managedBackends.get(vmId);
        await Promise.race([handle?.process.stop(), sleep(LEAVE_LIMIT_MS)]);
        return () => this.#cluster.restartBackend(vmId);
    }

    #reset(vmId: string): End {
        this.#cluster.links.resetBackend(vmId);
        return () => undefined;
    }

    async #misbehave(vmId: string, behaviour: object, usual: object): Promise<End> {
        await this.#cluster.controlBackend(vmId, behaviour).catch(() => undefined);
        return () => this.#cluster.controlBackend(vmId, usual).catch(() => undefined);
    }

    #cutReports(id: string): End {
        const { zone } = this.#cluster.daemon(id);
        return this.#cluster.links.faultReports(zone, id, { refuse: true });
    }
}
