import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";
import test from "ava";
import { proposeEdit } from "../../packages/daemon/src/propose.ts";

const command: EditCommand = { type: "table.edit", editId: "e", operator: "thandi", atMs: 0, changes: [] };
const accepted: EditOutcome = { status: "accepted", tableVersion: 1, rows: [] };

const errorOf = (verdict: Verdict): GreengageError =>
    new GreengageError("failed", { code: ErrorCode.Unavailable, verdict });

/** A log whose proposals end one after the other as listed; the last one repeats. */
const logOf = (...results: (GreengageError | EditOutcome)[]): ReplicatedLog => {
    let calls = 0;
    const propose: ReplicatedLog["propose"] = async () => {
        const result = results[Math.min(calls, results.length - 1)];
        calls += 1;
        if (result instanceof GreengageError) {
            throw result;
        }
        return { index: 1, result };
    };
    return { propose } as ReplicatedLog;
};

test("an edit is proposed again until its outcome is known", async (t) => {
    t.deepEqual(await proposeEdit(logOf(errorOf(Verdict.MayHaveRun), accepted), command), accepted);
});

// Guards against an edit that fails during an election, and against a false verdict when no leader is found.
test("an edit without a leader is proposed again, and is not run when none is found in time", async (t) => {
    t.deepEqual(await proposeEdit(logOf(errorOf(Verdict.NotRun), accepted), command), accepted);
    const error = await t.throwsAsync(proposeEdit(logOf(errorOf(Verdict.NotRun)), command, 300));
    t.like(error, { verdict: "notRun" });
});

// Guards against an operator who is told that an edit was not run although its first attempt was committed.
test("an error after an attempt that may have been committed stays `mayHaveRun`", async (t) => {
    const log = logOf(errorOf(Verdict.MayHaveRun), errorOf(Verdict.NotRun));
    t.like(await t.throwsAsync(proposeEdit(log, command, 300)), { verdict: "mayHaveRun" });
});
