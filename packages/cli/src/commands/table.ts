import type { HistoryEntry, StoredRow } from "@greengage/table";
import { defineCommand } from "citty";
import { writeFileSync } from "node:fs";
import {
    connectionArgs,
    editArgs,
    jsonArg,
    operatorArg,
    parseSafety,
    parseWholeNumber,
    resolveEditId,
    resolveOperator,
    safetyArgs,
} from "../args.ts";
import { OperatorClient, readFile } from "../client.ts";
import { sendEdit } from "../edit.ts";
import { CommandError, ExitCode, usageError } from "../exit.ts";
import { VARIADIC_HINT } from "../flags.ts";
import { printJson, printTable } from "../output.ts";

interface TableResponse {
    version: number;
    rows: StoredRow[];
}

const rowArg = { type: "positional", description: "Row as KIND/NAME, for example model/assistant" } as const;

const parseRow = (row: string): { kind: string; name: string; } => {
    const [kind = "", ...name] = row.split("/");
    if (name.length === 0) {
        throw usageError(`"${row}" is not of the form KIND/NAME`);
    }
    return { kind, name: name.join("/") };
};

/** Parses the value of a cell as JSON, or returns it as text when it is not valid JSON. */
const parseValue = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
};

const parseColumns = (cells: string[]): Record<string, unknown> =>
    Object.fromEntries(cells.map((cell) => {
        const position = cell.indexOf("=");
        if (position < 1) {
            throw usageError(`"${cell}" is not of the form COLUMN=VALUE`);
        }
        return [cell.slice(0, position), parseValue(cell.slice(position + 1))];
    }));

const printRows = (rows: StoredRow[]): void => {
    const cells = rows.flatMap((row) =>
        Object.entries(row.columns).map(([column, value]) => [
            `${row.kind}/${row.name}`,
            row.version,
            column,
            JSON.stringify(value),
        ])
    );
    printTable(["row", "version", "column", "value"], cells);
};

const getCommand = defineCommand({
    meta: { name: "get", description: "Show the table, one kind of rows, or one row" },
    args: {
        row: { ...rowArg, description: "KIND or KIND/NAME. Default: all rows", required: false },
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const [kind, name] = (args.row ?? "").split("/", 2);
        const query = kind ? `?kind=${encodeURIComponent(kind)}` : "";
        const table = await new OperatorClient(args).get<TableResponse>(`table${query}`);
        const rows = table.rows.filter((row) => name === undefined || row.name === name);
        if (name !== undefined && rows.length === 0) {
            throw new CommandError(`the table has no row ${args.row}`, ExitCode.Failed);
        }
        if (args.json) {
            printJson({ version: table.version, rows });
            return;
        }
        console.log(`table version ${table.version}`);
        printRows(rows);
    },
});

const setCommand = defineCommand({
    meta: { name: "set", description: "Change cells of a row, add a row, or delete it" },
    args: {
        row: { ...rowArg, required: true },
        cells: {
            type: "positional",
            description: "COLUMN=VALUE, any number of them",
            required: false,
            valueHint: VARIADIC_HINT,
        },
        delete: { type: "boolean", description: "Delete the row", default: false },
        "base-version": {
            type: "string",
            description: "Row version that the edit is based on. Default: the current version",
        },
        ...editArgs,
        ...operatorArg,
        ...safetyArgs,
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const { kind, name } = parseRow(args.row);
        const cells = args._.slice(1);
        if (args.delete === cells.length > 0) {
            throw usageError("give either COLUMN=VALUE or --delete");
        }
        const columns = args.delete ? undefined : parseColumns(cells);
        const baseVersion = args["base-version"] === undefined
            ? await fetchRowVersion(new OperatorClient(args), kind, name)
            : parseWholeNumber("base-version", args["base-version"]);
        const changes = [{ kind, name, baseVersion, columns }];
        const body = {
            editId: resolveEditId(args),
            operator: resolveOperator(args),
            changes,
            ...parseSafety(args),
        };
        return await sendEdit(args, {
            path: "table",
            body,
            json: args.json,
            wait: args.wait,
            isResend: args["edit-id"] !== undefined,
        });
    },
});

const fetchRowVersion = async (client: OperatorClient, kind: string, name: string): Promise<number> => {
    const { rows } = await client.get<TableResponse>(`table?kind=${encodeURIComponent(kind)}`);
    return rows.find((row) => row.name === name)?.version ?? 0;
};

const exportCommand = defineCommand({
    meta: { name: "export", description: "Export the whole table as JSON, for table import" },
    args: {
        file: { type: "string", description: "File to write. Default: standard output" },
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const table = await new OperatorClient(args).get<TableResponse>("table/export");
        if (args.file === undefined) {
            printJson(table);
            return;
        }
        writeFileSync(args.file, JSON.stringify(table, undefined, 2) + "\n");
        console.log(`wrote ${table.rows.length} rows of table version ${table.version} to ${args.file}`);
    },
});

const importCommand = defineCommand({
    meta: { name: "import", description: "Import exported rows into the table as one edit" },
    args: {
        file: { type: "positional", description: "File written by table export", required: true },
        replace: { type: "boolean", description: "Delete rows that are not in the file", default: false },
        ...editArgs,
        ...operatorArg,
        ...safetyArgs,
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const { replace } = args;
        const rows = readRows(args.file);
        const body = {
            editId: resolveEditId(args),
            operator: resolveOperator(args),
            rows,
            replace,
            ...parseSafety(args),
        };
        return await sendEdit(args, {
            path: "table/import",
            body,
            json: args.json,
            wait: args.wait,
            isResend: args["edit-id"] !== undefined,
        });
    },
});

const readRows = (path: string): unknown[] => {
    const value = parseValue(readFile(path)) as { rows?: unknown; };
    if (!Array.isArray(value.rows)) {
        throw usageError(`${path} was not written by table export: it has no "rows" array`);
    }
    return value.rows as unknown[];
};

const historyCommand = defineCommand({
    meta: { name: "history", description: "Show the history of changes, newest first" },
    args: {
        row: { ...rowArg, required: false },
        limit: { type: "string", description: "Maximum number of changes", default: "20" },
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const query = new URLSearchParams({ limit: String(parseWholeNumber("limit", args.limit)) });
        if (args.row !== undefined) {
            query.set("row", args.row);
        }
        const { entries } = await new OperatorClient(args)
            .get<{ entries: HistoryEntry[]; }>(`table/history?${query}`);
        if (args.json) {
            printJson({ entries });
            return;
        }
        printTable(
            ["version", "when", "operator", "row", "before", "after"],
            entries.map((entry) => [
                entry.tableVersion,
                new Date(entry.atMs).toISOString(),
                entry.operator,
                entry.row,
                JSON.stringify(entry.before),
                JSON.stringify(entry.after),
            ]),
        );
    },
});

export const tableCommand = defineCommand({
    meta: { name: "table", description: "Show and change the operators' table" },
    subCommands: {
        get: getCommand,
        set: setCommand,
        import: importCommand,
        export: exportCommand,
        history: historyCommand,
    },
});
