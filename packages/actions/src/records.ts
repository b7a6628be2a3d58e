import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";

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
    body?: Uint8Array;
    settledBy?: string;
    reason?: string;
}

export type IntentCommand = { type: "action.intent"; } & Omit<ActionRecord, "outcome" | "status" | "body">;

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
    outcome: "settledRan" | "settledNotRun";
    operator: string;
    reason: string;
}

export type IntentResult =
    | { kind: "accepted"; }
    | { kind: "refused"; }
    | { kind: "exists"; record: ActionRecord; };

type ActionCommand = IntentCommand | OutcomeCommand | SettleCommand;

const recordKey = (organisation: string, key: string): string => `${organisation}\n${key}`;

/** Records of non-idempotent calls as every daemon holds them. Changes come from the replicated log alone. */
export class ActionRecords implements StateMachine {
    #records = new Map<string, ActionRecord>();
    #voidedAttempts = new Set<string>();

    readonly #handlers = {
        "action.intent": (command: IntentCommand): IntentResult => this.#intent(command),
        "action.outcome": (command: OutcomeCommand): boolean => this.#outcome(command),
        "action.settle": (command: SettleCommand): boolean => this.#settle(command),
    };

    apply(_: number, command: Command): unknown {
        const action = command as ActionCommand;
        const handler = this.#handlers[action.type] as (command: ActionCommand) => unknown;
        return handler(action);
    }

    snapshot(): Uint8Array {
        return encode({ records: [...this.#records.values()], voidedAttempts: [...this.#voidedAttempts] });
    }

    restore(bytes: Uint8Array): void {
        const snapshot = decode(bytes) as { records: ActionRecord[]; voidedAttempts: string[]; };
        this.#records = new Map(
            snapshot.records.map((record) => [recordKey(record.organisation, record.key), record]),
        );
        this.#voidedAttempts = new Set(snapshot.voidedAttempts);
    }

    get(organisation: string, key: string): ActionRecord | undefined {
        return this.#records.get(recordKey(organisation, key));
    }

    /** Records without an outcome, oldest first. */
    unknownOutcomes(): ActionRecord[] {
        return [...this.#records.values()].filter((record) => record.outcome === undefined);
    }

    #intent(command: IntentCommand): IntentResult {
        const key = recordKey(command.organisation, command.key);
        const existing = this.#records.get(key);
        if (this.#voidedAttempts.has(command.attemptId)) {
            return { kind: "refused" };
        }
        if (existing?.attemptId === command.attemptId) {
            return { kind: "accepted" };
        }
        if (existing !== undefined && existing.outcome !== ActionOutcome.NotRun) {
            return { kind: "exists", record: existing };
        }
        const { type: _, ...record } = command;
        this.#records.set(key, record);
        return { kind: "accepted" };
    }

    #outcome(command: OutcomeCommand): boolean {
        const key = recordKey(command.organisation, command.key);
        const record = this.#records.get(key);
        if (record?.attemptId !== command.attemptId) {
            this.#voidedAttempts.add(command.attemptId);
            return false;
        }
        if (record.outcome !== undefined) {
            return false;
        }
        const { outcome, status, contentType, body } = command;
        this.#records.set(key, { ...record, outcome, status, contentType, body });
        return true;
    }

    #settle(command: SettleCommand): boolean {
        const key = recordKey(command.organisation, command.key);
        const record = this.#records.get(key);
        if (record === undefined || record.outcome !== undefined) {
            return false;
        }
        const { outcome, operator, reason } = command;
        this.#records.set(key, { ...record, outcome, settledBy: operator, reason });
        return true;
    }
}
