import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type { RaftLog } from "@greengage/consensus";
import type { LeavingServer, Peers, ServerReport } from "@greengage/protocol";
import type { GroupController } from "./controller.ts";
import { applyDeparture, DepartureEffect } from "./departure.ts";
import type { Departure, DepartureState, RecordDeparturesCommand } from "./departurestate.ts";
import { validReports } from "./entries.ts";
import { ReportEffect, type ServerRegistry } from "./registry.ts";
import { MAX_START_MS } from "./starttime.ts";

/** Backend servers wait one second for an answer. */
const FORWARD_CALL_OPTIONS = { timeoutMs: 700 };

/** Time for a majority of the voters to store a departure, before the forwarding daemon gives up. */
const RECORD_TIMEOUT_MS = 600;

export interface ServerReportHandlerOptions {
    context: Context;
    peers: Peers;
    log: RaftLog;
    registry: ServerRegistry;
    controller: GroupController;
    departures: DepartureState;
    /** The routing table in force; undefined before the first configuration. */
    routing: () => RoutingTable | undefined;
}

/** The leader's answer to a report or a shutdown announcement. */
interface LeaderAnswer {
    isAccepted: boolean;
    leaderId?: string;
}

/** Forwards reports and shutdown announcements of backend servers to the leader, which applies them. */
export class ServerReportHandler {
    readonly #options: ServerReportHandlerOptions;

    constructor(options: ServerReportHandlerOptions) {
        this.#options = options;
        const { peers } = options;
        peers.handle("fleet.report", ({ reports }, from) => this.#handleReports(reports, from));
        peers.handle("fleet.leaving", (server, from) => this.#handleLeaving(server, from));
        peers.handle(
            "fleet.depart",
            ({ serverId, bornMs }, from) => this.#handleDeparture(serverId, bornMs, from),
        );
    }

    /** Forwards a report to the leader. Returns false on failure, so that the server tries another daemon. */
    forwardReport(report: ServerReport): Promise<boolean> {
        return this.#sendToLeader((leaderId) =>
            this.#options.peers.call(leaderId, "fleet.report", { reports: [report] }, FORWARD_CALL_OPTIONS)
        );
    }

    /** Forwards a server's shutdown announcement to the leader. Returns false on failure. */
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

    async #handleReports(received: readonly ServerReport[], from: string): Promise<LeaderAnswer> {
        const { context, log, registry, controller } = this.#options;
        if (!log.holdsLeaderLease) {
            return this.#rejection();
        }
        const nowMs = monotonicMs();
        const reports: ServerReport[] = [];
        for (const report of validReports({ context, source: from }, received)) {
            if (!this.#mayTakePlace(report, from)) {
                continue;
            }
            reports.push(report);
            const effect = registry.accept(report, nowMs);
            if (effect === ReportEffect.Changed || effect === ReportEffect.Appeared) {
                this.#recordReport(report, effect);
                controller.wake();
            }
        }
        // A draining server is acknowledged only once this leader publishes the change to all daemons immediately.
        const isAcknowledged = controller.isSettled || !reports.some((report) => report.isDraining);
        const isAccepted = isAcknowledged && reports.length === received.length
            && await this.#recordDepartures(reports.filter(({ isDraining }) => isDraining));
        return { isAccepted };
    }

    /** A report of a service that isn't configured names no server to use, so it can't take the place of one that is in use. */
    #mayTakePlace(report: ServerReport, from: string): boolean {
        const { registry, routing, context } = this.#options;
        const table = routing();
        const isConfigured = (service: string): boolean => table?.service(service) !== undefined;
        const mayTake = isConfigured(report.service) || !registry.wouldReplaceInUse(report, isConfigured);
        if (!mayTake) {
            const { serverId, service, address } = report;
            context.decisions.record("entry.invalid", {
                source: from,
                kind: "report",
                reason:
                    `server ${serverId} of the unknown service ${service} would replace one at ${address}`,
            });
        }
        return mayTake;
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

    /** Treats a server that says in its answers that it leaves like one that reports so. */
    #handleLeaving({ serverId, bornMs }: LeavingServer, from: string): LeaderAnswer {
        const { log, context, registry, controller } = this.#options;
        if (!log.holdsLeaderLease) {
            return this.#rejection();
        }
        if (registry.markLeaving(serverId, bornMs)) {
            context.decisions.record("server.leaving", { server: serverId, bornMs, toldTo: from });
            controller.wake();
            void this.#recordDepartures([{ serverId, bornMs }]);
        }
        return { isAccepted: true };
    }

    async #handleDeparture(
        serverId: string,
        bornMs: number | undefined,
        from: string,
    ): Promise<LeaderAnswer> {
        const { log, context, registry, controller } = this.#options;
        if (bornMs !== undefined && bornMs > MAX_START_MS) {
            context.decisions.record("entry.invalid", {
                source: from,
                kind: "departure",
                reason: `server ${serverId} starts in the future: bornMs ${bornMs}`,
            });
            return this.#rejection();
        }
        // A server that this leader doesn't know yet, and that names no start time, has started before now.
        const knownBornMs = bornMs ?? registry.get(serverId)?.report.bornMs ?? Date.now();
        if (!log.holdsLeaderLease || !controller.isSettled) {
            return this.#rejection();
        }
        const effect = applyDeparture(registry, controller.groups, { serverId, bornMs });
        context.decisions.record("server.departs", { server: serverId, effect });
        if (effect === DepartureEffect.UnknownMember) {
            return this.#rejection();
        }
        controller.wake();
        return { isAccepted: await this.#recordDepartures([{ serverId, bornMs: knownBornMs }]) };
    }

    /**
     * Resolves to whether a majority of the voters has stored the departures. A server may be acknowledged only then: it may say
     * nothing more, and a successor of this leader would send requests to it.
     */
    async #recordDepartures(announced: readonly Departure[]): Promise<boolean> {
        const { context, log, departures } = this.#options;
        // Without a start time, a departure would also be that of the server's next process.
        const unrecorded = announced.filter((departure) => departure.bornMs > 0 && !departures.has(departure))
            .map(({ serverId, bornMs }) => ({ serverId, bornMs }));
        if (unrecorded.length === 0) {
            return true;
        }
        const servers = unrecorded.map(({ serverId }) => serverId);
        try {
            const command: RecordDeparturesCommand = { type: "departures.record", departures: unrecorded };
            const { index } = await log.propose(command, { timeoutMs: RECORD_TIMEOUT_MS });
            context.decisions.record("departure.recorded", { servers, index });
            return true;
        }
        catch (error) {
            context.decisions.record("departure.notRecorded", { servers, reason: messageOf(error) });
            return false;
        }
    }
}
