import { monotonicMs } from "@greengage/base";
import type { Calls, Peers, ZoneAcquireResponse } from "@greengage/protocol";
import { LEASE_MARGIN_MS, type MembershipTiming } from "./timing.ts";

interface GrantedLease {
    fence: number;
    holderId: string;
    expiresAtMs: number;
}

interface AcceptorState {
    lease?: GrantedLease;
    highestFence: number;
    tableFloor: number;
    /** Monotonic time at which the last lease of each holder ended. */
    formerHolders: Map<string, number>;
}

type AcquireRequest = Calls["zone.acquire"]["request"];

/**
 * Lease acceptor of a daemon for all zones: grants each zone's lease to one holder at a time.
 * Its state is lost on restart, so it grants nothing until every lease it could have granted has ended.
 */
export class LeaseAcceptor {
    readonly #startedAtMs = monotonicMs();
    readonly #timing: MembershipTiming;
    readonly #zones = new Map<string, AcceptorState>();

    constructor(peers: Peers, timing: MembershipTiming) {
        this.#timing = timing;
        peers.handle("zone.acquire", (request) => this.acquire(request));
        peers.handle("zone.release", (request) => {
            this.release(request.zone, request.fence, request.holderId);
            return {};
        });
        peers.handle("zone.holder", ({ zone }) => ({
            holderId: this.holderOf(zone),
            highestFence: this.#stateOf(zone).highestFence,
        }));
    }

    acquire(request: AcquireRequest): ZoneAcquireResponse {
        const { zone, fence, holderId, leaseMs } = request;
        const memory = this.#stateOf(zone);
        const { highestFence } = memory;
        const current = currentLease(memory);
        const refusal = { granted: false, highestFence, holderId: current?.holderId } as const;
        // The restart rule covers leases up to the acceptor's own leaseMs, so a longer one is refused.
        const isRestarting = this.#upMs < this.#timing.leaseMs + LEASE_MARGIN_MS;
        if (isRestarting || leaseMs > this.#timing.leaseMs) {
            return refusal;
        }
        if (current !== undefined && current.holderId !== holderId) {
            return refusal;
        }
        const isRenewal = current?.fence === fence;
        if (fence < highestFence || (fence === highestFence && !isRenewal)) {
            return refusal;
        }
        this.#recordFormerHolder(memory, holderId);
        memory.highestFence = fence;
        memory.lease = { fence, holderId, expiresAtMs: monotonicMs() + leaseMs };
        memory.tableFloor = Math.max(memory.tableFloor, request.tableFloor);
        return { granted: true, tableFloor: memory.tableFloor, ...this.#history(memory, holderId) };
    }

    /** Daemon that holds the zone's lease, as far as this acceptor knows. */
    holderOf(zone: string): string | undefined {
        return currentLease(this.#stateOf(zone))?.holderId;
    }

    release(zone: string, fence: number, holderId: string): void {
        const memory = this.#stateOf(zone);
        if (memory.lease?.fence === fence && memory.lease.holderId === holderId) {
            memory.formerHolders.set(holderId, Math.min(memory.lease.expiresAtMs, monotonicMs()));
            memory.lease = undefined;
        }
    }

    get #upMs(): number {
        return monotonicMs() - this.#startedAtMs;
    }

    /** Remembers the holder of the lease that ended before `nextHolderId` got it. */
    #recordFormerHolder(memory: AcceptorState, nextHolderId: string): void {
        if (memory.lease !== undefined && memory.lease.holderId !== nextHolderId) {
            memory.formerHolders.set(memory.lease.holderId, memory.lease.expiresAtMs);
        }
        const oldestMs = monotonicMs() - this.#timing.unfencedHandoverMs;
        for (const [holderId, endedAtMs] of memory.formerHolders) {
            if (endedAtMs < oldestMs) {
                memory.formerHolders.delete(holderId);
            }
        }
    }

    #history(
        memory: AcceptorState,
        holderId: string,
    ): { formerHolderIds: string[]; upMs: number; idleMs?: number; } {
        const others = [...memory.formerHolders].filter(([formerId]) => formerId !== holderId);
        const lastEndMs = Math.max(...others.map(([, endedAtMs]) => endedAtMs));
        return {
            formerHolderIds: others.map(([formerId]) => formerId),
            upMs: this.#upMs,
            idleMs: others.length === 0 ? undefined : monotonicMs() - lastEndMs,
        };
    }

    #stateOf(zone: string): AcceptorState {
        const memory = this.#zones.get(zone)
            ?? { highestFence: 0, tableFloor: 0, formerHolders: new Map<string, number>() };
        this.#zones.set(zone, memory);
        return memory;
    }
}

const currentLease = ({ lease }: AcceptorState): GrantedLease | undefined =>
    lease !== undefined && lease.expiresAtMs > monotonicMs() ? lease : undefined;
