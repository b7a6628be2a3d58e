import { type Context, LogPart, monotonicMs } from "@greengage/base";
import { BackendKind, type UnchangedReport, type VmReport } from "@greengage/protocol";
import type { MembershipTiming } from "./timing.ts";

/** Last order to a VM and its outcome. */
export interface VmOrder {
    /** `groupId/generation`, or `release`. */
    key: string;
    isPending: boolean;
    isAccepted: boolean;
    endedAtMs: number;
    failures: number;
}

/** The controller's record of a VM or service backend server. */
export interface Vm {
    vmId: string;
    report: VmReport;
    receivedAtMs: number;
    /** Last sequence number of each former incarnation. */
    formerSequences: Map<string, number>;
    /** Monotonic time since which another VM has reported the same address. */
    supersededAtMs?: number;
    quarantinedUntilMs: number;
    /** Recent losses and failed loads; from the second one on each doubles the back-off. */
    flaps: number;
    lastFlapAtMs: number;
    backOffUntilMs: number;
    leavingSinceMs?: number;
    /** Monotonic time before which a VM that doesn't check fencing tokens gets no order to another group. */
    reassignableAtMs: number;
    wasFresh: boolean;
    /** `groupId/generation` of the VM's group, once the VM has reported it. */
    confirmedKey?: string;
    order?: VmOrder;
    stragglerSinceMs?: number;
    /** First view version that shows this leaving backend server of a service as unavailable. */
    leavingVersion?: number;
    /** Sequence number of the last full report; unchanged reports refer to it. */
    fullSequence: number;
}

// The periods are multiples of missingAfterMs.
const QUARANTINE_MISSING_PERIODS = 4;
const BACK_OFF_MISSING_PERIODS = 2;
const MAX_BACK_OFF_MS = 300_000;
// After this time without a loss the flaps are reset, and after this time without a report the VM is removed.
const STABLE_MISSING_PERIODS = 60;

/** VMs that report in a zone. Tracks the age of reports, identity conflicts, and the back-off of flapping VMs. */
export class VmRegistry {
    readonly #context: Context;
    readonly #timing: MembershipTiming;
    readonly #vms = new Map<string, Vm>();
    readonly #vmIdByUrl = new Map<string, string>();
    /** VMs that an operator drains. */
    readonly drainedVmIds = new Set<string>();

    constructor(context: Context, timing: MembershipTiming) {
        this.#context = context;
        this.#timing = timing;
    }

    all(): Vm[] {
        return [...this.#vms.values()];
    }

    get(vmId: string): Vm | undefined {
        return this.#vms.get(vmId);
    }

    clear(): void {
        this.#vms.clear();
        this.#vmIdByUrl.clear();
    }

    /** Records a report that arrived `ageMs` ago. Reports older than the last one are ignored. */
    recordReport(report: VmReport, ageMs: number, fullSequence = report.sequence): void {
        if (report.zone !== this.#context.zone) {
            return;
        }
        this.#applyReport(report, ageMs);
        const vm = this.#vms.get(report.vmId);
        if (vm?.report === report) {
            vm.fullSequence = fullSequence;
        }
    }

    /** Records a report with the content of an earlier full report. Returns whether that report is known. */
    recordUnchangedReport(entry: UnchangedReport): boolean {
        const vm = this.#vms.get(entry.vmId);
        if (vm?.report.incarnationId !== entry.incarnationId || vm.fullSequence !== entry.fullSequence) {
            return false;
        }
        this.recordReport({ ...vm.report, sequence: entry.sequence }, entry.ageMs, entry.fullSequence);
        return true;
    }

    #applyReport(report: VmReport, ageMs: number): void {
        const receivedAtMs = monotonicMs() - ageMs;
        const vm = this.#vms.get(report.vmId);
        if (vm === undefined) {
            this.#vms.set(report.vmId, newVm(report, receivedAtMs));
            this.#claimUrl(report);
            return;
        }
        if (vm.report.incarnationId === report.incarnationId) {
            this.#applySameIncarnation(vm, report, receivedAtMs);
            return;
        }
        this.#applyOtherIncarnation(vm, report, receivedAtMs);
    }

    isFresh(vm: Vm | undefined, atMs = monotonicMs()): boolean {
        return vm !== undefined && vm.supersededAtMs === undefined
            && atMs - vm.receivedAtMs < this.#timing.missingAfterMs;
    }

    isQuarantined(vm: Vm): boolean {
        return monotonicMs() < vm.quarantinedUntilMs;
    }

    /** Whether the VM must leave its group: it reports that it is leaving, or an operator drains it. */
    isLeaving(vm: Vm): boolean {
        return vm.report.leaving || this.drainedVmIds.has(vm.vmId);
    }

    /** Whether a VM can be chosen for a group, regardless of whether it is in one. */
    isUsable(vm: Vm): boolean {
        return this.isFresh(vm) && vm.report.kind === BackendKind.Model && !this.isLeaving(vm)
            && !this.isQuarantined(vm) && monotonicMs() >= vm.backOffUntilMs;
    }

    /** Counts losses, and removes VMs that have been missing for a long time. */
    detectLosses(): void {
        const nowMs = monotonicMs();
        for (const vm of this.#vms.values()) {
            const isFresh = this.isFresh(vm);
            if (vm.wasFresh && !isFresh && !vm.report.leaving) {
                this.recordFlap(vm);
            }
            vm.wasFresh = isFresh;
            if (nowMs - vm.lastFlapAtMs > STABLE_MISSING_PERIODS * this.#timing.missingAfterMs) {
                vm.flaps = 0;
            }
            if (nowMs - vm.receivedAtMs > STABLE_MISSING_PERIODS * this.#timing.missingAfterMs) {
                this.#vms.delete(vm.vmId);
                this.#vmIdByUrl.delete(vm.report.url);
            }
        }
    }

    /** Counts a loss or a failed load. From the second one on the VM is kept out of groups for a time that doubles. */
    recordFlap(vm: Vm): void {
        const nowMs = monotonicMs();
        vm.flaps += 1;
        vm.lastFlapAtMs = nowMs;
        if (vm.flaps > 1) {
            const backOffMs = BACK_OFF_MISSING_PERIODS * this.#timing.missingAfterMs * 2 ** (vm.flaps - 2);
            vm.backOffUntilMs = nowMs + Math.min(backOffMs, MAX_BACK_OFF_MS);
            this.#context.timeline.record("groups", "vm.backOff", { vmId: vm.vmId, flaps: vm.flaps });
        }
    }

    #applySameIncarnation(vm: Vm, report: VmReport, receivedAtMs: number): void {
        const isNewer = report.sequence > vm.report.sequence;
        if (isNewer && vm.supersededAtMs !== undefined && receivedAtMs > vm.supersededAtMs) {
            this.#quarantine(vm, "two VMs report the same address");
            vm.supersededAtMs = undefined;
            this.#claimUrl(report);
        }
        if (report.sequence < vm.report.sequence || receivedAtMs < vm.receivedAtMs) {
            return;
        }
        if (report.url !== vm.report.url) {
            this.#claimUrl(report);
        }
        vm.report = report;
        vm.receivedAtMs = receivedAtMs;
        this.#recordLeaving(vm);
    }

    #applyOtherIncarnation(vm: Vm, report: VmReport, receivedAtMs: number): void {
        const formerSequence = vm.formerSequences.get(report.incarnationId);
        if (formerSequence !== undefined) {
            if (report.sequence > formerSequence) {
                vm.formerSequences.set(report.incarnationId, report.sequence);
                this.#quarantine(vm, "two processes report the same VM id");
            }
            return;
        }
        if (receivedAtMs < vm.receivedAtMs) {
            vm.formerSequences.set(report.incarnationId, report.sequence);
            return;
        }
        vm.formerSequences.set(vm.report.incarnationId, vm.report.sequence);
        // A VM that went missing before it returned as a new process has failed once, not twice.
        if (!vm.report.leaving && vm.wasFresh) {
            this.recordFlap(vm);
        }
        vm.report = report;
        vm.receivedAtMs = receivedAtMs;
        vm.order = undefined;
        vm.confirmedKey = undefined;
        vm.leavingSinceMs = undefined;
        vm.supersededAtMs = undefined;
        this.#claimUrl(report);
        this.#recordLeaving(vm);
    }

    #recordLeaving(vm: Vm): void {
        if (vm.report.leaving) {
            vm.leavingSinceMs ??= monotonicMs();
        }
    }

    /** The latest VM to report an address owns it; the previous owner counts as missing immediately. */
    #claimUrl(report: VmReport): void {
        const formerId = this.#vmIdByUrl.get(report.url);
        this.#vmIdByUrl.set(report.url, report.vmId);
        const former = formerId === undefined ? undefined : this.#vms.get(formerId);
        if (former === undefined || formerId === report.vmId || former.report.url !== report.url) {
            return;
        }
        former.supersededAtMs = monotonicMs();
        this.#context.timeline.record("groups", "vm.superseded", { vmId: formerId, byVmId: report.vmId });
    }

    #quarantine(vm: Vm, reason: string): void {
        const isNew = !this.isQuarantined(vm);
        vm.quarantinedUntilMs = monotonicMs() + QUARANTINE_MISSING_PERIODS * this.#timing.missingAfterMs;
        if (isNew) {
            this.#context.timeline.record("groups", "vm.quarantined", { vmId: vm.vmId, reason });
            this.#context.logs(LogPart.Groups).warn(`VM ${vm.vmId} is quarantined`, { reason });
        }
    }
}

const newVm = (report: VmReport, receivedAtMs: number): Vm => ({
    vmId: report.vmId,
    report,
    fullSequence: report.sequence,
    receivedAtMs,
    formerSequences: new Map(),
    quarantinedUntilMs: 0,
    flaps: 0,
    lastFlapAtMs: 0,
    backOffUntilMs: 0,
    // A server that is leaving at its first report may have begun at any time before.
    leavingSinceMs: report.leaving ? Number.NEGATIVE_INFINITY : undefined,
    reassignableAtMs: 0,
    wasFresh: true,
});
