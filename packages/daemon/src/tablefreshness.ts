import { type Context, ErrorCode, GreengageError, Invariant, monotonicMs, Verdict } from "@greengage/base";

/** Time for which a running daemon may serve a table older than its zone's. Edits must take effect within 3 s. */
const TABLE_LAG_MS = 3_000;
const RETRY_AFTER_MS = 1_000;

export interface TableFreshnessOptions {
    context: Context;
    /** Version of the local table. */
    tableVersion: () => number;
    /** Highest version reported by any daemon of the zone, as of the last grant. */
    tableFloor: () => number;
    /** Whether the grant of the daemon's zone is valid, so that `tableFloor` is up to date. */
    isTableFloorKnown: () => boolean;
    /** Whether the local log includes everything that was committed when the daemon started. */
    isLogCurrent: () => boolean;
}

/**
 * Rejects requests of callers while the local table is stale. A daemon that has just started must first reach the
 * zone's version, because callers may have observed it; a running one may lag by up to `TABLE_LAG_MS`.
 */
export class TableFreshness {
    readonly #options: TableFreshnessOptions;
    /** When the table was last known to be at the zone's version. Undefined if never since the start. */
    #lastCurrentAtMs: number | undefined;
    #lastServedVersion = 0;

    constructor(options: TableFreshnessOptions) {
        this.#options = options;
    }

    /** Compares the local version with the zone's. Must be called after each grant. */
    observe(): void {
        const { isTableFloorKnown, tableVersion, tableFloor } = this.#options;
        if (isTableFloorKnown() && tableVersion() >= tableFloor()) {
            this.#lastCurrentAtMs = monotonicMs();
        }
    }

    /** Returns why the table is stale, or undefined when it may be served. */
    staleReason(): string | undefined {
        if (!this.#options.isLogCurrent()) {
            return "the daemon has not caught up with the table since its start";
        }
        this.observe();
        const version = this.#options.tableVersion();
        const floor = this.#options.tableFloor();
        if (version >= floor) {
            return undefined;
        }
        // Measured from the last time the table was current, so that a pause of the process counts as lag.
        if (this.#lastCurrentAtMs !== undefined && monotonicMs() - this.#lastCurrentAtMs < TABLE_LAG_MS) {
            return undefined;
        }
        return `the daemon's table is at version ${version}, the zone's at ${floor}`;
    }

    /** Throws a GreengageError with code `unavailable` while the table is stale. */
    assertFresh(): void {
        const reason = this.staleReason();
        if (reason !== undefined) {
            throw new GreengageError(reason, {
                code: ErrorCode.Unavailable,
                verdict: Verdict.NotRun,
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const version = this.#options.tableVersion();
        this.#options.context.invariants.check(
            Invariant.TableNeverReverts,
            version >= this.#lastServedVersion,
            () => `table version ${version} was served after version ${this.#lastServedVersion}`,
        );
        this.#lastServedVersion = Math.max(this.#lastServedVersion, version);
    }
}
