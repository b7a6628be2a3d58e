import { type Context, type Lifecycle, messageOf, monotonicMs, sleep } from "@greengage/base";
import type {
    GroupCrash,
    PartReport,
    PartReportResponse,
    ServerCrash,
    UnservedRequest,
} from "@greengage/protocol";

/** Reports are collected for this long, as a crash ends several requests at once. */
export const REPORT_DELAY_MS = 5;
/** Interval at which a report without an answer is sent again. */
const REPORT_RETRY_MS = 250;
const REPORT_LIFETIME_MS = 5_000;
/** Time for which a crash is reported to a new leader, as the former one may have been cut off before it passed the crash on. */
const REMEMBERED_MS = 60_000;
/** The oldest crashes are dropped beyond this number. */
const MAX_REMEMBERED_REPORTS = 100;

/** Connection to the leader for observations about prompt parts. */
export interface CrashLeader {
    /** Resolves with undefined if no leader has accepted the report. */
    report(report: PartReport): Promise<PartReportResponse | undefined>;
    /** Asks for permission to send one request with a quarantined part. */
    requestTrial(service: string, partId: string): Promise<boolean>;
}

/** What the leader says about a reported crash. */
export const CrashOutcome = {
    Crashed: "crashed",
    /** The group or server responds, so only the connection has failed. */
    Alive: "alive",
    /** No leader has accepted the report. */
    Unknown: "unknown",
} as const;

export type CrashOutcome = typeof CrashOutcome[keyof typeof CrashOutcome];

interface PendingReport<T> {
    crash: T;
    outcome: Promise<CrashOutcome>;
}

/** Reports crashes of groups and servers to the leader: once for all requests of this daemon that a crash has ended. */
export class CrashReports {
    readonly #context: Context;
    readonly #leader: CrashLeader;
    readonly #lifecycle: Lifecycle;
    readonly #pendingGroups = new Map<number, PendingReport<GroupCrash>>();
    readonly #pendingServers = new Map<string, PendingReport<ServerCrash>>();
    /** Crashes that a leader has confirmed, or that none has received, in order of time. */
    #remembered: { report: PartReport; atMs: number; }[] = [];

    constructor(context: Context, leader: CrashLeader, lifecycle: Lifecycle) {
        this.#context = context;
        this.#leader = leader;
        this.#lifecycle = lifecycle;
    }

    reportGroup(crash: GroupCrash): Promise<CrashOutcome> {
        return this.#report(this.#pendingGroups, crash.epoch, crash, {
            reportOf: (group) => ({ crashes: [group], served: [] }),
            isConfirmed: ({ crashedEpochs }) => crashedEpochs.includes(crash.epoch),
        });
    }

    reportServer(crash: ServerCrash): Promise<CrashOutcome> {
        return this.#report(this.#pendingServers, crash.serverId, crash, {
            reportOf: (server) => ({ crashes: [], serverCrashes: [server], served: [] }),
            isConfirmed: ({ crashedServerIds = [] }) => crashedServerIds.includes(crash.serverId),
        });
    }

    /** Leaves a culprit that has been cleared since out of reports that are repeated. */
    forget(service: string, partId: string): void {
        const withoutCulprit = <T extends GroupCrash | ServerCrash>(crash: T): T =>
            crash.service === service ? { ...crash, requests: withoutPart(crash.requests, partId) } : crash;
        this.#remembered = this.#remembered.map(({ report, atMs }) => ({
            atMs,
            report: {
                ...report,
                crashes: report.crashes.map(withoutCulprit),
                serverCrashes: report.serverCrashes?.map(withoutCulprit) ?? [],
            },
        }));
    }

    /** Reports the latest crashes again. The leader counts each crash once, so it may know them already. */
    async repeatAll(): Promise<void> {
        this.#remembered = this.#remembered.filter(({ atMs }) => monotonicMs() - atMs < REMEMBERED_MS);
        const reports = this.#remembered.map(({ report }) => report);
        if (reports.length === 0) {
            return;
        }
        const response = await this.send({
            crashes: reports.flatMap(({ crashes }) => crashes),
            serverCrashes: reports.flatMap(({ serverCrashes = [] }) => serverCrashes),
            served: [],
        });
        this.#context.decisions.record("part.reportsRepeated", {
            reports: reports.length,
            isAccepted: response !== undefined,
        });
    }

    /** Resolves to undefined if no leader has accepted the report. */
    async send(report: PartReport): Promise<PartReportResponse | undefined> {
        try {
            return await this.#leader.report(report);
        }
        catch (error) {
            this.#context.decisions.record("part.reportFailed", { reason: messageOf(error) });
            return undefined;
        }
    }

    #report<K, T extends GroupCrash | ServerCrash>(
        pending: Map<K, PendingReport<T>>,
        key: K,
        crash: T,
        kind: { reportOf: (crash: T) => PartReport; isConfirmed: (response: PartReportResponse) => boolean; },
    ): Promise<CrashOutcome> {
        const known = pending.get(key);
        if (known !== undefined) {
            known.crash.requests.push(...crash.requests);
            return known.outcome;
        }
        const outcome = sleep(REPORT_DELAY_MS).then(async () => {
            pending.delete(key);
            const report = kind.reportOf(crash);
            const response = await this.send(report);
            if (response !== undefined && !kind.isConfirmed(response)) {
                return CrashOutcome.Alive;
            }
            this.#remembered = [...this.#remembered, { report, atMs: monotonicMs() }]
                .slice(-MAX_REMEMBERED_REPORTS);
            if (response !== undefined) {
                return CrashOutcome.Crashed;
            }
            this.#lifecycle.run((signal) => this.#resend(report, signal), (error) => {
                this.#context.decisions.record("part.reportFailed", { reason: messageOf(error) });
            });
            return CrashOutcome.Unknown;
        });
        pending.set(key, { crash, outcome });
        return outcome;
    }

    async #resend(report: PartReport, signal: AbortSignal): Promise<void> {
        const untilMs = monotonicMs() + REPORT_LIFETIME_MS;
        while (monotonicMs() < untilMs && !signal.aborted) {
            await sleep(REPORT_RETRY_MS, signal);
            if (await this.send(report) !== undefined) {
                return;
            }
        }
        const crashes = [...report.crashes, ...report.serverCrashes ?? []];
        this.#context.decisions.record("part.reportLost", {
            groups: report.crashes.map(({ groupName }) => groupName),
            servers: report.serverCrashes?.map(({ serverId }) => serverId),
            parts: crashes.flatMap(({ requests }) => requests.flatMap(({ partIds }) => partIds)),
        });
    }
}

const withoutPart = (requests: readonly UnservedRequest[], partId: string): UnservedRequest[] =>
    requests.map((request) => ({ ...request, partIds: request.partIds.filter((id) => id !== partId) }))
        .filter(({ partIds }) => partIds.length > 0);
