import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { LogStatus, RaftLog } from "@greengage/consensus";
import type {
    CrashId,
    GroupCrash,
    PartReport,
    PartReportResponse,
    Peers,
    ServerCrash,
} from "@greengage/protocol";
import type { GroupController } from "./controller.ts";
import type { CulpritQuarantine } from "./culpritquarantine.ts";

/** Reports of one crash by several entry daemons within this time are confirmed by one probe. */
const CONFIRMATION_TTL_MS = 1_000;

export interface CrashReportHandlerOptions {
    context: Context;
    peers: Peers;
    /** Whether this daemon decides, and which one it believes to decide. */
    log: Pick<RaftLog, "holdsLeaderLease"> & { status(): Pick<LogStatus, "leaderId">; };
    controller: Pick<GroupController, "confirmCrash" | "confirmServerCrash">;
    quarantine: CulpritQuarantine;
    /** Called after each report. */
    onChanged: () => void;
}

/** Handles the observations of entry daemons about possible causes of crashes on the leader. */
export class CrashReportHandler {
    readonly #options: CrashReportHandlerOptions;
    /** By epoch of a group or id of a server; resolves to undefined if it hasn't crashed. */
    readonly #confirmations = new Map<CrashId, { result: Promise<CrashId | undefined>; atMs: number; }>();

    constructor(options: CrashReportHandlerOptions) {
        this.#options = options;
        options.peers.handle("parts.report", (report) => this.#handleReport(report));
        options.peers.handle("parts.trial", ({ service, partId }) => ({
            isGranted: options.log.holdsLeaderLease
                && options.quarantine.grantTrial(service, partId, monotonicMs()),
        }));
    }

    async #handleReport({ crashes, serverCrashes = [], served }: PartReport): Promise<PartReportResponse> {
        const { log, quarantine, onChanged } = this.#options;
        if (!log.holdsLeaderLease) {
            return { isAccepted: false, leaderId: log.status().leaderId, crashedEpochs: [] };
        }
        const confirmed = await this.#confirmAll(crashes, (crash) => this.#confirmGroup(crash));
        const confirmedServers = await this.#confirmAll(serverCrashes, (crash) => this.#confirmServer(crash));
        const nowMs = monotonicMs();
        [...confirmed, ...confirmedServers].forEach(({ crash: { service, requests }, crashId }) =>
            quarantine.recordCrash(service, crashId, requests, nowMs)
        );
        served.forEach((parts) => quarantine.recordServed(parts, nowMs));
        onChanged();
        return {
            isAccepted: true,
            crashedEpochs: confirmed.map(({ crash }) => crash.epoch),
            ...(confirmedServers.length === 0
                ? {}
                : { crashedServerIds: confirmedServers.map(({ crash }) => crash.serverId) }),
        };
    }

    async #confirmAll<T>(
        crashes: readonly T[],
        confirm: (crash: T) => Promise<CrashId | undefined>,
    ): Promise<{ crash: T; crashId: CrashId; }[]> {
        const results = await Promise.all(
            crashes.map(async (crash) => ({ crash, crashId: await confirm(crash) })),
        );
        return results.flatMap(({ crash, crashId }) => crashId === undefined ? [] : [{ crash, crashId }]);
    }

    #confirmGroup({ groupName, epoch }: GroupCrash): Promise<CrashId | undefined> {
        const { controller } = this.#options;
        return this.#confirm(
            epoch,
            async () => await controller.confirmCrash(groupName, epoch) ? epoch : undefined,
        );
    }

    #confirmServer({ serverId }: ServerCrash): Promise<CrashId | undefined> {
        return this.#confirm(serverId, () => this.#options.controller.confirmServerCrash(serverId));
    }

    /** Probes a group or server unless that was done shortly before. A connection can also fail alone, which blames nothing. */
    #confirm(
        probedId: CrashId,
        probe: () => Promise<CrashId | undefined>,
    ): Promise<CrashId | undefined> {
        const nowMs = monotonicMs();
        for (const [knownId, { atMs }] of this.#confirmations) {
            if (nowMs - atMs > CONFIRMATION_TTL_MS) {
                this.#confirmations.delete(knownId);
            }
        }
        const known = this.#confirmations.get(probedId);
        if (known !== undefined) {
            return known.result;
        }
        const result = this.#probe(probedId, probe);
        this.#confirmations.set(probedId, { result, atMs: nowMs });
        return result;
    }

    async #probe(
        probedId: CrashId,
        probe: () => Promise<CrashId | undefined>,
    ): Promise<CrashId | undefined> {
        let crashId: CrashId | undefined;
        try {
            crashId = await probe();
        }
        catch (error) {
            const probed = typeof probedId === "number" ? "group" : "server";
            this.#options.context.decisions.record(`${probed}.crashUnconfirmed`, {
                [probed === "group" ? "epoch" : "server"]: probedId,
                reason: messageOf(error),
            });
        }
        if (crashId === undefined) {
            // It may crash at any time.
            this.#confirmations.delete(probedId);
        }
        return crashId;
    }
}
