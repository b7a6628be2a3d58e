import type { TimelineEvent } from "@greengage/base";
import type { DrainPlan, GroupView, ServiceView } from "@greengage/protocol";
import type { EditOutcome, RowChange, TableState } from "@greengage/table";
import type { Admission } from "../admission.ts";

/** A request of an operator, as it came by HTTP or from another daemon. */
export interface OperatorRequest {
    method: string;
    /** Path below `/operator/v1/`, with its query. */
    path: string;
    body?: unknown;
}

export interface OperatorResponse {
    status: number;
    body: unknown;
}

/** Something that a write would harm. */
export interface Hazard {
    /** Stable name, for example `last-daemon-of-zone`. */
    hazard: string;
    detail: string;
}

export interface TableEdit {
    editId: string;
    operator: string;
    changes: RowChange[];
}

/** Response to an edit: its outcome, and where it is in effect. */
export interface EditResponse {
    outcome: EditOutcome;
    inForceZones: string[];
    pendingZones: string[];
}

/** Drains VMs of all zones. Calls are idempotent and return undefined when no controller that knows the VM answers. */
export interface VmDrains {
    drainVm(vmId: string, options: { dryRun: boolean; }): Promise<DrainPlan | undefined>;
    undrainVm(vmId: string, options: { dryRun: boolean; }): Promise<DrainPlan | undefined>;
}

export const DrainState = { Serving: "serving", Draining: "draining", Drained: "drained" } as const;

export type DrainState = typeof DrainState[keyof typeof DrainState];

/** What a daemon tells other daemons about itself. */
export interface DaemonSummary {
    daemonId: string;
    zone: string;
    voter: boolean;
    controlOnly: boolean;
    state: DrainState;
    ready: boolean;
    /** Requests of callers in flight. */
    inFlight: number;
    tableVersion: number;
}

/** Takes this daemon out of service and back. Both calls are idempotent. */
export interface DaemonDrains {
    drain(): void;
    undrain(): void;
}

/** An action whose outcome nobody knows. */
export interface UnknownAction {
    organisation: string;
    key: string;
    service: string;
    attemptId: string;
    daemonId: string;
    /** Wall clock of the daemon, for display. */
    atMs: number;
}

export interface Settlement {
    organisation: string;
    key: string;
    outcome: "ran" | "notRun";
    operator: string;
    reason: string;
}

export type SettleResult = "settled" | "alreadySettled" | "otherOutcome" | "unknownKey";

/** Lists and settles actions whose outcome is unknown. */
export interface ActionSettlement {
    listUnknown(): UnknownAction[];
    /** Idempotent. Throws a GreengageError when the settlement may not be recorded. */
    settle(settlement: Settlement): Promise<SettleResult>;
}

/** What the operators' surface needs from the daemon. */
export interface OperatorApi {
    readonly daemonId: string;
    /** All daemons of the settings, this one included. */
    readonly daemons: readonly { daemonId: string; zone: string; voter: boolean; }[];
    readonly table: TableState;
    readonly admission: Admission;
    readonly vmDrains: VmDrains;
    readonly daemonDrains: DaemonDrains;
    readonly actions: ActionSettlement;
    status(): object;
    summary(): DaemonSummary;
    groups(): GroupView[];
    services(): ServiceView[];
    timeline(): TimelineEvent[];
    record(kind: string, details: TimelineEvent["details"]): void;
    /** Commits an edit. Throws a GreengageError when it may not be recorded. */
    edit(edit: TableEdit): Promise<EditResponse>;
    /** Resolves when this daemon has applied everything committed before the call. */
    catchUp(): Promise<void>;
    /** Runs a request on another daemon. Throws a GreengageError when it can't be reached. */
    forward(daemonId: string, request: OperatorRequest): Promise<OperatorResponse>;
}
