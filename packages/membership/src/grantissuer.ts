import { monotonicMs } from "@greengage/base";
import type { Calls, Grant, Peers } from "@greengage/protocol";
import type { DaemonRecord } from "./daemonregistry.ts";
import type { ZoneLease } from "./lease.ts";
import type { LimitExchange } from "./limitexchange.ts";
import type { SuspectList } from "./suspects.ts";
import type { ZoneState } from "./zonestate.ts";

export interface GrantIssuerOptions {
    zone: ZoneState;
    peers: Peers;
    exchange: LimitExchange;
    suspects: SuspectList;
    lease: () => Pick<ZoneLease, "fence" | "remainingMs">;
}

/** Issues the zone's grants to daemons that renew them, and pushes changes that must not wait for a renewal. */
export class GrantIssuer {
    readonly #options: GrantIssuerOptions;
    #tableFloor = 0;

    constructor(options: GrantIssuerOptions) {
        this.#options = options;
    }

    get tableFloor(): number {
        return this.#tableFloor;
    }

    raiseTableFloor(version: number): void {
        this.#tableFloor = Math.max(this.#tableFloor, version);
    }

    renew(request: Calls["grant.renew"]["request"]): Calls["grant.renew"]["response"] {
        const { zone, exchange } = this.#options;
        const lease = this.#options.lease();
        const daemon = zone.daemons.recordRenewal(request, lease.fence);
        if (request.daemonZone === request.zone) {
            this.raiseTableFloor(request.tableVersion);
        }
        if (request.exchange !== undefined) {
            exchange.applyMessage(request.exchange);
        }
        const validForMs = Math.min(zone.timing.grantMs, lease.remainingMs);
        return {
            grant: this.#buildGrant(daemon, validForMs),
            exchange: request.exchange === undefined ? undefined : exchange.message(),
        };
    }

    /** Pushes the view to every daemon that holds a grant, so that it stops using what is no longer available. */
    push(): void {
        const { zone, peers } = this.#options;
        for (const daemon of zone.daemons.active()) {
            peers.notify(daemon.daemonId, "grant.push", { grant: this.#buildGrant(daemon, 0) });
        }
    }

    /** Pushes the suspects to the daemons of the own zone that hold another version. */
    pushSuspects(): void {
        const { zone, peers, suspects } = this.#options;
        for (const daemon of zone.daemons.active()) {
            if (daemon.zone === zone.context.zone && daemon.suspectVersion !== suspects.version) {
                peers.notify(daemon.daemonId, "grant.push", { grant: this.#buildGrant(daemon, 0) });
            }
        }
    }

    #buildGrant(daemon: DaemonRecord, validForMs: number): Grant {
        const { zone, exchange, suspects } = this.#options;
        const { views, daemons, vms, context } = zone;
        const active = daemons.active();
        const isOwnZone = daemon.zone === context.zone;
        const hasSuspects = !isOwnZone || daemon.suspectVersion === suspects.version;
        return {
            zone: context.zone,
            fence: this.#options.lease().fence,
            validForMs,
            ...views.deltaSince(daemon.viewVersion),
            tableFloor: this.#tableFloor,
            daemonCount: active.length,
            shares: isOwnZone ? exchange.issueShares(daemon.daemonId, active) : [],
            transfers: isOwnZone ? exchange.transfers() : [],
            drainedVmIds: [...vms.drainedVmIds],
            ...(hasSuspects
                ? {}
                : { suspects: { version: suspects.version, records: suspects.records(monotonicMs()) } }),
        };
    }
}
