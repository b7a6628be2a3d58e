import { ActionOutcome, type ActionRecords } from "@greengage/actions";
import type { ReplicatedLog } from "@greengage/consensus";
import type { ActionSettlement, Settlement, SettleResult, UnknownAction } from "@greengage/http";

const SETTLE_TIMEOUT_MS = 5_000;

const recordedOutcomes = {
    ran: ActionOutcome.SettledRan,
    notRun: ActionOutcome.SettledNotRun,
} as const;

/** Settles actions through the replicated log. */
export class LoggedSettlement implements ActionSettlement {
    readonly #log: ReplicatedLog;
    readonly #records: ActionRecords;

    constructor(log: ReplicatedLog, records: ActionRecords) {
        this.#log = log;
        this.#records = records;
    }

    listUnknown(): UnknownAction[] {
        return this.#records.unknownOutcomes().map(
            ({ organisation, key, service, attemptId, daemonId, atMs }) => ({
                organisation,
                key,
                service,
                attemptId,
                daemonId,
                atMs,
            }),
        );
    }

    async settle(settlement: Settlement): Promise<SettleResult> {
        const { organisation, key, operator, reason } = settlement;
        const outcome = recordedOutcomes[settlement.outcome];
        const command = { type: "action.settle", organisation, key, outcome, operator, reason };
        const { index, result } = await this.#log.propose(command, { timeoutMs: SETTLE_TIMEOUT_MS });
        if (result === true) {
            return "settled";
        }
        await this.#log.waitForApplied(index, { timeoutMs: SETTLE_TIMEOUT_MS });
        const record = this.#records.get(organisation, key);
        if (record === undefined) {
            return "unknownKey";
        }
        return record.outcome === outcome ? "alreadySettled" : "otherOutcome";
    }
}
