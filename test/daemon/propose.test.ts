import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import type { EditCommand, EditOutcome } from "@greengage/table";
import test from "ava";
import { proposeEdit } from "../../packages/daemon/src/propose.ts";

const command: EditCommand = { type: "table.edit", editId: "e", operator: "thandi", atMs: 0, changes: [] };
const accepted: EditOutcome = { status: "accepted", tableVersion: 1, rows: [] };

const createError = (verdict: Verdict): GreengageError =>
    new GreengageError("failed", { code: ErrorCode.Unavailable, verdict });

/** Creates a log whose proposals return or throw `results` in turn; the last one repeats. */
const createLog = (...results: (GreengageError | EditOutcome)[]): ReplicatedLog => {
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

for (const verdict of [Verdict.NotRun, Verdict.MayHaveRun]) {
    test(`an edit is proposed again after an attempt with the verdict ${verdict}`, async (t) => {
        t.deepEqual(await proposeEdit(createLog(createError(verdict), accepted), command), accepted);
    });
}

test("an edit that no attempt can have committed is reported as not run", async (t) => {
    const error = await t.throwsAsync(proposeEdit(createLog(createError(Verdict.NotRun)), command, 250));
    t.like(error, { verdict: "notRun" });
});

// Guards against reporting an edit as not run although its first attempt was committed.
test("an error after an attempt that may have been committed keeps the verdict mayHaveRun", async (t) => {
    const log = createLog(createError(Verdict.MayHaveRun), createError(Verdict.NotRun));
    t.like(await t.throwsAsync(proposeEdit(log, command, 250)), { verdict: "mayHaveRun" });
});
