import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import { ChangeSignal } from "@greengage/consensus";
import type { GroupRecords, GroupSuspicion, ModelDemand } from "@greengage/protocol";
import { adoptGroups, groupRecordsOf, restoreGroups } from "./adoption.ts";
import { GroupFormation } from "./formation.ts";
import { GroupTable } from "./grouptable.ts";
import type { EngineOrders } from "./orders.ts";
import { PlannerInputs } from "./plannerinputs.ts";
import type { ServerRegistry } from "./registry.ts";
import { WeightStaging } from "./staging.ts";
import { superviseGroup } from "./supervision.ts";
import { SuspicionHandler } from "./suspicion.ts";
import { GroupTermination } from "./termination.ts";
import {
    type FleetTiming,
    LEADER_SETTLE_HEARTBEATS,
    RECONCILE_INTERVAL_MS,
    SERVER_EXPIRY_MS,
} from "./timing.ts";
import { WeightLoads } from "./weightloads.ts";

export interface GroupControllerOptions {
    context: Context;
    registry: ServerRegistry;
    orders: EngineOrders;
    timing: FleetTiming;
    routing: () => RoutingTable | undefined;
    /** Whether this daemon leads and no other can. Asked again in the same step as each order. */
    mayAct: () => boolean;
    /** Called after each step that may have changed what daemons can use. */
    onReconciled: () => void;
}

/** State that the controller's parts share. */
export interface FleetState extends Omit<GroupControllerOptions, "onReconciled"> {
    groups: GroupTable;
    lifecycle: Lifecycle;
    /** Wakes the control loop. */
    wakeSignal: ChangeSignal;
    /** When a backend server was silent or late, by id. */
    lastFaultAtMs: Map<string, number>;
    /** Whether any daemon has seen requests. */
    hasDemand: boolean;
    nextEpoch: () => number;
    /** When this leader had heard enough reports. */
    settledAtMs: () => number;
}

/** Epochs of one term. An epoch of a later term is higher than any of an earlier one. */
const EPOCHS_PER_TERM = 1_000_000;
/** Steps that reports bring forward keep this distance, so that a burst of reports costs one step. */
const MIN_RECONCILE_GAP_MS = 20;

/** Forms, repairs and ends the replica groups of all zones while this daemon leads. */
export class GroupController {
    readonly #options: GroupControllerOptions;
    readonly #state: FleetState;
    readonly #formation: GroupFormation;
    readonly #staging: WeightStaging;
    readonly #termination: GroupTermination;
    readonly #suspicionHandler: SuspicionHandler;
    #term = 0;
    #epochCount = 0;
    #settledAtMs = Infinity;

    constructor(options: GroupControllerOptions) {
        this.#options = options;
        this.#state = {
            ...options,
            groups: new GroupTable(options.context),
            lifecycle: new Lifecycle(),
            wakeSignal: new ChangeSignal(),
            lastFaultAtMs: new Map(),
            hasDemand: false,
            nextEpoch: () => this.#nextEpoch(),
            settledAtMs: () => this.#settledAtMs,
        };
        this.#termination = new GroupTermination(this.#state);
        const loads = new WeightLoads(this.#state);
        const plannerInputs = new PlannerInputs(this.#state, loads);
        this.#formation = new GroupFormation(this.#state, this.#termination, plannerInputs, loads);
        this.#staging = new WeightStaging(this.#state, plannerInputs, loads);
        this.#suspicionHandler = new SuspicionHandler(this.#state, this.#termination);
    }

    get groups(): GroupTable {
        return this.#state.groups;
    }

    /** Whether a new leader has heard enough reports to know the groups. */
    get isSettled(): boolean {
        return monotonicMs() >= this.#settledAtMs;
    }

    start(): void {
        const log = this.#options.context.logs(LogPart.Groups);
        this.#state.lifecycle.run((signal) => this.#run(signal), (error) => {
            log.error("the control of groups failed", { reason: messageOf(error) });
        });
    }

    async close(): Promise<void> {
        const closed = this.#state.lifecycle.close();
        this.#state.wakeSignal.notify();
        await closed;
    }

    /** What a successor needs to know of the groups. */
    records(): Omit<GroupRecords, "servers" | "entryDaemonCount"> {
        return groupRecordsOf(this.#state);
    }

    /** Takes over with a new term. Groups are those that the former leader has told of, and those that members report. */
    activate(term: number, records: GroupRecords | undefined): void {
        this.#term = term;
        this.#epochCount = 0;
        this.#state.groups.clear();
        if (records !== undefined) {
            restoreGroups(this.#state, records, monotonicMs());
            this.#state.hasDemand = true;
        }
        this.#settledAtMs = monotonicMs() + LEADER_SETTLE_HEARTBEATS * this.#options.timing.heartbeatMs;
        this.#options.context.decisions.record("controller.active", {
            term,
            knownGroups: records?.groups.length,
        });
    }

    deactivate(): void {
        this.#settledAtMs = Infinity;
        this.#state.groups.clear();
        this.#options.context.decisions.record("controller.inactive", { term: this.#term });
    }

    /** A report has changed something. */
    wake(): void {
        this.#state.wakeSignal.notify();
    }

    /** Checks a suspected group. Returns whether it is in order. */
    checkSuspectedGroup(suspicion: GroupSuspicion): Promise<boolean> {
        return this.#suspicionHandler.handle(suspicion);
    }

    recordDemand(demand: readonly ModelDemand[]): void {
        if (demand.length > 0) {
            this.#state.hasDemand = true;
        }
    }

    #nextEpoch(): number {
        this.#epochCount += 1;
        const known = this.#state.registry.all().map(({ report }) => report.membership?.epoch ?? 0);
        return Math.max(this.#term * EPOCHS_PER_TERM + this.#epochCount, ...known.map((epoch) => epoch + 1));
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#reconcile();
            await this.#state.wakeSignal.wait(RECONCILE_INTERVAL_MS);
            await new Promise((resolve) => setTimeout(resolve, MIN_RECONCILE_GAP_MS));
        }
    }

    #reconcile(): void {
        if (!this.isSettled || !this.#options.mayAct()) {
            return;
        }
        const nowMs = monotonicMs();
        const { registry, groups, lastFaultAtMs } = this.#state;
        for (const serverId of lastFaultAtMs.keys()) {
            if (registry.get(serverId) === undefined) {
                lastFaultAtMs.delete(serverId);
            }
        }
        registry.expire(nowMs, SERVER_EXPIRY_MS, (serverId) => groups.groupOf(serverId) !== undefined);
        adoptGroups(this.#state, nowMs);
        for (const group of this.#state.groups.all()) {
            superviseGroup(this.#state, this.#termination, this.#formation, group, nowMs);
        }
        this.#formation.formGroups(nowMs);
        this.#staging.stage(nowMs);
        this.#options.onReconciled();
    }
}
