import { GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";

/** Long enough to elect a new leader after the loss of the one that received the edit. */
const EDIT_TIMEOUT_MS = 8_000;
/** A leader behind a network partition does not respond; the next attempt reaches its successor. */
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 100;

/** Retries an edit until its outcome is known or `limitMs` has passed. The edit id deduplicates the proposals. */
export const proposeEdit = async (
    log: ReplicatedLog,
    command: EditCommand,
    limitMs = EDIT_TIMEOUT_MS,
): Promise<EditOutcome> => {
    const deadlineMs = monotonicMs() + limitMs;
    let mayHaveRun = false;
    for (;;) {
        try {
            const timeoutMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadlineMs - monotonicMs()));
            const { result } = await log.propose(command, { timeoutMs });
            return result as EditOutcome;
        }
        catch (error) {
            const isOutcomeUnknown = error instanceof GreengageError && error.verdict === Verdict.MayHaveRun;
            mayHaveRun ||= isOutcomeUnknown;
            if (!(error instanceof GreengageError)) {
                throw error;
            }
            if (monotonicMs() >= deadlineMs) {
                // An earlier attempt may have been committed although the last one was not.
                const verdict = mayHaveRun ? Verdict.MayHaveRun : error.verdict;
                throw new GreengageError(error.message, { code: error.code, verdict, cause: error });
            }
            await sleep(RETRY_DELAY_MS);
        }
    }
};
