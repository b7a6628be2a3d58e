import { type Context, Lifecycle, monotonicMs } from "@greengage/base";
import {
    type Grant,
    GroupState,
    type GroupView,
    type InFlightCount,
    type OrganisationDemand,
    type OrganisationShare,
    type Peers,
    type ServiceView,
    type ShareTransfer,
    type SuspectRecord,
    type ZoneExchange,
} from "@greengage/protocol";
import type { MembershipTiming } from "./timing.ts";

/** The grants of other zones are renewed this many times less often than the grant of the daemon's own zone. */
const REMOTE_RENEW_FACTOR = 2;

/** Content of the last grant from a zone. */
interface ZoneEntry {
    fence: number;
    viewVersion: number;
    validUntilMs: number;
    controllerId: string | undefined;
    groups: Map<string, GroupView>;
    services: Map<string, ServiceView>;
    daemonCount: number;
    tableFloor: number;
    shares: Map<string, OrganisationShare>;
    transfers: ShareTransfer[];
    drainedVmIds: string[];
    /** Version of the suspects that were applied last; undefined if none were under this fence. */
    suspectVersion: number | undefined;
}

/** Builds and applies messages of the limit exchange with other zones while this daemon is its zone's controller. */
export interface LimitExchangeHandler {
    exchangeMessage(): ZoneExchange | undefined;
    applyExchange(message: ZoneExchange): void;
}

export interface GroupDirectoryOptions {
    context: Context;
    peers: Peers;
    timing: MembershipTiming;
    zones: string[];
    /** Lease acceptors of a zone, which record the holder. */
    acceptorsOf: (zone: string) => string[];
    tableVersion: () => number;
}

/** Groups and services that this daemon may dispatch to under the currently valid grants. */
export class GroupDirectory {
    readonly #options: GroupDirectoryOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #zones = new Map<string, ZoneEntry>();
    readonly #listeners = new Set<() => void>();
    readonly #suspectedUntilMs = new Map<string, number>();
    #demandSource: () => OrganisationDemand[] = () => [];
    #inFlightSource: (() => InFlightCount[]) | undefined;
    #limitExchangeHandler: LimitExchangeHandler | undefined;
    #suspectHandler: (records: SuspectRecord[]) => void = () => undefined;

    constructor(options: GroupDirectoryOptions) {
        this.#options = options;
        for (const zone of options.zones) {
            this.#zones.set(zone, emptyZoneEntry());
        }
        options.peers.handleNotice("grant.push", ({ grant }) => this.#applyPush(grant));
    }

    /** Sets the source of the demand by organisation that renewals report. */
    setDemandSource(source: () => OrganisationDemand[]): void {
        this.#demandSource = source;
    }

    /** Sets the source of the requests in flight, by group and backend server, that renewals report. */
    setInFlightSource(source: () => InFlightCount[]): void {
        this.#inFlightSource = source;
    }

    setLimitExchangeHandler(handler: LimitExchangeHandler): void {
        this.#limitExchangeHandler = handler;
    }

    /** Sets the function that gets the suspects of the own zone's controller. */
    setSuspectHandler(handler: (records: SuspectRecord[]) => void): void {
        this.#suspectHandler = handler;
    }

    start(): void {
        const { context, timing } = this.#options;
        for (const zone of this.#zones.keys()) {
            // Other zones' groups are a fallback, so their grant may expire when a renewal is half a period late.
            const factor = zone === context.zone ? 1 : REMOTE_RENEW_FACTOR;
            this.#lifecycle.every(
                factor * timing.grantRenewMs,
                () => this.#renew(zone),
                () => undefined,
            );
        }
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Calls `listener` after each change of groups or services. Returns a function that unsubscribes it. */
    onChange(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    /** Groups of a model that serve under a valid grant and aren't suspected, those of the daemon's own zone first. */
    servingGroups(model: string): GroupView[] {
        return this.#validZones().flatMap((entry) =>
            [...entry.groups.values()].filter((group) =>
                group.model === model && group.state === GroupState.Serving && !this.#isSuspect(group)
            )
        );
    }

    /** Backend servers of a service that take new work, those of the daemon's own zone first. */
    services(name: string): ServiceView[] {
        return this.#validZones().flatMap((entry) =>
            [...entry.services.values()].filter((service) => service.service === name && service.available)
        );
    }

    /** Whether this generation serves under a valid grant. Check it in the same synchronous step as the write. */
    isServing(zone: string, groupId: string, generation: number): boolean {
        const entry = this.#zones.get(zone);
        if (entry === undefined || entry.validUntilMs <= monotonicMs()) {
            return false;
        }
        const group = entry.groups.get(groupId);
        return group?.state === GroupState.Serving && group.generation === generation;
    }

    /** Keeps a group out of `servingGroups` until its generation changes or `durationMs` has passed. */
    suspect(group: GroupView, durationMs: number): void {
        this.#suspectedUntilMs.set(`${group.groupId}/${group.generation}`, monotonicMs() + durationMs);
    }

    /** All known groups, including those of expired grants; for status output. */
    allGroups(): GroupView[] {
        return [...this.#zones.values()].flatMap((entry) => [...entry.groups.values()]);
    }

    allServices(): ServiceView[] {
        return [...this.#zones.values()].flatMap((entry) => [...entry.services.values()]);
    }

    /** Zones whose grant is valid now. */
    reachableZones(): string[] {
        return [...this.#zones].filter(([, entry]) => entry.validUntilMs > monotonicMs()).map(([zone]) =>
            zone
        );
    }

    controllerOf(zone: string): string | undefined {
        return this.#zones.get(zone)?.controllerId;
    }

    daemonCount(zone: string): number {
        return Math.max(1, this.#zones.get(zone)?.daemonCount ?? 1);
    }

    tableFloor(): number {
        return this.#zones.get(this.#options.context.zone)?.tableFloor ?? 0;
    }

    /** Share of an organisation's limits for this daemon, from its own zone's grant. */
    share(organisation: string): OrganisationShare | undefined {
        return this.#zones.get(this.#options.context.zone)?.shares.get(organisation);
    }

    /** Controller state that this daemon stores for the next controller of its zone. */
    stateForSuccessor(): { transfers: ShareTransfer[]; drainedVmIds: string[]; } {
        const entry = this.#zones.get(this.#options.context.zone);
        return { transfers: entry?.transfers ?? [], drainedVmIds: entry?.drainedVmIds ?? [] };
    }

    /** Zone of a VM according to the grants received. */
    zoneOfVm(vmId: string): string | undefined {
        const group = this.allGroups().find((group) => group.memberVmIds.includes(vmId));
        return group?.zone ?? this.allServices().find((service) => service.vmId === vmId)?.zone;
    }

    #validZones(): ZoneEntry[] {
        const ownZone = this.#options.context.zone;
        const entries = [...this.#zones].filter(([, entry]) => entry.validUntilMs > monotonicMs());
        return entries.sort(([a], [b]) => Number(b === ownZone) - Number(a === ownZone)).map(([, entry]) =>
            entry
        );
    }

    #isSuspect(group: GroupView): boolean {
        const untilMs = this.#suspectedUntilMs.get(`${group.groupId}/${group.generation}`);
        return untilMs !== undefined && untilMs > monotonicMs();
    }

    async #renew(zone: string): Promise<void> {
        const { context, peers, timing } = this.#options;
        const entry = this.#zones.get(zone) ?? emptyZoneEntry();
        const controllerId = entry.controllerId ?? await this.#findController(zone);
        if (controllerId === undefined) {
            return;
        }
        const sentAtMs = monotonicMs();
        const request = {
            daemonId: peers.daemonId,
            daemonZone: context.zone,
            zone,
            fence: entry.fence,
            viewVersion: entry.viewVersion,
            suspectVersion: entry.suspectVersion,
            tableVersion: this.#options.tableVersion(),
            demand: zone === context.zone ? this.#demandSource() : [],
            inFlight: this.#inFlightSource?.(),
            exchange: zone === context.zone ? undefined : this.#limitExchangeHandler?.exchangeMessage(),
        };
        const timeoutMs = Math.min(timing.grantMs, 2 * timing.grantRenewMs);
        const response = await peers.call(controllerId, "grant.renew", request, { timeoutMs })
            .catch(() => undefined);
        if (response?.grant === undefined) {
            entry.controllerId = await this.#findController(zone);
            return;
        }
        entry.controllerId = controllerId;
        if (response.exchange !== undefined) {
            this.#limitExchangeHandler?.applyExchange(response.exchange);
        }
        this.#applyGrant(entry, response.grant, sentAtMs + response.grant.validForMs);
    }

    async #findController(zone: string): Promise<string | undefined> {
        for (const acceptorId of this.#options.acceptorsOf(zone)) {
            const response = await this.#options.peers.call(acceptorId, "zone.holder", { zone }, {
                timeoutMs: 300,
            })
                .catch(() => undefined);
            if (response?.holderId !== undefined) {
                return response.holderId;
            }
        }
        return undefined;
    }

    #applyPush(grant: Grant): void {
        const entry = this.#zones.get(grant.zone);
        if (entry === undefined || grant.fence !== entry.fence) {
            return;
        }
        this.#applyGrant(entry, grant, entry.validUntilMs);
    }

    #applyGrant(entry: ZoneEntry, grant: Grant, validUntilMs: number): void {
        if (grant.fence < entry.fence) {
            return;
        }
        if (grant.fence === entry.fence && grant.viewVersion < entry.viewVersion) {
            // A push overtook this response: the stored view is newer, and the same lease covers it.
            entry.validUntilMs = Math.max(entry.validUntilMs, validUntilMs);
            return;
        }
        if (grant.full) {
            entry.groups.clear();
            entry.services.clear();
        }
        for (const group of grant.groups) {
            entry.groups.set(group.groupId, group);
        }
        for (const service of grant.services) {
            entry.services.set(service.vmId, service);
        }
        for (const { groupId, load } of grant.loads) {
            const group = entry.groups.get(groupId);
            if (group !== undefined) {
                entry.groups.set(groupId, { ...group, load });
            }
        }
        for (const groupId of grant.removedGroupIds) {
            entry.groups.delete(groupId);
        }
        for (const vmId of grant.removedServiceVmIds) {
            entry.services.delete(vmId);
        }
        this.#applySuspects(entry, grant);
        entry.fence = grant.fence;
        entry.viewVersion = grant.viewVersion;
        entry.validUntilMs = validUntilMs;
        entry.daemonCount = grant.daemonCount;
        entry.tableFloor = grant.tableFloor;
        entry.transfers = grant.transfers;
        entry.drainedVmIds = grant.drainedVmIds;
        entry.shares = new Map(grant.shares.map((share) => [share.organisation, share]));
        for (const listener of this.#listeners) {
            listener();
        }
    }

    #applySuspects(entry: ZoneEntry, { fence, suspects }: Grant): void {
        if (fence !== entry.fence) {
            entry.suspectVersion = undefined;
        }
        if (suspects === undefined || suspects.version < (entry.suspectVersion ?? -1)) {
            return;
        }
        entry.suspectVersion = suspects.version;
        this.#suspectHandler(suspects.records);
    }
}

const emptyZoneEntry = (): ZoneEntry => ({
    fence: 0,
    viewVersion: 0,
    validUntilMs: 0,
    controllerId: undefined,
    groups: new Map(),
    services: new Map(),
    daemonCount: 1,
    tableFloor: 0,
    shares: new Map(),
    transfers: [],
    drainedVmIds: [],
    suspectVersion: undefined,
});
