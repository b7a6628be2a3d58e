import type { MemberRecord, MemberState, ServerReport } from "@greengage/protocol";
import type { DepartureState } from "./departurestate.ts";
import { startRank } from "./starttime.ts";

/** A backend server as known from its reports. */
export interface BackendServer {
    report: ServerReport;
    /** Monotonic time at which the last report was received. */
    receivedAtMs: number;
    /** Monotonic time at which this daemon received the incarnation's first report. */
    firstSeenAtMs: number;
    /**
     * Model of its last group. A server without a group reports no model but can rejoin one of this model immediately.
     */
    lastModel: string | undefined;
    /** Highest epoch of a known group that the process has joined, as it answered or reported. It refuses lower ones. */
    highestEpoch: number;
}

/** Effect of a report on the registry. */
export const ReportEffect = {
    /** Outdated, or from an incarnation that has ended. */
    Ignored: "ignored",
    /** Only the time of the last report changed. */
    Renewed: "renewed",
    Changed: "changed",
    /** First report of an incarnation. */
    Appeared: "appeared",
} as const;

export type ReportEffect = typeof ReportEffect[keyof typeof ReportEffect];

/** Retention of ended incarnations, so that a report delayed by a partition doesn't register them again. */
const ENDED_INCARNATION_TTL_MS = 120_000;

/** Reports that an incarnation may send between two that are received. At one per millisecond, they take 17 minutes. */
const MAX_SEQUENCE_GAP = 1_000_000;

/** All backend servers that send reports, with one incarnation per id and address. */
export class ServerRegistry {
    readonly #servers = new Map<string, BackendServer>();
    /** Incarnations from a previous leader's records that have not reported to this daemon, by address. */
    readonly #expected = new Map<string, MemberRecord>();
    readonly #idsByAddress = new Map<string, string>();
    /** The newest ended incarnation of each server id. */
    readonly #endedIncarnations = new Map<string, { bornMs: number; endedAtMs: number; }>();

    /** Start times of incarnations that are treated as draining whatever they report, by server id. */
    readonly #leaving = new Map<string, number>();
    readonly #departures: Pick<DepartureState, "has">;

    /** Incarnations in `departures` are treated as draining, whether or not they report to this daemon. */
    constructor(departures: Pick<DepartureState, "has">) {
        this.#departures = departures;
    }

    all(): BackendServer[] {
        return [...this.#servers.values()];
    }

    get(serverId: string): BackendServer | undefined {
        return this.#servers.get(serverId);
    }

    /** Adds an incarnation from another daemon's records. It ends when a newer one reports from its address. */
    addExpected(server: MemberRecord): void {
        if (!this.#servers.has(server.serverId) && server.address !== "") {
            this.#expected.set(server.address, server);
        }
    }

    /** What this daemon knows of a server by its own report, or else by the records of another daemon. */
    endpointOf(serverId: string): Pick<MemberRecord, "serverId" | "address" | "sequence"> | undefined {
        return this.#servers.get(serverId)?.report
            ?? [...this.#expected.values()].find((server) => server.serverId === serverId);
    }

    /** Whether the incarnation is known to have ended. */
    hasEnded(serverId: string, bornMs: number): boolean {
        const endedBornMs = this.#endedIncarnations.get(serverId)?.bornMs ?? -Infinity;
        const knownBornMs = this.#servers.get(serverId)?.report.bornMs ?? -Infinity;
        return startRank(endedBornMs) >= startRank(bornMs) || startRank(knownBornMs) > startRank(bornMs);
    }

    /** The server if this incarnation is the current one. */
    getIncarnation(serverId: string, bornMs: number): BackendServer | undefined {
        const server = this.#servers.get(serverId);
        return server?.report.bornMs === bornMs ? server : undefined;
    }

    /** Records that the incarnation has carried out an order to join a group of this epoch. */
    recordCarriedOut(serverId: string, bornMs: number, epoch: number): void {
        const server = this.getIncarnation(serverId, bornMs);
        if (server !== undefined) {
            server.highestEpoch = Math.max(server.highestEpoch, epoch);
        }
    }

    /** Whether the incarnation is draining, according to its report or its announcement to any leader. */
    isDraining(serverId: string, bornMs: number): boolean {
        return this.#departures.has({ serverId, bornMs })
            || this.getIncarnation(serverId, bornMs)?.report.isDraining === true;
    }

    /** Treats an incarnation as draining from now on. Returns whether it was neither draining nor ended before. */
    markLeaving(serverId: string, bornMs: number): boolean {
        const server = this.getIncarnation(serverId, bornMs);
        if (server === undefined || server.report.isDraining) {
            return false;
        }
        this.#leaving.set(serverId, bornMs);
        server.report = { ...server.report, isDraining: true };
        return true;
    }

    /**
     * Whether the report would take the id or the address of a server that is in use: one of a service for which `isUsed` returns
     * true, or one from the previous leader's records.
     */
    wouldReplaceInUse({ serverId, address }: ServerReport, isUsed: (service: string) => boolean): boolean {
        const expected = this.#expected.get(address);
        const holders = [serverId, this.#idsByAddress.get(address) ?? ""].map((id) => this.#servers.get(id));
        return (expected !== undefined && expected.serverId !== serverId)
            || holders.some((holder) => holder !== undefined && isUsed(holder.report.service));
    }

    accept(received: ServerReport, nowMs: number): ReportEffect {
        const isLeaving = this.#leaving.get(received.serverId) === received.bornMs
            || this.#departures.has(received);
        const report = isLeaving ? { ...received, isDraining: true } : received;
        if (this.#isFromEndedIncarnation(report)) {
            return ReportEffect.Ignored;
        }
        const known = this.#servers.get(report.serverId);
        if (known !== undefined && (isOlder(report, known.report) || isOutOfSequence(report, known.report))) {
            return ReportEffect.Ignored;
        }
        if (this.#isOlderThanExpected(report) || !this.#claimAddress(report, nowMs)) {
            return ReportEffect.Ignored;
        }
        const isSameIncarnation = known !== undefined && known.report.bornMs === report.bornMs;
        const firstSeenAtMs = isSameIncarnation ? known.firstSeenAtMs : nowMs;
        const lastModel = report.loadedModels[0] ?? (isSameIncarnation ? known.lastModel : undefined);
        const highestEpoch = isSameIncarnation ? known.highestEpoch : 0;
        this.#servers.set(report.serverId, {
            report,
            receivedAtMs: nowMs,
            firstSeenAtMs,
            lastModel,
            highestEpoch,
        });
        if (!isSameIncarnation) {
            this.#leaving.delete(report.serverId);
            return ReportEffect.Appeared;
        }
        return isSameState(known.report, report) ? ReportEffect.Renewed : ReportEffect.Changed;
    }

    /** Removes an incarnation that has ended or is about to; without `bornMs`, the current one. */
    markEnded(serverId: string, bornMs: number | undefined, nowMs: number): BackendServer | undefined {
        const server = this.#servers.get(serverId);
        if (
            server === undefined
            || (bornMs !== undefined && startRank(server.report.bornMs) > startRank(bornMs))
        ) {
            return undefined;
        }
        this.#remove(server, nowMs);
        return server;
    }

    /** Records the end of an incarnation, whether or not it has reported to this daemon. */
    recordEnded(serverId: string, bornMs: number, nowMs: number): void {
        if (this.markEnded(serverId, bornMs, nowMs) === undefined && !this.hasEnded(serverId, bornMs)) {
            this.#endedIncarnations.set(serverId, { bornMs, endedAtMs: nowMs });
        }
    }

    /** Whether the previous leader had a later report of this incarnation. */
    #isOlderThanExpected(report: ServerReport): boolean {
        const expected = this.#expected.get(report.address);
        return expected?.serverId === report.serverId && expected.bornMs === report.bornMs
            && report.sequence < expected.sequence;
    }

    /** Removes servers that have not reported for `maxAgeMs`, except those for which `isRetained` returns true. */
    expire(nowMs: number, maxAgeMs: number, isRetained: (serverId: string) => boolean): void {
        for (const server of this.#servers.values()) {
            if (nowMs - server.receivedAtMs > maxAgeMs && !isRetained(server.report.serverId)) {
                this.#remove(server, nowMs);
            }
        }
    }

    #isFromEndedIncarnation(report: ServerReport): boolean {
        const ended = this.#endedIncarnations.get(report.serverId);
        return ended !== undefined && startRank(report.bornMs) <= startRank(ended.bornMs);
    }

    /**
     * Assigns the address to the newest incarnation that reports it. Returns false if the report is from an older one.
     */
    #claimAddress(report: ServerReport, nowMs: number): boolean {
        const holder = this.#servers.get(this.#idsByAddress.get(report.address) ?? "");
        if (holder !== undefined && holder.report.serverId !== report.serverId) {
            if (startRank(holder.report.bornMs) > startRank(report.bornMs)) {
                return false;
            }
            this.#remove(holder, nowMs);
        }
        const expected = this.#expected.get(report.address);
        if (expected !== undefined) {
            this.#expected.delete(report.address);
            if (
                expected.serverId !== report.serverId && startRank(expected.bornMs) < startRank(report.bornMs)
            ) {
                this.#endedIncarnations.set(expected.serverId, { bornMs: expected.bornMs, endedAtMs: nowMs });
            }
        }
        const former = this.#servers.get(report.serverId);
        if (former !== undefined && former.report.address !== report.address) {
            this.#idsByAddress.delete(former.report.address);
        }
        this.#idsByAddress.set(report.address, report.serverId);
        return true;
    }

    #remove(server: BackendServer, nowMs: number): void {
        const { serverId, address, bornMs } = server.report;
        this.#servers.delete(serverId);
        this.#leaving.delete(serverId);
        if (this.#idsByAddress.get(address) === serverId) {
            this.#idsByAddress.delete(address);
        }
        this.#endedIncarnations.set(serverId, { bornMs, endedAtMs: nowMs });
        for (const [id, { endedAtMs }] of this.#endedIncarnations) {
            if (nowMs - endedAtMs > ENDED_INCARNATION_TTL_MS) {
                this.#endedIncarnations.delete(id);
            }
        }
    }
}

/** Whether no server can have sent that many reports since the known one, so that another writer sent this report. */
const isOutOfSequence = (report: ServerReport, known: ServerReport): boolean =>
    report.bornMs === known.bornMs && report.sequence - known.sequence > MAX_SEQUENCE_GAP;

const isOlder = (report: ServerReport, known: ServerReport): boolean =>
    startRank(report.bornMs) < startRank(known.bornMs)
    || (report.bornMs === known.bornMs && report.sequence <= known.sequence);

const isSameState = (a: ServerReport, b: ServerReport): boolean =>
    a.isDraining === b.isDraining && a.address === b.address && a.zone === b.zone && a.service === b.service
    && a.fabricDomain === b.fabricDomain && membershipKey(a) === membershipKey(b)
    && a.loadedModels.join() === b.loadedModels.join() && a.stagedModels.join() === b.stagedModels.join();

const membershipKey = ({ membership }: ServerReport): string =>
    membership === undefined
        ? ""
        : `${membership.groupName} ${membership.epoch} ${membership.rank} ${membership.state}`;

/** Whether the server reports this state as a member of this group and epoch. */
export const reportsState = (
    server: BackendServer | undefined,
    group: { groupName: string; epoch: number; },
    state: MemberState,
): boolean => {
    const membership = server?.report.membership;
    return membership?.groupName === group.groupName && membership.epoch === group.epoch
        && membership.state === state;
};
