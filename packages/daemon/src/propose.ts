import { ErrorCode, GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";

const RETRY_MS = 100;

/**
 * Proposes an edit until its outcome is known: a resend with the same edit id gets the first outcome.
 * Once one attempt may have been committed, every later error has the verdict `mayHaveRun`.
 */
export const proposeEdit = async (
    log: Pick<ReplicatedLog, "propose">,
    command: EditCommand,
    limitMs: number,
): Promise<EditOutcome> => {
    const deadlineMs = monotonicMs() + limitMs;
    let mayHaveRun = false;
    for (;;) {
        const timeoutMs = Math.max(1, deadlineMs - monotonicMs());
        try {
            const { result } = await log.propose(command, { timeoutMs });
            return result as EditOutcome;
        }
        catch (error) {
            mayHaveRun ||= !(error instanceof GreengageError) || error.verdict !== Verdict.NotRun;
            if (!mayHaveRun) {
                throw error;
            }
            if (monotonicMs() >= deadlineMs) {
                throw unknownOutcome(error);
            }
            await sleep(RETRY_MS);
        }
    }
};

const unknownOutcome = (cause: unknown): GreengageError =>
    new GreengageError("the edit may have been accepted; no daemon answered in time", {
        code: ErrorCode.Unavailable,
        verdict: Verdict.MayHaveRun,
        cause,
    });
