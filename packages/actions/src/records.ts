import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";
import {
    type ActionCommand,
    ActionOutcome,
    type ActionRecord,
    type IntentCommand,
    type IntentResult,
    type OutcomeCommand,
    type OutcomeResult,
    type SettleCommand,
    type SettleResult,
} from "./commands.ts";
import { SpentKeys } from "./spentkeys.ts";

/** Limits of the action records. They must be equal on all daemons, because the records are replicated. */
export interface RecordLimits {
    /** Number of records with an outcome that are kept in full. Default: 20000. */
    finished: number;
    /** Number of records without an outcome. At the limit, new actions are rejected as not run. Default: 10000. */
    unknown: number;
    /** Total size of the stored response bodies. Default: 32 MiB. */
    bodyBytes: number;
    /** Number of voided attempts that are remembered. Default: 10000. */
    voided: number;
    /** Number of keys of evicted records. At the limit, new actions are rejected as not run. Default: 12000000. */
    spent?: number;
}

export const DEFAULT_RECORD_LIMITS: RecordLimits = {
    finished: 20_000,
    unknown: 10_000,
    bodyBytes: 32 * 1024 * 1024,
    voided: 10_000,
};

const recordKey = (organisation: string, key: string): string => `${organisation}\n${key}`;

/**
 * Replicated records of non-idempotent calls. They change only through commands of the replicated log.
 *
 * A record without an outcome is kept until it gets one. Of the records with an outcome, the newest are kept in
 * full. When an older record that ran or was settled is evicted, 64 bits of its key are kept permanently, so that
 * the key never runs again. An older record that was not run is dropped, because its key may be used again. When
 * the limits are reached, new keys are rejected as not run.
 */
export class ActionRecords implements StateMachine {
    readonly #limits: RecordLimits;
    /** Records by key, in the order in which they were created or got their outcome. */
    #unknown = new Map<string, ActionRecord>();
    #finished = new Map<string, ActionRecord>();
    /** Body sizes of the records in `#finished` that have a body, oldest first. */
    #bodySizes = new Map<string, number>();
    #bodyBytes = 0;
    #voidedAttempts = new Set<string>();
    readonly #spent: SpentKeys;

    readonly #handlers = {
        "action.intent": (command: IntentCommand): IntentResult => this.#applyIntent(command),
        "action.outcome": (command: OutcomeCommand): OutcomeResult => this.#applyOutcome(command),
        "action.settle": (command: SettleCommand): SettleResult => this.#applySettlement(command),
    };

    constructor(limits: Partial<RecordLimits> = {}) {
        this.#limits = { ...DEFAULT_RECORD_LIMITS, ...limits };
        this.#spent = new SpentKeys(this.#limits.spent);
    }

    apply(_: number, command: Command): unknown {
        const action = command as ActionCommand;
        const handler = this.#handlers[action.type] as (command: ActionCommand) => unknown;
        return handler(action);
    }

    snapshot(): Uint8Array {
        return encode({
            unknown: [...this.#unknown.values()],
            finished: [...this.#finished.values()],
            voidedAttempts: [...this.#voidedAttempts],
            spent: this.#spent.toBytes(),
        });
    }

    restore(bytes: Uint8Array): void {
        const snapshot = decode(bytes) as {
            unknown: ActionRecord[];
            finished: ActionRecord[];
            voidedAttempts: string[];
            spent: Uint8Array;
        };
        this.#unknown = new Map(snapshot.unknown.map((record) => [keyOf(record), record]));
        this.#finished = new Map();
        this.#bodySizes = new Map();
        this.#bodyBytes = 0;
        for (const record of snapshot.finished) {
            this.#addFinished(record);
        }
        this.#voidedAttempts = new Set(snapshot.voidedAttempts);
        this.#spent.restore(snapshot.spent);
    }

    get(organisation: string, key: string): ActionRecord | undefined {
        const id = recordKey(organisation, key);
        return this.#unknown.get(id) ?? this.#finished.get(id);
    }

    /** Whether the key was used and its record has been evicted. */
    isSpent(organisation: string, key: string): boolean {
        return this.#spent.has(organisation, key);
    }

    /** Records without an outcome, oldest first. */
    unknownOutcomes(): ActionRecord[] {
        return [...this.#unknown.values()];
    }

    /** Record counts for status and metrics. */
    counts(): { unknown: number; finished: number; spent: number; voided: number; bodyBytes: number; } {
        return {
            unknown: this.#unknown.size,
            finished: this.#finished.size,
            spent: this.#spent.size,
            voided: this.#voidedAttempts.size,
            bodyBytes: this.#bodyBytes,
        };
    }

    #applyIntent(command: IntentCommand): IntentResult {
        const { type: _, ...record } = command;
        const { organisation, key, attemptId } = record;
        const existing = this.get(organisation, key);
        if (this.#voidedAttempts.has(attemptId)) {
            return { kind: "refused" };
        }
        if (existing?.attemptId === attemptId) {
            // A repeated intent. An attempt that already has an outcome must not be sent again.
            return existing.outcome === undefined ? { kind: "accepted" } : { kind: "refused" };
        }
        if (existing !== undefined && existing.outcome !== ActionOutcome.NotRun) {
            return { kind: "exists", record: existing };
        }
        if (this.#spent.has(organisation, key)) {
            return { kind: "spent" };
        }
        if (this.#unknown.size >= this.#limits.unknown || this.#spent.isFull) {
            return { kind: "full" };
        }
        this.#removeFinished(recordKey(organisation, key));
        this.#unknown.set(recordKey(organisation, key), record);
        return { kind: "accepted" };
    }

    #applyOutcome(command: OutcomeCommand): OutcomeResult {
        const { organisation, key, attemptId, outcome, status, contentType, body } = command;
        if (outcome === ActionOutcome.NotRun) {
            // A copy of the intent that is committed later must be refused.
            this.#addVoidedAttempt(attemptId);
        }
        const record = this.get(organisation, key);
        if (record?.attemptId !== attemptId) {
            return { kind: "voided", record };
        }
        if (record.outcome !== undefined) {
            return { kind: "known", record };
        }
        this.#finish({ ...record, outcome, status, contentType, body });
        return { kind: "recorded" };
    }

    #applySettlement(command: SettleCommand): SettleResult {
        const { organisation, key, attemptId, outcome, operator, reason } = command;
        const record = this.get(organisation, key);
        if (record === undefined || record.attemptId !== attemptId) {
            return { kind: "missing" };
        }
        if (record.outcome !== undefined) {
            return { kind: "known", record };
        }
        this.#finish({ ...record, outcome, settledBy: operator, reason });
        return { kind: "settled" };
    }

    #addVoidedAttempt(attemptId: string): void {
        this.#voidedAttempts.add(attemptId);
        if (this.#voidedAttempts.size > this.#limits.voided) {
            // If the intent of an evicted attempt is committed later, its record stays without an outcome and blocks
            // its key.
            const [oldest] = this.#voidedAttempts;
            this.#voidedAttempts.delete(oldest as string);
        }
    }

    #finish(record: ActionRecord): void {
        this.#unknown.delete(keyOf(record));
        this.#addFinished(record);
        if (this.#finished.size > this.#limits.finished) {
            this.#evictOldest();
        }
        this.#evictBodies();
    }

    #addFinished(record: ActionRecord): void {
        const id = keyOf(record);
        this.#finished.set(id, record);
        if (record.body !== undefined) {
            this.#bodySizes.set(id, record.body.length);
            this.#bodyBytes += record.body.length;
        }
    }

    #evictOldest(): void {
        const [oldest] = this.#finished;
        if (oldest === undefined) {
            return;
        }
        const [id, record] = oldest;
        this.#removeFinished(id);
        if (record.outcome !== ActionOutcome.NotRun) {
            this.#spent.add(record.organisation, record.key);
        }
    }

    #evictBodies(): void {
        for (const id of this.#bodySizes.keys()) {
            if (this.#bodyBytes <= this.#limits.bodyBytes) {
                return;
            }
            const record = this.#finished.get(id);
            this.#removeBody(id);
            if (record !== undefined) {
                this.#finished.set(id, { ...record, body: undefined });
            }
        }
    }

    #removeFinished(id: string): void {
        this.#finished.delete(id);
        this.#removeBody(id);
    }

    #removeBody(id: string): void {
        this.#bodyBytes -= this.#bodySizes.get(id) ?? 0;
        this.#bodySizes.delete(id);
    }
}

const keyOf = (record: ActionRecord): string => recordKey(record.organisation, record.key);
