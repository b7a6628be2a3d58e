import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { RaftLog } from "@greengage/consensus";
import type { GroupCrash, PartReport, PartReportResponse, Peers } from "@greengage/protocol";
import type { GroupController } from "./controller.ts";
import type { PartQuarantine } from "./partquarantine.ts";

/** Reports of one crash by several entry daemons within this time are confirmed by one probe. */
const CONFIRMATION_TTL_MS = 1_000;

export interface PartReportHandlerOptions {
    context: Context;
    peers: Peers;
    log: Pick<RaftLog, "holdsLeaderLease" | "status">;
    controller: Pick<GroupController, "confirmCrash">;
    quarantine: PartQuarantine;
    /** Called after each report. */
    onChanged: () => void;
}

/** Handles the observations of entry daemons about prompt parts on the leader. */
export class PartReportHandler {
    readonly #options: PartReportHandlerOptions;
    readonly #confirmations = new Map<number, { result: Promise<boolean>; atMs: number; }>();

    constructor(options: PartReportHandlerOptions) {
        this.#options = options;
        options.peers.handle("parts.report", (report) => this.#handleReport(report));
        options.peers.handle("parts.trial", ({ service, partId }) => ({
            isGranted: options.log.holdsLeaderLease
                && options.quarantine.grantTrial(service, partId, monotonicMs()),
        }));
    }

    async #handleReport({ crashes, served }: PartReport): Promise<PartReportResponse> {
        const { log, quarantine, onChanged } = this.#options;
        if (!log.holdsLeaderLease) {
            return { isAccepted: false, leaderId: log.status().leaderId, crashedEpochs: [] };
        }
        const confirmed: GroupCrash[] = [];
        await Promise.all(crashes.map(async (crash) => {
            if (await this.#confirm(crash)) {
                confirmed.push(crash);
            }
        }));
        const nowMs = monotonicMs();
        confirmed.forEach(({ service, epoch, requests }) =>
            quarantine.recordCrash(service, epoch, requests, nowMs)
        );
        served.forEach((parts) => quarantine.recordServed(parts, nowMs));
        onChanged();
        return { isAccepted: true, crashedEpochs: confirmed.map(({ epoch }) => epoch) };
    }

    /** Whether the group has crashed. A connection can also fail alone, which blames no part. */
    #confirm({ groupName, epoch }: GroupCrash): Promise<boolean> {
        const nowMs = monotonicMs();
        for (const [knownEpoch, { atMs }] of this.#confirmations) {
            if (nowMs - atMs > CONFIRMATION_TTL_MS) {
                this.#confirmations.delete(knownEpoch);
            }
        }
        const known = this.#confirmations.get(epoch);
        if (known !== undefined) {
            return known.result;
        }
        const result = this.#probe(groupName, epoch);
        this.#confirmations.set(epoch, { result, atMs: nowMs });
        return result;
    }

    async #probe(groupName: string, epoch: number): Promise<boolean> {
        try {
            const hasCrashed = await this.#options.controller.confirmCrash(groupName, epoch);
            if (!hasCrashed) {
                // The group may crash at any time.
                this.#confirmations.delete(epoch);
            }
            return hasCrashed;
        }
        catch (error) {
            this.#confirmations.delete(epoch);
            this.#options.context.decisions.record("group.crashUnconfirmed", {
                group: groupName,
                reason: messageOf(error),
            });
            return false;
        }
    }
}
