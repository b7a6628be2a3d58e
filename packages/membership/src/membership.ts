import { type Context, monotonicMs } from "@greengage/base";
import type { Calls, DrainPlan, Peers } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { type ConfiguredDaemon, leaseAcceptorsOf } from "./acceptorselection.ts";
import { ZoneController } from "./controller.ts";
import { GroupDirectory } from "./directory.ts";
import { ZoneLease } from "./lease.ts";
import { LeaseAcceptor } from "./leaseacceptor.ts";
import { HttpOrderSender, type OrderSender } from "./orders.ts";
import type { PlacementName } from "./placement.ts";
import { ReportForwarder } from "./reportforwarder.ts";
import { NO_SUSPECTS, type SuspectList } from "./suspects.ts";
import { DEFAULT_TIMING, type MembershipTiming } from "./timing.ts";
import type { WeightStoreOptions } from "./weightstorelimiter.ts";
import type { ZoneStats } from "./zonestats.ts";

export interface MembershipOptions {
    context: Context;
    peers: Peers;
    table: TableState;
    daemons: ConfiguredDaemon[];
    /** Key that backend servers expect with orders. */
    orderKey: string;
    timing?: Partial<MembershipTiming>;
    /** Placement and repair policy. Default: `bestFit`. */
    placement?: PlacementName;
    weightStore?: WeightStoreOptions;
    /** Sends orders to backend servers. Default: over HTTP. */
    orders?: (lease: () => ZoneLease) => OrderSender;
    /** Default: none. */
    suspects?: SuspectList;
}

/** Zone membership of a daemon: reports, lease and control of its own zone, and the directory of all zones' groups. */
export class Membership {
    readonly directory: GroupDirectory;
    readonly reportForwarder: ReportForwarder;
    readonly controller: ZoneController;
    readonly lease: ZoneLease;
    readonly #isAcceptor: boolean;
    readonly #peers: Peers;
    readonly #context: Context;
    readonly #zones: string[];

    constructor(options: MembershipOptions) {
        const { context, peers, table, daemons, suspects = NO_SUSPECTS } = options;
        const timing = { ...DEFAULT_TIMING, ...options.timing };
        this.#peers = peers;
        this.#context = context;
        const zones = [...new Set(daemons.map((daemon) => daemon.zone))];
        this.#zones = zones;
        const acceptorsOf = (zone: string): string[] => leaseAcceptorsOf(zone, daemons);
        const acceptor = new LeaseAcceptor(peers, timing);
        const tableVersion = (): number => table.version;
        this.directory = new GroupDirectory({
            context,
            peers,
            timing,
            zones,
            acceptorsOf,
            tableVersion,
        });
        this.reportForwarder = new ReportForwarder({
            context,
            peers,
            timing,
            controllerId: () => this.directory.controllerOf(context.zone),
            tableVersion,
            stateForSuccessor: () => ({
                ...this.directory.stateForSuccessor(),
                suspects: suspects.records(monotonicMs()),
            }),
        });
        const lease = (): ZoneLease => this.lease;
        this.controller = new ZoneController({
            context,
            peers,
            table,
            timing,
            orders: options.orders?.(lease) ?? new HttpOrderSender({
                context,
                lease,
                key: options.orderKey,
                unknownOutcomeMs: timing.unfencedHandoverMs,
            }),
            lease,
            zones,
            placement: options.placement,
            weightStore: options.weightStore,
            suspects,
            zoneDaemonIds: daemons.filter((daemon) => daemon.zone === context.zone).map((daemon) =>
                daemon.daemonId
            ),
        });
        this.lease = new ZoneLease({
            context,
            peers,
            acceptorIds: acceptorsOf(context.zone),
            timing,
            isHeldByOther: () => {
                const holderId = acceptor.holderOf(context.zone);
                return holderId !== undefined && holderId !== peers.daemonId;
            },
            reportedFences: () => this.reportForwarder.reportedFences(),
            tableFloor: () => Math.max(this.controller.tableFloor, table.version),
            onTableFloor: (floor) => this.controller.raiseTableFloor(floor),
            onAcquired: (fence, history) => void this.controller.activate(fence, history),
            onFenceRaised: () => undefined,
            onLost: () => this.controller.deactivate(),
        });
        this.directory.setLimitExchangeHandler(this.controller);
        this.directory.setSuspectHandler((records) => {
            // The controller's own list is the original.
            if (!this.lease.isValid) {
                suspects.restore(records, monotonicMs());
            }
        });
        this.#isAcceptor = acceptorsOf(context.zone).includes(peers.daemonId);
    }

    start(): void {
        // A lease needs a majority of the acceptors, so daemons that aren't acceptors would add no availability as
        // candidates.
        if (this.#isAcceptor) {
            this.lease.start();
        }
        this.controller.start();
        this.reportForwarder.start();
        this.directory.start();
    }

    /** Downtime, stranded accelerators and unusable VMs of the zone, counted while this daemon controls it. */
    stats(): ZoneStats {
        return this.controller.stats();
    }

    /**
     * Drains a VM: its group is replaced if there are VMs for it, finishes its requests and releases the VM, which then
     * stays out of groups. With `dryRun` nothing changes. Returns undefined if no reachable controller knows the VM.
     */
    drainVm(vmId: string, options: { dryRun?: boolean; } = {}): Promise<DrainPlan | undefined> {
        return this.#setDrain({ vmId, drain: true, dryRun: options.dryRun ?? false });
    }

    /** Ends a drain: the VM can be used for groups again. */
    undrainVm(vmId: string, options: { dryRun?: boolean; } = {}): Promise<DrainPlan | undefined> {
        return this.#setDrain({ vmId, drain: false, dryRun: options.dryRun ?? false });
    }

    async #setDrain(request: Calls["vm.drain"]["request"]): Promise<DrainPlan | undefined> {
        for (const controllerId of this.#controllersFor(request.vmId)) {
            const response = await this.#peers.call(controllerId, "vm.drain", request).catch(() => undefined);
            if (response?.plan !== undefined) {
                return response.plan;
            }
        }
        return undefined;
    }

    /** Controllers of all zones, that of the VM's zone first. */
    #controllersFor(vmId: string): string[] {
        const firstZone = this.directory.zoneOfVm(vmId) ?? this.#context.zone;
        const zones = [firstZone, ...this.#zones.filter((zone) => zone !== firstZone)];
        return zones.map((zone) => this.directory.controllerOf(zone)).filter((id) => id !== undefined);
    }

    async close(): Promise<void> {
        await this.controller.close();
        await this.lease.close();
        await this.reportForwarder.close();
        await this.directory.close();
    }
}
