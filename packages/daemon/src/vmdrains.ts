import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { VmDrainReport, VmDrains } from "@greengage/http";
import type { Membership } from "@greengage/membership";

/** Drains VMs through the controllers of their zones. */
export class ControllerVmDrains implements VmDrains {
    readonly #membership: Membership;

    constructor(membership: Membership) {
        this.#membership = membership;
    }

    async drainVm(vmId: string, options: { dryRun: boolean; }): Promise<VmDrainReport> {
        const plan = await this.#membership.drainVm(vmId, options);
        if (plan === undefined) {
            throw unknownVm(vmId);
        }
        return {
            vmId,
            groupId: plan.groupId,
            model: plan.model,
            hasReplacement: plan.replacement !== "none",
            released: !plan.dryRun && plan.groupId === undefined && plan.inFlight === 0,
        };
    }

    async undrainVm(vmId: string): Promise<void> {
        if (await this.#membership.undrainVm(vmId) === undefined) {
            throw unknownVm(vmId);
        }
    }
}

const unknownVm = (vmId: string): GreengageError =>
    new GreengageError(`no reachable controller knows VM ${vmId}`, {
        code: ErrorCode.NotFound,
        verdict: Verdict.NotRun,
    });
