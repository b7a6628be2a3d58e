import { Invariant, monotonicMs } from "@greengage/base";
import { AssignmentState, BackendKind, GroupState } from "@greengage/protocol";
import { DowntimeCause, type Group } from "./group.ts";
import { OrderResult, type OrderSender } from "./orders.ts";
import type { Vm } from "./vmregistry.ts";
import type { LoadRequest } from "./weightstorelimiter.ts";
import {
    isAdopting,
    isServing,
    isStray,
    mayReassign,
    RELEASE_KEY,
    reportsGroup,
    type ZoneState,
} from "./zonestate.ts";

const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 10_000;

/** Sends each VM the order that its last report calls for, one at a time per VM. */
export class OrderReconciler {
    readonly #zone: ZoneState;
    readonly #orders: OrderSender;

    constructor(zone: ZoneState, orders: OrderSender) {
        this.#zone = zone;
        this.#orders = orders;
    }

    step(): void {
        const { vms, groups, weightStoreLimiter } = this.#zone;
        const healthy = vms.all().filter((vm) =>
            vm.report.kind === BackendKind.Model && vms.isFresh(vm) && !vms.isQuarantined(vm)
        );
        for (const vm of healthy) {
            this.#detectLateOrder(vm);
        }
        weightStoreLimiter.releaseFinished((vmId) => this.#isLoading(vmId));
        const toLoad = healthy.filter((vm) => this.#needsLoad(vm));
        const fromWeightStore = toLoad.filter((vm) => !isCached(vm, groups.groupOf(vm.vmId)));
        const admitted = weightStoreLimiter.admit(fromWeightStore.map((vm) => this.#loadRequest(vm)));
        for (const vm of toLoad) {
            const group = groups.groupOf(vm.vmId) as Group;
            if (isCached(vm, group) || admitted.has(vm.vmId)) {
                this.#sendLoad(vm, group);
            }
            else if (group.cause === DowntimeCause.Loading) {
                group.cause = DowntimeCause.WeightStore;
            }
        }
        for (const vm of healthy.filter((vm) => this.#mustRelease(vm))) {
            this.#send(vm, RELEASE_KEY, () => this.#orders.release(vm.report, assignedGroupId(vm)));
        }
    }

    /** Detects an order of a former controller: the VM had reported its assignment and now reports another or none. */
    #detectLateOrder(vm: Vm): void {
        const group = this.#zone.groups.groupOf(vm.vmId);
        if (group === undefined) {
            vm.confirmedKey = undefined;
            return;
        }
        const key = orderKeyOf(group);
        if (reportsGroup(vm.report, group)) {
            vm.confirmedKey = key;
            return;
        }
        const isOwnOrder = vm.order !== undefined && vm.order.key !== key && vm.order.isPending;
        if (vm.confirmedKey !== key || isOwnOrder) {
            return;
        }
        vm.confirmedKey = undefined;
        this.#suspendForLateOrder(vm, group);
    }

    #suspendForLateOrder(vm: Vm, group: Group): void {
        const { context, groups, timing } = this.#zone;
        const nowMs = monotonicMs();
        const otherId = vm.report.assignment?.groupId;
        const other = otherId === undefined ? undefined : groups.get(otherId);
        for (const affected of new Set([group, ...(other === undefined ? [] : [other])])) {
            affected.confirmAfterMs = nowMs;
            groups.setState(affected, GroupState.Suspended, DowntimeCause.LateOrder);
        }
        if (!vm.report.checksFencing) {
            vm.reassignableAtMs = nowMs + timing.unfencedHandoverMs;
        }
        vm.order = undefined;
        context.timeline.record("groups", "vm.lateOrder", {
            vmId: vm.vmId,
            groupId: group.groupId,
            reportedGroupId: otherId,
            reportedFence: vm.report.assignment?.fence,
        });
    }

    #needsLoad(vm: Vm): boolean {
        const group = this.#zone.groups.groupOf(vm.vmId);
        if (group === undefined || !loadableStates.includes(group.state) || reportsGroup(vm.report, group)) {
            return false;
        }
        // Another late order may take a stray VM out of its group again, so it is replaced, and not ordered back.
        const isReturning = vm.report.assignment?.groupId === group.groupId && !isStray(vm);
        return (isReturning || mayReassign(this.#zone, vm)) && this.#isDue(vm, orderKeyOf(group));
    }

    /** Whether to release a VM that reports an assignment but is in no group. */
    #mustRelease(vm: Vm): boolean {
        const isUnexpected = vm.report.assignment !== undefined
            && this.#zone.groups.groupOf(vm.vmId) === undefined;
        return isUnexpected && !isAdopting(this.#zone) && mayReassign(this.#zone, vm)
            && this.#isDue(vm, RELEASE_KEY);
    }

    /** Whether an order is due: none is pending, and the last one failed or has had no effect for the retry time. */
    #isDue(vm: Vm, key: string): boolean {
        const { order } = vm;
        if (order === undefined) {
            return true;
        }
        if (order.isPending) {
            return false;
        }
        if (order.key !== key) {
            return true;
        }
        const retryMs = order.isAccepted
            ? this.#zone.timing.missingAfterMs
            : Math.min(FIRST_RETRY_MS * 2 ** order.failures, MAX_RETRY_MS);
        return monotonicMs() - order.endedAtMs > retryMs;
    }

    #isLoading(vmId: string): boolean {
        const vm = this.#zone.vms.get(vmId);
        const group = this.#zone.groups.groupOf(vmId);
        if (group === undefined || vm === undefined || !this.#zone.vms.isFresh(vm)) {
            return false;
        }
        const isDone = reportsGroup(vm.report, group)
            && vm.report.assignment?.state !== AssignmentState.Loading;
        return !isDone && !isCached(vm, group);
    }

    #loadRequest(vm: Vm): LoadRequest {
        const { groups, table, vms } = this.#zone;
        const group = groups.groupOf(vm.vmId) as Group;
        const isReady = (vmId: string): boolean => {
            const report = vms.get(vmId)?.report;
            return report !== undefined && reportsGroup(report, group)
                && report.assignment?.state === AssignmentState.Ready;
        };
        return {
            vmId: vm.vmId,
            groupId: group.groupId,
            priority: table.model(group.model)?.priority ?? 0,
            servingGroupCount: groups.ofModel(group.model).filter(isServing).length,
            notReadyCount: group.memberVmIds.filter((vmId) => !isReady(vmId)).length,
            waitingSinceMs: group.stateSinceMs,
        };
    }

    #sendLoad(vm: Vm, group: Group): void {
        const { context, groups, vms } = this.#zone;
        context.invariants.check(
            Invariant.OneGroupPerVm,
            groups.groupCountOf(vm.vmId) === 1,
            () => `VM ${vm.vmId} is in ${groups.groupCountOf(vm.vmId)} groups`,
        );
        const { groupId, generation, model } = group;
        const memberVmIds = [...group.memberVmIds];
        const rank = memberVmIds.indexOf(vm.vmId);
        const assignment = { groupId, generation, model, memberVmIds, rank };
        const memberUrls = memberVmIds.map((vmId) => vms.get(vmId)?.report.url ?? "");
        this.#send(vm, orderKeyOf(group), () => this.#orders.load(vm.report, assignment, memberUrls));
    }

    #send(vm: Vm, key: string, send: () => Promise<OrderResult>): void {
        const failures = vm.order?.key === key ? vm.order.failures : 0;
        const order = { key, isPending: true, isAccepted: false, endedAtMs: 0, failures };
        vm.order = order;
        void send().then((result) => {
            order.isPending = false;
            order.endedAtMs = monotonicMs();
            order.isAccepted = result === OrderResult.Accepted;
            order.failures = order.isAccepted ? 0 : order.failures + 1;
        });
    }
}

const loadableStates: GroupState[] = [GroupState.Forming, GroupState.Loading, GroupState.Suspended];

const orderKeyOf = (group: Group): string => `${group.groupId}/${group.generation}`;

const assignedGroupId = (vm: Vm): string => vm.report.assignment?.groupId ?? "";

const isCached = (vm: Vm, group: Group | undefined): boolean =>
    group !== undefined && vm.report.cachedModels.includes(group.model);
