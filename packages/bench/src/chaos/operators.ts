import type { Random } from "@greengage/base";
import { newId, sleep } from "@greengage/base";
import type { Cluster, DaemonHandle } from "../cluster.ts";
import { EDITED_ROWS } from "./fleet.ts";
import type { Violations } from "./violations.ts";

const MAX_SENDS = 8;
const RESEND_DELAY_MS = 300;
const MAX_PAUSE_MS = 700;

interface Row {
    kind: string;
    name: string;
    version: number;
    columns: { weight: number; };
}

interface EditAnswer {
    outcome?: { status: string; tableVersion?: number; rows?: Row[]; };
    type?: string;
    verdict?: string;
}

/** An edit that a daemon confirmed as accepted. */
interface AcceptedEdit {
    editId: string;
    row: string;
    rowVersion: number;
    tableVersion: number;
    weight: number;
}

/** Two operators edit the same row from one base version. Unanswered edits are resent with the same edit id. */
export class Operators {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #random: Random;
    readonly accepted: AcceptedEdit[] = [];
    readonly answerCounts = new Map<string, number>();
    #nextWeight = 1;

    constructor(cluster: Cluster, violations: Violations, random: Random) {
        this.#cluster = cluster;
        this.#violations = violations;
        this.#random = random;
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#editConcurrently(signal);
            await sleep(this.#random.nextInt(MAX_PAUSE_MS), signal);
        }
    }

    /** Makes one edit without a concurrent one. Returns the table version, or undefined if it was not accepted. */
    async edit(): Promise<number | undefined> {
        const row = await this.#readRow(this.#random.pick(EDITED_ROWS));
        return row && await this.#editRow(row, new AbortController().signal);
    }

    /** Checks that the history has every accepted edit exactly once and that each row holds its last accepted edit. */
    async check(daemon: DaemonHandle): Promise<void> {
        const { rows } = await this.#cluster.callOperatorApi(daemon, "GET", "table") as { rows: Row[]; };
        const path = "table/history?limit=100000";
        const { entries } = await this.#cluster.callOperatorApi(daemon, "GET", path) as {
            entries: { editId: string; tableVersion: number; row: string; }[];
        };
        for (const edit of this.accepted) {
            const found = entries.filter((entry) => entry.editId === edit.editId);
            if (found.length !== 1 || found[0]?.tableVersion !== edit.tableVersion) {
                this.#violations.add(
                    "P8 accepted edit lost",
                    `${JSON.stringify(edit)}: ${JSON.stringify(found)}`,
                );
            }
            const row = rows.find(({ kind, name }) => kind === "organisation" && name === edit.row);
            const isCurrent = row?.version === edit.rowVersion;
            if (row === undefined || row.version < edit.rowVersion) {
                this.#violations.add(
                    "P8 row version decreased",
                    `${JSON.stringify(edit)}: ${JSON.stringify(row)}`,
                );
            }
            if (isCurrent && row.columns.weight !== edit.weight) {
                this.#violations.add(
                    "P8 row lacks the value of its last edit",
                    `${JSON.stringify(edit)}: ${JSON.stringify(row)}`,
                );
            }
        }
    }

    async #editConcurrently(signal: AbortSignal): Promise<void> {
        const row = await this.#readRow(this.#random.pick(EDITED_ROWS));
        if (row !== undefined) {
            await Promise.all([this.#editRow(row, signal), this.#editRow(row, signal)]);
        }
    }

    async #readRow(name: string): Promise<Row | undefined> {
        const table = await this.#callApi(this.#random.pick(this.#cluster.daemons), "GET", "table");
        return (table as { rows?: Row[]; } | undefined)?.rows?.find((row) =>
            row.kind === "organisation" && row.name === name
        );
    }

    async #editRow(row: Row, signal: AbortSignal): Promise<number | undefined> {
        const weight = this.#nextWeight++ / 1000 + 1;
        const editId = newId();
        const { kind, name, version: baseVersion } = row;
        const edit = {
            editId,
            operator: "bench",
            changes: [{ kind, name, baseVersion, columns: { weight } }],
        };
        for (let sends = 0; sends < MAX_SENDS && !signal.aborted; sends += 1) {
            const daemon = this.#random.pick(this.#cluster.daemons);
            const answer = await this.#callApi(daemon, "POST", "table", edit) as EditAnswer | undefined;
            const status = answer?.outcome?.status ?? answer?.type?.split(":").at(-1) ?? "none";
            this.answerCounts.set(status, (this.answerCounts.get(status) ?? 0) + 1);
            if (answer?.outcome?.status === "accepted") {
                return this.#recordAccepted({
                    editId,
                    row: name,
                    rowVersion: answer.outcome.rows?.[0]?.version ?? 0,
                    tableVersion: answer.outcome.tableVersion ?? 0,
                    weight,
                });
            }
            if (["conflict", "invalid"].includes(status)) {
                return undefined;
            }
            await sleep(RESEND_DELAY_MS, signal);
        }
        return undefined;
    }

    #recordAccepted(edit: AcceptedEdit): number {
        const conflicting = this.accepted.find((other) =>
            other.row === edit.row && other.rowVersion === edit.rowVersion
        );
        if (conflicting !== undefined) {
            this.#violations.add(
                "P8 two edits accepted for one base version",
                `${JSON.stringify(conflicting)} ${JSON.stringify(edit)}`,
            );
        }
        this.accepted.push(edit);
        return edit.tableVersion;
    }

    async #callApi(
        daemon: DaemonHandle,
        method: "GET" | "POST",
        path: string,
        body?: object,
    ): Promise<unknown> {
        return await this.#cluster.callOperatorApi(daemon, method, path, body, { timeoutMs: 6_000 }).catch(
            () => undefined,
        );
    }
}
