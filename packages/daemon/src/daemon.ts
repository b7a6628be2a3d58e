import { ActionRecords, ActionService } from "@greengage/actions";
import {
    type Context,
    createContext,
    createLogFactory,
    GreengageError,
    Lifecycle,
    LogPart,
    Metrics,
    monotonicMs,
    newId,
    sleep,
    Verdict,
} from "@greengage/base";
import { CompositeStateMachine, RaftLog } from "@greengage/consensus";
import { type EditAnswer, HttpSurface } from "@greengage/http";
import { Membership } from "@greengage/membership";
import { PeerNetwork } from "@greengage/protocol";
import { BackendDispatcher } from "@greengage/routing";
import { type EditCommand, type EditOutcome, type RowChange, TableState } from "@greengage/table";
import { zonesInEffect } from "./effect.ts";
import type { Settings } from "./settings.ts";

const EDIT_TIMEOUT_MS = 5_000;
const EDIT_RETRY_MS = 100;

/** One daemon: all parts of the system on one entry VM. */
export class Daemon {
    readonly #settings: Settings;
    readonly #context: Context;
    readonly #lifecycle = new Lifecycle();
    readonly #table = new TableState();
    readonly #actionRecords = new ActionRecords();
    readonly #peers: PeerNetwork;
    readonly #log: RaftLog;
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
        this.#log = new RaftLog({
            context,
            peers: this.#peers,
            machine: new CompositeStateMachine({ table: this.#table, action: this.#actionRecords }),
            daemons,
            dataFolder: self.voter ? settings.dataFolder : undefined,
            bootstrap: settings.bootstrap,
        });
        this.#membership = new Membership({
            context,
            peers: this.#peers,
            table: this.#table,
            daemons,
            orderKey: keys.backendServers,
            timing: settings.timing,
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
            isReady: () => this.#log.isCurrent && this.#membership.directory.reachableZones().includes(zone),
        });
        this.#lifecycle.onClose(() => dispatcher.close());
    }

    async start(): Promise<void> {
        // Peers may ask only after the data folder has been read.
        await this.#log.start();
        await this.#peers.start();
        this.#lifecycle.onClose(() => this.#peers.close());
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
            reachableZones: directory.reachableZones(),
            groups: directory.allGroups(),
            services: directory.allServices(),
            invariants: this.#context.invariants.counts(),
        };
    }

    async #edit(edit: { editId: string; operator: string; changes: RowChange[]; }): Promise<EditAnswer> {
        const command: EditCommand = {
            type: "table.edit",
            atMs: Date.now(),
            ...edit,
            editId: edit.editId ?? newId(),
        };
        const outcome = await this.#proposeEdit(command);
        if (outcome.status !== "accepted") {
            return { outcome, inForceZones: [], pendingZones: [] };
        }
        return { outcome, ...await zonesInEffect(this.#peers, this.#settings.daemons, outcome.tableVersion) };
    }

    /** Proposes an edit until its outcome is known: a resend with the same edit id gets the first outcome. */
    async #proposeEdit(command: EditCommand): Promise<EditOutcome> {
        const deadlineMs = monotonicMs() + EDIT_TIMEOUT_MS;
        for (;;) {
            const timeoutMs = Math.max(1, deadlineMs - monotonicMs());
            try {
                const { result } = await this.#log.propose(command, { timeoutMs });
                return result as EditOutcome;
            }
            catch (error) {
                const mayResend = error instanceof GreengageError && error.verdict === Verdict.MayHaveRun;
                if (!mayResend || monotonicMs() >= deadlineMs) {
                    throw error;
                }
                await sleep(EDIT_RETRY_MS);
            }
        }
    }
}
