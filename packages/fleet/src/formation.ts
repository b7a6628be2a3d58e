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
import { mayReassign } from "./reassignment.ts";
import { type BackendServer, reportsState } from "./registry.ts";
import type { GroupTermination } from "./termination.ts";
import { JOIN_TIMEOUT_FACTOR, JOIN_TIMEOUT_MARGIN_MS, ORDER_RETRY_MS } from "./timing.ts";
import type { WeightLoads } from "./weightloads.ts";

/** Time to wait for a VM to report that it joins after it has accepted the order. */
const JOIN_REPORT_WAIT_MS = 1_500;

/**
 * A group is dissolved for one that needs no load only if its own load takes at least this much longer. Reassigning the
 * members takes two seconds.
 */
const MIN_REASSIGNMENT_GAIN_MS = 2_500;
/** As above for preempting an open group, which first finishes its streams for up to four seconds. */
const MIN_PREEMPTION_GAIN_MS = 6_000;

/** Phases in which a group is not about to release its members. */
const stablePhases: readonly GroupPhase[] = [GroupPhase.Joining, GroupPhase.Open, GroupPhase.Dissolving];

/** Creates groups from free VMs and opens them. */
export class GroupFormation {
    readonly #state: FleetState;
    readonly #termination: GroupTermination;
    readonly #plannerInputs: PlannerInputs;
    readonly #loads: WeightLoads;
    /** Join orders in progress, as keys of group and VM. */
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
     * Creates a group that needs no weight load, using also the VMs of groups that wait for one. Those groups are
     * removed and planned again from the remaining VMs; loads in progress continue.
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
            this.#state.groups.remove(group, "its members are ready sooner in another group");
        }
        this.#startGroup(service, plan, nowMs);
        return true;
    }

    /** Preempts at most one group at a time in favour of a model with lower coverage. */
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

    /** Orders the head to open, retrying until it accepts or the group ends. */
    openHead(group: ManagedGroup): void {
        this.#run(async () => {
            const { registry, orders, lifecycle } = this.#state;
            while (this.#isInPhase(group, GroupPhase.Opening) && this.#state.mayAct()) {
                const head = registry.get(headIdOf(group));
                group.mayHaveOpened = true;
                if (head === undefined) {
                    return;
                }
                const { hasUnansweredOpen } = group;
                group.hasUnansweredOpen = true;
                const outcome = await orders.open(head.report, group);
                if (outcome === OrderOutcome.Unknown) {
                    this.#state.groups.recordUnansweredOpen();
                }
                else {
                    group.hasUnansweredOpen = hasUnansweredOpen;
                }
                if (outcome === OrderOutcome.Accepted) {
                    return;
                }
                await sleep(ORDER_RETRY_MS, lifecycle.signal);
            }
        });
    }

    #startGroup(service: ServiceSpec, plan: GroupPlan, nowMs: number): void {
        const { model, members, fabricDomain, timeToReadyMs } = plan;
        const servers = members.map(({ serverId }) => this.#state.registry.get(serverId))
            .filter((server) => server !== undefined);
        const epoch = this.#state.epochs.next(
            servers.flatMap(({ report: { serverId, membership }, highestEpoch }) => [
                membership?.epoch ?? 0,
                highestEpoch,
                this.#state.unansweredJoins.highestEpochOf(serverId),
            ]),
        );
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
            hasUnansweredOpen: false,
            leftAtMs: new Map(),
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

    /** Orders all members to join that don't report it yet, including those that a previous leader could not reach. */
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

    /** Orders one member to join, retrying until it reports that it does or the group is abandoned. */
    async #orderToJoin(group: ManagedGroup, serverId: string): Promise<void> {
        const { registry, orders, unansweredJoins, lifecycle, context } = this.#state;
        while (this.#isInPhase(group, GroupPhase.Joining) && this.#state.mayAct()) {
            const server = registry.get(serverId);
            if (server === undefined || hasJoined(server, group)) {
                return;
            }
            if (!mayReassign(this.#state, server, group)) {
                this.#state.wakeSignal.notify();
                return;
            }
            const { report } = server;
            const { groupName, epoch } = group;
            const target = { serverId, bornMs: report.bornMs, groupName, epoch };
            const outcome = await unansweredJoins.track(target, () => orders.join(report, group));
            if (outcome === OrderOutcome.Accepted) {
                // The member reports the change at once; if no report arrives, the order is sent again.
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
