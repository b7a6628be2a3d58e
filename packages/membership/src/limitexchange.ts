import { monotonicMs } from "@greengage/base";
import type { OrganisationDemand, OrganisationShare, ShareTransfer, ZoneExchange } from "@greengage/protocol";
import type { OrganisationRow, TableState } from "@greengage/table";
import type { DaemonRecord } from "./daemonregistry.ts";
import {
    apportionByWeight,
    clampToAvailable,
    divideByDemand,
    ShareLedger,
    WHOLE_MILLIONTHS,
} from "./shares.ts";

const DEFAULT_GRANT_MS = 1_500;
const STEP_PERIOD_MS = 500;
/** Hysteresis: smaller differences are not transferred. */
const MIN_TRANSFER_MILLIONTHS = WHOLE_MILLIONTHS / 50;

interface IssuedShare extends OrganisationShare {
    untilMs: number;
}

interface OtherZoneState {
    lastMessageAtMs: number;
    demand: Map<string, OrganisationDemand>;
}

export interface LimitExchangeOptions {
    zone: string;
    zones: string[];
    table: TableState;
    /**
     * Validity of a share that a daemon gets. A zone that has sent no message for this long counts as disconnected:
     * nothing is transferred to it, and integer limits are rounded down. Default: 1500.
     */
    grantMs?: number;
}

/** Divides the organisations' limits over zones, and this zone's share over its daemons, by demand. */
export class LimitExchange {
    readonly #options: LimitExchangeOptions;
    readonly #ledger: ShareLedger;
    readonly #otherZones = new Map<string, OtherZoneState>();
    /** Shares issued to daemons, by daemon id and organisation. */
    readonly #issuedShares = new Map<string, Map<string, IssuedShare>>();
    /** Millionths to transfer to other zones once no daemon of this zone holds them, by organisation. */
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

    /** Merges the transfers of the former controller's ledger that daemons stored. */
    restoreTransfers(transfers: ShareTransfer[]): void {
        this.#ledger.merge(transfers);
    }

    applyMessage(message: ZoneExchange): void {
        this.#ledger.merge(message.transfers);
        this.#otherZones.set(message.zone, {
            lastMessageAtMs: monotonicMs(),
            demand: new Map(message.demand.map((demand) => [demand.organisation, demand])),
        });
    }

    message(): ZoneExchange {
        return {
            zone: this.#options.zone,
            demand: [...this.#demand.values()],
            transfers: this.#ledger.transfers(),
        };
    }

    /** Sums the zone's demand and transfers shares that other zones need more. */
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

    /** Issues a daemon its shares. With those valid at other daemons they never exceed the share of the zone. */
    issueShares(daemonId: string, active: DaemonRecord[]): OrganisationShare[] {
        const daemons = this.#ownDaemons(active);
        const index = daemons.findIndex((daemon) => daemon.daemonId === daemonId);
        if (index < 0) {
            return [];
        }
        const untilMs = monotonicMs() + this.#grantMs;
        const issued = new Map<string, IssuedShare>();
        const shares = this.#options.table.organisations().map((organisation) => {
            const share = this.#daemonShare(organisation, daemons, index);
            issued.set(organisation.name, { ...share, untilMs });
            return share;
        });
        this.#issuedShares.set(daemonId, issued);
        return shares;
    }

    #daemonShare(organisation: OrganisationRow, daemons: DaemonRecord[], index: number): OrganisationShare {
        const { name } = organisation;
        const daemonId = daemons[index]?.daemonId ?? "";
        const remaining = this.#zoneLimits(organisation, this.#outgoing.get(name) ?? 0);
        // An outgoing share counts until its transfer. Otherwise the first daemon to renew would lose all of it.
        const current = this.#zoneLimits(organisation, 0);
        const demands = daemons.map((daemon) => usedFraction(organisation, demandOf(daemon.demand, name)));
        const weights = divideByDemand(1, demands);
        const issuedToOthers = this.#issuedToOthers(name, daemonId);
        return {
            organisation: name,
            requestsPerS: clampToAvailable(
                remaining.requestsPerS * (weights[index] ?? 0),
                current.requestsPerS,
                issuedToOthers.requestsPerS,
            ),
            concurrent: clampToAvailable(
                apportionByWeight(remaining.concurrent, weights)[index] ?? 0,
                current.concurrent,
                issuedToOthers.concurrent,
            ),
        };
    }

    /** Limits that correspond to the zone's share less `outgoing` millionths. */
    #zoneLimits(
        { name, requestsPerS, maxConcurrent }: OrganisationRow,
        outgoing: number,
    ): Omit<OrganisationShare, "organisation"> {
        const { zone, zones } = this.#options;
        const millionths = Math.max(0, this.#ledger.shareOf(name, zone) - outgoing);
        const exact = {
            requestsPerS: requestsPerS * millionths / WHOLE_MILLIONTHS,
            concurrent: maxConcurrent * millionths / WHOLE_MILLIONTHS,
        };
        if (zones.length === 1) {
            return { requestsPerS, concurrent: maxConcurrent };
        }
        // Connected zones know each other's shares and round to the same integers, which add up to the limit.
        const sorted = [...zones].sort();
        const isConnected = zones.every((other) => other === zone || this.#isConnected(other));
        const rounded = apportionByWeight(
            maxConcurrent,
            sorted.map((other) => this.#ledger.shareOf(name, other)),
        );
        const concurrent = isConnected && outgoing === 0
            ? rounded[sorted.indexOf(zone)] ?? 0
            : Math.floor(exact.concurrent);
        return { requestsPerS: exact.requestsPerS, concurrent };
    }

    #transferSurplus(organisation: OrganisationRow): void {
        const { zone, zones } = this.#options;
        const { name } = organisation;
        // The share of a disconnected zone stays reserved; the connected zones divide the rest.
        const connected = zones.filter((other) => other === zone || this.#isConnected(other));
        const shares = connected.map((other) => this.#ledger.shareOf(name, other));
        const total = shares.reduce((sum, share) => sum + share, 0);
        const targets = divideByDemand(
            total,
            connected.map((other) => usedFraction(organisation, this.#demandOfZone(other, name))),
        );
        const needs = connected.map((other, index) => ({
            zone: other,
            need: (targets[index] ?? 0) - (shares[index] ?? 0),
        }));
        const surplus = -(needs.find((need) => need.zone === zone)?.need ?? 0);
        const receivers = needs.filter((need) => need.zone !== zone && need.need > 0);
        const needed = receivers.reduce((sum, { need }) => sum + need, 0);
        const amount = Math.floor(Math.min(surplus, needed));
        if (amount < MIN_TRANSFER_MILLIONTHS) {
            this.#outgoing.delete(name);
            return;
        }
        this.#outgoing.set(name, amount);
        const remaining = this.#zoneLimits(organisation, amount);
        const issued = this.#issuedToOthers(name, undefined);
        if (issued.requestsPerS > remaining.requestsPerS || issued.concurrent > remaining.concurrent) {
            return;
        }
        for (const receiver of receivers) {
            this.#ledger.transfer(name, zone, receiver.zone, amount * receiver.need / needed);
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

/** Fraction of the organisation's limits that a demand would use. */
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
