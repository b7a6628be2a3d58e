export const ActionOutcome = {
    Ran: "ran",
    NotRun: "notRun",
    SettledRan: "settledRan",
    SettledNotRun: "settledNotRun",
} as const;

export type ActionOutcome = typeof ActionOutcome[keyof typeof ActionOutcome];

/** The one attempt at a non-idempotent call that may be sent. */
export interface ActionRecord {
    organisation: string;
    /** The caller's idempotency key. */
    key: string;
    /** SHA-256 of method, path and body. */
    bodyHash: string;
    service: string;
    attemptId: string;
    daemonId: string;
    /** Wall clock of the daemon, for operators only. */
    atMs: number;
    /** Missing while the outcome is unknown. */
    outcome?: ActionOutcome;
    status?: number;
    contentType?: string;
    /** Missing when the answer was too large to keep, or is too old. */
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
    /** Attempt that the operator saw. Another attempt is not settled. */
    attemptId: string;
    outcome: "settledRan" | "settledNotRun";
    operator: string;
    reason: string;
}

export type ActionCommand = IntentCommand | OutcomeCommand | SettleCommand;

export type IntentResult =
    /** This attempt, and no other, may send. */
    | { kind: "accepted"; }
    /** This attempt was voided and must not send. */
    | { kind: "refused"; }
    /** Another attempt holds the key. */
    | { kind: "exists"; record: ActionRecord; }
    /** The key was used, and its record has been dropped. */
    | { kind: "spent"; }
    /** No room for a new record; nothing changed. */
    | { kind: "full"; };

export type OutcomeResult =
    | { kind: "recorded"; }
    /** The attempt was voided before its intent was committed. `record` is the key's record, if it has one. */
    | { kind: "voided"; record?: ActionRecord; }
    /** The outcome was known already. */
    | { kind: "known"; record: ActionRecord; };

export type SettleResult =
    | { kind: "settled"; }
    | { kind: "known"; record: ActionRecord; }
    | { kind: "missing"; };
