import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";
import { findSharedApiKeys } from "./apikeys.ts";
import {
    type CellError,
    type EditCommand,
    type EditOutcome,
    type HistoryEntry,
    type RowChange,
    rowKey,
} from "./edits.ts";
import {
    columnsByKind,
    type ModelColumns,
    type ModelRow,
    type OrganisationColumns,
    type OrganisationRow,
    RowKind,
    type ServiceColumns,
    type ServiceRow,
    type SettingColumns,
    settingColumns,
    type StoredRow,
} from "./rows.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/i;
const MAX_OUTCOMES = 10_000;
const MAX_HISTORY_ENTRIES = 10_000;
const MAX_DELETED_ROWS = 10_000;

interface TableSnapshot {
    version: number;
    rows: StoredRow[];
    outcomes: [string, EditOutcome][];
    history: HistoryEntry[];
    deletedVersions: [string, number][];
    forgottenVersion: number;
}

/** The operators' table, replicated to every daemon. It is only changed by commands from the replicated log. */
export class TableState implements StateMachine {
    #version = 0;
    #rows = new Map<string, StoredRow>();
    #outcomes = new Map<string, EditOutcome>();
    #history: HistoryEntry[] = [];
    /** Version of each deleted row, including its deletion. A new row of the same name continues from it. */
    #deletedVersions = new Map<string, number>();
    /** Highest version of the deleted rows that were pruned from `#deletedVersions`. New rows continue from it. */
    #maxPrunedVersion = 0;
    readonly #listeners = new Set<() => void>();

    /** Log index of the last accepted edit; 0 for an empty table. */
    get version(): number {
        return this.#version;
    }

    apply(index: number, command: Command): EditOutcome {
        const edit = command as EditCommand;
        const firstOutcome = this.#outcomes.get(edit.editId);
        if (firstOutcome !== undefined) {
            return firstOutcome;
        }
        const outcome = this.#applyEdit(index, edit);
        this.#outcomes.set(edit.editId, outcome);
        if (this.#outcomes.size > MAX_OUTCOMES) {
            const [oldest] = this.#outcomes.keys();
            this.#outcomes.delete(oldest as string);
        }
        return outcome;
    }

    snapshot(): Uint8Array {
        const snapshot: TableSnapshot = {
            version: this.#version,
            rows: [...this.#rows.values()],
            outcomes: [...this.#outcomes],
            history: this.#history,
            deletedVersions: [...this.#deletedVersions],
            forgottenVersion: this.#maxPrunedVersion,
        };
        return encode(snapshot);
    }

    restore(bytes: Uint8Array): void {
        const snapshot = decode(bytes) as TableSnapshot;
        this.#version = snapshot.version;
        this.#rows = new Map(snapshot.rows.map((row) => [rowKey(row.kind, row.name), row]));
        this.#outcomes = new Map(snapshot.outcomes);
        this.#history = snapshot.history;
        this.#deletedVersions = new Map(snapshot.deletedVersions);
        this.#maxPrunedVersion = snapshot.forgottenVersion;
        this.#notify();
    }

    /** Calls `listener` after each accepted edit or restored snapshot. Returns a function that removes it. */
    onChange(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    rows(kind?: RowKind): StoredRow[] {
        const rows = [...this.#rows.values()];
        return kind === undefined ? rows : rows.filter((row) => row.kind === kind);
    }

    row(kind: RowKind, name: string): StoredRow | undefined {
        return this.#rows.get(rowKey(kind, name));
    }

    models(): ModelRow[] {
        return this.rows(RowKind.Model).map((row) => toTypedRow<ModelColumns>(row));
    }

    model(name: string): ModelRow | undefined {
        const row = this.row(RowKind.Model, name);
        return row && toTypedRow<ModelColumns>(row);
    }

    organisations(): OrganisationRow[] {
        return this.rows(RowKind.Organisation).map((row) => toTypedRow<OrganisationColumns>(row));
    }

    organisation(name: string): OrganisationRow | undefined {
        const row = this.row(RowKind.Organisation, name);
        return row && toTypedRow<OrganisationColumns>(row);
    }

    service(name: string): ServiceRow | undefined {
        const row = this.row(RowKind.Service, name);
        return row && toTypedRow<ServiceColumns>(row);
    }

    /** Columns of the row `setting/fleet`, or their defaults. */
    fleetSettings(): SettingColumns {
        return settingColumns.parse(this.row(RowKind.Setting, "fleet")?.columns ?? {});
    }

    /** Outcome of the first edit with this id, unless it was pruned. */
    outcomeOf(editId: string): EditOutcome | undefined {
        return this.#outcomes.get(editId);
    }

    /** Latest history entries, newest first. */
    history(limit = 100): HistoryEntry[] {
        return this.#history.slice(-limit).reverse();
    }

    #applyEdit(index: number, edit: EditCommand): EditOutcome {
        const validated = edit.changes.map((change) => this.#validateChange(change));
        const errors = [...validated.flatMap((result) => result.errors), ...findRepeatedRows(edit.changes)];
        if (errors.length > 0) {
            return { status: "invalid", errors };
        }
        const conflicts = edit.changes.filter((change) =>
            this.#currentVersion(change) !== change.baseVersion
        );
        if (conflicts.length > 0) {
            return {
                status: "conflict",
                conflicts: conflicts.map((change) => ({
                    row: rowKey(change.kind, change.name),
                    baseVersion: change.baseVersion,
                    present: this.row(change.kind, change.name),
                })),
            };
        }
        const sharedKeys = findSharedApiKeys(this.#organisationsAfter(edit, validated));
        if (sharedKeys.length > 0) {
            return { status: "invalid", errors: sharedKeys };
        }
        const rows = edit.changes.map((change, position) =>
            this.#applyChange(index, edit, change, validated[position]?.columns)
        );
        this.#version = index;
        this.#notify();
        return { status: "accepted", tableVersion: index, rows: rows.filter((row) => row !== undefined) };
    }

    #organisationsAfter(
        edit: EditCommand,
        validated: { columns?: Record<string, unknown>; }[],
    ): Pick<StoredRow, "kind" | "name" | "columns">[] {
        const changed = new Set(edit.changes.map(({ kind, name }) => rowKey(kind, name)));
        const unchanged = this.rows(RowKind.Organisation).filter((row) =>
            !changed.has(rowKey(row.kind, row.name))
        );
        const edited = edit.changes.flatMap(({ kind, name }, position) => {
            const columns = validated[position]?.columns;
            return columns === undefined ? [] : [{ kind, name, columns }];
        });
        return [...unchanged, ...edited];
    }

    #currentVersion(change: RowChange): number {
        return this.row(change.kind, change.name)?.version ?? 0;
    }

    #validateChange(change: RowChange): { columns?: Record<string, unknown>; errors: CellError[]; } {
        const key = rowKey(change.kind, change.name);
        const schema = columnsByKind[change.kind];
        if (schema === undefined) {
            const allowed = Object.values(RowKind).join(", ");
            return {
                errors: [{ row: key, column: "kind", reason: `unknown kind, must be one of ${allowed}` }],
            };
        }
        if (!NAME_PATTERN.test(change.name)) {
            return { errors: [{ row: key, column: "name", reason: `must match ${NAME_PATTERN.source}` }] };
        }
        if (change.columns === undefined) {
            const isMissing = change.baseVersion === 0 && this.row(change.kind, change.name) === undefined;
            const error = { row: key, column: "name", reason: "the row to delete does not exist" };
            return { errors: isMissing ? [error] : [] };
        }
        const result = schema.safeParse({
            ...this.row(change.kind, change.name)?.columns,
            ...change.columns,
        });
        if (result.success) {
            return { columns: result.data, errors: [] };
        }
        return {
            errors: result.error.issues.map((issue) => ({
                row: key,
                column: issue.path.join(".") || "columns",
                reason: issue.message,
            })),
        };
    }

    #applyChange(
        index: number,
        edit: EditCommand,
        change: RowChange,
        columns: Record<string, unknown> | undefined,
    ): StoredRow | undefined {
        const key = rowKey(change.kind, change.name);
        const before = this.#rows.get(key);
        this.#history.push({
            tableVersion: index,
            editId: edit.editId,
            operator: edit.operator,
            atMs: edit.atMs,
            row: key,
            before: before?.columns,
            after: columns,
        });
        if (this.#history.length > MAX_HISTORY_ENTRIES) {
            this.#history.shift();
        }
        if (columns === undefined) {
            this.#rows.delete(key);
            this.#recordDeletion(key, change.baseVersion + 1);
            return undefined;
        }
        const versionBefore = before?.version ?? this.#deletedVersions.get(key) ?? this.#maxPrunedVersion;
        this.#deletedVersions.delete(key);
        const row: StoredRow = {
            kind: change.kind,
            name: change.name,
            version: versionBefore + 1,
            columns,
        };
        this.#rows.set(key, row);
        return row;
    }

    /** Keeps the version, so that an edit based on the deleted row conflicts with a later row of the same name. */
    #recordDeletion(key: string, version: number): void {
        this.#deletedVersions.set(key, version);
        if (this.#deletedVersions.size <= MAX_DELETED_ROWS) {
            return;
        }
        const [oldest] = this.#deletedVersions;
        if (oldest !== undefined) {
            this.#deletedVersions.delete(oldest[0]);
            this.#maxPrunedVersion = Math.max(this.#maxPrunedVersion, oldest[1]);
        }
    }

    #notify(): void {
        for (const listener of this.#listeners) {
            listener();
        }
    }
}

/** Errors for rows that an edit changes more than once, because only one of the changes could take effect. */
const findRepeatedRows = (changes: readonly RowChange[]): CellError[] => {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    for (const change of changes) {
        const key = rowKey(change.kind, change.name);
        (seen.has(key) ? repeated : seen).add(key);
    }
    return [...repeated].map((row) => ({
        row,
        column: "name",
        reason: "the edit changes this row more than once",
    }));
};

const toTypedRow = <Columns>(row: StoredRow): { name: string; version: number; } & Columns => ({
    ...(row.columns as Columns),
    name: row.name,
    version: row.version,
});
