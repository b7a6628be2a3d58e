import { ActionRecords, ActionService } from "@greengage/actions";
import {
    type Context,
    createContext,
    createLogFactory,
    Lifecycle,
    LogPart,
    Metrics,
    newId,
} from "@greengage/base";
import { CompositeStateMachine, FixedLeaderLog } from "@greengage/consensus";
import { type EditAnswer, HttpSurface } from "@greengage/http";
import { Membership } from "@greengage/membership";
import { PeerNetwork } from "@greengage/protocol";
import { BackendDispatcher } from "@greengage/routing";
import { type EditOutcome, type RowChange, TableState } from "@greengage/table";
import type { Settings } from "./settings.ts";

const EDIT_TIMEOUT_MS = 5_000;

/** One daemon: all parts of the system on one entry VM. */
export class Daemon {
    readonly #settings: Settings;
    readonly #context: Context;
    readonly #lifecycle = new Lifecycle();
    readonly #table = new TableState();
    readonly #actionRecords = new ActionRecords();
    readonly #peers: PeerNetwork;
    readonly #log: FixedLeaderLog;
    readonly #membership: Membership;
    readonly #surface: HttpSurface;

    constructor(settings: Settings) {
        this.#settings = settings;
        const { daemonId, zone, daemons, keys } = settings;
        const metrics = new Metrics({ ...settings.metrics, tags: { daemon: daemonId, zone } });
        const context = createContext({ daemonId, zone, logs: createLogFactory(settings.log), metrics });
        this.#context = context;
        const self = daemons.find((daemon) => daemon.daemonId === daemonId);
        if (self === undefined) {
            throw new Error(`daemon ${daemonId} is not in the list of daemons`);
        }
        this.#peers = new PeerNetwork({
            context,
            listen: { host: self.host, port: self.port },
            addresses: daemons,
            key: keys.peers,
        });
        this.#log = new FixedLeaderLog({
            peers: this.#peers,
            machine: new CompositeStateMachine({ table: this.#table, action: this.#actionRecords }),
            leaderId: daemons[0]?.daemonId ?? daemonId,
        });
        this.#membership = new Membership({
            context,
            peers: this.#peers,
            table: this.#table,
            daemons,
            orderKey: keys.backendServers,
            timing: settings.timing,
            weightStore: { maxLoads: settings.weightStoreLoads },
        });
        const dispatcher = new BackendDispatcher({
            context,
            directory: this.#membership.directory,
            table: this.#table,
            backendKey: keys.backendServers,
        });
        this.#surface = new HttpSurface({
            context,
            listen: settings.http,
            keys,
            table: this.#table,
            dispatcher,
            actions: new ActionService({ context, log: this.#log, dispatcher }),
            acceptReport: (report) => this.#membership.intake.accept(report),
            operators: { status: () => this.status(), edit: (edit) => this.#edit(edit) },
            isReady: () => this.#membership.directory.reachableZones().includes(zone),
        });
        this.#lifecycle.onClose(() => dispatcher.close());
    }

    async start(): Promise<void> {
        await this.#peers.start();
        this.#lifecycle.onClose(() => this.#peers.close());
        this.#log.start();
        this.#lifecycle.onClose(() => this.#log.close());
        this.#membership.start();
        this.#lifecycle.onClose(() => this.#membership.close());
        await this.#surface.start();
        this.#lifecycle.onClose(() => this.#surface.close());
        const { daemonId, zone, http } = this.#settings;
        this.#context.logs(LogPart.Daemon).info(`daemon ${daemonId} of zone ${zone} takes requests`, http);
    }

    async close(): Promise<void> {
        await this.#lifecycle.close();
        await this.#context.metrics.close();
    }

    status(): object {
        const { directory, lease } = this.#membership;
        return {
            daemonId: this.#settings.daemonId,
            zone: this.#settings.zone,
            tableVersion: this.#table.version,
            log: this.#log.status(),
            isController: lease.isValid,
            measures: this.#membership.measures(),
            reachableZones: directory.reachableZones(),
            groups: directory.allGroups(),
            services: directory.allServices(),
            invariants: this.#context.invariants.counts(),
        };
    }

    async #edit(edit: { editId: string; operator: string; changes: RowChange[]; }): Promise<EditAnswer> {
        const command = { type: "table.edit", atMs: Date.now(), ...edit, editId: edit.editId ?? newId() };
        const { result } = await this.#log.propose(command, { timeoutMs: EDIT_TIMEOUT_MS });
        const zones = this.#membership.directory.reachableZones();
        return { outcome: result as EditOutcome, inForceZones: zones, pendingZones: [] };
    }
}
