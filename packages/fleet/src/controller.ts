import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import { ChangeSignal } from "@greengage/consensus";
import type { CrashId, GroupRecords, GroupSuspicion, ModelDemand } from "@greengage/protocol";
import { adoptGroups, groupRecordsOf, restoreGroups } from "./adoption.ts";
import { EpochIssuer } from "./epochs.ts";
import { GroupFormation } from "./formation.ts";
import { GroupPhase, headIdOf } from "./group.ts";
import { GroupTable } from "./grouptable.ts";
import { HeadChecks } from "./headchecks.ts";
import type { EngineOrders, ServerEndpoint } from "./orders.ts";
import { PlannerInputs } from "./plannerinputs.ts";
import { recordReportedJoins } from "./reassignment.ts";
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
import { UnansweredJoins } from "./unansweredjoins.ts";
import { WeightLoads } from "./weightloads.ts";

export interface GroupControllerOptions {
    context: Context;
    registry: ServerRegistry;
    orders: EngineOrders;
    timing: FleetTiming;
    routing: () => RoutingTable | undefined;
    /** Whether this daemon holds the leader lease. Checked again immediately before each order is sent. */
    mayAct: () => boolean;
    /** Called after each reconciliation that may have changed the groups and servers available to daemons. */
    onReconciled: () => void;
}

/** State shared by the components of the controller. */
export interface FleetState extends Omit<GroupControllerOptions, "onReconciled"> {
    groups: GroupTable;
    lifecycle: Lifecycle;
    /** Wakes the reconcile loop. */
    wakeSignal: ChangeSignal;
    /** Time at which each backend server was last unresponsive or late, by server id; later than now for slow ones. */
    lastFaultAtMs: Map<string, number>;
    /** Whether any daemon has received requests. */
    hasDemand: boolean;
    epochs: EpochIssuer;
    unansweredJoins: UnansweredJoins;
    headChecks: HeadChecks;
    /** Time at which this leader's term began; `Infinity` while it is not leading. */
    activeSinceMs: () => number;
    /** Time from which this leader has received enough reports to act; `Infinity` while it is not leading. */
    settledAtMs: () => number;
}

/** Minimum interval between reconciliations triggered by reports, so that a burst of reports triggers only one. */
const MIN_RECONCILE_GAP_MS = 20;

/** Creates, repairs and terminates the replica groups of all zones while this daemon leads. */
export class GroupController {
    readonly #options: GroupControllerOptions;
    readonly #state: FleetState;
    readonly #formation: GroupFormation;
    readonly #staging: WeightStaging;
    readonly #termination: GroupTermination;
    readonly #suspicionHandler: SuspicionHandler;
    #term = 0;
    #activeSinceMs = Infinity;
    #settledAtMs = Infinity;
    #inheritedEndpoints = new Map<string, ServerEndpoint>();

    constructor(options: GroupControllerOptions) {
        this.#options = options;
        const groups = new GroupTable(options.context);
        const lifecycle = new Lifecycle();
        const wakeSignal = new ChangeSignal();
        const activeSinceMs = (): number => this.#activeSinceMs;
        this.#state = {
            ...options,
            groups,
            lifecycle,
            unansweredJoins: new UnansweredJoins(options.registry),
            headChecks: new HeadChecks({ ...options, lifecycle, wakeSignal, activeSinceMs }),
            wakeSignal,
            lastFaultAtMs: new Map(),
            hasDemand: false,
            epochs: new EpochIssuer(),
            activeSinceMs,
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

    /** Whether this leader has received enough reports to know all groups. */
    get isSettled(): boolean {
        return monotonicMs() >= this.#settledAtMs;
    }

    start(): void {
        const log = this.#options.context.logs(LogPart.Groups);
        this.#state.lifecycle.run((signal) => this.#run(signal), (error) => {
            log.error("the group controller's reconcile loop failed", { reason: messageOf(error) });
        });
    }

    async close(): Promise<void> {
        const closed = this.#state.lifecycle.close();
        this.#state.wakeSignal.notify();
        await closed;
    }

    /** Incremented with each change of the records. */
    get recordsVersion(): number {
        return this.#state.groups.version + this.#state.unansweredJoins.version;
    }

    /** The state of the groups that a successor starts from. */
    records(): Omit<GroupRecords, "servers" | "entryDaemonCount"> {
        return groupRecordsOf(this.#state);
    }

    /** Starts leading in `term`, with the groups of the previous leader's records and those that members report. */
    activate(term: number, records: GroupRecords | undefined): void {
        this.#term = term;
        this.#state.epochs.startTerm(term);
        this.#inheritedEndpoints = new Map(
            endpointsOf(records).map((endpoint) => [endpoint.serverId, endpoint]),
        );
        this.#state.groups.clear();
        if (records !== undefined) {
            restoreGroups(this.#state, records, monotonicMs());
            this.#state.hasDemand = true;
        }
        this.#activeSinceMs = monotonicMs();
        this.#settledAtMs = this.#activeSinceMs + LEADER_SETTLE_HEARTBEATS * this.#options.timing.heartbeatMs;
        this.#options.context.decisions.record("controller.active", {
            term,
            knownGroups: records?.groups.length,
        });
    }

    deactivate(): void {
        this.#activeSinceMs = Infinity;
        this.#settledAtMs = Infinity;
        this.#state.groups.clear();
        this.#options.context.decisions.record("controller.inactive", { term: this.#term });
    }

    /** Triggers a reconciliation after a change. */
    wake(): void {
        this.#state.wakeSignal.notify();
    }

    /** Probes a suspected group. Returns whether it is healthy. */
    checkSuspectedGroup(suspicion: GroupSuspicion): Promise<boolean> {
        return this.#suspicionHandler.handle(suspicion);
    }

    /** Id of the crash of a server of a plain service; undefined if its process accepts connections. */
    async confirmServerCrash(serverId: string): Promise<CrashId | undefined> {
        const report = this.#state.registry.get(serverId)?.report;
        const endpoint = report ?? this.#inheritedEndpoint(serverId);
        if (endpoint !== undefined && await this.#options.orders.acceptsConnections(endpoint)) {
            return undefined;
        }
        return report === undefined ? serverId : `${serverId}/${report.bornMs}`;
    }

    /** Whether a group has ended or its head doesn't respond, in which case its repair begins. */
    async confirmCrash(groupName: string, epoch: number): Promise<boolean> {
        const group = this.#state.groups.get(groupName);
        if (group === undefined || group.epoch !== epoch || group.phase !== GroupPhase.Open) {
            return true;
        }
        const headId = headIdOf(group);
        const head = this.#state.registry.get(headId)?.report ?? this.#inheritedEndpoint(headId);
        if (head === undefined) {
            return true;
        }
        const probe = await this.#options.orders.probe(head);
        if (probe.kind === "answered") {
            return false;
        }
        const suspicion = {
            groupName,
            epoch,
            reason: "the connections to the head failed",
            hasRunningStream: false,
        };
        const { lifecycle } = this.#state;
        lifecycle.run(async () => void await this.checkSuspectedGroup(suspicion), (error) => {
            const fields = { group: groupName, reason: messageOf(error) };
            this.#options.context.decisions.record("group.checkFailed", fields);
        });
        return true;
    }

    /** Address of a server from the previous leader's records, until it has had time to report to this one. */
    #inheritedEndpoint(serverId: string): ServerEndpoint | undefined {
        return this.isSettled ? undefined : this.#inheritedEndpoints.get(serverId);
    }

    recordDemand(demand: readonly ModelDemand[]): void {
        if (demand.length > 0) {
            this.#state.hasDemand = true;
        }
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
        recordReportedJoins(this.#state);
        this.#state.unansweredJoins.expire(nowMs);
        adoptGroups(this.#state, nowMs);
        for (const group of this.#state.groups.all()) {
            superviseGroup(this.#state, this.#termination, this.#formation, group, nowMs);
        }
        this.#formation.formGroups(nowMs);
        this.#staging.stage(nowMs);
        this.#options.onReconciled();
    }
}

const endpointsOf = (records: GroupRecords | undefined): ServerEndpoint[] => [
    ...records?.servers ?? [],
    ...records?.groups.flatMap(({ members }) => members).filter(({ address }) => address !== "") ?? [],
];
