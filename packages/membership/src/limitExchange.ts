import { monotonicMs } from "@greengage/base";
import type { OrganisationDemand, OrganisationShare, ShareTransfer, ZoneExchange } from "@greengage/protocol";
import type { OrganisationRow, TableState } from "@greengage/table";
import type { DaemonRecord } from "./daemonRegistry.ts";
import {
    apportionByWeight,
    clampToAvailable,
    divideByDemand,
    ShareLedger,
    WHOLE_MILLIONTHS,
} from "./shares.ts";

const DEFAULT_GRANT_MS = 1_500;
const STEP_PERIOD_MS = 500;
/** Hysteresis: smaller differences move nothing. */
const MIN_TRANSFER_MILLIONTHS = WHOLE_MILLIONTHS / 50;

interface IssuedShare extends OrganisationShare {
    untilMs: number;
}

interface OtherZone {
    lastMessageAtMs: number;
    demand: Map<string, OrganisationDemand>;
}

export interface LimitExchangeOptions {
    zone: string;
    zones: string[];
    table: TableState;
    /**
     * Longest validity of a share that a daemon holds. A zone that has been silent for as long is cut off: nothing
     * moves to it, and integers are rounded down. Default: 1500.
     */
    grantMs?: number;
}

/** Divides the organisations' limits over zones, and this zone's part over its daemons, by demand. */
export class LimitExchange {
    readonly #options: LimitExchangeOptions;
    readonly #ledger: ShareLedger;
    readonly #otherZones = new Map<string, OtherZone>();
    /** What each daemon holds, by daemon and organisation. */
    readonly #issuedShares = new Map<string, Map<string, IssuedShare>>();
    /** Parts that leave the zone as soon as its daemons no longer hold them, by organisation. */
    readonly #outgoing = new Map<string, number>();
    #demand = new Map<string, OrganisationDemand>();
    #steppedAtMs = 0;

    constructor(options: LimitExchangeOptions) {
        this.#options = options;
        this.#ledger = new ShareLedger(options.zones);
    }

    transfers(): ShareTransfer[] {
        return this.#ledger.transfers();
    }

    /** Takes what daemons kept of the former controller's ledger. */
    restoreTransfers(transfers: ShareTransfer[]): void {
        this.#ledger.merge(transfers);
    }

    applyMessage(buildMessage: ZoneExchange): void {
        this.#ledger.merge(buildMessage.transfers);
        this.#otherZones.set(buildMessage.zone, {
            lastMessageAtMs: monotonicMs(),
            demand: new Map(buildMessage.demand.map((demand) => [demand.organisation, demand])),
        });
    }

    message(): ZoneExchange {
        return {
            zone: this.#options.zone,
            demand: [...this.#demand.values()],
            transfers: this.#ledger.transfers(),
        };
    }

    /** Adds up the zone's demand and gives parts that other zones need more. */
    step(daemons: DaemonRecord[]): void {
        const nowMs = monotonicMs();
        if (nowMs - this.#steppedAtMs < STEP_PERIOD_MS) {
            return;
        }
        this.#steppedAtMs = nowMs;
        this.#demand = sumDemand(this.#ownDaemons(daemons));
        const organisations = this.#options.table.organisations();
        this.#ledger.retain(new Set(organisations.map(({ name }) => name)));
        for (const organisation of organisations) {
            this.#transferSurplus(organisation);
        }
    }

    /** Shares for a daemon of the zone. With what the other daemons hold, they never exceed the zone's part. */
    issueShares(daemonId: string, active: DaemonRecord[]): OrganisationShare[] {
        const daemons = this.#ownDaemons(active);
        const index = daemons.findIndex((daemon) => daemon.daemonId === daemonId);
        if (index < 0) {
            return [];
        }
        const untilMs = monotonicMs() + this.#grantMs;
        const held = new Map<string, IssuedShare>();
        const shares = this.#options.table.organisations().map((organisation) => {
            const share = this.#daemonShare(organisation, daemons, index);
            held.set(organisation.name, { ...share, untilMs });
            return share;
        });
        this.#issuedShares.set(daemonId, held);
        return shares;
    }

    #daemonShare(organisation: OrganisationRow, daemons: DaemonRecord[], index: number): OrganisationShare {
        const { name } = organisation;
        const daemonId = daemons[index]?.daemonId ?? "";
        const total = this.#zoneLimits(organisation, this.#outgoing.get(name) ?? 0);
        // What is about to leave counts until it has left. Otherwise the first daemon to renew would give it all up.
        const whole = this.#zoneLimits(organisation, 0);
        const demands = daemons.map((daemon) => usedFraction(organisation, demandOf(daemon.demand, name)));
        const weights = divideByDemand(1, demands);
        const heldByOthers = this.#issuedToOthers(name, daemonId);
        return {
            organisation: name,
            requestsPerS: clampToAvailable(
                total.requestsPerS * (weights[index] ?? 0),
                whole.requestsPerS,
                heldByOthers.requestsPerS,
            ),
            concurrent: clampToAvailable(
                apportionByWeight(total.concurrent, weights)[index] ?? 0,
                whole.concurrent,
                heldByOthers.concurrent,
            ),
        };
    }

    /** The zone's part of the limits, without `leaving`, which is about to move to other zones. */
    #zoneLimits(
        { name, requestsPerS, maxConcurrent }: OrganisationRow,
        leaving: number,
    ): Omit<OrganisationShare, "organisation"> {
        const { zone, zones } = this.#options;
        const part = Math.max(0, this.#ledger.shareOf(name, zone) - leaving);
        const exact = {
            requestsPerS: requestsPerS * part / WHOLE_MILLIONTHS,
            concurrent: maxConcurrent * part / WHOLE_MILLIONTHS,
        };
        if (zones.length === 1) {
            return { requestsPerS, concurrent: maxConcurrent };
        }
        // Zones that know each other's parts round to the same integers, which add up to the limit.
        const sorted = [...zones].sort();
        const isConnected = zones.every((other) => other === zone || this.#isConnected(other));
        const rounded = apportionByWeight(
            maxConcurrent,
            sorted.map((other) => this.#ledger.shareOf(name, other)),
        );
        const concurrent = isConnected && leaving === 0
            ? rounded[sorted.indexOf(zone)] ?? 0
            : Math.floor(exact.concurrent);
        return { requestsPerS: exact.requestsPerS, concurrent };
    }

    #transferSurplus(organisation: OrganisationRow): void {
        const { zone, zones } = this.#options;
        const { name } = organisation;
        // What a zone has that is cut off stays reserved; the others divide the rest.
        const present = zones.filter((other) => other === zone || this.#isConnected(other));
        const parts = present.map((other) => this.#ledger.shareOf(name, other));
        const whole = parts.reduce((sum, part) => sum + part, 0);
        const targets = divideByDemand(
            whole,
            present.map((other) => usedFraction(organisation, this.#demandOfZone(other, name))),
        );
        const needs = present.map((other, index) => ({
            zone: other,
            need: (targets[index] ?? 0) - (parts[index] ?? 0),
        }));
        const surplus = -(needs.find((need) => need.zone === zone)?.need ?? 0);
        const receivers = needs.filter((need) => need.zone !== zone && need.need > 0);
        const needed = receivers.reduce((sum, { need }) => sum + need, 0);
        const moved = Math.floor(Math.min(surplus, needed));
        if (moved < MIN_TRANSFER_MILLIONTHS) {
            this.#outgoing.delete(name);
            return;
        }
        this.#outgoing.set(name, moved);
        const rest = this.#zoneLimits(organisation, moved);
        const held = this.#issuedToOthers(name, undefined);
        if (held.requestsPerS > rest.requestsPerS || held.concurrent > rest.concurrent) {
            return;
        }
        for (const receiver of receivers) {
            this.#ledger.transfer(name, zone, receiver.zone, moved * receiver.need / needed);
        }
        this.#outgoing.delete(name);
    }

    #issuedToOthers(
        organisation: string,
        daemonId: string | undefined,
    ): Omit<OrganisationShare, "organisation"> {
        const sum = { requestsPerS: 0, concurrent: 0 };
        for (const [holderId, shares] of this.#issuedShares) {
            const share = shares.get(organisation);
            if (holderId !== daemonId && share !== undefined && share.untilMs > monotonicMs()) {
                sum.requestsPerS += share.requestsPerS;
                sum.concurrent += share.concurrent;
            }
        }
        return sum;
    }

    #demandOfZone(zone: string, organisation: string): OrganisationDemand | undefined {
        return zone === this.#options.zone
            ? this.#demand.get(organisation)
            : this.#otherZones.get(zone)?.demand.get(organisation);
    }

    #isConnected(zone: string): boolean {
        const heardAtMs = this.#otherZones.get(zone)?.lastMessageAtMs;
        return heardAtMs !== undefined && monotonicMs() - heardAtMs < this.#grantMs;
    }

    get #grantMs(): number {
        return this.#options.grantMs ?? DEFAULT_GRANT_MS;
    }

    #ownDaemons(daemons: DaemonRecord[]): DaemonRecord[] {
        return daemons.filter((daemon) => daemon.zone === this.#options.zone)
            .sort((a, b) => a.daemonId.localeCompare(b.daemonId));
    }
}

const demandOf = (demands: OrganisationDemand[], organisation: string): OrganisationDemand | undefined =>
    demands.find((demand) => demand.organisation === organisation);

/** Part of the limits that a demand would use. */
const usedFraction = (organisation: OrganisationRow, demand: OrganisationDemand | undefined): number =>
    demand === undefined
        ? 0
        : Math.max(
            demand.requestsPerS / organisation.requestsPerS,
            demand.concurrent / organisation.maxConcurrent,
        );

const sumDemand = (daemons: DaemonRecord[]): Map<string, OrganisationDemand> => {
    const sums = new Map<string, OrganisationDemand>();
    for (const demand of daemons.flatMap((daemon) => daemon.demand)) {
        const { organisation } = demand;
        const sum = sums.get(organisation) ?? { organisation, requestsPerS: 0, concurrent: 0 };
        sums.set(organisation, {
            organisation,
            requestsPerS: sum.requestsPerS + demand.requestsPerS,
            concurrent: sum.concurrent + demand.concurrent,
        });
    }
    return sums;
};
