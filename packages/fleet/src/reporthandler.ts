import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { RaftLog } from "@greengage/consensus";
import type { Peers, ServerReport } from "@greengage/protocol";
import type { GroupController } from "./controller.ts";
import { applyDeparture, DepartureEffect } from "./departure.ts";
import { ReportEffect, type ServerRegistry } from "./registry.ts";

/** An answer that backend servers wait for must come within a second. */
const FORWARD_CALL_OPTIONS = { timeoutMs: 700 };

export interface ServerReportHandlerOptions {
    context: Context;
    peers: Peers;
    log: RaftLog;
    registry: ServerRegistry;
    controller: GroupController;
}

/** Answer of the leader to what a backend server announces. */
interface LeaderAnswer {
    isAccepted: boolean;
    leaderId?: string;
}

/** Passes what backend servers announce to the leader, and takes it there. */
export class ServerReportHandler {
    readonly #options: ServerReportHandlerOptions;

    constructor(options: ServerReportHandlerOptions) {
        this.#options = options;
        const { peers } = options;
        peers.handle("fleet.report", ({ reports }) => this.#handleReports(reports));
        peers.handle("fleet.depart", ({ serverId, bornMs }) => this.#handleDeparture(serverId, bornMs));
    }

    /** Passes a report to the leader. Returns false when it could not be, so that the server tries another daemon. */
    forwardReport(report: ServerReport): Promise<boolean> {
        return this.#sendToLeader((leaderId) =>
            this.#options.peers.call(leaderId, "fleet.report", { reports: [report] }, FORWARD_CALL_OPTIONS)
        );
    }

    /** Passes on that a server has announced its end. */
    forwardDeparture(serverId: string, bornMs: number | undefined): Promise<boolean> {
        return this.#sendToLeader((leaderId) =>
            this.#options.peers.call(leaderId, "fleet.depart", { serverId, bornMs }, FORWARD_CALL_OPTIONS)
        );
    }

    async #sendToLeader(send: (leaderId: string) => Promise<LeaderAnswer>): Promise<boolean> {
        const { log, context } = this.#options;
        const { leaderId } = log.status();
        if (leaderId === undefined) {
            return false;
        }
        try {
            return (await send(leaderId)).isAccepted;
        }
        catch (error) {
            context.decisions.record("leader.unreachable", { leaderId, reason: messageOf(error) });
            return false;
        }
    }

    #rejection(): LeaderAnswer {
        return { isAccepted: false, leaderId: this.#options.log.status().leaderId };
    }

    #handleReports(reports: readonly ServerReport[]): LeaderAnswer {
        const { log, registry, controller } = this.#options;
        if (!log.holdsLeaderLease) {
            return this.#rejection();
        }
        const nowMs = monotonicMs();
        // A server that drains is acknowledged only when all daemons hear of it at once.
        const isAccepted = controller.isSettled || !reports.some((report) => report.isDraining);
        for (const report of reports) {
            const effect = registry.accept(report, nowMs);
            if (effect === ReportEffect.Changed || effect === ReportEffect.Appeared) {
                this.#recordReport(report, effect);
                controller.wake();
            }
        }
        return { isAccepted };
    }

    #recordReport(report: ServerReport, effect: ReportEffect): void {
        const { membership } = report;
        this.#options.context.decisions.record("server.report", {
            effect,
            server: report.serverId,
            service: report.service,
            address: report.address,
            serverZone: report.zone,
            sequence: report.sequence,
            isDraining: report.isDraining,
            group: membership?.groupName,
            epoch: membership?.epoch,
            rank: membership?.rank,
            state: membership?.state,
        });
    }

    #handleDeparture(serverId: string, bornMs: number | undefined): LeaderAnswer {
        const { log, context, registry, controller } = this.#options;
        if (!log.holdsLeaderLease || !controller.isSettled) {
            return this.#rejection();
        }
        const effect = applyDeparture(registry, controller.groups, { serverId, bornMs }, monotonicMs());
        context.decisions.record("server.departs", { server: serverId, effect });
        if (effect === DepartureEffect.UnknownMember) {
            return this.#rejection();
        }
        controller.wake();
        return { isAccepted: true };
    }
}
