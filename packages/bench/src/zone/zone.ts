import { type Context, createContext, Lifecycle, sleep } from "@greengage/base";
import {
    Membership,
    type MembershipTiming,
    OrderResult,
    type OrderSender,
    type PlacementName,
    type SuspectList,
} from "@greengage/membership";
import { type Assignment, GroupState, type GroupView, type Peers, type VmReport } from "@greengage/protocol";
import { type RowChange, TableState } from "@greengage/table";
import { Hub, HubState } from "./hub.ts";
import { ZoneVm, type ZoneVmOptions } from "./vm.ts";

/** Shorter than the defaults, and in the same proportions where a busy machine can keep to them. */
export const SHORT_TIMING: MembershipTiming = {
    leaseMs: 1_000,
    leaseRenewMs: 200,
    grantMs: 600,
    grantRenewMs: 150,
    missingAfterMs: 800,
    reportBatchMs: 40,
    unfencedHandoverMs: 4_000,
    repairAfterMs: 100,
};

export interface InProcessZoneOptions {
    /** Number of daemons by zone. */
    daemonsPerZone: Record<string, number>;
    rows: Omit<RowChange, "baseVersion">[];
    timing?: Partial<MembershipTiming>;
    placement?: PlacementName;
    maxLoads?: number;
    /** Creates a daemon's list of suspects. Default: no daemon has one. */
    suspects?: (daemon: SuspectsOwner) => SuspectList;
}

/** Daemon that gets a list of suspects. */
export interface SuspectsOwner {
    context: Context;
    peers: Peers;
    zones: string[];
    membership: () => Membership;
}

export interface ZoneDaemon {
    daemonId: string;
    zone: string;
    context: Context;
    membership: Membership;
}

/** Delays a daemon's orders, as if the process paused between the lease check and the write. */
export interface OrderGate {
    isHeld: boolean;
    waiting: (() => void)[];
}

/** Runs the membership of daemons and simulated backend servers in one process, without HTTP and a replicated log. */
export class InProcessZone {
    readonly hub = new Hub();
    readonly table = new TableState();
    readonly daemons: ZoneDaemon[] = [];
    readonly vms = new Map<string, ZoneVm>();
    readonly gates = new Map<string, OrderGate>();
    readonly #options: InProcessZoneOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #crashedIds = new Set<string>();
    #editCount = 0;

    constructor(options: InProcessZoneOptions) {
        this.#options = options;
        this.edit(options.rows);
        const places = Object.entries(options.daemonsPerZone).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({
                daemonId: `${zone}-${index + 1}`,
                zone,
                controlOnly: false,
            }))
        );
        for (const place of places) {
            this.#addDaemon(place, places);
        }
    }

    start(): void {
        for (const { membership } of this.daemons) {
            membership.start();
        }
    }

    async close(): Promise<void> {
        await this.#lifecycle.close();
        const running = this.daemons.filter(({ daemonId }) => !this.#crashedIds.has(daemonId));
        await Promise.all(running.map(({ membership }) => membership.close()));
    }

    /** Edits rows of the table, each based on its current version. */
    edit(rows: Omit<RowChange, "baseVersion">[]): void {
        this.#editCount += 1;
        const changes = rows.map((row) => ({
            ...row,
            baseVersion: this.table.row(row.kind, row.name)?.version ?? 0,
        }));
        const editId = `edit-${this.#editCount}`;
        const command = { type: "table.edit", editId, operator: "bench", atMs: 0, changes };
        const outcome = this.table.apply(this.#editCount, command);
        if (outcome.status !== "accepted") {
            throw new Error(`edit was not accepted: ${JSON.stringify(outcome)}`);
        }
    }

    /** Starts a backend server that reports to the running daemons of its zone in turn. */
    addVm(options: ZoneVmOptions): ZoneVm {
        const vm = new ZoneVm(options);
        this.vms.set(options.vmId, vm);
        vm.start(this.#lifecycle.child(), (report) => this.#sendReport(report));
        return vm;
    }

    /** Stops a daemon abruptly, like a crash of its VM. */
    async crash(daemonId: string): Promise<void> {
        this.#crashedIds.add(daemonId);
        this.hub.setState(daemonId, HubState.Down);
        await this.daemon(daemonId).membership.close();
    }

    daemon(daemonId: string): ZoneDaemon {
        const found = this.daemons.find((daemon) => daemon.daemonId === daemonId);
        if (found === undefined) {
            throw new Error(`unknown daemon ${daemonId}`);
        }
        return found;
    }

    controller(zone: string): ZoneDaemon | undefined {
        return this.daemons.find((daemon) =>
            daemon.zone === zone && !this.#crashedIds.has(daemon.daemonId) && daemon.membership.lease.isValid
        );
    }

    /** Groups of a model that a daemon may dispatch to. */
    serving(daemonId: string, model: string): GroupView[] {
        return this.daemon(daemonId).membership.directory.servingGroups(model);
    }

    groups(daemonId: string): GroupView[] {
        return this.daemon(daemonId).membership.directory.allGroups().filter((group) =>
            group.state !== GroupState.Dissolved
        );
    }

    get violations(): number {
        return this.daemons.reduce((sum, { context }) => sum + context.invariants.violationCount, 0);
    }

    #addDaemon(
        daemon: { daemonId: string; zone: string; controlOnly: boolean; },
        daemons: { daemonId: string; zone: string; controlOnly: boolean; }[],
    ): void {
        const { daemonId, zone } = daemon;
        const context = createContext({ daemonId, zone });
        const gate: OrderGate = { isHeld: false, waiting: [] };
        this.gates.set(daemonId, gate);
        const peers = this.hub.join({ daemonId, zone, host: "", port: 0 });
        const zones = [...new Set(daemons.map((other) => other.zone))];
        const membership: Membership = new Membership({
            context,
            peers,
            table: this.table,
            daemons,
            orderKey: "",
            timing: { ...SHORT_TIMING, ...this.#options.timing },
            placement: this.#options.placement,
            weightStore: { maxLoads: this.#options.maxLoads },
            orders: (lease) => this.#createOrderSender(lease, gate),
            suspects: this.#options.suspects?.({ context, peers, zones, membership: () => membership }),
        });
        this.daemons.push({ daemonId, zone, context, membership });
    }

    #sendReport(report: VmReport): boolean {
        const receivers = this.daemons.filter((daemon) =>
            daemon.zone === report.zone && !this.#crashedIds.has(daemon.daemonId)
        );
        const receiver = receivers[report.sequence % Math.max(1, receivers.length)];
        return receiver?.membership.reportForwarder.accept(report).released ?? false;
    }

    #createOrderSender(
        lease: () => { isValid: boolean; fence: number; raiseReportedFence(fence: number): void; },
        gate: OrderGate,
    ): OrderSender {
        let inFlight = 0;
        const send = async (
            kind: "load" | "release",
            report: VmReport,
            assignment?: Omit<Assignment, "fence">,
        ): Promise<OrderResult> => {
            const { fence } = lease();
            if (!lease().isValid) {
                return OrderResult.NotSent;
            }
            inFlight += 1;
            if (gate.isHeld) {
                await new Promise<void>((resolve) => gate.waiting.push(resolve));
            }
            else {
                await sleep(1);
            }
            inFlight -= 1;
            const vm = [...this.vms.values()].find((other) => other.incarnationId === report.incarnationId);
            if (vm === undefined || !vm.isUp) {
                return OrderResult.Unknown;
            }
            if (vm.order(kind, fence, assignment)) {
                return OrderResult.Accepted;
            }
            lease().raiseReportedFence(vm.highestFence);
            return OrderResult.Refused;
        };
        return {
            load: (report, assignment) => send("load", report, assignment),
            release: (report) => send("release", report),
            mayHaveInFlight: () => inFlight > 0,
            close: () => Promise.resolve(),
        };
    }
}
