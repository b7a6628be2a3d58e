import { GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";

const EDIT_TIMEOUT_MS = 5_000;
const RETRY_MS = 100;

/** Proposes an edit until its outcome is known: a resend with the same edit id gets the first outcome. */
export const proposeEdit = async (log: ReplicatedLog, command: EditCommand): Promise<EditOutcome> => {
    const deadlineMs = monotonicMs() + EDIT_TIMEOUT_MS;
    let wasSent = false;
    for (;;) {
        try {
            const timeoutMs = Math.max(1, deadlineMs - monotonicMs());
            const { result } = await log.propose(command, { timeoutMs });
            return result as EditOutcome;
        }
        catch (error) {
            const isUnknown = error instanceof GreengageError && error.verdict === Verdict.MayHaveRun;
            wasSent ||= isUnknown;
            if (!isUnknown && wasSent && error instanceof GreengageError) {
                // This attempt was not run, but an earlier one may have been.
                throw new GreengageError(error.message, {
                    code: error.code,
                    verdict: Verdict.MayHaveRun,
                    cause: error,
                });
            }
            if (!isUnknown || monotonicMs() >= deadlineMs) {
                throw error;
            }
            await sleep(RETRY_MS);
        }
    }
};
