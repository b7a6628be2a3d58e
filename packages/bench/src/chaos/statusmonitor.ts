import { monotonicMs, sleep } from "@greengage/base";
import { request } from "undici";
import { type Cluster, type DaemonHandle, OPERATOR_KEY } from "../cluster.ts";
import { MODELS, ZONES } from "./fleet.ts";
import type { Violations } from "./violations.ts";

const POLL_MS = 250;
const ANSWER_TIMEOUT_MS = 1_000;
/** A running daemon may lag by 3 s (`tableLagMs`); half a second for the reading under load. */
const TABLE_LAG_MS = 3_500;
const ACCELERATORS_PER_VM = 8;

interface GroupStatus {
    groupId: string;
    generation: number;
    model: string;
    zone: string;
    state: string;
    memberVmIds: string[];
}

export interface DaemonStatus {
    daemonId: string;
    zone: string;
    ready: boolean;
    isController: boolean;
    tableVersion: number;
    groups: GroupStatus[];
    invariants: Record<string, { checked: number; violated: number; }>;
}

/** Polls the status of all daemons: collects their invariants and adds up downtime as seen from outside. */
export class StatusMonitor {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #isHealthy: (vmId: string) => boolean;
    readonly #statuses = new Map<string, DaemonStatus>();
    /** Violations of each start of a daemon, by daemon and process id: they don't survive a restart. */
    readonly #violated = new Map<string, number>();
    /** Starts of daemons that served an older table than before: each counts once. */
    readonly #wentBack = new Set<string>();
    readonly #highestVersions = new Map<string, number>();
    readonly #checked = new Map<string, number>();
    /** Versions that the ready daemons of each zone have shown, ascending. */
    readonly #servedVersions = new Map<string, { version: number; atMs: number; }[]>();
    groupDowntimeS = 0;
    strandedAcceleratorS = 0;

    constructor(cluster: Cluster, violations: Violations, isHealthy: (vmId: string) => boolean) {
        this.#cluster = cluster;
        this.#violations = violations;
        this.#isHealthy = isHealthy;
    }

    async run(signal: AbortSignal): Promise<void> {
        let lastAtMs = monotonicMs();
        while (!signal.aborted) {
            await this.poll();
            const nowMs = monotonicMs();
            this.#addDowntime((nowMs - lastAtMs) / 1000);
            lastAtMs = nowMs;
            await sleep(POLL_MS, signal);
        }
    }

    /** Reads the status of every daemon; one that does not answer has none. */
    async poll(): Promise<DaemonStatus[]> {
        const read = await Promise.all(this.#cluster.daemons.map((daemon) => this.#read(daemon)));
        return read.filter((status) => status !== undefined);
    }

    async #read(daemon: DaemonHandle): Promise<DaemonStatus | undefined> {
        const { processId } = daemon.process;
        this.#statuses.delete(daemon.daemonId);
        try {
            const response = await request(`${daemon.directUrl}/operator/v1/status`, {
                headers: { authorization: `Bearer ${OPERATOR_KEY}` },
                signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
            });
            const status = await response.body.json() as DaemonStatus;
            this.#statuses.set(daemon.daemonId, status);
            this.#checkInvariants(status, processId);
            this.#checkVersion(status, processId);
            this.#checkZoneVersion(status, processId);
            this.#checkGroups(status);
            return status;
        }
        catch {
            return undefined;
        }
    }

    #checkInvariants(status: DaemonStatus, processId: number): void {
        for (const [invariant, { checked, violated }] of Object.entries(status.invariants)) {
            const key = `${status.daemonId} ${processId} ${invariant}`;
            this.#checked.set(key, checked);
            const before = this.#violated.get(key) ?? 0;
            this.#violated.set(key, violated);
            for (let count = before; count < violated; count += 1) {
                this.#violations.add(`asserted by a daemon: ${invariant}`, key);
            }
        }
    }

    #checkVersion({ daemonId, ready, tableVersion }: DaemonStatus, processId: number): void {
        if (!ready) {
            return;
        }
        const highest = this.#highestVersions.get(daemonId) ?? 0;
        const key = `${daemonId} ${processId}`;
        if (tableVersion < highest && !this.#wentBack.has(key)) {
            this.#wentBack.add(key);
            this.#violations.add(
                "P8 table went back",
                `${daemonId} serves version ${tableVersion} after ${highest}`,
            );
        }
        this.#highestVersions.set(daemonId, Math.max(highest, tableVersion));
    }

    /** A daemon that serves may lag behind what its zone has served, but not for longer than the bound. */
    #checkZoneVersion({ daemonId, zone, ready, tableVersion }: DaemonStatus, processId: number): void {
        if (!ready) {
            return;
        }
        const nowMs = monotonicMs();
        const served = this.#servedVersions.get(zone) ?? [];
        this.#servedVersions.set(zone, served);
        const settled = served.findLast(({ atMs }) => atMs < nowMs - TABLE_LAG_MS);
        const key = `${daemonId} ${processId} of ${zone}`;
        if (settled !== undefined && tableVersion < settled.version && !this.#wentBack.has(key)) {
            this.#wentBack.add(key);
            const lagMs = Math.round(nowMs - settled.atMs);
            const detail = `${daemonId} serves version ${tableVersion}, ${zone} served ${settled.version}`;
            this.#violations.add(
                "P8 daemon serves an older table than its zone",
                `${detail} ${lagMs} ms ago`,
            );
        }
        if (tableVersion > (served.at(-1)?.version ?? 0)) {
            served.push({ version: tableVersion, atMs: nowMs });
        }
    }

    /** How often each invariant was checked, over all daemons and starts. */
    checkCounts(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const [key, checked] of this.#checked) {
            const invariant = key.split(" ").at(-1) ?? "";
            counts.set(invariant, (counts.get(invariant) ?? 0) + checked);
        }
        return counts;
    }

    #checkGroups({ daemonId, zone, isController, groups }: DaemonStatus): void {
        if (!isController) {
            return;
        }
        const serving = groups.filter((group) => group.zone === zone && group.state === "serving");
        const members = serving.flatMap((group) => group.memberVmIds);
        if (new Set(members).size !== members.length) {
            this.#violations.add("P2 VM in two serving groups", `${daemonId}: ${JSON.stringify(serving)}`);
        }
    }

    /** Groups of a zone that serve, as its controller sees them; without one, as any daemon of the zone does. */
    #servingGroups(zone: string): GroupStatus[] {
        const own = [...this.#statuses.values()].filter((status) => status.zone === zone);
        const source = own.find((status) => status.isController) ?? own.find((status) => status.ready);
        return source?.groups.filter((group) => group.zone === zone && group.state === "serving") ?? [];
    }

    #addDowntime(seconds: number): void {
        const working = new Set<string>();
        for (const zone of Object.keys(ZONES)) {
            const serving = this.#servingGroups(zone);
            serving.flatMap((group) => group.memberVmIds).forEach((vmId) => working.add(vmId));
            const missing = Object.keys(MODELS).filter((model) =>
                !serving.some((group) => group.model === model)
            );
            this.groupDowntimeS += missing.length * seconds;
        }
        for (const { vmId, kind } of this.#cluster.managedBackends.values()) {
            if (kind === "model" && this.#isHealthy(vmId) && !working.has(vmId)) {
                this.strandedAcceleratorS += ACCELERATORS_PER_VM * seconds;
            }
        }
    }
}
