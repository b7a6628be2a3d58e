import type { EngineProfile, ServiceSpec } from "@greengage/configuration";
import type { FleetState } from "./controller.ts";
import { countsAsCapacity, GroupPhase, type ManagedGroup } from "./group.ts";
import { type CandidateVm, planGroupCounts, type PlanInput, type TargetGroupCounts } from "./planner.ts";
import { mayReassign } from "./reassignment.ts";
import type { BackendServer } from "./registry.ts";
import { FAULT_COOLDOWN_MS, STALE_REPORT_HEARTBEATS } from "./timing.ts";
import type { WeightLoads } from "./weightloads.ts";

/** The VMs of a new fleet send their first reports within one report period, most of them close together. */
const STARTUP_SETTLE_MS = 300;

/** A service that runs on model engines. */
export type ModelService = ServiceSpec & { engine: EngineProfile; };

/** Whether a group counts towards the target number of groups. */
const countsForPlanning = (group: ManagedGroup): boolean =>
    countsAsCapacity(group) || group.isPreempted === true;

/** Whether a group still waits for a load for longer than `minGainMs`. Its head was never ordered to open. */
const isWaitingForLoad = (
    { phase, mayHaveOpened, expectedReadyAtMs }: ManagedGroup,
    minGainMs: number,
    nowMs: number,
): boolean => phase === GroupPhase.Joining && !mayHaveOpened && expectedReadyAtMs - nowMs > minGainMs;

/** Builds the planner's inputs from the server reports and the controller's groups. */
export class PlannerInputs {
    readonly #state: FleetState;
    readonly #loads: WeightLoads;

    constructor(state: FleetState, loads: WeightLoads) {
        this.#state = state;
        this.#loads = loads;
    }

    /** Model services whose VMs have had time to report. */
    plannableServices(nowMs: number): ModelService[] {
        const services = this.#state.routing()?.configuration.services ?? [];
        return services.filter((service): service is ModelService =>
            service.engine !== undefined && service.engine.models.length > 0
        ).filter(({ name }) => this.#areVmsSettled(name, nowMs));
    }

    /** Target number of groups per fabric domain, based on the VMs that are free or in a group. */
    targetGroupCounts({ name, engine }: ModelService, nowMs: number): TargetGroupCounts {
        const { registry, groups } = this.#state;
        const vmCounts = new Map<string, number>();
        for (const server of registry.all()) {
            const { serverId, fabricDomain = "" } = server.report;
            const group = groups.groupOf(serverId);
            const isUsed = group !== undefined && group.service === name && !server.report.isDraining;
            if (isUsed || this.#isFree(server, name, nowMs)) {
                vmCounts.set(fabricDomain, (vmCounts.get(fabricDomain) ?? 0) + 1);
            }
        }
        return planGroupCounts(engine, configuredDemand(engine), vmCounts);
    }

    input(service: ModelService, nowMs: number): PlanInput {
        const profile = service.engine;
        const free = this.#state.registry.all().filter((server) => this.#isFree(server, service.name, nowMs));
        const groups = this.#state.groups.all().filter((group) =>
            group.service === service.name && countsForPlanning(group)
        );
        return {
            profile,
            freeVms: free.map((server) => this.#candidateVm(server, nowMs)),
            groups,
            demandByModel: configuredDemand(profile),
            availableLoads: this.#loads.availableLoads(service, nowMs),
            hasDemand: this.#state.hasDemand,
        };
    }

    /** Members of a group that could join another group. */
    usableMembers({ memberIds }: ManagedGroup, nowMs: number): CandidateVm[] {
        return memberIds.map((serverId) => this.#state.registry.get(serverId))
            .filter((server) => server !== undefined)
            .filter((server) => this.#isUsable(server, nowMs))
            .map((server) => this.#candidateVm(server, nowMs));
    }

    /** Input for plans without loads, including the VMs of groups that still wait for a load for over `minGainMs`. */
    inputWithWaitingGroups(
        service: ModelService,
        minGainMs: number,
        nowMs: number,
    ): { input: PlanInput; waiting: ManagedGroup[]; } {
        const serviceGroups = this.#state.groups.all().filter((group) => group.service === service.name);
        const waiting = serviceGroups.filter((group) => isWaitingForLoad(group, minGainMs, nowMs));
        const input = this.input(service, nowMs);
        const heldVms = waiting.flatMap((group) =>
            this.usableMembers(group, nowMs).filter((vm) => this.#canLeaveGroup(vm)).map((
                vm,
            ): CandidateVm => ({
                ...vm,
                heldByGroup: group.groupName,
            }))
        );
        return {
            waiting,
            input: {
                ...input,
                freeVms: [...input.freeVms, ...heldVms],
                groups: serviceGroups.filter((group) => countsForPlanning(group) && !waiting.includes(group)),
                availableLoads: 0,
            },
        };
    }

    /**
     * Delays the first groups until no new VMs appear, because the VMs of a domain are divided among models together.
     */
    #areVmsSettled(service: string, nowMs: number): boolean {
        if (this.#state.hasDemand) {
            return true;
        }
        const vms = this.#state.registry.all().filter(({ report }) => report.service === service);
        return vms.every(({ firstSeenAtMs }) => nowMs - firstSeenAtMs >= STARTUP_SETTLE_MS);
    }

    #isFree(server: BackendServer, service: string, nowMs: number): boolean {
        const { serverId, service: ownService, fabricDomain } = server.report;
        return ownService === service && fabricDomain !== undefined
            && this.#state.groups.groupOf(serverId) === undefined && mayReassign(this.#state, server)
            && this.#isUsable(server, nowMs);
    }

    #canLeaveGroup({ serverId }: CandidateVm): boolean {
        const server = this.#state.registry.get(serverId);
        return server !== undefined && mayReassign(this.#state, server);
    }

    /**
     * Whether a VM is not draining, has reported recently and had no recent fault. Another leader may have given it orders since a
     * report of an earlier term.
     */
    #isUsable({ report, receivedAtMs }: BackendServer, nowMs: number): boolean {
        const { timing, lastFaultAtMs, activeSinceMs } = this.#state;
        const lastFaultMs = lastFaultAtMs.get(report.serverId);
        return !report.isDraining && receivedAtMs >= activeSinceMs()
            && nowMs - receivedAtMs <= STALE_REPORT_HEARTBEATS * timing.heartbeatMs
            && (lastFaultMs === undefined || receivedAtMs > lastFaultMs + FAULT_COOLDOWN_MS);
    }

    #candidateVm({ report, firstSeenAtMs, lastModel }: BackendServer, nowMs: number): CandidateVm {
        const { serverId, fabricDomain = "", zone, stagedModels } = report;
        // A new leader receives a first report from every VM, however long the VM has been running.
        const knownForMs = firstSeenAtMs <= this.#state.settledAtMs() ? Infinity : nowMs - firstSeenAtMs;
        return {
            serverId,
            fabricDomain,
            zone,
            lastModel,
            stagedModels,
            isStaging: this.#loads.isLoading(serverId, stagedModels),
            knownForMs,
        };
    }
}

const configuredDemand = (profile: EngineProfile): Map<string, number> =>
    new Map(profile.models.map((model) => [model.name, model.share]));
