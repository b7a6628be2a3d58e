import type { TimelineEvent } from "@greengage/base";
import type { DrainPlan, GroupView, ServiceView } from "@greengage/protocol";
import type { EditOutcome, RowChange, TableState } from "@greengage/table";
import type { Admission } from "../admission.ts";

/** Operator request, received by HTTP or forwarded by another daemon. */
export interface OperatorRequest {
    method: string;
    /** Path relative to `/operator/v1/`, including the query. */
    path: string;
    body?: unknown;
}

export interface OperatorResponse {
    status: number;
    body: unknown;
}

/** Harm that a write would do, such as stopping a model that serves requests. */
export interface Hazard {
    /** Stable identifier, for example `last-daemon-of-zone`. */
    hazard: string;
    detail: string;
}

export interface TableEdit {
    editId: string;
    operator: string;
    changes: RowChange[];
}

/** Response to an edit: its outcome and the zones where it is, or is not yet, in effect. */
export interface EditResponse {
    outcome: EditOutcome;
    inForceZones: string[];
    pendingZones: string[];
}

/** Drains VMs in any zone. Calls are idempotent and return undefined when no controller that knows the VM responds. */
export interface VmDrains {
    drainVm(vmId: string, options: { dryRun: boolean; }): Promise<DrainPlan | undefined>;
    undrainVm(vmId: string, options: { dryRun: boolean; }): Promise<DrainPlan | undefined>;
}

export const DrainState = { Serving: "serving", Draining: "draining", Drained: "drained" } as const;

export type DrainState = typeof DrainState[keyof typeof DrainState];

/** State of a daemon as it reports it to other daemons. */
export interface DaemonSummary {
    daemonId: string;
    zone: string;
    voter: boolean;
    controlOnly: boolean;
    state: DrainState;
    ready: boolean;
    /** Number of caller requests in flight. */
    inFlight: number;
    tableVersion: number;
}

/** Drains this daemon and returns it to service. Both calls are idempotent. */
export interface DaemonDrains {
    drain(): void;
    undrain(): void;
}

/** An action without a recorded outcome. */
export interface UnknownAction {
    organisation: string;
    key: string;
    service: string;
    attemptId: string;
    daemonId: string;
    /** Start time by the wall clock of the daemon; for display only. */
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
    /** Idempotent. Throws a GreengageError when it is not certain that the settlement is recorded. */
    settle(settlement: Settlement): Promise<SettleResult>;
}

/** Functions of the daemon that the operator API uses. */
export interface OperatorApi {
    readonly daemonId: string;
    /** All daemons in the settings, including this one. */
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
    /** Commits an edit. Throws a GreengageError when it is not certain that the edit is recorded. */
    edit(edit: TableEdit): Promise<EditResponse>;
    /** Resolves when this daemon has applied all entries that were committed before the call. */
    catchUp(): Promise<void>;
    /** Forwards a request to another daemon. Throws a GreengageError when that daemon can't be reached. */
    forward(daemonId: string, request: OperatorRequest): Promise<OperatorResponse>;
}
