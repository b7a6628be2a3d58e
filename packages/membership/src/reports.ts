import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Peers, VmReport } from "@greengage/protocol";
import type { MembershipTiming } from "./timing.ts";

/** A report and the monotonic time at which it arrived. */
export interface HeldReport {
    report: VmReport;
    receivedAtMs: number;
}

export interface ReportIntakeOptions {
    context: Context;
    peers: Peers;
    timing: MembershipTiming;
    /** Daemon that holds the zone's lease, as far as this daemon knows. */
    controllerId: () => string | undefined;
    tableVersion: () => number;
}

export interface ReportAnswer {
    /** The backend server may stop: nothing of it is in use. */
    released: boolean;
}

/** Takes the reports of backend servers and passes them on to the zone's controller. */
export class ReportIntake {
    readonly #options: ReportIntakeOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #held = new Map<string, HeldReport>();
    readonly #released = new Set<string>();
    #unsent = new Set<string>();
    #sentInFull = new Map<string, string>();
    #lastControllerId: string | undefined;

    constructor(options: ReportIntakeOptions) {
        this.#options = options;
        options.peers.handle("report.held", () => ({
            reports: [...this.#held.values()].map(({ report, receivedAtMs }) => ({
                report,
                ageMs: monotonicMs() - receivedAtMs,
            })),
            tableVersion: options.tableVersion(),
        }));
    }

    start(): void {
        const log = this.#options.context.logs(LogPart.Membership);
        this.#lifecycle.every(
            this.#options.timing.reportBatchMs,
            () => this.#sendBatch(),
            (error) => log.debug("could not send reports to the controller", { reason: messageOf(error) }),
        );
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Takes one report. Older reports of the same incarnation are ignored. */
    accept(report: VmReport): ReportAnswer {
        const held = this.#held.get(report.vmId)?.report;
        if (held?.incarnationId !== report.incarnationId || held.sequence < report.sequence) {
            this.#held.set(report.vmId, { report, receivedAtMs: monotonicMs() });
            this.#unsent.add(report.vmId);
        }
        return { released: this.#released.has(`${report.vmId}/${report.incarnationId}`) };
    }

    /** Highest fencing token in the reports that this daemon holds. */
    highestFence(): number {
        return Math.max(0, ...[...this.#held.values()].map(({ report }) => report.highestFence));
    }

    async #sendBatch(): Promise<void> {
        this.#dropOld();
        const controllerId = this.#options.controllerId();
        if (controllerId === undefined || this.#unsent.size === 0) {
            return;
        }
        if (controllerId !== this.#lastControllerId) {
            this.#lastControllerId = controllerId;
            this.#sentInFull.clear();
        }
        const vmIds = this.#unsent;
        this.#unsent = new Set();
        const batch = this.#splitBatch(vmIds);
        const { peers } = this.#options;
        const response = await peers.call(controllerId, "report.batch", {
            daemonId: peers.daemonId,
            ...batch,
        });
        if (!response.accepted) {
            this.#sentInFull.clear();
            return;
        }
        for (const report of batch.changed) {
            this.#sentInFull.set(report.vmId, contentKey(report));
        }
        for (const vmId of response.needFull) {
            this.#sentInFull.delete(vmId);
            this.#unsent.add(vmId);
        }
        for (const vmId of response.releasedVmIds) {
            const incarnationId = this.#held.get(vmId)?.report.incarnationId;
            this.#released.add(`${vmId}/${incarnationId}`);
        }
    }

    #splitBatch(vmIds: Set<string>): {
        changed: VmReport[];
        unchanged: { vmId: string; incarnationId: string; sequence: number; ageMs: number; }[];
    } {
        const changed: VmReport[] = [];
        const unchanged = [];
        for (const vmId of vmIds) {
            const held = this.#held.get(vmId);
            if (held === undefined) {
                continue;
            }
            const { report } = held;
            if (this.#sentInFull.get(vmId) !== contentKey(report)) {
                changed.push(report);
                continue;
            }
            const { incarnationId, sequence } = report;
            unchanged.push({ vmId, incarnationId, sequence, ageMs: monotonicMs() - held.receivedAtMs });
        }
        return { changed, unchanged };
    }

    #dropOld(): void {
        const oldestMs = monotonicMs() - 4 * this.#options.timing.missingAfterMs;
        for (const [vmId, held] of this.#held) {
            if (held.receivedAtMs < oldestMs) {
                this.#held.delete(vmId);
                this.#sentInFull.delete(vmId);
            }
        }
    }
}

/** Everything in a report but its sequence number. */
const contentKey = (report: VmReport): string => JSON.stringify({ ...report, sequence: 0 });
