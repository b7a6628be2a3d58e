import { monotonicMs } from "@greengage/base";
import type { Calls, Peers, ZoneAcquireResponse } from "@greengage/protocol";
import { LEASE_MARGIN_MS } from "./timing.ts";

interface GrantedLease {
    fence: number;
    holderId: string;
    endsAtMs: number;
}

type AcquireRequest = Calls["zone.acquire"]["request"];

/**
 * Lease acceptor of a daemon for all zones: grants each zone's lease to one holder at a time.
 * Its state is lost on restart, so it grants nothing until every lease it could have granted has ended.
 */
export class LeaseAcceptor {
    readonly #grantsFromMs: number;
    readonly #leases = new Map<string, GrantedLease>();
    readonly #highestFences = new Map<string, number>();
    readonly #tableFloors = new Map<string, number>();

    constructor(peers: Peers, leaseMs: number) {
        this.#grantsFromMs = monotonicMs() + leaseMs + LEASE_MARGIN_MS;
        peers.handle("zone.acquire", (request) => this.acquire(request));
        peers.handle("zone.release", (request) => {
            this.release(request.zone, request.fence, request.holderId);
            return {};
        });
        peers.handle("zone.holder", ({ zone }) => ({
            holderId: this.#currentLease(zone)?.holderId,
            highestFence: this.#highestFences.get(zone) ?? 0,
        }));
    }

    acquire(request: AcquireRequest): ZoneAcquireResponse {
        const { zone, fence, holderId } = request;
        const highestFence = this.#highestFences.get(zone) ?? 0;
        const current = this.#currentLease(zone);
        if (monotonicMs() < this.#grantsFromMs || (current !== undefined && current.holderId !== holderId)) {
            return { granted: false, highestFence, holderId: current?.holderId };
        }
        const isRenewal = current?.fence === fence;
        if (fence < highestFence || (fence === highestFence && !isRenewal)) {
            return { granted: false, highestFence, holderId: current?.holderId };
        }
        this.#highestFences.set(zone, fence);
        this.#leases.set(zone, { fence, holderId, endsAtMs: monotonicMs() + request.leaseMs });
        const tableFloor = Math.max(this.#tableFloors.get(zone) ?? 0, request.tableFloor);
        this.#tableFloors.set(zone, tableFloor);
        return { granted: true, tableFloor };
    }

    release(zone: string, fence: number, holderId: string): void {
        const lease = this.#leases.get(zone);
        if (lease?.fence === fence && lease.holderId === holderId) {
            this.#leases.delete(zone);
        }
    }

    #currentLease(zone: string): GrantedLease | undefined {
        const lease = this.#leases.get(zone);
        return lease !== undefined && lease.endsAtMs > monotonicMs() ? lease : undefined;
    }
}
