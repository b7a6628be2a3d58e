import { ErrorCode, GreengageError, newId, Verdict } from "@greengage/base";
import { type EditOutcome, type RowChange, rowKey, type RowKind, TableState } from "@greengage/table";
import { isDeepStrictEqual } from "node:util";
import { notRunError } from "../errors.ts";
import type { EditResponse, Hazard, OperatorApi, OperatorResponse, TableEdit } from "./api.ts";
import { editHazards } from "./hazards.ts";
import {
    editRequest,
    importRequest,
    ok,
    parseBody,
    parseQuery,
    parseWholeNumber,
    requireSafe,
} from "./requests.ts";
import type { OperatorHandler } from "./router.ts";

interface SafetyOptions {
    dryRun: boolean;
    force: boolean;
    reason?: string;
}

/** `GET table`: rows of the table. Query: `kind`. */
export const tableHandler: OperatorHandler = async (api, request) => {
    const kind = parseQuery(request).get("kind");
    return ok({
        version: api.table.version,
        rows: api.table.rows((kind ?? undefined) as RowKind | undefined),
    });
};

/** `GET table/history`: changes, newest first. Query: `limit`, `row`. */
export const historyHandler: OperatorHandler = async (api, request) => {
    const query = parseQuery(request);
    const limit = parseWholeNumber(query, "limit", 100);
    const row = query.get("row") ?? undefined;
    const all = api.table.history(row === undefined ? limit : Number.MAX_SAFE_INTEGER);
    return ok({ entries: all.filter((entry) => row === undefined || entry.row === row).slice(0, limit) });
};

/** `POST table`: changes cells atomically. */
export const editHandler: OperatorHandler = async (api, request) => {
    const { editId, operator, changes, ...safety } = parseBody(editRequest, request);
    return await applyEdit(api, { editId, operator, changes: changes as RowChange[] }, safety);
};

/** `POST table/import`: imports complete rows as one edit. */
export const importHandler: OperatorHandler = async (api, request) => {
    const { editId, operator, rows, replace, ...safety } = parseBody(importRequest, request);
    const currentRows = new Map(api.table.rows().map((row) => [rowKey(row.kind, row.name), row]));
    const changedRows = rows.filter((row) =>
        !hasSameCells(row.columns, currentRows.get(rowKey(row.kind as RowKind, row.name))?.columns)
    );
    const changes: RowChange[] = changedRows.map((row) => {
        const kind = row.kind as RowKind;
        const version = row.version ?? currentRows.get(rowKey(kind, row.name))?.version ?? 0;
        return { kind, name: row.name, baseVersion: version, columns: row.columns };
    });
    const importedKeys = new Set(rows.map((row) => rowKey(row.kind as RowKind, row.name)));
    const removedRows = [...currentRows.values()].filter((row) =>
        replace && !importedKeys.has(rowKey(row.kind, row.name))
    );
    const deletions = removedRows.map(({ kind, name, version }) => ({ kind, name, baseVersion: version }));
    return await applyEdit(api, { editId, operator, changes: [...changes, ...deletions] }, safety);
};

/** Whether a row already has all these cells, so that the import does not change it. */
const hasSameCells = (
    columns: Record<string, unknown>,
    current: Record<string, unknown> | undefined,
): boolean =>
    current !== undefined
    && Object.entries(columns).every(([column, value]) => isDeepStrictEqual(value, current[column]));

const applyEdit = async (
    api: OperatorApi,
    edit: TableEdit,
    safety: SafetyOptions,
): Promise<OperatorResponse> => {
    const hazards = await editHazards(api, edit.changes);
    if (safety.dryRun) {
        return ok({ dryRun: true, outcome: previewEdit(api.table, edit), hazards });
    }
    if (hazards.length === 0 && edit.changes.length > 0) {
        return createEditResponse(await api.edit(edit));
    }
    const earlier = await findEarlierOutcome(api, edit.editId);
    if (earlier === undefined) {
        requireSafe(hazards, safety);
        recordForcedEdit(api, edit, hazards, safety.reason);
    }
    if (earlier === undefined && edit.changes.length === 0) {
        const outcome: EditOutcome = { status: "accepted", tableVersion: api.table.version, rows: [] };
        return ok({ outcome, inForceZones: [], pendingZones: [] });
    }
    return createEditResponse(await api.edit(edit));
};

const recordForcedEdit = (api: OperatorApi, edit: TableEdit, hazards: Hazard[], reason?: string): void => {
    if (hazards.length === 0) {
        return;
    }
    const { editId, operator } = edit;
    const forced = hazards.map(({ detail }) => detail).join("; ");
    api.record("table.forced", { editId, operator, reason, hazards: forced });
};

/**
 * Returns the outcome of an earlier edit with this id. A resend must get that outcome even when the edit has become
 * unsafe. This daemon may not have applied the earlier edit yet, so it catches up with the log first.
 */
const findEarlierOutcome = async (api: OperatorApi, editId: string): Promise<EditOutcome | undefined> => {
    const localOutcome = api.table.outcomeOf(editId);
    if (localOutcome !== undefined) {
        return localOutcome;
    }
    try {
        await api.catchUp();
    }
    catch (error) {
        throw new GreengageError("could not determine whether an edit with this id was accepted before", {
            code: ErrorCode.Unavailable,
            verdict: Verdict.MayHaveRun,
            cause: error,
        });
    }
    return api.table.outcomeOf(editId);
};

/** Outcome that the edit would have, determined on a copy of the table. */
const previewEdit = (table: TableState, edit: TableEdit): EditOutcome => {
    const copy = new TableState();
    copy.restore(table.snapshot());
    const command = { type: "table.edit", atMs: 0, ...edit, editId: newId() } as const;
    return copy.apply(table.version + 1, command);
};

/** Error code and detail of a rejected edit, by status of its outcome. */
const problemsByStatus = {
    conflict: (outcome: Extract<EditOutcome, { status: "conflict"; }>) => ({
        code: ErrorCode.Conflict,
        detail: `changed by another edit in the meantime: ${
            outcome.conflicts.map(({ row }) => row).join(", ")
        }`,
    }),
    invalid: (outcome: Extract<EditOutcome, { status: "invalid"; }>) => ({
        code: ErrorCode.Invalid,
        detail: outcome.errors.map(({ row, column, reason }) => `${row} ${column}: ${reason}`).join("; "),
    }),
};

const createEditResponse = (response: EditResponse): OperatorResponse => {
    const { outcome } = response;
    if (outcome.status === "accepted") {
        return ok(response);
    }
    const describeProblem = problemsByStatus[outcome.status] as (
        outcome: EditOutcome,
    ) => { code: ErrorCode; detail: string; };
    const { code, detail } = describeProblem(outcome);
    throw notRunError(code, detail, { ...response });
};
