import { type Context, Lifecycle, type Log, LogPart, messageOf, monotonicMs, newId } from "@greengage/base";
import {
    AssignmentState,
    BackendKind,
    type Calls,
    type Grant,
    GroupState,
    type GroupView,
    type Peers,
    type ServiceView,
    type VmReport,
} from "@greengage/protocol";
import type { ModelRow, TableState } from "@greengage/table";
import type { ZoneLease } from "./lease.ts";
import type { OrderSender } from "./orders.ts";
import type { HeldReport } from "./reports.ts";
import type { MembershipTiming } from "./timing.ts";

const CONTROL_PERIOD_MS = 200;

interface Group {
    groupId: string;
    generation: number;
    model: string;
    fabricDomain: string;
    memberVmIds: string[];
    state: GroupState;
}

export interface ZoneControllerOptions {
    context: Context;
    peers: Peers;
    table: TableState;
    timing: MembershipTiming;
    orders: OrderSender;
    lease: () => ZoneLease;
    zoneDaemonIds: string[];
}

/** Forms, loads, suspends and dissolves the replica groups of a zone while this daemon holds the zone's lease. */
export class ZoneController {
    readonly #options: ZoneControllerOptions;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #reports = new Map<string, HeldReport>();
    readonly #groups = new Map<string, Group>();
    readonly #renewals = new Map<string, number>();
    #isActive = false;
    #viewVersion = 0;
    #tableFloor = 0;

    constructor(options: ZoneControllerOptions) {
        this.#options = options;
        this.#log = options.context.logs(LogPart.Groups);
        options.peers.handle("report.batch", (request) => this.#takeBatch(request));
        options.peers.handle("grant.renew", (request) => this.#renewGrant(request));
    }

    start(): void {
        this.#lifecycle.every(
            CONTROL_PERIOD_MS,
            () => this.#control(),
            (error) => this.#log.warn("control step failed", { reason: messageOf(error) }),
        );
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    get tableFloor(): number {
        return this.#tableFloor;
    }

    raiseTableFloor(version: number): void {
        this.#tableFloor = Math.max(this.#tableFloor, version);
    }

    /** Takes over the zone: collects the held reports and adopts the groups they name. */
    async activate(): Promise<void> {
        this.#reports.clear();
        this.#groups.clear();
        const { peers, zoneDaemonIds, context } = this.#options;
        const answers = await Promise.all(
            zoneDaemonIds.map((id) =>
                peers.call(id, "report.held", { zone: context.zone }, { timeoutMs: 500 }).catch(() =>
                    undefined
                )
            ),
        );
        for (const answer of answers) {
            for (const { report, ageMs } of answer?.reports ?? []) {
                this.#takeReport(report, ageMs);
            }
            this.raiseTableFloor(answer?.tableVersion ?? 0);
        }
        this.#adoptGroups();
        this.#isActive = true;
    }

    deactivate(): void {
        this.#isActive = false;
    }

    #takeBatch(request: Calls["report.batch"]["request"]): Calls["report.batch"]["response"] {
        if (!this.#options.lease().isValid) {
            return { accepted: false, needFull: [], releasedVmIds: [] };
        }
        for (const report of request.changed) {
            this.#takeReport(report, 0);
        }
        const needFull: string[] = [];
        for (const { vmId, incarnationId, sequence, ageMs } of request.unchanged) {
            const held = this.#reports.get(vmId);
            if (held?.report.incarnationId !== incarnationId) {
                needFull.push(vmId);
                continue;
            }
            this.#takeReport({ ...held.report, sequence }, ageMs);
        }
        return { accepted: true, needFull, releasedVmIds: [] };
    }

    #takeReport(report: VmReport, ageMs: number): void {
        const held = this.#reports.get(report.vmId);
        const receivedAtMs = monotonicMs() - ageMs;
        if (held !== undefined && held.receivedAtMs > receivedAtMs) {
            return;
        }
        this.#reports.set(report.vmId, { report, receivedAtMs });
    }

    #freshReport(vmId: string): VmReport | undefined {
        const held = this.#reports.get(vmId);
        const isFresh = held !== undefined
            && monotonicMs() - held.receivedAtMs < this.#options.timing.missingAfterMs;
        return isFresh ? held.report : undefined;
    }

    #adoptGroups(): void {
        for (const { report } of this.#reports.values()) {
            const assignment = report.assignment;
            if (assignment === undefined || assignment.rank !== 0) {
                continue;
            }
            const reports = assignment.memberVmIds.map((vmId) => this.#freshReport(vmId));
            const isWhole = reports.every((member) =>
                member?.assignment?.groupId === assignment.groupId
                && member.assignment.generation === assignment.generation
            );
            if (!isWhole) {
                continue;
            }
            this.#groups.set(assignment.groupId, {
                groupId: assignment.groupId,
                generation: assignment.generation,
                model: assignment.model,
                fabricDomain: report.fabricDomain,
                memberVmIds: assignment.memberVmIds,
                state: GroupState.Loading,
            });
        }
        this.#viewVersion += 1;
    }

    async #control(): Promise<void> {
        if (!this.#isActive || !this.#options.lease().isValid) {
            return;
        }
        this.#updateStates();
        await this.#formGroups();
    }

    #updateStates(): void {
        for (const group of this.#groups.values()) {
            const state = this.#stateOf(group);
            if (state === group.state) {
                continue;
            }
            group.state = state;
            this.#viewVersion += 1;
            this.#options.context.timeline.record("groups", `group.${state}`, {
                groupId: group.groupId,
                generation: group.generation,
            });
            if (state === GroupState.Dissolved) {
                this.#groups.delete(group.groupId);
            }
        }
    }

    #stateOf(group: Group): GroupState {
        const reports = group.memberVmIds.map((vmId) => this.#freshReport(vmId));
        if (reports.some((report) => report === undefined)) {
            return group.state === GroupState.Suspended ? GroupState.Dissolved : GroupState.Suspended;
        }
        const isReady = reports.every((report) =>
            report?.assignment?.groupId === group.groupId
            && report.assignment.generation === group.generation
            && report.assignment.state === AssignmentState.Ready
        );
        return isReady ? GroupState.Serving : GroupState.Loading;
    }

    async #formGroups(): Promise<void> {
        for (const model of this.#options.table.models()) {
            const present = [...this.#groups.values()].filter((group) => group.model === model.name).length;
            if (!model.enabled || present >= model.replicas) {
                continue;
            }
            const members = this.#pickFreeVms(model);
            if (members !== undefined) {
                await this.#form(model, members);
            }
        }
    }

    #pickFreeVms(model: ModelRow): VmReport[] | undefined {
        const used = new Set([...this.#groups.values()].flatMap((group) => group.memberVmIds));
        const byDomain = new Map<string, VmReport[]>();
        for (const vmId of this.#reports.keys()) {
            const report = this.#freshReport(vmId);
            if (
                report === undefined || report.kind !== BackendKind.Model || report.leaving || used.has(vmId)
            ) {
                continue;
            }
            const vms = byDomain.get(report.fabricDomain) ?? [];
            byDomain.set(report.fabricDomain, [...vms, report]);
        }
        const domain = [...byDomain.values()].find((vms) => vms.length >= model.vmsPerReplica);
        return domain?.slice(0, model.vmsPerReplica);
    }

    async #form(model: ModelRow, members: VmReport[]): Promise<void> {
        const group: Group = {
            groupId: newId(),
            generation: 1,
            model: model.name,
            fabricDomain: members[0]?.fabricDomain ?? "",
            memberVmIds: members.map((member) => member.vmId),
            state: GroupState.Forming,
        };
        this.#groups.set(group.groupId, group);
        this.#log.info(`forming a group of ${members.length} VMs for model ${model.name}`, {
            groupId: group.groupId,
        });
        const memberUrls = members.map((member) => member.url);
        await Promise.all(members.map((member, rank) => {
            const { groupId, generation, memberVmIds } = group;
            const assignment = { groupId, generation, model: model.name, memberVmIds, rank };
            return this.#options.orders.load(member, assignment, memberUrls);
        }));
    }

    #renewGrant(request: Calls["grant.renew"]["request"]): Calls["grant.renew"]["response"] {
        const lease = this.#options.lease();
        if (!this.#isActive || !lease.isValid || request.zone !== this.#options.context.zone) {
            return {};
        }
        this.#updateStates();
        this.#renewals.set(request.daemonId, monotonicMs());
        if (request.daemonZone === request.zone) {
            this.raiseTableFloor(request.tableVersion);
        }
        return { grant: this.#grant(Math.min(this.#options.timing.grantMs, lease.remainingMs)) };
    }

    #grant(validForMs: number): Grant {
        const sinceMs = monotonicMs() - 2 * this.#options.timing.grantMs;
        return {
            zone: this.#options.context.zone,
            fence: this.#options.lease().fence,
            viewVersion: this.#viewVersion,
            validForMs,
            full: true,
            groups: [...this.#groups.values()].map((group) => this.#groupView(group)),
            services: this.#serviceViews(),
            removedGroupIds: [],
            removedServiceVmIds: [],
            tableFloor: this.#tableFloor,
            daemonCount: [...this.#renewals.values()].filter((atMs) => atMs > sinceMs).length,
            shares: [],
        };
    }

    #groupView(group: Group): GroupView {
        const leader = this.#reports.get(group.memberVmIds[0] ?? "")?.report;
        return {
            ...group,
            zone: this.#options.context.zone,
            leaderUrl: leader?.url ?? "",
            maxConcurrent: leader?.maxConcurrent ?? 0,
            load: leader?.load ?? { runningRequests: 0, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 },
        };
    }

    #serviceViews(): ServiceView[] {
        return [...this.#reports.values()].filter(({ report }) => report.kind === BackendKind.Service).map((
            { report },
        ) => ({
            vmId: report.vmId,
            incarnationId: report.incarnationId,
            service: report.service ?? "",
            zone: report.zone,
            url: report.url,
            maxConcurrent: report.maxConcurrent,
            available: this.#freshReport(report.vmId) !== undefined && !report.leaving,
        }));
    }
}
