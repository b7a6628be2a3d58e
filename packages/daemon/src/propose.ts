import { GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";

/** Covers the election of a new leader after the loss of the one to which the edit was sent. */
const EDIT_TIMEOUT_MS = 8_000;
/** A leader that is cut off does not answer; the next attempt goes to its successor. */
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 100;

/** Proposes an edit until its outcome is known: a resend with the same edit id gets the first outcome. */
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
                // The last attempt may not have run while an earlier one did.
                const verdict = mayHaveRun ? Verdict.MayHaveRun : error.verdict;
                throw new GreengageError(error.message, { code: error.code, verdict, cause: error });
            }
            await sleep(RETRY_DELAY_MS);
        }
    }
};
