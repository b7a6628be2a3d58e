import { type EditOutcome, type RowChange, TableState } from "@greengage/table";
import test from "ava";

const createTable = (): {
    table: TableState;
    edit: (id: string, ...changes: RowChange[]) => EditOutcome;
} => {
    const table = new TableState();
    let index = 0;
    const edit = (editId: string, ...changes: RowChange[]): EditOutcome =>
        table.apply(
            index += 1,
            { type: "table.edit", editId, operator: "thandi", atMs: index, changes } as never,
        );
    return { table, edit };
};

const modelChange = (name: string, baseVersion: number, columns?: Record<string, unknown>): RowChange => ({
    kind: "model",
    name,
    baseVersion,
    columns,
});

// Guards against an edit that is based on a deleted row and overwrites a newer row of the same name.
test("versions of a row keep increasing after it was deleted and created again", (t) => {
    const { table, edit } = createTable();
    edit("e1", modelChange("m", 0, { vmsPerReplica: 2 }));
    edit("e2", modelChange("m", 1));
    const copy = new TableState();
    copy.restore(table.snapshot());
    copy.apply(9, {
        type: "table.edit",
        editId: "e3",
        operator: "x",
        atMs: 1,
        changes: [
            modelChange("m", 0, { vmsPerReplica: 4 }),
        ],
    } as never);
    t.is(copy.row("model", "m")?.version, 3);
    edit("e3", modelChange("m", 0, { vmsPerReplica: 4 }));
    t.is(table.row("model", "m")?.version, 3);
    t.is(edit("late", modelChange("m", 1, { vmsPerReplica: 8 })).status, "conflict");
    t.is(table.model("m")?.vmsPerReplica, 4);
});

// Guards against two edits with the same base version that both succeed, and against partially applied edits.
test("of two edits with equal base versions one succeeds, and a conflict changes nothing", (t) => {
    const { table, edit } = createTable();
    edit("seed", modelChange("a", 0, { vmsPerReplica: 1 }), modelChange("b", 0, { vmsPerReplica: 1 }));
    t.is(edit("x", modelChange("a", 1, { vmsPerReplica: 2 })).status, "accepted");
    const second = edit(
        "y",
        modelChange("b", 1, { vmsPerReplica: 9 }),
        modelChange("a", 1, { vmsPerReplica: 3 }),
    );
    t.is(second.status, "conflict");
    t.deepEqual([table.model("a")?.vmsPerReplica, table.model("b")?.vmsPerReplica], [2, 1]);
    t.deepEqual(
        edit("y", modelChange("b", 1, { vmsPerReplica: 9 })),
        second,
        "a retry gets the first outcome",
    );
});

// Guards against an edit that changes one row twice, so that its result depends on the order of the changes.
test("an edit that names a row twice is invalid, together with all other errors", (t) => {
    const { table, edit } = createTable();
    const outcome = edit(
        "e",
        modelChange("a", 0, { vmsPerReplica: 1 }),
        modelChange("a", 0, { vmsPerReplica: 99 }),
    );
    t.is(outcome.status, "invalid");
    const columns = outcome.status === "invalid" ? outcome.errors.map((error) => error.column) : [];
    t.deepEqual(columns.sort(), ["name", "vmsPerReplica"]);
    t.is(edit("d", modelChange("none", 0)).status, "invalid", "a row that does not exist can't be deleted");
    t.deepEqual([table.version, table.rows().length], [0, 0]);
});

// Guards against daemons that answer a retry differently because they pruned different outcomes or history entries.
test("kept outcomes and history are the same on a daemon that started from a snapshot", (t) => {
    const { table, edit } = createTable();
    const copy = new TableState();
    for (let version = 0; version < 10_050; version += 1) {
        if (version === 5_000) {
            copy.restore(table.snapshot());
        }
        const change = modelChange("m", version, { vmsPerReplica: 1 + version % 2 });
        edit(`e${version}`, change);
        if (version >= 5_000) {
            copy.apply(version + 1, {
                type: "table.edit",
                editId: `e${version}`,
                operator: "thandi",
                atMs: version + 1,
                changes: [change],
            } as never);
        }
    }
    t.deepEqual(copy.snapshot(), table.snapshot());
    t.is(table.outcomeOf("e49"), undefined);
    t.is(table.outcomeOf("e50")?.status, "accepted");
    t.is(table.history(20_000).length, 10_000);
});

// Guards against requests of one organisation that count towards the limits of another one.
test("an API key belongs to one organisation", (t) => {
    const { edit } = createTable();
    const organisationChange = (name: string, baseVersion: number, ...apiKeyHashes: string[]): RowChange => ({
        kind: "organisation",
        name,
        baseVersion,
        columns: { apiKeyHashes },
    });
    const key = "a".repeat(64);
    t.is(edit("e1", organisationChange("first", 0, key)).status, "accepted");
    t.like(edit("e2", organisationChange("second", 0, key)), {
        status: "invalid",
        errors: { 0: { column: "apiKeyHashes" } },
    });
    t.is(
        edit("e3", organisationChange("first", 1, "b".repeat(64)), organisationChange("second", 0, key))
            .status,
        "accepted",
    );
});
