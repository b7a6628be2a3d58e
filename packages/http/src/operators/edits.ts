import { ErrorCode, GreengageError, newId, Verdict } from "@greengage/base";
import { type EditOutcome, type RowChange, rowKey, type RowKind, TableState } from "@greengage/table";
import { isDeepStrictEqual } from "node:util";
import { notRunError } from "../errors.ts";
import type { EditResponse, Hazard, OperatorApi, OperatorResponse, TableEdit } from "./api.ts";
import { editHazards } from "./hazards.ts";
import { bodyOf, editRequest, importRequest, numberOf, ok, queryOf, requireSafe } from "./requests.ts";
import type { OperatorHandler } from "./router.ts";

interface SafetyOptions {
    dryRun: boolean;
    force: boolean;
    reason?: string;
}

/** `GET table`. Query: `kind`. */
export const tableHandler: OperatorHandler = async (api, request) => {
    const kind = queryOf(request).get("kind");
    return ok({
        version: api.table.version,
        rows: api.table.rows((kind ?? undefined) as RowKind | undefined),
    });
};

/** `GET table/history`, newest first. Query: `limit`, `row`. */
export const historyHandler: OperatorHandler = async (api, request) => {
    const query = queryOf(request);
    const limit = numberOf(query, "limit", 100);
    const row = query.get("row") ?? undefined;
    const all = api.table.history(row === undefined ? limit : Number.MAX_SAFE_INTEGER);
    return ok({ entries: all.filter((entry) => row === undefined || entry.row === row).slice(0, limit) });
};

/** `POST table`: changes of cells, all or none. */
export const editHandler: OperatorHandler = async (api, request) => {
    const { editId, operator, changes, ...safety } = bodyOf(editRequest, request);
    return await runEdit(api, { editId, operator, changes: changes as RowChange[] }, safety);
};

/** `POST table/import`: whole rows, as one edit. */
export const importHandler: OperatorHandler = async (api, request) => {
    const { editId, operator, rows, replace, ...safety } = bodyOf(importRequest, request);
    const present = new Map(api.table.rows().map((row) => [rowKey(row.kind, row.name), row]));
    const wanted = rows.filter((row) =>
        !isSame(row.columns, present.get(rowKey(row.kind as RowKind, row.name))?.columns)
    );
    const changes: RowChange[] = wanted.map((row) => {
        const kind = row.kind as RowKind;
        const version = row.version ?? present.get(rowKey(kind, row.name))?.version ?? 0;
        return { kind, name: row.name, baseVersion: version, columns: row.columns };
    });
    const kept = new Set(rows.map((row) => rowKey(row.kind as RowKind, row.name)));
    const removed = [...present.values()].filter((row) => replace && !kept.has(rowKey(row.kind, row.name)));
    const deletions = removed.map(({ kind, name, version }) => ({ kind, name, baseVersion: version }));
    return await runEdit(api, { editId, operator, changes: [...changes, ...deletions] }, safety);
};

/** Whether a row already has all these cells, so that the import leaves it alone. */
const isSame = (columns: Record<string, unknown>, present: Record<string, unknown> | undefined): boolean =>
    present !== undefined
    && Object.entries(columns).every(([column, value]) => isDeepStrictEqual(value, present[column]));

const runEdit = async (
    api: OperatorApi,
    edit: TableEdit,
    safety: SafetyOptions,
): Promise<OperatorResponse> => {
    const hazards = await editHazards(api, edit.changes);
    if (safety.dryRun) {
        return ok({ dryRun: true, outcome: preview(api.table, edit), hazards });
    }
    if (hazards.length === 0 && edit.changes.length > 0) {
        return answerOf(await api.edit(edit));
    }
    const earlier = await earlierOutcome(api, edit.editId);
    if (earlier === undefined) {
        requireSafe(hazards, safety);
        recordForce(api, edit, hazards, safety.reason);
    }
    if (earlier === undefined && edit.changes.length === 0) {
        const outcome: EditOutcome = { status: "accepted", tableVersion: api.table.version, rows: [] };
        return ok({ outcome, inForceZones: [], pendingZones: [] });
    }
    return answerOf(await api.edit(edit));
};

const recordForce = (api: OperatorApi, edit: TableEdit, hazards: Hazard[], reason?: string): void => {
    if (hazards.length === 0) {
        return;
    }
    const { editId, operator } = edit;
    const forced = hazards.map(({ detail }) => detail).join("; ");
    api.record("table.forced", { editId, operator, reason, hazards: forced });
};

/**
 * The outcome that this edit id already has. A resend must get it even when the edit has become unsafe, and this
 * daemon may not have applied it yet.
 */
const earlierOutcome = async (api: OperatorApi, editId: string): Promise<EditOutcome | undefined> => {
    const known = api.table.outcomeOf(editId);
    if (known !== undefined) {
        return known;
    }
    try {
        await api.catchUp();
    }
    catch (error) {
        throw new GreengageError("whether this edit id was accepted before can't be found out now", {
            code: ErrorCode.Unavailable,
            verdict: Verdict.MayHaveRun,
            cause: error,
        });
    }
    return api.table.outcomeOf(editId);
};

/** What the edit would give, tried on a copy of the table. */
const preview = (table: TableState, edit: TableEdit): EditOutcome => {
    const copy = new TableState();
    copy.restore(table.snapshot());
    const command = { type: "table.edit", atMs: 0, ...edit, editId: newId() } as const;
    return copy.apply(table.version + 1, command);
};

/** Details of a refused edit, by status of its outcome. */
const refusals = {
    conflict: (outcome: Extract<EditOutcome, { status: "conflict"; }>) => ({
        code: ErrorCode.Conflict,
        detail: `changed by another edit meanwhile: ${outcome.conflicts.map(({ row }) => row).join(", ")}`,
    }),
    invalid: (outcome: Extract<EditOutcome, { status: "invalid"; }>) => ({
        code: ErrorCode.Invalid,
        detail: outcome.errors.map(({ row, column, reason }) => `${row} ${column}: ${reason}`).join("; "),
    }),
};

const answerOf = (answer: EditResponse): OperatorResponse => {
    const { outcome } = answer;
    if (outcome.status === "accepted") {
        return ok(answer);
    }
    const refuse = refusals[outcome.status] as (outcome: EditOutcome) => { code: ErrorCode; detail: string; };
    const { code, detail } = refuse(outcome);
    throw notRunError(code, detail, { ...answer });
};
