import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Peers, ShareTransfer, SuspectRecord, UnchangedReport, VmReport } from "@greengage/protocol";
import type { MembershipTiming } from "./timing.ts";

/** A report and the monotonic time at which it arrived. */
interface ReceivedReport {
    report: VmReport;
    receivedAtMs: number;
}

interface AcceptedReport {
    contentKey: string;
    fullSequence: number;
}

export interface ReportForwarderOptions {
    context: Context;
    peers: Peers;
    timing: MembershipTiming;
    /** Daemon that holds the zone's lease, if known. */
    controllerId: () => string | undefined;
    tableVersion: () => number;
    /** Controller state that this daemon stores for the next controller of its zone. */
    stateForSuccessor: () => {
        transfers: ShareTransfer[];
        drainedVmIds: string[];
        suspects?: SuspectRecord[];
    };
}

export interface ReportResponse {
    /** Whether the backend server may stop, since nothing uses it any more. */
    released: boolean;
}

/** Accepts reports of backend servers and forwards them to the zone's controller in batches. */
export class ReportForwarder {
    readonly #options: ReportForwarderOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #startedAtMs = monotonicMs();
    // Keyed by VM id and incarnation, so that the controller sees both of two processes with one VM id.
    readonly #latestReports = new Map<string, ReceivedReport>();
    readonly #releasedKeys = new Set<string>();
    #unsentKeys = new Set<string>();
    readonly #acceptedReports = new Map<string, AcceptedReport>();
    #lastControllerId: string | undefined;

    constructor(options: ReportForwarderOptions) {
        this.#options = options;
        options.peers.handle("report.held", () => {
            this.#dropExpired();
            return {
                reports: [...this.#latestReports.values()].map(({ report, receivedAtMs }) => ({
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
            (error) => this.#logFailure(error),
        );
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Accepts a report. Older reports of the same incarnation are ignored. */
    accept(report: VmReport): ReportResponse {
        const key = reportKey(report);
        const latest = this.#latestReports.get(key)?.report;
        if (latest === undefined || latest.sequence < report.sequence) {
            this.#latestReports.set(key, { report, receivedAtMs: monotonicMs() });
            this.#unsentKeys.add(key);
            if (report.leaving && latest?.leaving !== true) {
                // The deadline for new work to a leaving server runs from now on, so this report is sent immediately.
                this.#sendBatch().catch((error: unknown) => this.#logFailure(error));
            }
        }
        return { released: this.#releasedKeys.has(key) };
    }

    /** Highest fencing token of each report that this daemon holds. */
    reportedFences(): number[] {
        return [...this.#latestReports.values()].map(({ report }) => report.highestFence);
    }

    async #sendBatch(): Promise<void> {
        this.#dropExpired();
        const controllerId = this.#options.controllerId();
        if (controllerId === undefined || this.#unsentKeys.size === 0) {
            return;
        }
        if (controllerId !== this.#lastControllerId) {
            this.#lastControllerId = controllerId;
            this.#acceptedReports.clear();
        }
        const keys = this.#unsentKeys;
        this.#unsentKeys = new Set();
        const batch = this.#buildBatch(keys);
        const { peers } = this.#options;
        const response = await peers.call(controllerId, "report.batch", {
            daemonId: peers.daemonId,
            ...batch,
        }).catch((error: unknown) => {
            this.#acceptedReports.clear();
            throw error;
        });
        if (!response.accepted) {
            this.#acceptedReports.clear();
            return;
        }
        for (const { report } of batch.changed) {
            this.#acceptedReports.set(reportKey(report), {
                contentKey: contentKey(report),
                fullSequence: report.sequence,
            });
        }
        for (const [key, { report }] of this.#latestReports) {
            if (response.needFull.includes(report.vmId)) {
                this.#acceptedReports.delete(key);
                this.#unsentKeys.add(key);
            }
            if (response.releasedVmIds.includes(report.vmId) && report.leaving) {
                this.#releasedKeys.add(key);
            }
        }
    }

    #buildBatch(keys: Set<string>): {
        changed: { report: VmReport; ageMs: number; }[];
        unchanged: UnchangedReport[];
    } {
        const changed = [];
        const unchanged = [];
        for (const key of keys) {
            const latest = this.#latestReports.get(key);
            if (latest === undefined) {
                continue;
            }
            const { report } = latest;
            const ageMs = monotonicMs() - latest.receivedAtMs;
            const accepted = this.#acceptedReports.get(key);
            if (accepted?.contentKey !== contentKey(report)) {
                changed.push({ report, ageMs });
                continue;
            }
            const { vmId, incarnationId, sequence } = report;
            unchanged.push({ vmId, incarnationId, sequence, fullSequence: accepted.fullSequence, ageMs });
        }
        return { changed, unchanged };
    }

    #dropExpired(): void {
        const oldestMs = monotonicMs() - 4 * this.#options.timing.missingAfterMs;
        for (const [key, latest] of this.#latestReports) {
            if (latest.receivedAtMs < oldestMs) {
                this.#latestReports.delete(key);
                this.#acceptedReports.delete(key);
                this.#releasedKeys.delete(key);
            }
        }
    }

    #logFailure(error: unknown): void {
        const log = this.#options.context.logs(LogPart.Membership);
        log.debug("could not send reports to the controller", { reason: messageOf(error) });
    }
}

const reportKey = (report: VmReport): string => `${report.vmId}/${report.incarnationId}`;

/** Serialised report without its sequence number, to detect changes. */
const contentKey = (report: VmReport): string => JSON.stringify({ ...report, sequence: 0 });
