import { type Context, Lifecycle, LogPart, messageOf } from "@greengage/base";
import { RoutingTable } from "@greengage/configuration";
import { FleetWatcher, unpackConfiguration, UsageClient } from "@greengage/fleet";
import { Gateway, PLACEMENT_TIMEOUT_MS, type RetryLimits, type ServerDialect } from "@greengage/gateway";
import type { FleetView, GroupSuspicion, PackedConfiguration, PeerNetwork } from "@greengage/protocol";
import { createPeerNetwork } from "./peerid.ts";

export interface EntryDaemonOptions {
    context: Context;
    listen: { host: string; port: number; };
    peerKey: string;
    /** Daemons that serve control, known at the start. Any of them may be gone. */
    seedIds: readonly string[];
    dialect: ServerDialect;
    retries: RetryLimits;
}

/** A daemon that takes requests of callers, and learns configuration and fleet from the daemons that serve control. */
export class EntryDaemon {
    readonly gateway: Gateway;
    readonly #options: EntryDaemonOptions;
    readonly #peers: PeerNetwork;
    readonly #watcher: FleetWatcher;
    readonly #usage: UsageClient;
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
        this.gateway = new Gateway({
            context,
            dialect,
            retries,
            onSuspicion: (suspicion) => this.#reportSuspicion(suspicion),
            requestPlacement: (controllerId, request) =>
                this.#peers.call(controllerId, "place.choose", request, { timeoutMs: PLACEMENT_TIMEOUT_MS }),
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
        });
    }

    /** Whether a load balancer should send callers here. */
    get isReady(): boolean {
        return this.gateway.isInitialized && !this.#isDraining;
    }

    get isDraining(): boolean {
        return this.#isDraining;
    }

    async start(): Promise<void> {
        await this.#peers.start();
        this.#lifecycle.onClose(() => this.#peers.close());
        this.gateway.start();
        this.#lifecycle.onClose(() => this.gateway.close());
        this.#watcher.start();
        this.#lifecycle.onClose(() => this.#watcher.close());
        this.#usage.start();
        this.#lifecycle.onClose(() => this.#usage.close());
        this.#options.context.decisions.record("daemon.start", { role: "entry", seeds: this.#seedIds });
    }

    /** Takes new seeds. Daemons that are known from the fleet stay in use. */
    reload(seedIds: readonly string[]): void {
        this.#seedIds = seedIds;
        this.#options.context.decisions.record("daemon.reload", { seeds: seedIds });
    }

    /** Tells the load balancer to send callers elsewhere. Requests are still answered. */
    drain(): void {
        this.#isDraining = true;
        this.#options.context.decisions.record("daemon.drain", { inFlight: this.gateway.inFlight });
    }

    async close(): Promise<void> {
        this.#options.context.decisions.record("daemon.stop", { inFlight: this.gateway.inFlight });
        await this.#lifecycle.close();
    }

    /** Control daemons of the own zone first, then the others, then seeds that the fleet doesn't name. */
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
        // One that can't be read is not asked for again; it was validated before it was accepted.
        this.#configurationVersion = version;
        try {
            this.gateway.applyConfiguration(new RoutingTable(unpackConfiguration(bytes)));
        }
        catch (error) {
            const reason = messageOf(error);
            this.#options.context.logs(LogPart.Table).error("a configuration can't be read", {
                version,
                reason,
            });
        }
    }

    /** Tells the leader of a suspicion. Resolves to whether the group is in order. */
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

/** A suspicion that lasts is sent again, so a lost one isn't waited for. */
const SUSPICION_TIMEOUT_MS = 700;
