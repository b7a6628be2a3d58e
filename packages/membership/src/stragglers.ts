import { monotonicMs } from "@greengage/base";
import { planDrain } from "./drain.ts";
import { DrainReason, type Group } from "./group.ts";
import { pickSparesFor } from "./repair.ts";
import type { Vm } from "./vmregistry.ts";
import { isServing, retainedGroups, type ZoneState } from "./zonestate.ts";

// A VM at twice the median gap between tokens misses the latency target long before its engine fails.
const SLOW_FACTOR = 2;
const MIN_EXCESS_MS = 5;
/** With fewer VMs the median can't identify the slow one. */
const MIN_VMS_FOR_MEDIAN = 3;
// In multiples of missingAfterMs. Load reports lag, so a VM must be slow over several of them.
const SLOW_MISSING_PERIODS = 1.5;

/** Replaces members that are much slower than the others of their model, while spares exist. */
export const replaceStragglers = (zone: ZoneState): void => {
    for (const model of zone.table.models()) {
        const groups = retainedGroups(zone, model.name).filter(isServing);
        const vms = groups.flatMap((group) => group.memberVmIds)
            .map((vmId) => zone.vms.get(vmId))
            .filter((vm): vm is Vm => vm !== undefined && vm.report.load.tokenGapMs > 0);
        markSlow(vms);
        const slowGroup = groups.find((group) => hasStraggler(zone, group));
        // One group of a model at a time, so that a fleet that is slow as a whole isn't drained.
        const isReplacing = zone.groups.ofModel(model.name).some((group) =>
            group.drain?.reason === DrainReason.Straggler
        );
        if (slowGroup !== undefined && !isReplacing && pickSparesFor(zone, slowGroup, 1) !== undefined) {
            planDrain(zone, slowGroup, DrainReason.Straggler);
        }
    }
};

const markSlow = (vms: Vm[]): void => {
    const gaps = vms.map((vm) => vm.report.load.tokenGapMs).sort((a, b) => a - b);
    const medianMs = gaps[Math.floor(gaps.length / 2)] ?? 0;
    for (const vm of vms) {
        const gapMs = vm.report.load.tokenGapMs;
        const isSlow = vms.length >= MIN_VMS_FOR_MEDIAN && gapMs > SLOW_FACTOR * medianMs
            && gapMs > medianMs + MIN_EXCESS_MS;
        vm.stragglerSinceMs = isSlow ? vm.stragglerSinceMs ?? monotonicMs() : undefined;
    }
};

const hasStraggler = (zone: ZoneState, group: Group): boolean =>
    group.memberVmIds.some((vmId) => {
        const sinceMs = zone.vms.get(vmId)?.stragglerSinceMs;
        return sinceMs !== undefined
            && monotonicMs() - sinceMs > SLOW_MISSING_PERIODS * zone.timing.missingAfterMs;
    });
