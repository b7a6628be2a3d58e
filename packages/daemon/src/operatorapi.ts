import type { Context } from "@greengage/base";
import type { ReplicatedLog } from "@greengage/consensus";
import {
    type ActionSettlement,
    type Admission,
    type DaemonDrains,
    type DaemonSummary,
    type EditResponse,
    fleetSummaries,
    type OperatorApi,
    type OperatorRequest,
    type OperatorResponse,
    type TableEdit,
    type VmDrains,
} from "@greengage/http";
import type { Membership } from "@greengage/membership";
import type { Peers } from "@greengage/protocol";
import type { EditCommand, TableState } from "@greengage/table";
import { proposeEdit } from "./propose.ts";
import type { Settings } from "./settings.ts";
import type { DaemonStatus } from "./status.ts";
import { waitForTableVersion } from "./tableversion.ts";

const CATCH_UP_TIMEOUT_MS = 2_000;
const FORWARD_TIMEOUT_MS = 1_500;
/** Matches the bound of 3 s for an edit to take effect in every zone. */
const TABLE_VERSION_WAIT_MS = 3_000;

interface DaemonOperatorApiOptions {
    context: Context;
    settings: Settings;
    peers: Peers;
    log: ReplicatedLog;
    table: TableState;
    membership: Membership;
    admission: Admission;
    vmDrains: VmDrains;
    daemonDrains: DaemonDrains;
    actions: ActionSettlement;
    status: () => DaemonStatus;
    summary: () => DaemonSummary;
}

/** Implements the operator API on this daemon. */
export class DaemonOperatorApi implements OperatorApi {
    readonly daemonId: string;
    readonly daemons: Settings["daemons"];
    readonly table: TableState;
    readonly admission: Admission;
    readonly vmDrains: VmDrains;
    readonly daemonDrains: DaemonDrains;
    readonly actions: ActionSettlement;
    readonly status: () => DaemonStatus;
    readonly summary: () => DaemonSummary;
    readonly #options: DaemonOperatorApiOptions;

    constructor(options: DaemonOperatorApiOptions) {
        this.#options = options;
        this.daemonId = options.settings.daemonId;
        this.daemons = options.settings.daemons;
        this.table = options.table;
        this.admission = options.admission;
        this.vmDrains = options.vmDrains;
        this.daemonDrains = options.daemonDrains;
        this.actions = options.actions;
        this.status = options.status;
        this.summary = options.summary;
    }

    groups(): ReturnType<OperatorApi["groups"]> {
        return this.#options.membership.directory.allGroups();
    }

    services(): ReturnType<OperatorApi["services"]> {
        return this.#options.membership.directory.allServices();
    }

    timeline(): ReturnType<OperatorApi["timeline"]> {
        return this.#options.context.timeline.events();
    }

    record(kind: string, details: Parameters<OperatorApi["record"]>[1]): void {
        this.#options.context.timeline.record("operators", kind, details);
    }

    async edit(edit: TableEdit): Promise<EditResponse> {
        const command: EditCommand = { type: "table.edit", atMs: Date.now(), ...edit };
        const outcome = await proposeEdit(this.#options.log, command);
        if (outcome.status !== "accepted") {
            return { outcome, inForceZones: [], pendingZones: [] };
        }
        const zones = await waitForTableVersion({
            tableVersion: outcome.tableVersion,
            zones: [...new Set(this.daemons.map((daemon) => daemon.zone))],
            waitMs: TABLE_VERSION_WAIT_MS,
            summaries: () => fleetSummaries(this),
            zoneOf: (daemonId) => this.daemons.find((daemon) => daemon.daemonId === daemonId)?.zone,
        });
        return { outcome, ...zones };
    }

    async catchUp(): Promise<void> {
        const { log } = this.#options;
        const index = await log.readBarrier({ timeoutMs: CATCH_UP_TIMEOUT_MS });
        await log.waitForApplied(index, { timeoutMs: CATCH_UP_TIMEOUT_MS });
    }

    forward(daemonId: string, request: OperatorRequest): Promise<OperatorResponse> {
        const options = { timeoutMs: FORWARD_TIMEOUT_MS };
        return this.#options.peers.call(daemonId, "operator.forward", request, options);
    }
}
