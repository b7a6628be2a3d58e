import type { SecondsByCause } from "./downtime.ts";
import type { ZoneState } from "./zonestate.ts";

/** Group downtime and stranded accelerators of a zone, counted by this daemon while it was the controller. */
export interface ZoneStats {
    zone: string;
    isController: boolean;
    groupDowntime: SecondsByCause;
    strandedAccelerators: SecondsByCause;
    quarantinedVmIds: string[];
    drainedVmIds: string[];
    /** Number of VMs that are reading from the weight store. */
    weightStoreLoads: number;
}

export const zoneStatsOf = (zone: ZoneState, isController: boolean): ZoneStats => {
    const { vms, downtime, weightStoreLimiter, context } = zone;
    return {
        zone: context.zone,
        isController,
        groupDowntime: downtime.groupDowntime,
        strandedAccelerators: downtime.strandedAccelerators,
        quarantinedVmIds: vms.all().filter((vm) => vms.isQuarantined(vm)).map((vm) => vm.vmId),
        drainedVmIds: [...vms.drainedVmIds],
        weightStoreLoads: weightStoreLimiter.runningCount,
    };
};

/** Sends the sums as gauges, one per cause. */
export const sendGauges = ({ context, downtime }: ZoneState): void => {
    const { metrics } = context;
    for (const [cause, seconds] of Object.entries(downtime.groupDowntime.byCauseS)) {
        metrics.gauge("group.downtime_s", seconds, { cause });
    }
    for (const [cause, seconds] of Object.entries(downtime.strandedAccelerators.byCauseS)) {
        metrics.gauge("accelerator.stranded_s", seconds, { cause });
    }
};
