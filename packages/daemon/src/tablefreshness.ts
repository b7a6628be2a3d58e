import { type Context, ErrorCode, GreengageError, Invariant, monotonicMs, Verdict } from "@greengage/base";

/** A running daemon may serve an older table than its zone for this long: an edit is in effect within 3 s. */
const TABLE_LAG_MS = 3_000;
const RETRY_AFTER_MS = 1_000;

export interface TableFreshnessOptions {
    context: Context;
    /** Version of this daemon's copy of the table. */
    tableVersion: () => number;
    /** Highest version that any daemon of the zone has reported, as of the last grant. */
    tableFloor: () => number;
    /** Whether the grant of the daemon's own zone is valid, so that the floor is known. */
    isTableFloorKnown: () => boolean;
    /** Whether the daemon has caught up with what was committed when it started. */
    isLogCurrent: () => boolean;
}

/**
 * Refuses requests of callers while this daemon's table is too old to serve. A daemon that has just started must
 * reach the zone's version first, because callers may have seen it; a running one may lag for `TABLE_LAG_MS`.
 */
export class TableFreshness {
    readonly #options: TableFreshnessOptions;
    /** When the table was last known to be at the zone's version. Missing since the start. */
    #lastCurrentAtMs: number | undefined;
    #lastServedVersion = 0;

    constructor(options: TableFreshnessOptions) {
        this.#options = options;
    }

    /** Compares the table with the zone's version. Call it after each grant. */
    observe(): void {
        const { isTableFloorKnown, tableVersion, tableFloor } = this.#options;
        if (isTableFloorKnown() && tableVersion() >= tableFloor()) {
            this.#lastCurrentAtMs = monotonicMs();
        }
    }

    /** Why this daemon must not serve now, if so. */
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
        // The lag counts from the last time without one: a paused daemon learns of newer versions only when it goes on.
        if (this.#lastCurrentAtMs !== undefined && monotonicMs() - this.#lastCurrentAtMs < TABLE_LAG_MS) {
            return undefined;
        }
        return `the daemon's table is at version ${version}, the zone's at ${floor}`;
    }

    /** Throws `unavailable`, not run, while the table is too old. */
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
            () => `table version ${version} is served after version ${this.#lastServedVersion}`,
        );
        this.#lastServedVersion = Math.max(this.#lastServedVersion, version);
    }
}
