export const ActionOutcome = {
    Ran: "ran",
    NotRun: "notRun",
    SettledRan: "settledRan",
    SettledNotRun: "settledNotRun",
} as const;

export type ActionOutcome = typeof ActionOutcome[keyof typeof ActionOutcome];

/** Record of the only attempt at a non-idempotent call that may be sent. */
export interface ActionRecord {
    organisation: string;
    /** The caller's idempotency key. */
    key: string;
    /** SHA-256 of method, path and body. */
    bodyHash: string;
    service: string;
    attemptId: string;
    daemonId: string;
    /** Start time by the wall clock of the daemon; for display only. */
    atMs: number;
    /** Missing while the outcome is unknown. */
    outcome?: ActionOutcome;
    status?: number;
    contentType?: string;
    /** Missing when the response was too large to store, or its body has been evicted. */
    body?: Uint8Array;
    settledBy?: string;
    reason?: string;
}

type AttemptFields = "organisation" | "key" | "bodyHash" | "service" | "attemptId" | "daemonId" | "atMs";

export type IntentCommand = { type: "action.intent"; } & Pick<ActionRecord, AttemptFields>;

export interface OutcomeCommand {
    type: "action.outcome";
    organisation: string;
    key: string;
    attemptId: string;
    outcome: "ran" | "notRun";
    status?: number;
    contentType?: string;
    body?: Uint8Array;
}

export interface SettleCommand {
    type: "action.settle";
    organisation: string;
    key: string;
    /** The attempt that the operator decided on. No other attempt is settled. */
    attemptId: string;
    outcome: "settledRan" | "settledNotRun";
    operator: string;
    reason: string;
}

export type ActionCommand = IntentCommand | OutcomeCommand | SettleCommand;

export type IntentResult =
    /** Only this attempt may send the call. */
    | { kind: "accepted"; }
    /** This attempt was voided or has an outcome, and must not send the call. */
    | { kind: "refused"; }
    /** The key belongs to another attempt. */
    | { kind: "exists"; record: ActionRecord; }
    /** The key was used, and its record has been evicted. */
    | { kind: "spent"; }
    /** A limit on records is reached; nothing has changed. */
    | { kind: "full"; };

export type OutcomeResult =
    | { kind: "recorded"; }
    /** The attempt was voided before its intent was committed. `record` is the current record of the key. */
    | { kind: "voided"; record?: ActionRecord; }
    /** The action already has an outcome. */
    | { kind: "known"; record: ActionRecord; };

export type SettleResult =
    | { kind: "settled"; }
    | { kind: "known"; record: ActionRecord; }
    | { kind: "missing"; };
