import type { Context } from "@greengage/base";
import type { Peers } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { LeaseAcceptor } from "./acceptor.ts";
import { type DaemonAddress, leaseAcceptorsOf } from "./acceptors.ts";
import { ZoneController } from "./controller.ts";
import { GroupDirectory } from "./directory.ts";
import { ZoneLease } from "./lease.ts";
import { OrderSender } from "./orders.ts";
import { ReportIntake } from "./reports.ts";
import { DEFAULT_TIMING, type MembershipTiming } from "./timing.ts";

export interface MembershipOptions {
    context: Context;
    peers: Peers;
    table: TableState;
    daemons: DaemonAddress[];
    /** Key that backend servers expect with orders. */
    orderKey: string;
    timing?: Partial<MembershipTiming>;
}

/** Everything a daemon does for the backend servers of its zone, and what it knows of all zones' groups. */
export class Membership {
    readonly directory: GroupDirectory;
    readonly intake: ReportIntake;
    readonly controller: ZoneController;
    readonly lease: ZoneLease;

    constructor(options: MembershipOptions) {
        const { context, peers, table, daemons } = options;
        const timing = { ...DEFAULT_TIMING, ...options.timing };
        const acceptorsOf = (zone: string): string[] => leaseAcceptorsOf(zone, daemons);
        new LeaseAcceptor(peers, timing.leaseMs);
        const tableVersion = (): number => table.version;
        this.directory = new GroupDirectory({
            context,
            peers,
            timing,
            zones: [...new Set(daemons.map((daemon) => daemon.zone))],
            acceptorsOf,
            tableVersion,
        });
        this.intake = new ReportIntake({
            context,
            peers,
            timing,
            controllerId: () => this.directory.controllerOf(context.zone),
            tableVersion,
        });
        const lease = (): ZoneLease => this.lease;
        this.controller = new ZoneController({
            context,
            peers,
            table,
            timing,
            orders: new OrderSender(context, lease, options.orderKey),
            lease,
            zoneDaemonIds: daemons.filter((daemon) => daemon.zone === context.zone).map((daemon) =>
                daemon.daemonId
            ),
        });
        this.lease = new ZoneLease({
            context,
            peers,
            acceptorIds: acceptorsOf(context.zone),
            timing,
            highestReportedFence: () => this.intake.highestFence(),
            tableFloor: () => Math.max(this.controller.tableFloor, table.version),
            onTableFloor: (floor) => this.controller.raiseTableFloor(floor),
            onAcquired: () => void this.controller.activate(),
            onLost: () => this.controller.deactivate(),
        });
    }

    start(): void {
        this.lease.start();
        this.controller.start();
        this.intake.start();
        this.directory.start();
    }

    async close(): Promise<void> {
        await this.controller.close();
        await this.lease.close();
        await this.intake.close();
        await this.directory.close();
    }
}
