import type { RowKind, StoredRow } from "./rows.ts";

/** One row of an edit. */
export interface RowChange {
    kind: RowKind;
    name: string;
    /** Version of the row that the edit is based on; 0 for a row that does not exist yet. */
    baseVersion: number;
    /** Columns to set. `undefined` deletes the row. */
    columns?: Record<string, unknown>;
}

/** Command that changes the table: all changes are applied or none. */
export interface EditCommand {
    type: "table.edit";
    /** Chosen by the client. A resend with the same id gets the first outcome. */
    editId: string;
    operator: string;
    /** Wall clock of the client's daemon, for the history only. */
    atMs: number;
    changes: RowChange[];
}

export const EditStatus = { Accepted: "accepted", Conflict: "conflict", Invalid: "invalid" } as const;

export interface CellError {
    row: string;
    column: string;
    reason: string;
}

export type EditOutcome =
    | { status: "accepted"; tableVersion: number; rows: StoredRow[]; }
    | { status: "conflict"; conflicts: { row: string; baseVersion: number; present?: StoredRow; }[]; }
    | { status: "invalid"; errors: CellError[]; };

/** One change of one row in the history. */
export interface HistoryEntry {
    tableVersion: number;
    editId: string;
    operator: string;
    atMs: number;
    row: string;
    before?: Record<string, unknown>;
    after?: Record<string, unknown>;
}

export const rowKey = (kind: RowKind, name: string): string => `${kind}/${name}`;
