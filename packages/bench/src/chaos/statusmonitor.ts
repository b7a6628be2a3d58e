import { monotonicMs, sleep } from "@greengage/base";
import { request } from "undici";
import { type Cluster, type DaemonHandle, OPERATOR_KEY } from "../cluster.ts";
import { DAEMONS_PER_ZONE, VMS_PER_REPLICA } from "./fleet.ts";
import type { Violations } from "./violations.ts";

const POLL_MS = 250;
const ANSWER_TIMEOUT_MS = 1_000;
/** A running daemon may lag by 3 s (`tableLagMs`); polling under load may add half a second. */
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

/** Polls the status of all daemons, checks invariants and versions, and sums downtime as seen from outside. */
export class StatusMonitor {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #isHealthy: (vmId: string) => boolean;
    readonly #statuses = new Map<string, DaemonStatus>();
    /** Violation counts by daemon, process id and invariant: each process counts from 0. */
    readonly #violatedCounts = new Map<string, number>();
    /** Daemon processes already reported for serving an outdated table, so that each is counted once per check. */
    readonly #reportedOutdated = new Set<string>();
    readonly #highestVersions = new Map<string, number>();
    readonly #checkedCounts = new Map<string, number>();
    /** Table versions that ready daemons of each zone have served, in ascending order. */
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

    /** Reads the status of every daemon and omits daemons that do not answer. */
    async poll(): Promise<DaemonStatus[]> {
        const read = await Promise.all(this.#cluster.daemons.map((daemon) => this.#readStatus(daemon)));
        return read.filter((status) => status !== undefined);
    }

    async #readStatus(daemon: DaemonHandle): Promise<DaemonStatus | undefined> {
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
            this.#checkMonotonicVersion(status, processId);
            this.#checkZoneLag(status, processId);
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
            this.#checkedCounts.set(key, checked);
            const before = this.#violatedCounts.get(key) ?? 0;
            this.#violatedCounts.set(key, violated);
            for (let count = before; count < violated; count += 1) {
                this.#violations.add(`reported by a daemon: ${invariant}`, key);
            }
        }
    }

    #checkMonotonicVersion({ daemonId, ready, tableVersion }: DaemonStatus, processId: number): void {
        if (!ready) {
            return;
        }
        const highest = this.#highestVersions.get(daemonId) ?? 0;
        const key = `${daemonId} ${processId}`;
        if (tableVersion < highest && !this.#reportedOutdated.has(key)) {
            this.#reportedOutdated.add(key);
            this.#violations.add(
                "P8 table version decreased",
                `${daemonId} serves version ${tableVersion} after ${highest}`,
            );
        }
        this.#highestVersions.set(daemonId, Math.max(highest, tableVersion));
    }

    /** A ready daemon may lag behind the versions that its zone has served by at most `TABLE_LAG_MS`. */
    #checkZoneLag({ daemonId, zone, ready, tableVersion }: DaemonStatus, processId: number): void {
        if (!ready) {
            return;
        }
        const nowMs = monotonicMs();
        const served = this.#servedVersions.get(zone) ?? [];
        this.#servedVersions.set(zone, served);
        const required = served.findLast(({ atMs }) => atMs < nowMs - TABLE_LAG_MS);
        const key = `${daemonId} ${processId} of ${zone}`;
        if (required !== undefined && tableVersion < required.version && !this.#reportedOutdated.has(key)) {
            this.#reportedOutdated.add(key);
            const lagMs = Math.round(nowMs - required.atMs);
            const detail = `${daemonId} serves version ${tableVersion}, ${zone} served ${required.version}`;
            this.#violations.add(
                "P8 daemon serves an older table than its zone",
                `${detail} ${lagMs} ms ago`,
            );
        }
        if (tableVersion > (served.at(-1)?.version ?? 0)) {
            served.push({ version: tableVersion, atMs: nowMs });
        }
    }

    /** Number of checks by invariant, over all daemons and restarts. */
    checkCounts(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const [key, checked] of this.#checkedCounts) {
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

    /** Serving groups of a zone as seen by its controller or, without one, by any ready daemon of the zone. */
    #servingGroups(zone: string): GroupStatus[] {
        const zoneStatuses = [...this.#statuses.values()].filter((status) => status.zone === zone);
        const source = zoneStatuses.find((status) => status.isController)
            ?? zoneStatuses.find((status) => status.ready);
        return source?.groups.filter((group) => group.zone === zone && group.state === "serving") ?? [];
    }

    #addDowntime(seconds: number): void {
        const servingVmIds = new Set<string>();
        for (const zone of Object.keys(DAEMONS_PER_ZONE)) {
            const serving = this.#servingGroups(zone);
            serving.flatMap((group) => group.memberVmIds).forEach((vmId) => servingVmIds.add(vmId));
            const missing = Object.keys(VMS_PER_REPLICA).filter((model) =>
                !serving.some((group) => group.model === model)
            );
            this.groupDowntimeS += missing.length * seconds;
        }
        for (const { vmId, kind } of this.#cluster.managedBackends.values()) {
            if (kind === "model" && this.#isHealthy(vmId) && !servingVmIds.has(vmId)) {
                this.strandedAcceleratorS += ACCELERATORS_PER_VM * seconds;
            }
        }
    }
}
