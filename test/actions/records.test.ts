import {
    ActionRecords,
    type IntentCommand,
    type OutcomeCommand,
    type SettleCommand,
} from "@greengage/actions";
import test from "ava";
import fc from "fast-check";

const createIntent = (fields: Partial<IntentCommand> = {}): IntentCommand => ({
    type: "action.intent",
    organisation: "umbrella-corner",
    key: "sale-1",
    bodyHash: "hash",
    service: "ledger",
    attemptId: "attempt-1",
    daemonId: "daemon-1",
    atMs: 0,
    ...fields,
});

const createOutcome = (fields: Partial<OutcomeCommand> = {}): OutcomeCommand => ({
    type: "action.outcome",
    organisation: "umbrella-corner",
    key: "sale-1",
    attemptId: "attempt-1",
    outcome: "ran",
    ...fields,
});

const createSettlement = (fields: Partial<SettleCommand> = {}): SettleCommand => ({
    type: "action.settle",
    organisation: "umbrella-corner",
    key: "sale-1",
    attemptId: "attempt-1",
    outcome: "settledNotRun",
    operator: "ada",
    reason: "the ledger has no entry",
    ...fields,
});

const kindOf = (result: unknown): string => (result as { kind: string; }).kind;

// Guards P5-action-at-most-once: a key never runs twice, in whatever order copies of its commands are committed.
test("no order of duplicated and delayed commands accepts a second attempt after one may have run", (t) => {
    const attempt = fc.constantFrom("a", "b", "c");
    const command = fc.oneof(
        attempt.map((attemptId) => createIntent({ attemptId })),
        attempt.map((attemptId) => createOutcome({ attemptId, outcome: "notRun" })),
        attempt.map((attemptId) => createOutcome({ attemptId, outcome: "ran" })),
        attempt.map((attemptId) => createSettlement({ attemptId })),
    );
    fc.assert(fc.property(fc.array(command, { maxLength: 30 }), (commands) => {
        const records = new ActionRecords();
        // An accepted attempt may have run unless its own outcome says that it did not.
        const mayHaveRun = new Set<string>();
        const ended = new Set<string>();
        for (const [index, next] of commands.entries()) {
            // A daemon reports `ran` only for accepted attempts, and only one outcome per attempt.
            const isPossible = next.type !== "action.outcome" || !ended.has(next.attemptId)
                    && (next.outcome === "notRun" || mayHaveRun.has(next.attemptId));
            if (!isPossible) {
                continue;
            }
            const kind = kindOf(records.apply(index, next));
            if (next.type === "action.intent" && kind === "accepted") {
                t.false(ended.has(next.attemptId));
                mayHaveRun.add(next.attemptId);
                t.deepEqual([...mayHaveRun], [next.attemptId]);
            }
            if (next.type === "action.outcome") {
                ended.add(next.attemptId);
                if (next.outcome === "notRun" && kind !== "known") {
                    mayHaveRun.delete(next.attemptId);
                }
            }
        }
    }));
});

test("an intent committed after its attempt was voided is refused, and another attempt can use the key", (t) => {
    const records = new ActionRecords();
    t.is(kindOf(records.apply(1, createOutcome({ outcome: "notRun" }))), "voided");
    t.is(kindOf(records.apply(2, createIntent())), "refused");
    t.is(kindOf(records.apply(3, createIntent({ attemptId: "attempt-2" }))), "accepted");
    t.is(kindOf(records.apply(4, createIntent())), "refused");
});

test("a settled key is never sent again", (t) => {
    const records = new ActionRecords();
    records.apply(1, createIntent());
    t.is(kindOf(records.apply(2, createSettlement())), "settled");
    t.is(kindOf(records.apply(3, createIntent({ attemptId: "attempt-2" }))), "exists");
    t.is(kindOf(records.apply(4, createSettlement({ outcome: "settledRan" }))), "known");
    t.is(records.get("umbrella-corner", "sale-1")?.outcome, "settledNotRun");
});

// Guards the limits: memory must not grow with the number of actions, and evicting a record must not free its key.
test("old records and bodies are evicted, and their keys never run again, even after a snapshot", (t) => {
    const records = new ActionRecords({ finished: 10, bodyBytes: 300, voided: 5 });
    for (let index = 0; index < 2_000; index += 1) {
        const fields = { key: `sale-${index}`, attemptId: `attempt-${index}` };
        records.apply(index, createIntent(fields));
        records.apply(index, createOutcome({ ...fields, status: 200, body: new Uint8Array(100) }));
        records.apply(index, createOutcome({ attemptId: `void-${index}`, outcome: "notRun" }));
    }
    t.deepEqual(records.counts(), { unknown: 0, finished: 10, spent: 1_990, voided: 5, bodyBytes: 300 });
    const restored = new ActionRecords({ finished: 10, bodyBytes: 300, voided: 5 });
    restored.restore(records.snapshot());
    t.deepEqual(restored.counts(), records.counts());
    t.deepEqual(restored.snapshot(), records.snapshot());
    for (let index = 0; index < 1_990; index += 1) {
        t.is(
            kindOf(restored.apply(index, createIntent({ key: `sale-${index}`, attemptId: "again" }))),
            "spent",
        );
    }
    t.is(kindOf(restored.apply(1, createIntent({ key: "sale-1999", attemptId: "again" }))), "exists");
});

test("a new action is refused at the limit of records without an outcome", (t) => {
    const records = new ActionRecords({ unknown: 1 });
    records.apply(1, createIntent());
    t.is(kindOf(records.apply(2, createIntent({ key: "sale-2", attemptId: "attempt-2" }))), "full");
    records.apply(3, createOutcome());
    t.is(kindOf(records.apply(4, createIntent({ key: "sale-2", attemptId: "attempt-2" }))), "accepted");
});
