import { ActionOutcome, type ActionRecords, type ActionService } from "@greengage/actions";
import type { ActionSettlement, Settlement, SettleResult, UnknownAction } from "@greengage/http";

const recordedOutcomes = {
    ran: ActionOutcome.SettledRan,
    notRun: ActionOutcome.SettledNotRun,
} as const;

/** Lists actions with an unknown outcome and settles them for the operator API. */
export class DaemonActionSettlement implements ActionSettlement {
    readonly #actions: ActionService;
    readonly #records: ActionRecords;

    constructor(actions: ActionService, records: ActionRecords) {
        this.#actions = actions;
        this.#records = records;
    }

    listUnknown(): UnknownAction[] {
        return this.#actions.listUnknown().map((
            { organisation, key, service, attemptId, daemonId, atMs },
        ) => ({
            organisation,
            key,
            service,
            attemptId,
            daemonId,
            atMs,
        }));
    }

    async settle(settlement: Settlement): Promise<SettleResult> {
        const { organisation, key, operator, reason } = settlement;
        const outcome = recordedOutcomes[settlement.outcome];
        const attemptId = this.#records.get(organisation, key)?.attemptId;
        if (attemptId === undefined) {
            return "unknownKey";
        }
        const result = await this.#actions.settle({
            organisation,
            key,
            attemptId,
            operator,
            reason,
            outcome,
        });
        if (result.kind === "settled") {
            return "settled";
        }
        if (result.kind === "missing") {
            return "unknownKey";
        }
        return result.record.outcome === outcome ? "alreadySettled" : "otherOutcome";
    }
}
