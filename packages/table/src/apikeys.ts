import type { CellError } from "./edits.ts";
import { RowKind, type StoredRow } from "./rows.ts";

type Organisation = Pick<StoredRow, "kind" | "name" | "columns">;

/** Errors for API keys that belong to more than one organisation, whose requests could be attributed to either. */
export const findSharedApiKeys = (rows: readonly Organisation[]): CellError[] => {
    const owners = new Map<string, string>();
    const errors: CellError[] = [];
    for (const row of rows.filter(({ kind }) => kind === RowKind.Organisation)) {
        for (const hash of new Set(row.columns["apiKeyHashes"] as string[])) {
            const owner = owners.get(hash);
            if (owner !== undefined) {
                const reason = `key ${hash.slice(0, 8)}… belongs to ${owner}`;
                errors.push({ row: `${row.kind}/${row.name}`, column: "apiKeyHashes", reason });
            }
            owners.set(hash, `${row.kind}/${row.name}`);
        }
    }
    return errors;
};
