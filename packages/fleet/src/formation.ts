import { monotonicMs, sleep } from "@greengage/base";
import type { ServiceSpec } from "@greengage/configuration";
import { MemberState } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import { OrderOutcome } from "./orders.ts";
import {
    type GroupPlan,
    needsLoad,
    planGroup,
    planPreemption,
    type PreemptibleGroup,
    type TargetGroupCounts,
} from "./planner.ts";
import type { ModelService, PlannerInputs } from "./plannerinputs.ts";
import { type BackendServer, reportsState } from "./registry.ts";
import type { GroupTermination } from "./termination.ts";
import { JOIN_TIMEOUT_FACTOR, JOIN_TIMEOUT_MARGIN_MS, ORDER_RETRY_MS } from "./timing.ts";
import type { WeightLoads } from "./weightloads.ts";

/** Time from an accepted order to join until the VM has reported it. */
const JOIN_REPORT_WAIT_MS = 1_500;

/** A group that waits at least this much longer for a load is given up for one that needs none; that takes two seconds. */
const MIN_REASSIGNMENT_GAIN_MS = 2_500;
/** A group that is given up first finishes its streams, which takes up to four seconds. */
const MIN_PREEMPTION_GAIN_MS = 6_000;

/** Phases of groups that are not about to free their members. */
const stablePhases: readonly GroupPhase[] = [GroupPhase.Joining, GroupPhase.Open, GroupPhase.Dissolving];

/** Forms groups from free VMs and opens them. */
export class GroupFormation {
    readonly #state: FleetState;
    readonly #termination: GroupTermination;
    readonly #plannerInputs: PlannerInputs;
    readonly #loads: WeightLoads;
    /** Orders to join that are under way, by group and VM. */
    readonly #activeJoins = new Set<string>();
    constructor(
        state: FleetState,
        termination: GroupTermination,
        plannerInputs: PlannerInputs,
        loads: WeightLoads,
    ) {
        this.#state = state;
        this.#termination = termination;
        this.#plannerInputs = plannerInputs;
        this.#loads = loads;
    }

    formGroups(nowMs: number): void {
        for (const service of this.#plannerInputs.plannableServices(nowMs)) {
            const targetCounts = this.#plannerInputs.targetGroupCounts(service, nowMs);
            let hasFormed = true;
            while (hasFormed) {
                hasFormed = this.#formFromWaitingGroups(service, targetCounts, nowMs)
                    || this.#formFromFreeVms(service, targetCounts, nowMs);
            }
            this.#preemptGroup(service, targetCounts, nowMs);
        }
    }

    #formFromFreeVms(service: ModelService, targetCounts: TargetGroupCounts, nowMs: number): boolean {
        const plan = planGroup(this.#plannerInputs.input(service, nowMs), targetCounts);
        if (plan === undefined) {
            return false;
        }
        this.#startGroup(service, plan, nowMs);
        return true;
    }

    /**
     * Forms a group that needs no load, also from VMs that other groups hold while they wait for one. Those groups start
     * again from what is left; the loads go on.
     */
    #formFromWaitingGroups(service: ModelService, targetCounts: TargetGroupCounts, nowMs: number): boolean {
        const { input, waiting } = this.#plannerInputs.inputWithWaitingGroups(
            service,
            MIN_REASSIGNMENT_GAIN_MS,
            nowMs,
        );
        const plan = waiting.length === 0 ? undefined : planGroup(input, targetCounts);
        if (plan === undefined) {
            return false;
        }
        const reassignedGroupNames = new Set(plan.members.map(({ heldByGroup }) => heldByGroup));
        for (const group of waiting.filter(({ groupName }) => reassignedGroupNames.has(groupName))) {
            this.#state.groups.remove(group, "its members serve sooner in another group");
        }
        this.#startGroup(service, plan, nowMs);
        return true;
    }

    /** Gives up one group at a time for a model that is served less. */
    #preemptGroup(service: ModelService, targetCounts: TargetGroupCounts, nowMs: number): void {
        const { groups, hasDemand } = this.#state;
        const serviceGroups = groups.all().filter((group) => group.service === service.name);
        if (!hasDemand || serviceGroups.some(({ phase }) => !stablePhases.includes(phase))) {
            return;
        }
        const candidates = serviceGroups.filter(({ phase }) => phase === GroupPhase.Open).map((
            group,
        ): PreemptibleGroup => ({
            ...group,
            members: this.#plannerInputs.usableMembers(group, nowMs),
        }));
        const { input } = this.#plannerInputs.inputWithWaitingGroups(service, MIN_PREEMPTION_GAIN_MS, nowMs);
        const victim = planPreemption(input, targetCounts, candidates);
        const group = victim === undefined ? undefined : groups.get(victim.groupName);
        if (group !== undefined) {
            group.isPreempted = true;
            this.#termination.beginClosing(group, "its VMs complete a group of another model", nowMs);
        }
    }

    /** Orders the head to open, until it does or the group ends. */
    openHead(group: ManagedGroup): void {
        this.#run(async () => {
            const { registry, orders, lifecycle } = this.#state;
            while (this.#isInPhase(group, GroupPhase.Opening) && this.#state.mayAct()) {
                const head = registry.get(headIdOf(group));
                group.mayHaveOpened = true;
                if (head === undefined || await orders.open(head.report, group) === OrderOutcome.Accepted) {
                    return;
                }
                await sleep(ORDER_RETRY_MS, lifecycle.signal);
            }
        });
    }

    #startGroup(service: ServiceSpec, plan: GroupPlan, nowMs: number): void {
        const { model, members, fabricDomain, timeToReadyMs } = plan;
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
            readyDeadlineMs: nowMs + JOIN_TIMEOUT_FACTOR * timeToReadyMs + JOIN_TIMEOUT_MARGIN_MS,
            expectedReadyAtMs: nowMs + timeToReadyMs,
            mayHaveOpened: false,
            departedIds: new Set(),
            suspicionCount: 0,
            lastProbedAtMs: 0,
        };
        this.#state.groups.add(group);
        for (const { serverId } of members.filter((member) => needsLoad(member, model))) {
            this.#loads.recordStart(service.name, {
                serverId,
                model: model.name,
                deadlineMs: group.readyDeadlineMs,
            }, nowMs);
        }
        this.orderMembersToJoin(group);
    }

    /** Orders the members to join that don't report it, also those that a former leader has not reached. */
    orderMembersToJoin(group: ManagedGroup): void {
        for (const serverId of group.memberIds) {
            const key = `${group.groupName} ${serverId}`;
            if (!this.#activeJoins.has(key)) {
                this.#activeJoins.add(key);
                this.#run(() =>
                    this.#orderToJoin(group, serverId).finally(() => this.#activeJoins.delete(key))
                );
            }
        }
    }

    /** Orders one member to join, until it says that it does or the group is given up. */
    async #orderToJoin(group: ManagedGroup, serverId: string): Promise<void> {
        const { registry, orders, lifecycle, context } = this.#state;
        while (this.#isInPhase(group, GroupPhase.Joining) && this.#state.mayAct()) {
            const server = registry.get(serverId);
            if (server === undefined || hasJoined(server, group)) {
                return;
            }
            const outcome = await orders.join(server.report, group);
            if (outcome === OrderOutcome.Accepted) {
                // The report of the change comes at once; without it the order is sent again.
                await sleep(JOIN_REPORT_WAIT_MS, lifecycle.signal);
                continue;
            }
            context.decisions.record("group.join.failed", {
                group: group.groupName,
                server: serverId,
                outcome,
            });
            if (outcome === OrderOutcome.WrongServer) {
                registry.markEnded(serverId, server.report.bornMs, monotonicMs());
                this.#state.wakeSignal.notify();
                return;
            }
            await sleep(ORDER_RETRY_MS, lifecycle.signal);
        }
    }

    #isInPhase(group: ManagedGroup, phase: GroupPhase): boolean {
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

const hasJoined = (server: BackendServer, group: ManagedGroup): boolean =>
    reportsState(server, group, MemberState.Joining) || reportsState(server, group, MemberState.Ready);
