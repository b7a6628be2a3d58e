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
 * Lease acceptor of a daemon for all zones: grants each zone's lease to one holder at a time. Its state is in memory
 * only, so after a start it grants nothing until every lease that it could have granted before has expired.
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
        const state = this.#stateOf(zone);
        const { highestFence } = state;
        const current = currentLease(state);
        const refusal = { granted: false, highestFence, holderId: current?.holderId } as const;
        // The wait after a start covers leases of up to the acceptor's own leaseMs, so longer ones are refused.
        const mayHaveForgottenLease = this.#upMs < this.#timing.leaseMs + LEASE_MARGIN_MS;
        if (mayHaveForgottenLease || leaseMs > this.#timing.leaseMs) {
            return refusal;
        }
        if (current !== undefined && current.holderId !== holderId) {
            return refusal;
        }
        const isRenewal = current?.fence === fence;
        if (fence < highestFence || (fence === highestFence && !isRenewal)) {
            return refusal;
        }
        this.#recordFormerHolder(state, holderId);
        state.highestFence = fence;
        state.lease = { fence, holderId, expiresAtMs: monotonicMs() + leaseMs };
        state.tableFloor = Math.max(state.tableFloor, request.tableFloor);
        return { granted: true, tableFloor: state.tableFloor, ...this.#history(state, holderId) };
    }

    /** Daemon to which this acceptor has granted the zone's current lease. */
    holderOf(zone: string): string | undefined {
        return currentLease(this.#stateOf(zone))?.holderId;
    }

    release(zone: string, fence: number, holderId: string): void {
        const state = this.#stateOf(zone);
        if (state.lease?.fence === fence && state.lease.holderId === holderId) {
            state.formerHolders.set(holderId, Math.min(state.lease.expiresAtMs, monotonicMs()));
            state.lease = undefined;
        }
    }

    get #upMs(): number {
        return monotonicMs() - this.#startedAtMs;
    }

    /** Records the previous holder when the lease passes to another daemon, and drops holders of long ago. */
    #recordFormerHolder(state: AcceptorState, nextHolderId: string): void {
        if (state.lease !== undefined && state.lease.holderId !== nextHolderId) {
            state.formerHolders.set(state.lease.holderId, state.lease.expiresAtMs);
        }
        const oldestMs = monotonicMs() - this.#timing.unfencedHandoverMs;
        for (const [holderId, endedAtMs] of state.formerHolders) {
            if (endedAtMs < oldestMs) {
                state.formerHolders.delete(holderId);
            }
        }
    }

    #history(
        state: AcceptorState,
        holderId: string,
    ): { formerHolderIds: string[]; upMs: number; idleMs?: number; } {
        const others = [...state.formerHolders].filter(([formerId]) => formerId !== holderId);
        const lastEndMs = Math.max(...others.map(([, endedAtMs]) => endedAtMs));
        return {
            formerHolderIds: others.map(([formerId]) => formerId),
            upMs: this.#upMs,
            idleMs: others.length === 0 ? undefined : monotonicMs() - lastEndMs,
        };
    }

    #stateOf(zone: string): AcceptorState {
        const state = this.#zones.get(zone)
            ?? { highestFence: 0, tableFloor: 0, formerHolders: new Map<string, number>() };
        this.#zones.set(zone, state);
        return state;
    }
}

const currentLease = ({ lease }: AcceptorState): GrantedLease | undefined =>
    lease !== undefined && lease.expiresAtMs > monotonicMs() ? lease : undefined;
