import {
    ConnectionProbeResult,
    type Context,
    ErrorCode,
    GreengageError,
    Lifecycle,
    messageOf,
    monotonicMs,
    probeConnection,
    Verdict,
} from "@greengage/base";
import { CrashReportHandler, CulpritQuarantine } from "@greengage/fleet";
import { CrashSuspects } from "@greengage/gateway";
import type { GroupDirectory, SuspectList } from "@greengage/membership";
import type { PartReport, PartReportResponse, Peers, SuspectRecord } from "@greengage/protocol";
import type { BlamedRequest, CrashBlame, CrashTarget, UnservedProgress } from "@greengage/routing";

/** Includes the probe of the server. */
const REPORT_TIMEOUT_MS = 700;
const TRIAL_TIMEOUT_MS = 150;
const LIFT_TIMEOUT_MS = 900;
const PROBE_TIMEOUT_MS = 300;
/** Reports without an outcome after which a request is rejected until they have one. */
const MAX_OPEN_REPORTS = 2;
/** Period of the check for trials that have become due. */
const REFRESH_MS = 1_000;

export interface RequestQuarantineOptions {
    context: Context;
    peers: Peers;
    zones: readonly string[];
    directory: () => Pick<GroupDirectory, "allGroups" | "allServices" | "controllerOf" | "reachableZones">;
    /** Whether this daemon holds the lease of its zone. */
    isController: () => boolean;
}

/**
 * Requests that crash backend servers. A daemon reports crashes to the controllers of all zones. Each of them confirms and
 * counts the crashes, and its grants carry the list to the daemons of its zone.
 */
export class RequestQuarantine implements CrashBlame, SuspectList {
    readonly #options: RequestQuarantineOptions;
    readonly #lifecycle = new Lifecycle();
    /** The zone's list on its controller, a copy of it on other daemons. */
    readonly #quarantine: CulpritQuarantine;
    readonly #culprits: CrashSuspects;
    /** Ids of the targets whose reports have no outcome yet, by row and culprit. */
    readonly #openReports = new Map<string, Set<string>>();
    /** Controller of the own zone whose list was restored last. */
    #controllerId: string | undefined;

    constructor(options: RequestQuarantineOptions) {
        this.#options = options;
        const { context, peers, isController } = options;
        this.#quarantine = new CulpritQuarantine(context);
        this.#culprits = new CrashSuspects(context, {
            report: (report) => this.#report(report),
            requestTrial: (row, culpritId) => this.#requestTrial(row, culpritId),
        });
        new CrashReportHandler({
            context,
            peers,
            log: {
                get holdsLeaderLease() {
                    return isController();
                },
                status: () => ({ leaderId: options.directory().controllerOf(context.zone) }),
            },
            controller: {
                confirmCrash: () => Promise.resolve(false),
                confirmServerCrash: (targetId) => this.#confirmCrash(targetId),
            },
            quarantine: this.#quarantine,
            onChanged: () => this.#refresh(),
        });
        peers.handle("parts.lift", ({ partId }) => this.#handleLift(partId));
    }

    start(): void {
        this.#lifecycle.every(REFRESH_MS, () => this.#refresh(), () => undefined);
    }

    async close(): Promise<void> {
        await this.#lifecycle.close();
        await this.#culprits.close();
    }

    get version(): number {
        return this.#quarantine.version;
    }

    records(nowMs: number): SuspectRecord[] {
        return this.#quarantine.records(nowMs);
    }

    restore(records: readonly SuspectRecord[], nowMs: number): void {
        const { context, directory } = this.#options;
        this.#quarantine.restore(records, nowMs);
        const controllerId = directory().controllerOf(context.zone);
        if (controllerId !== this.#controllerId) {
            this.#controllerId = controllerId;
            this.#culprits.onNewLeader();
        }
        this.#refresh();
    }

    adopt(records: readonly SuspectRecord[], nowMs: number): void {
        const known = this.#quarantine.records(nowMs);
        const knownKeys = new Set(known.map(keyOf));
        const added = records.filter((record) => !knownKeys.has(keyOf(record)));
        if (added.length > 0) {
            this.restore([...known, ...added], nowMs);
        }
    }

    update(nowMs: number): void {
        const { version } = this;
        this.#quarantine.update(nowMs);
        if (version !== this.version) {
            this.#refresh();
        }
    }

    async admit(request: BlamedRequest): Promise<boolean> {
        const { row, culpritId } = request;
        if (this.#openReportCount(request) >= MAX_OPEN_REPORTS) {
            throw new GreengageError(`reports of crashes under ${culpritId} have no outcome yet`, {
                code: ErrorCode.Quarantined,
                verdict: Verdict.NotRun,
                retryAfterMs: REPORT_TIMEOUT_MS,
            });
        }
        return await this.#culprits.admit(row, [culpritId]);
    }

    isQuarantined(request: BlamedRequest): boolean {
        return this.#openReportCount(request) >= MAX_OPEN_REPORTS
            || this.#culprits.hasQuarantined(request.row, [request.culpritId]);
    }

    recordServed({ row, culpritId }: BlamedRequest): void {
        this.#culprits.recordServed(row, [culpritId], monotonicMs());
    }

    recordComplete({ row, culpritId }: BlamedRequest): void {
        this.#culprits.recordComplete(row, [culpritId], monotonicMs());
    }

    async recordFailure(
        request: BlamedRequest,
        target: CrashTarget,
        progress: UnservedProgress,
    ): Promise<boolean> {
        const { row, culpritId } = request;
        const unserved = { partIds: [culpritId], ...progress };
        const mayRepeat = await this.#culprits.recordServerFailure(row, targetIdOf(target), unserved);
        return mayRepeat && this.#openReportCount(request) < MAX_OPEN_REPORTS;
    }

    /**
     * Forgets the crashes under a request, in all zones. Returns the rows in which it was a suspect. Throws a GreengageError with
     * code `unavailable` unless the controllers of all zones answer.
     */
    async lift(culpritId: string): Promise<string[]> {
        const { zones, directory, peers } = this.#options;
        const rows = await Promise.all(zones.map(async (zone) => {
            const controllerId = directory().controllerOf(zone);
            if (controllerId === undefined) {
                throw unavailable(`zone ${zone} has no known controller`);
            }
            const options = { timeoutMs: LIFT_TIMEOUT_MS };
            const response = await peers.call(controllerId, "parts.lift", { partId: culpritId }, options)
                .catch((error: unknown) => {
                    throw unavailable(`the controller of zone ${zone} didn't answer: ${messageOf(error)}`);
                });
            if (!response.isAccepted) {
                throw unavailable(`${controllerId} no longer controls zone ${zone}`);
            }
            return response.services;
        }));
        return [...new Set(rows.flat())];
    }

    #handleLift(partId: string): { isAccepted: boolean; services: string[]; } {
        if (!this.#options.isController()) {
            return { isAccepted: false, services: [] };
        }
        const services = this.#quarantine.records(monotonicMs())
            .filter((record) => record.partId === partId).map(({ service }) => service);
        services.forEach((service) => this.#quarantine.lift(service, partId));
        this.#refresh();
        return { isAccepted: true, services };
    }

    #refresh(): void {
        this.#culprits.setSuspects(this.#quarantine.view(monotonicMs()));
    }

    #openReportCount({ row, culpritId }: BlamedRequest): number {
        return this.#openReports.get(keyOf({ service: row, partId: culpritId }))?.size ?? 0;
    }

    async #report(report: PartReport): Promise<PartReportResponse | undefined> {
        const targets = (report.serverCrashes ?? []).flatMap(({ service, serverId, requests }) =>
            requests.flatMap(({ partIds }) =>
                partIds.map((partId) => ({ key: keyOf({ service, partId }), serverId }))
            )
        );
        for (const { key, serverId } of targets) {
            this.#openReports.set(key, (this.#openReports.get(key) ?? new Set()).add(serverId));
        }
        try {
            return await this.#sendReport(report);
        }
        finally {
            for (const { key, serverId } of targets) {
                const ids = this.#openReports.get(key);
                ids?.delete(serverId);
                if (ids?.size === 0) {
                    this.#openReports.delete(key);
                }
            }
        }
    }

    /** Resolves with the response of the own zone's controller if it accepts the report, otherwise with another one's. */
    async #sendReport(report: PartReport): Promise<PartReportResponse | undefined> {
        const { context, zones } = this.#options;
        const otherZones = zones.filter((zone) => zone !== context.zone);
        const responses = [context.zone, ...otherZones].map((zone) => this.#reportTo(zone, report));
        for (const response of responses) {
            const { isAccepted = false, ...rest } = await response ?? {};
            if (isAccepted) {
                return { isAccepted, crashedEpochs: [], ...rest };
            }
        }
        return undefined;
    }

    async #reportTo(zone: string, report: PartReport): Promise<PartReportResponse | undefined> {
        const { context, directory, peers } = this.#options;
        const controllerId = directory().controllerOf(zone);
        if (controllerId === undefined) {
            return undefined;
        }
        try {
            return await peers.call(controllerId, "parts.report", report, { timeoutMs: REPORT_TIMEOUT_MS });
        }
        catch (error) {
            const fields = { zone, controllerId, reason: messageOf(error) };
            context.decisions.record("part.reportFailed", fields);
            return undefined;
        }
    }

    /** Asks the controller of the first zone in reach, so that one trial runs at a time. */
    async #requestTrial(service: string, partId: string): Promise<boolean> {
        const { directory, peers } = this.#options;
        const [zone = ""] = directory().reachableZones().sort();
        const controllerId = directory().controllerOf(zone);
        const options = { timeoutMs: TRIAL_TIMEOUT_MS };
        return controllerId !== undefined
            && (await peers.call(controllerId, "parts.trial", { service, partId }, options)).isGranted;
    }

    /** Resolves to the id of a target that has ended or refuses connections. Throws while its zone is out of reach. */
    async #confirmCrash(targetId: string): Promise<string | undefined> {
        const directory = this.#options.directory();
        const groups = directory.allGroups().map(({ groupId, generation, leaderUrl, zone }) => ({
            targetId: targetIdOf({ id: groupId, incarnation: String(generation) }),
            url: leaderUrl,
            zone,
        }));
        const servers = directory.allServices().map(({ vmId, incarnationId, url, zone }) => ({
            targetId: targetIdOf({ id: vmId, incarnation: incarnationId }),
            url,
            zone,
        }));
        const target = [...groups, ...servers].find((candidate) => candidate.targetId === targetId);
        if (target === undefined) {
            return targetId;
        }
        if (!directory.reachableZones().includes(target.zone)) {
            throw new Error(`zone ${target.zone} is out of reach`);
        }
        const result = await probeConnection(addressOf(target.url), PROBE_TIMEOUT_MS);
        return result === ConnectionProbeResult.Refused ? targetId : undefined;
    }
}

/** `host:port` of an origin. */
const addressOf = (url: string): string => {
    const { hostname, port, protocol } = new URL(url);
    const defaultPort = protocol === "https:" ? "443" : "80";
    return `${hostname}:${port === "" ? defaultPort : port}`;
};

const keyOf = ({ service, partId }: Pick<SuspectRecord, "service" | "partId">): string =>
    `${service}\n${partId}`;

const targetIdOf = ({ id, incarnation }: CrashTarget): string => `${id}/${incarnation}`;

const unavailable = (message: string): GreengageError =>
    new GreengageError(message, { code: ErrorCode.Unavailable, verdict: Verdict.MayHaveRun });
