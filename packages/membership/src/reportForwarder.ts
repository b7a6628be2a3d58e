import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Peers, ShareTransfer, UnchangedReport, VmReport } from "@greengage/protocol";
import type { MembershipTiming } from "./timing.ts";

/** A report and the monotonic time at which it arrived. */
interface HeldReport {
    report: VmReport;
    receivedAtMs: number;
}

interface SentReport {
    contentKey: string;
    fullSequence: number;
}

export interface ReportForwarderOptions {
    context: Context;
    peers: Peers;
    timing: MembershipTiming;
    /** Daemon that holds the zone's lease, as far as this daemon knows. */
    controllerId: () => string | undefined;
    tableVersion: () => number;
    /** What this daemon keeps for the zone's next controller. */
    stateForSuccessor: () => { transfers: ShareTransfer[]; drainedVmIds: string[]; };
}

export interface ReportResponse {
    /** The backend server may stop: nothing of it is in use. */
    released: boolean;
}

/** Takes the reports of backend servers and passes them on to the zone's controller. */
export class ReportForwarder {
    readonly #options: ReportForwarderOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #startedAtMs = monotonicMs();
    // By VM id and incarnation, so that the controller sees both of two processes that announce one identity.
    readonly #held = new Map<string, HeldReport>();
    readonly #released = new Set<string>();
    #unsent = new Set<string>();
    readonly #sent = new Map<string, SentReport>();
    #lastControllerId: string | undefined;

    constructor(options: ReportForwarderOptions) {
        this.#options = options;
        options.peers.handle("report.held", () => {
            this.#dropOld();
            return {
                reports: [...this.#held.values()].map(({ report, receivedAtMs }) => ({
                    report,
                    ageMs: monotonicMs() - receivedAtMs,
                })),
                tableVersion: options.tableVersion(),
                upMs: monotonicMs() - this.#startedAtMs,
                ...options.stateForSuccessor(),
            };
        });
    }

    start(): void {
        this.#lifecycle.every(
            this.#options.timing.reportBatchMs,
            () => this.#sendBatch(),
            (error) => this.#noteFailure(error),
        );
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Takes one report. Older reports of the same incarnation are ignored. */
    accept(report: VmReport): ReportResponse {
        const key = keyOf(report);
        const held = this.#held.get(key)?.report;
        if (held === undefined || held.sequence < report.sequence) {
            this.#held.set(key, { report, receivedAtMs: monotonicMs() });
            this.#unsent.add(key);
            if (report.leaving && held?.leaving !== true) {
                // The time in which a leaving server still gets work starts to run, so this doesn't wait for a batch.
                this.#sendBatch().catch((error: unknown) => this.#noteFailure(error));
            }
        }
        return { released: this.#released.has(key) };
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
            this.#sent.clear();
        }
        const keys = this.#unsent;
        this.#unsent = new Set();
        const batch = this.#splitBatch(keys);
        const { peers } = this.#options;
        const response = await peers.call(controllerId, "report.batch", {
            daemonId: peers.daemonId,
            ...batch,
        }).catch((error: unknown) => {
            this.#sent.clear();
            throw error;
        });
        if (!response.accepted) {
            this.#sent.clear();
            return;
        }
        for (const { report } of batch.changed) {
            this.#sent.set(keyOf(report), {
                contentKey: contentKey(report),
                fullSequence: report.sequence,
            });
        }
        for (const [key, { report }] of this.#held) {
            if (response.needFull.includes(report.vmId)) {
                this.#sent.delete(key);
                this.#unsent.add(key);
            }
            if (response.releasedVmIds.includes(report.vmId) && report.leaving) {
                this.#released.add(key);
            }
        }
    }

    #splitBatch(keys: Set<string>): {
        changed: { report: VmReport; ageMs: number; }[];
        unchanged: UnchangedReport[];
    } {
        const changed = [];
        const unchanged = [];
        for (const key of keys) {
            const held = this.#held.get(key);
            if (held === undefined) {
                continue;
            }
            const { report } = held;
            const ageMs = monotonicMs() - held.receivedAtMs;
            const sent = this.#sent.get(key);
            if (sent?.contentKey !== contentKey(report)) {
                changed.push({ report, ageMs });
                continue;
            }
            const { vmId, incarnationId, sequence } = report;
            unchanged.push({ vmId, incarnationId, sequence, fullSequence: sent.fullSequence, ageMs });
        }
        return { changed, unchanged };
    }

    #dropOld(): void {
        const oldestMs = monotonicMs() - 4 * this.#options.timing.missingAfterMs;
        for (const [key, held] of this.#held) {
            if (held.receivedAtMs < oldestMs) {
                this.#held.delete(key);
                this.#sent.delete(key);
                this.#released.delete(key);
            }
        }
    }

    #noteFailure(error: unknown): void {
        const log = this.#options.context.logs(LogPart.Membership);
        log.debug("could not send reports to the controller", { reason: messageOf(error) });
    }
}

const keyOf = (report: VmReport): string => `${report.vmId}/${report.incarnationId}`;

/** Everything in a report but its sequence number. */
const contentKey = (report: VmReport): string => JSON.stringify({ ...report, sequence: 0 });
