import { ErrorCode } from "@greengage/base";
import { notRunError } from "../errors.ts";
import type { Hazard, OperatorResponse, SettleResult, UnknownAction } from "./api.ts";
import { ok, parseBody, requireSafe, settleRequest } from "./requests.ts";
import type { OperatorHandler } from "./router.ts";

// Up to this age, the daemon that started an action may still record its outcome.
const MIN_SETTLEMENT_AGE_MS = 60_000;

/** `GET actions`: actions whose outcome is unknown, oldest first. */
export const actionsHandler: OperatorHandler = async (api) => ok({ actions: api.actions.listUnknown() });

const settlementHazards = (action: UnknownAction | undefined): Hazard[] => {
    if (action === undefined || Date.now() - action.atMs >= MIN_SETTLEMENT_AGE_MS) {
        return [];
    }
    const detail =
        `daemon ${action.daemonId} started this action less than ${MIN_SETTLEMENT_AGE_MS / 1000} s ago`
        + " and may still record its outcome";
    return [{ hazard: "action-may-be-running", detail }];
};

const settleResponses: Record<SettleResult, () => OperatorResponse> = {
    settled: () => ok({ result: "settled" }),
    alreadySettled: () => ok({ result: "alreadySettled" }),
    otherOutcome: () => {
        throw notRunError(ErrorCode.Conflict, "the action already has another outcome");
    },
    unknownKey: () => {
        throw notRunError(ErrorCode.NotFound, "no action with this organisation and key");
    },
};

/** `POST actions/settle`: records an operator's decision on an unknown outcome. */
export const settleHandler: OperatorHandler = async (api, request) => {
    const { dryRun, force, ...settlement } = parseBody(settleRequest, request);
    const action = api.actions.listUnknown().find(({ organisation, key }) =>
        organisation === settlement.organisation && key === settlement.key
    );
    const hazards = settlementHazards(action);
    if (dryRun) {
        return ok({ dryRun: true, action, hazards });
    }
    requireSafe(hazards, { force, reason: settlement.reason });
    const response = settleResponses[await api.actions.settle(settlement)]();
    const { organisation, key, outcome, operator, reason } = settlement;
    api.record("action.settled", { organisation, key, outcome, operator, reason });
    return response;
};
