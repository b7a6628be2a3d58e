import { type ConnectionCounts, type Context, Lifecycle, LogPart, messageOf } from "@greengage/base";
import { RoutingTable } from "@greengage/configuration";
import { FleetWatcher, unpackConfiguration, UsageClient } from "@greengage/fleet";
import {
    type Drain,
    Gateway,
    PLACEMENT_TIMEOUT_MS,
    type RetryLimits,
    type ServerDialect,
} from "@greengage/gateway";
import type {
    FleetView,
    GroupSuspicion,
    LeavingServer,
    PackedConfiguration,
    PartReport,
    PartReportResponse,
    PathReport,
    PeerNetwork,
    RelayCandidate,
} from "@greengage/protocol";
import { createPeerNetwork } from "./peerid.ts";
import { PeerRelays } from "./peerrelays.ts";
import { RelayAcceptor } from "./relayacceptor.ts";

export interface EntryDaemonOptions {
    context: Context;
    listen: { host: string; port: number; };
    peerKey: string;
    /** Ids of control daemons to contact first. Any of them may no longer exist. */
    seedIds: readonly string[];
    dialect: ServerDialect;
    retries: RetryLimits;
}

/** Daemon that serves callers. It receives the configuration and the fleet view from the control daemons. */
export class EntryDaemon {
    readonly gateway: Gateway;
    readonly #options: EntryDaemonOptions;
    readonly #peers: PeerNetwork;
    readonly #watcher: FleetWatcher;
    readonly #usage: UsageClient;
    readonly #relays: PeerRelays;
    readonly #acceptor: RelayAcceptor;
    readonly #lifecycle = new Lifecycle();
    #seedIds: readonly string[];
    #controllers: FleetView["controllers"] = [];
    #configurationVersion = 0;
    #isDraining = false;

    constructor(options: EntryDaemonOptions) {
        const { context, listen, peerKey, seedIds, dialect, retries } = options;
        this.#options = options;
        this.#seedIds = seedIds;
        this.#peers = createPeerNetwork({ context, listen, peerKey });
        this.#relays = new PeerRelays({
            peers: this.#peers,
            onSignals: (signals) => this.gateway.applyRelayedSignals(signals),
        });
        this.gateway = new Gateway({
            context,
            dialect,
            retries,
            onSuspicion: (suspicion) => this.#reportSuspicion(suspicion),
            requestPlacement: (controllerId, request) =>
                this.#peers.call(controllerId, "place.choose", request, { timeoutMs: PLACEMENT_TIMEOUT_MS }),
            requestPermit: (controllerId, request) =>
                this.#peers.call(controllerId, "limit.acquire", request, { timeoutMs: PLACEMENT_TIMEOUT_MS }),
            reportLeaving: (server) => this.#reportLeaving(server),
            relays: this.#relays,
            onRelayedSignals: (relayId, signals) => this.#relays.sendSignals(relayId, signals),
            crashLeader: {
                report: (report) => this.#reportParts(report),
                requestTrial: (service, partId) => this.#requestTrial(service, partId),
            },
        });
        this.#watcher = new FleetWatcher({
            context,
            peers: this.#peers,
            targets: () => this.#controlDaemonIds(),
            request: () => ({
                configurationVersion: this.#configurationVersion,
                isEntry: true,
                entryIds: [],
                demand: this.gateway.collectDemand(),
            }),
            onConfiguration: (configuration) => this.#applyConfiguration(configuration),
            onView: (view) => this.#applyView(view),
        });
        this.#usage = new UsageClient({
            context,
            peers: this.#peers,
            target: () => this.#watcher.target,
            usage: () => this.gateway.usage(),
            onRemoteUsage: (others) => this.gateway.setRemoteUsage(others),
            limits: {
                list: () => this.gateway.serverLimits(),
                merge: (limits) => this.gateway.mergeServerLimits(limits),
            },
            paths: { report: () => this.#reportPaths(), apply: (list) => this.#relays.apply(list) },
        });
        this.#acceptor = new RelayAcceptor({
            context,
            refuse: (request) => this.gateway.refuseRelay(request),
        });
        this.#peers.handleRelays((request, from) => this.#acceptor.open(request, from));
    }

    /** Whether a load balancer should send requests to this daemon. */
    get isReady(): boolean {
        return this.gateway.isInitialized && !this.#isDraining && this.gateway.reachesServers;
    }

    get isDraining(): boolean {
        return this.#isDraining;
    }

    async start(): Promise<void> {
        await this.#peers.start();
        this.#lifecycle.onClose(() => this.#peers.close());
        this.#acceptor.start();
        this.#lifecycle.onClose(() => this.#acceptor.close());
        this.gateway.start();
        this.#lifecycle.onClose(() => this.gateway.close());
        this.#watcher.start();
        this.#lifecycle.onClose(() => this.#watcher.close());
        this.#usage.start();
        this.#lifecycle.onClose(() => this.#usage.close());
        this.#options.context.decisions.record("daemon.start", { role: "entry", seeds: this.#seedIds });
    }

    /** Replaces the seeds. Control daemons named in the fleet view stay in use. */
    reload(seedIds: readonly string[]): void {
        this.#seedIds = seedIds;
        this.#options.context.decisions.record("daemon.reload", { seeds: seedIds });
    }

    /** Makes the readiness check fail. Requests are still served if they can end before the drain closes. */
    drain(drain: Drain, connections: ConnectionCounts): void {
        this.#isDraining = true;
        this.gateway.drain(drain);
        this.#acceptor.drain();
        this.#record("daemon.drain", connections);
    }

    /** Paths of this daemon and the peers that it may use, as shown to operators. */
    relayStatus(): PathReport & { candidates: readonly RelayCandidate[]; } {
        return { ...this.#reportPaths(), candidates: this.#relays.candidates() };
    }

    /** Resolves when no connection is relayed any more, or after `limitMs`. */
    waitForRelayed(limitMs: number): Promise<void> {
        return this.#acceptor.waitUntilIdle(limitMs);
    }

    async close(connections: ConnectionCounts): Promise<void> {
        this.#record("daemon.stop", connections);
        await this.#lifecycle.close();
    }

    #record(event: string, connections: ConnectionCounts): void {
        this.#options.context.decisions.record(event, {
            inFlight: this.gateway.inFlight,
            relayed: this.#acceptor.relayedCount,
            ...connections,
        });
    }

    #reportPaths(): PathReport {
        return this.#relays.report({
            zone: this.#options.context.zone,
            relayedCount: this.#acceptor.relayedCount,
            lostServerIds: this.gateway.reportedLostServerIds(),
            mayRelay: this.#acceptor.mayRelay && this.gateway.isInitialized && this.gateway.reachesServers,
        });
    }

    /** Control daemons in order of preference: the own zone, other zones, then seeds missing from the fleet view. */
    #controlDaemonIds(): string[] {
        const { zone } = this.#options.context;
        const own = this.#controllers.filter((controller) => controller.zone === zone);
        const others = this.#controllers.filter((controller) => controller.zone !== zone);
        return [...new Set([...[...own, ...others].map(({ daemonId }) => daemonId), ...this.#seedIds])];
    }

    #applyView(view: FleetView): void {
        this.#controllers = view.controllers;
        this.gateway.applyView(view);
    }

    #applyConfiguration({ version, bytes }: PackedConfiguration): void {
        if (version <= this.#configurationVersion) {
            return;
        }
        // Not fetched again when decoding fails: it was validated before it was accepted, so a retry would fail too.
        this.#configurationVersion = version;
        try {
            this.gateway.applyConfiguration(new RoutingTable(unpackConfiguration(bytes)));
        }
        catch (error) {
            const reason = messageOf(error);
            this.#options.context.logs(LogPart.Table).error("failed to decode a configuration", {
                version,
                reason,
            });
        }
    }

    async #reportLeaving(server: LeavingServer): Promise<void> {
        const { leaderId } = this.#watcher;
        if (leaderId === undefined) {
            return;
        }
        try {
            await this.#peers.call(leaderId, "fleet.leaving", server, { timeoutMs: LEAVING_TIMEOUT_MS });
        }
        catch (error) {
            const fields = { server: server.serverId, leaderId, reason: messageOf(error) };
            this.#options.context.decisions.record("server.leavingLost", fields);
        }
    }

    async #reportParts(report: PartReport): Promise<PartReportResponse | undefined> {
        const { leaderId } = this.#watcher;
        if (leaderId === undefined) {
            return undefined;
        }
        const options = { timeoutMs: PART_REPORT_TIMEOUT_MS };
        const response = await this.#peers.call(leaderId, "parts.report", report, options);
        return response.isAccepted ? response : undefined;
    }

    async #requestTrial(service: string, partId: string): Promise<boolean> {
        const { leaderId } = this.#watcher;
        const options = { timeoutMs: TRIAL_REQUEST_TIMEOUT_MS };
        return leaderId !== undefined
            && (await this.#peers.call(leaderId, "parts.trial", { service, partId }, options)).isGranted;
    }

    /** Reports a suspected group to the leader. Resolves to whether the leader cleared the suspicion. */
    async #reportSuspicion(suspicion: GroupSuspicion): Promise<boolean> {
        const { leaderId } = this.#watcher;
        if (leaderId === undefined) {
            return false;
        }
        const options = { timeoutMs: SUSPICION_TIMEOUT_MS };
        try {
            return (await this.#peers.call(leaderId, "fleet.suspect", suspicion, options)).isCleared;
        }
        catch (error) {
            const fields = { group: suspicion.groupName, leaderId, reason: messageOf(error) };
            this.#options.context.decisions.record("group.suspicionLost", fields);
            return false;
        }
    }
}

/** The leader probes the head first, which takes up to 300 ms if it is silent. */
const PART_REPORT_TIMEOUT_MS = 700;
const TRIAL_REQUEST_TIMEOUT_MS = 100;
/** Short, because a leaving server is reported again. */
const LEAVING_TIMEOUT_MS = 400;
/** Short, because a suspicion that persists is reported again. */
const SUSPICION_TIMEOUT_MS = 700;
