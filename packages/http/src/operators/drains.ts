import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { DrainPlan } from "@greengage/protocol";
import { notRunError } from "../errors.ts";
import type { Hazard, OperatorApi, OperatorResponse } from "./api.ts";
import { daemonDrainHazards } from "./hazards.ts";
import {
    type DrainRequest,
    drainRequest,
    ok,
    parseBody,
    requireSafe,
    type UndrainRequest,
    undrainRequest,
} from "./requests.ts";
import type { OperatorHandler } from "./router.ts";

interface DrainTarget {
    drain(api: OperatorApi, request: DrainRequest): Promise<OperatorResponse>;
    undrain(api: OperatorApi, request: UndrainRequest): Promise<OperatorResponse>;
}

const vmTarget: DrainTarget = {
    drain: async (api, { id, dryRun, force, reason, operator }) => {
        const plan = await api.vmDrains.drainVm(id, { dryRun: true }) ?? rejectUnknownVm(id);
        const hazards = vmDrainHazards(plan);
        if (dryRun) {
            return ok({ dryRun: true, vm: plan, hazards });
        }
        requireSafe(hazards, { force, reason });
        const vm = await api.vmDrains.drainVm(id, { dryRun: false }) ?? throwNoResponse(id);
        api.record("vm.drain", { vmId: id, operator, reason });
        return ok({ vm, hazards });
    },
    undrain: async (api, { id, operator }) => {
        if (await api.vmDrains.undrainVm(id, { dryRun: true }) === undefined) {
            rejectUnknownVm(id);
        }
        const vm = await api.vmDrains.undrainVm(id, { dryRun: false }) ?? throwNoResponse(id);
        api.record("vm.undrain", { vmId: id, operator });
        return ok({ vm });
    },
};

const rejectUnknownVm = (vmId: string): never => {
    throw notRunError(ErrorCode.NotFound, `no reachable controller knows VM "${vmId}"`);
};

const throwNoResponse = (vmId: string): never => {
    throw new GreengageError(`the controller of VM "${vmId}" did not respond`, {
        code: ErrorCode.Unavailable,
        verdict: Verdict.MayHaveRun,
    });
};

const vmDrainHazards = (plan: DrainPlan): Hazard[] => {
    // Draining a VM that is already drained does no further harm.
    if (plan.replacement !== "none" || plan.alreadyDrained) {
        return [];
    }
    const detail = `${plan.vmId} in group ${plan.groupId} of model ${plan.model}: ${plan.summary}`;
    return [{ hazard: "no-replacement", detail }];
};

const requireKnownDaemon = (api: OperatorApi, daemonId: string): void => {
    if (!api.daemons.some((daemon) => daemon.daemonId === daemonId)) {
        throw notRunError(ErrorCode.NotFound, `daemon "${daemonId}" is not in the settings`);
    }
};

const daemonTarget: DrainTarget = {
    drain: async (api, request) => {
        const { id, dryRun, force, reason, operator } = request;
        requireKnownDaemon(api, id);
        if (id !== api.daemonId) {
            return await api.forward(id, { method: "POST", path: "drain", body: request });
        }
        const isDone = api.summary().state !== "serving";
        const hazards = isDone ? [] : await daemonDrainHazards(api, id);
        if (dryRun) {
            return ok({ dryRun: true, daemon: api.summary(), hazards });
        }
        requireSafe(hazards, { force, reason });
        api.daemonDrains.drain();
        api.record("daemon.drain", { daemonId: id, operator, reason });
        return ok({ daemon: api.summary(), hazards });
    },
    undrain: async (api, request) => {
        requireKnownDaemon(api, request.id);
        if (request.id !== api.daemonId) {
            return await api.forward(request.id, { method: "POST", path: "undrain", body: request });
        }
        api.daemonDrains.undrain();
        api.record("daemon.undrain", { daemonId: request.id, operator: request.operator });
        return ok({ daemon: api.summary() });
    },
};

const targets: Record<DrainRequest["target"], DrainTarget> = { vm: vmTarget, daemon: daemonTarget };

/** `POST drain` of a VM or a daemon. */
export const drainHandler: OperatorHandler = async (api, request) => {
    const body = parseBody(drainRequest, request);
    return await targets[body.target].drain(api, body);
};

/** `POST undrain` of a VM or a daemon. */
export const undrainHandler: OperatorHandler = async (api, request) => {
    const body = parseBody(undrainRequest, request);
    return await targets[body.target].undrain(api, body);
};
