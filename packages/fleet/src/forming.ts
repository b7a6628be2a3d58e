import { monotonicMs, sleep } from "@greengage/base";
import type { EngineProfile, ServiceSpec } from "@greengage/configuration";
import { MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import type { GroupEnding } from "./ending.ts";
import { GroupPhase, headOf, isProvided, type ManagedGroup } from "./group.ts";
import { LoadPacer } from "./loadpacer.ts";
import { OrderOutcome } from "./orders.ts";
import {
    type DonorGroup,
    type FreeVm,
    type GroupPlan,
    type GroupTargets,
    memberKey,
    needsLoad,
    planGroup,
    type PlanInput,
    planMemberStaging,
    planStaging,
    planTargets,
    planTransfer,
    type StagePlan,
} from "./planner.ts";
import { type BackendServer, reportsState } from "./registry.ts";
import { DISTRUST_MS, JOIN_MARGIN_MS, JOIN_PATIENCE, MISSING_HEARTBEATS, ORDER_RETRY_MS } from "./timing.ts";

/** Part of the loads at once that is never used to stage spares. */
const LOADS_KEPT_SHARE = 0.4;

/** Time from an accepted order to join until the VM has reported it. */
const JOIN_REPORT_MS = 1_500;
/** VMs of a new fleet appear within a period of their reports, most of them close together. */
const APPEARANCE_GAP_MS = 300;

/** A service of model engines. */
type ModelService = ServiceSpec & { engine: EngineProfile; };

/** A group that waits at least this much longer for a load is given up for one that needs none; that takes two seconds. */
const MIN_GAIN_MS = 2_500;
/** A group that is given up first finishes its streams, which takes up to four seconds. */
const MIN_TRANSFER_GAIN_MS = 6_000;

/** Whether a group counts when groups are planned. */
const takesPlace = (group: ManagedGroup): boolean => isProvided(group) || group.isGivenUp === true;

/** Whether a group waits for a load that has long to go. Its head was never ordered to open. */
const isWaiting = (
    { phase, mayBeOpen, readyAtMs }: ManagedGroup,
    minGainMs: number,
    nowMs: number,
): boolean => phase === GroupPhase.Joining && !mayBeOpen && readyAtMs - nowMs > minGainMs;

/** Phases of groups that are not about to free their members. */
const settledPhases: readonly GroupPhase[] = [GroupPhase.Joining, GroupPhase.Open, GroupPhase.Dissolving];

/** Forms groups from free VMs, opens them, and has spares load weights in advance. */
export class GroupForming {
    readonly #state: FleetState;
    readonly #ending: GroupEnding;
    readonly #pacers = new Map<string, LoadPacer>();
    /** Orders to join that are under way, by group and VM. */
    readonly #joins = new Set<string>();
    /** Loads that run, by VM, with the time by which they must have ended. */
    readonly #loads = new Map<string, { model: string; untilMs: number; }>();

    constructor(state: FleetState, ending: GroupEnding) {
        this.#state = state;
        this.#ending = ending;
    }

    formGroups(nowMs: number): void {
        for (const service of this.#modelServices()) {
            if (!this.#isComplete(service.name, nowMs)) {
                continue;
            }
            const targets = this.#targets(service, service.engine, nowMs);
            let hasFormed = true;
            while (hasFormed) {
                hasFormed = this.#formFromHeld(service, targets, nowMs)
                    || this.#formFromFree(service, targets, nowMs);
            }
            this.#transfer(service, targets, nowMs);
        }
    }

    #formFromFree(service: ModelService, targets: GroupTargets, nowMs: number): boolean {
        const plan = planGroup(this.#planInput(service, nowMs), targets);
        if (plan === undefined) {
            return false;
        }
        this.#form(service, plan, nowMs);
        return true;
    }

    /**
     * Forms a group that needs no load, also from VMs that other groups hold while they wait for one. Those groups start
     * again from what is left; the loads go on.
     */
    #formFromHeld(service: ModelService, targets: GroupTargets, nowMs: number): boolean {
        const { input, waiting } = this.#inputWithHeld(service, MIN_GAIN_MS, nowMs);
        const plan = waiting.length === 0 ? undefined : planGroup(input, targets);
        if (plan === undefined) {
            return false;
        }
        const givenUp = new Set(plan.members.map(({ heldBy }) => heldBy));
        for (const group of waiting.filter(({ groupName }) => givenUp.has(groupName))) {
            this.#state.groups.remove(group, "its members serve sooner in another group");
        }
        this.#form(service, plan, nowMs);
        return true;
    }

    /** Gives up one group at a time for a model that is served less. */
    #transfer(service: ModelService, targets: GroupTargets, nowMs: number): void {
        const { groups, hasDemand } = this.#state;
        const own = groups.all().filter((group) => group.service === service.name);
        if (!hasDemand || own.some(({ phase }) => !settledPhases.includes(phase))) {
            return;
        }
        const donors = own.filter(({ phase }) => phase === GroupPhase.Open).map((group): DonorGroup => ({
            ...group,
            members: this.#vmsOf(group, nowMs),
        }));
        const { input } = this.#inputWithHeld(service, MIN_TRANSFER_GAIN_MS, nowMs);
        const donor = planTransfer(input, targets, donors);
        const group = donor === undefined ? undefined : groups.get(donor.groupName);
        if (group !== undefined) {
            group.isGivenUp = true;
            this.#ending.beginClosing(group, "its VMs complete a group of another model", nowMs);
        }
    }

    /** Plans without loads may use VMs of groups that wait for a load for at least `minGainMs` more. */
    #inputWithHeld(
        service: ModelService,
        minGainMs: number,
        nowMs: number,
    ): { input: PlanInput; waiting: ManagedGroup[]; } {
        const own = this.#state.groups.all().filter((group) => group.service === service.name);
        const waiting = own.filter((group) => isWaiting(group, minGainMs, nowMs));
        const input = this.#planInput(service, nowMs);
        const held = waiting.flatMap((group) =>
            this.#vmsOf(group, nowMs).map((vm): FreeVm => ({ ...vm, heldBy: group.groupName }))
        );
        return {
            waiting,
            input: {
                ...input,
                freeVms: [...input.freeVms, ...held],
                groups: own.filter((group) => takesPlace(group) && !waiting.includes(group)),
                loadsAllowed: 0,
            },
        };
    }

    /** Members of a group that stay. */
    #vmsOf({ memberIds }: ManagedGroup, nowMs: number): FreeVm[] {
        return memberIds.map((serverId) => this.#state.registry.get(serverId))
            .filter((server) => server !== undefined)
            .filter(({ report }) => !report.isDraining)
            .map((server) => this.#freeVm(server, nowMs));
    }

    stageSpares(nowMs: number): void {
        for (const service of this.#modelServices()) {
            if (!this.#isComplete(service.name, nowMs)) {
                continue;
            }
            const input = this.#planInput(service, nowMs);
            // Some loads stay free for members of groups, which are missed now.
            const stagingAllowed = input.loadsAllowed
                - Math.floor(service.engine.loadsAtOnce * LOADS_KEPT_SHARE);
            const memberCounts = new Map<string, number>();
            for (const { fabricDomain, model, memberIds } of this.#state.groups.all()) {
                const key = memberKey(fabricDomain, model);
                memberCounts.set(key, (memberCounts.get(key) ?? 0) + memberIds.length);
            }
            const plans = planStaging({ ...input, loadsAllowed: stagingAllowed }, memberCounts);
            plans.forEach((plan) => this.#beginStaging(service.name, plan, nowMs));
            this.#stageMembers(service, stagingAllowed - plans.length, nowMs);
        }
    }

    /** Members of open groups load another model onto their hosts, so that the domain can form groups of either. */
    #stageMembers(service: ModelService, loadsAllowed: number, nowMs: number): void {
        const members = this.#state.groups.all()
            .filter((group) => group.service === service.name && group.phase === GroupPhase.Open)
            .flatMap((group) => this.#vmsOf(group, nowMs));
        const input = { ...this.#planInput(service, nowMs), loadsAllowed };
        for (const plan of planMemberStaging(input, members)) {
            this.#beginStaging(service.name, plan, nowMs);
        }
    }

    #beginStaging(service: string, { serverId, model }: StagePlan, nowMs: number): void {
        this.#pacer(service).started(1, nowMs);
        this.#loads.set(serverId, { model: model.name, untilMs: nowMs + JOIN_PATIENCE * model.loadMs });
        this.#state.context.decisions.record("vm.stage", { server: serverId, model: model.name });
        this.#run(() => this.#stage(serverId, model.name));
    }

    /** Orders the head to open, until it does or the group ends. */
    open(group: ManagedGroup): void {
        this.#run(async () => {
            const { registry, orders, lifecycle } = this.#state;
            while (this.#isIn(group, GroupPhase.Opening) && this.#state.mayAct()) {
                const head = registry.get(headOf(group));
                group.mayBeOpen = true;
                if (head === undefined || await orders.open(head.report, group) === OrderOutcome.Accepted) {
                    return;
                }
                await sleep(ORDER_RETRY_MS, lifecycle.signal);
            }
        });
    }

    #modelServices(): ModelService[] {
        const services = this.#state.routing()?.configuration.services ?? [];
        return services.filter((service): service is ModelService =>
            service.engine !== undefined && service.engine.models.length > 0
        );
    }

    /** At the first start, groups are formed once the VMs have stopped to appear: a domain is shared out as a whole. */
    #isComplete(service: string, nowMs: number): boolean {
        if (this.#state.hasDemand) {
            return true;
        }
        const vms = this.#state.registry.all().filter(({ report }) => report.service === service);
        return vms.every(({ firstSeenAtMs }) => nowMs - firstSeenAtMs >= APPEARANCE_GAP_MS);
    }

    /** Groups that each fabric domain should have, by the VMs that are free or in a group. */
    #targets(service: ServiceSpec, profile: EngineProfile, nowMs: number): GroupTargets {
        const { registry, groups } = this.#state;
        const vmCounts = new Map<string, number>();
        for (const server of registry.all()) {
            const { serverId, fabricDomain = "" } = server.report;
            const group = groups.groupOf(serverId);
            const isUsed = group !== undefined && group.service === service.name && !server.report.isDraining;
            if (isUsed || this.#isFree(server, service.name, nowMs)) {
                vmCounts.set(fabricDomain, (vmCounts.get(fabricDomain) ?? 0) + 1);
            }
        }
        return planTargets(profile, needsOf(profile), vmCounts);
    }

    #planInput(service: ModelService, nowMs: number): PlanInput {
        const profile = service.engine;
        const free = this.#state.registry.all().filter((server) => this.#isFree(server, service.name, nowMs));
        const groups = this.#state.groups.all().filter((group) =>
            group.service === service.name && takesPlace(group)
        );
        return {
            profile,
            freeVms: free.map((server) => this.#freeVm(server, nowMs)),
            groups,
            needs: needsOf(profile),
            loadsAllowed: this.#loadsAllowed(service.name, profile, nowMs),
            hasDemand: this.#state.hasDemand,
        };
    }

    #isFree({ report, receivedAtMs }: BackendServer, service: string, nowMs: number): boolean {
        const { groups, timing, distrustedAtMs } = this.#state;
        const distrustedAt = distrustedAtMs.get(report.serverId);
        return report.service === service && !report.isDraining && report.fabricDomain !== undefined
            && groups.groupOf(report.serverId) === undefined
            && nowMs - receivedAtMs <= MISSING_HEARTBEATS * timing.heartbeatMs
            && (distrustedAt === undefined || receivedAtMs > distrustedAt + DISTRUST_MS);
    }

    #freeVm({ report, firstSeenAtMs, lastModel }: BackendServer, nowMs: number): FreeVm {
        const { serverId, fabricDomain = "", zone, stagedModels } = report;
        const load = this.#loads.get(serverId);
        const isStaging = load !== undefined && !stagedModels.includes(load.model);
        // A new leader hears of every VM for the first time.
        const seenForMs = firstSeenAtMs <= this.#state.settledAtMs() ? Infinity : nowMs - firstSeenAtMs;
        return {
            serverId,
            fabricDomain,
            zone,
            lastModel,
            stagedModels,
            isStaging,
            seenForMs,
        };
    }

    #loadsAllowed(service: string, profile: EngineProfile, nowMs: number): number {
        for (const [serverId, { model, untilMs }] of this.#loads) {
            const isStaged = this.#state.registry.get(serverId)?.report.stagedModels.includes(model) ?? true;
            if (isStaged || nowMs > untilMs) {
                this.#loads.delete(serverId);
            }
        }
        const { loadsPerS, loadsAtOnce } = profile;
        return this.#pacer(service).allowed(
            loadsPerS,
            loadsAtOnce,
            this.#state.hasDemand,
            this.#loads.size,
            nowMs,
        );
    }

    #pacer(service: string): LoadPacer {
        const pacer = this.#pacers.get(service) ?? new LoadPacer();
        this.#pacers.set(service, pacer);
        return pacer;
    }

    #form(service: ServiceSpec, plan: GroupPlan, nowMs: number): void {
        const { model, members, fabricDomain, loadCount, readyInMs } = plan;
        const epoch = this.#state.nextEpoch();
        const group: ManagedGroup = {
            groupName: `g${epoch}`,
            epoch,
            service: service.name,
            model: model.name,
            zone: members[0]?.zone ?? "",
            fabricDomain,
            headAddress: this.#state.registry.get(members[0]?.serverId ?? "")?.report.address ?? "",
            memberIds: members.map((vm) => vm.serverId),
            bornMs: new Map(members.map((vm) => [
                vm.serverId,
                this.#state.registry.get(vm.serverId)?.report.bornMs ?? 0,
            ])),
            phase: GroupPhase.Joining,
            phaseSinceMs: nowMs,
            readyByMs: nowMs + JOIN_PATIENCE * readyInMs + JOIN_MARGIN_MS,
            readyAtMs: nowMs + readyInMs,
            mayBeOpen: false,
            leftIds: new Set(),
            suspicionCount: 0,
            probedAtMs: 0,
        };
        this.#state.groups.add(group);
        this.#pacer(service.name).started(loadCount, nowMs);
        for (const vm of members.filter((member) => needsLoad(member, model))) {
            this.#loads.set(vm.serverId, { model: model.name, untilMs: group.readyByMs });
        }
        this.joinMembers(group);
    }

    /** Orders the members to join that don't report it, also those that a former leader has not reached. */
    joinMembers(group: ManagedGroup): void {
        for (const serverId of group.memberIds) {
            const key = `${group.groupName} ${serverId}`;
            if (!this.#joins.has(key)) {
                this.#joins.add(key);
                this.#run(() => this.#join(group, serverId).finally(() => this.#joins.delete(key)));
            }
        }
    }

    /** Orders one member to join, until it says that it does or the group is given up. */
    async #join(group: ManagedGroup, serverId: string): Promise<void> {
        const { registry, orders, lifecycle, context } = this.#state;
        while (this.#isIn(group, GroupPhase.Joining) && this.#state.mayAct()) {
            const server = registry.get(serverId);
            if (server === undefined || hasJoined(server, group)) {
                return;
            }
            const outcome = await orders.join(server.report, group);
            if (outcome === OrderOutcome.Accepted) {
                // The report of the change comes at once; without it the order is sent again.
                await sleep(JOIN_REPORT_MS, lifecycle.signal);
                continue;
            }
            context.decisions.record("group.join.failed", {
                group: group.groupName,
                server: serverId,
                outcome,
            });
            if (outcome === OrderOutcome.WrongServer) {
                registry.end(serverId, server.report.bornMs, monotonicMs());
                this.#state.changed.notify();
                return;
            }
            await sleep(ORDER_RETRY_MS, lifecycle.signal);
        }
    }

    async #stage(serverId: string, model: string): Promise<void> {
        const { registry, orders, context } = this.#state;
        const server = registry.get(serverId);
        if (server === undefined || !this.#state.mayAct()) {
            return;
        }
        const outcome = await orders.stage(server.report, model);
        if (outcome !== OrderOutcome.Accepted) {
            context.decisions.record("vm.stage.failed", { server: serverId, model, outcome });
        }
    }

    #isIn(group: ManagedGroup, phase: GroupPhase): boolean {
        return this.#state.groups.get(group.groupName) === group && group.phase === phase;
    }

    #run(task: () => Promise<void>): void {
        const { lifecycle, context } = this.#state;
        lifecycle.run(
            task,
            (error) => context.decisions.record("group.task.failed", { reason: String(error) }),
        );
    }
}

const needsOf = (profile: EngineProfile): Map<string, number> =>
    new Map(profile.models.map((model) => [model.name, model.share]));

const hasJoined = (server: BackendServer, group: ManagedGroup): boolean =>
    reportsState(server, group, MemberState.Joining) || reportsState(server, group, MemberState.Ready);
