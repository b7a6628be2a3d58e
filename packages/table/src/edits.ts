import type { RowKind, StoredRow } from "./rows.ts";

/** Change of one row in an edit. */
export interface RowChange {
    kind: RowKind;
    name: string;
    /** Version of the row that the edit is based on; 0 for a row that does not exist yet. */
    baseVersion: number;
    /** Columns to set; undefined deletes the row. */
    columns?: Record<string, unknown>;
}

/** Command that changes the table atomically: either all of its changes are applied or none. */
export interface EditCommand {
    type: "table.edit";
    /** Chosen by the client. A retry with the same id gets the outcome of the first attempt. */
    editId: string;
    operator: string;
    /** Wall-clock time of the daemon that received the edit; only used in the history. */
    atMs: number;
    changes: RowChange[];
}

export const EditStatus = { Accepted: "accepted", Conflict: "conflict", Invalid: "invalid" } as const;

/** Validation error of one column of a row. */
export interface CellError {
    row: string;
    column: string;
    reason: string;
}

export type EditOutcome =
    | { status: "accepted"; tableVersion: number; rows: StoredRow[]; }
    | { status: "conflict"; conflicts: { row: string; baseVersion: number; present?: StoredRow; }[]; }
    | { status: "invalid"; errors: CellError[]; };

/** Change of one row in the edit history. */
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
