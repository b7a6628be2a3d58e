import {
    type Context,
    Lifecycle,
    type Log,
    LogPart,
    messageOf,
    monotonicMs,
    Random,
    sleep,
} from "@greengage/base";
import type { Peers, ZoneAcquireResponse } from "@greengage/protocol";
import { LEASE_MARGIN_MS, type MembershipTiming } from "./timing.ts";

/**
 * Highest token of a backend server that the zone counts on from. Higher ones were issued by no daemon. Reports may name the
 * tokens that follow it.
 */
export const MAX_COUNTED_FENCE = 2 ** 50;

/** Records of earlier holders that the acceptors return when a lease is acquired. */
export interface LeaseHistory {
    /** Daemons that held the lease within `unfencedHandoverMs`; undefined if too few acceptors have run that long. */
    formerHolderIds: string[] | undefined;
    /** Shortest time since the former holder's lease ended. */
    idleMs: number | undefined;
}

export interface ZoneLeaseOptions {
    context: Context;
    peers: Peers;
    acceptorIds: string[];
    timing: MembershipTiming;
    /** Highest fencing tokens that backend servers of the zone have reported. */
    reportedFences: () => number[];
    /** Whether this daemon's own acceptor has granted the lease to another daemon. If so, no acceptor is asked. */
    isHeldByOther?: () => boolean;
    tableFloor: () => number;
    onTableFloor: (tableFloor: number) => void;
    onAcquired: (fence: number, history: LeaseHistory) => void;
    /** The holder has renewed its own lease with a higher fencing token. */
    onFenceRaised: (fence: number) => void;
    onLost: (fence: number) => void;
}

type GrantedResponse = Extract<ZoneAcquireResponse, { granted: true; }>;

/** Acquires and renews the lease of this daemon's zone. At most one daemon holds it at a time. */
export class ZoneLease {
    readonly #options: ZoneLeaseOptions;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #random = new Random();
    #fence = 0;
    #highestSeenFence = 0;
    #implausibleFence = 0;
    #validUntilMs = 0;
    #isHeld = false;

    constructor(options: ZoneLeaseOptions) {
        this.#options = options;
        this.#log = options.context.logs(LogPart.Membership);
    }

    start(): void {
        this.#lifecycle.run((signal) => this.#renewLoop(signal), (error) => {
            this.#log.error("lease renewal loop failed", { reason: messageOf(error) });
        });
    }

    /** Releases the lease, so that another daemon can acquire it immediately. */
    async close(): Promise<void> {
        const wasHeld = this.isValid;
        this.#markLost();
        this.#validUntilMs = 0;
        await this.#lifecycle.close();
        if (wasHeld) {
            await this.#release(this.#options.acceptorIds, this.#fence);
        }
    }

    get fence(): number {
        return this.#fence;
    }

    /** Whether the lease is held now. Check it in the same synchronous step as the write that relies on it. */
    get isValid(): boolean {
        return this.#isHeld && monotonicMs() < this.#validUntilMs;
    }

    get remainingMs(): number {
        return this.isValid ? this.#validUntilMs - monotonicMs() : 0;
    }

    /** Records a fencing token seen elsewhere. If it exceeds that of the lease, the lease gets a higher one. */
    raiseFence(fence: number): void {
        // A former version may hold a token to which nothing can be added.
        if (Number.isSafeInteger(fence)) {
            this.#highestSeenFence = Math.max(this.#highestSeenFence, fence);
        }
    }

    /** Records a fencing token that a backend server names, unless no daemon can have issued it. */
    raiseReportedFence(fence: number): void {
        if (fence <= MAX_COUNTED_FENCE) {
            this.raiseFence(fence);
        }
        else if (fence !== this.#implausibleFence) {
            this.#implausibleFence = fence;
            this.#log.warn("ignored a fencing token that was never issued", { fence });
        }
    }

    async #renewLoop(signal: AbortSignal): Promise<void> {
        const { timing } = this.#options;
        while (!signal.aborted) {
            if (this.#isHeld || this.#options.isHeldByOther?.() !== true) {
                await this.#tryAcquire(signal);
            }
            if (!this.isValid) {
                this.#markLost();
            }
            await sleep(
                this.#random.jitter(this.#isHeld ? timing.leaseRenewMs : timing.leaseRenewMs / 2),
                signal,
            );
        }
    }

    async #tryAcquire(signal: AbortSignal): Promise<void> {
        const { context, peers, acceptorIds, timing } = this.#options;
        this.#options.reportedFences().forEach((fence) => this.raiseReportedFence(fence));
        const wasValid = this.isValid;
        const isRenewal = wasValid && this.#fence >= this.#highestSeenFence;
        const fence = isRenewal ? this.#fence : Math.max(this.#highestSeenFence, this.#fence) + 1;
        const sentAtMs = monotonicMs();
        const request = {
            zone: context.zone,
            fence,
            holderId: peers.daemonId,
            leaseMs: timing.leaseMs,
            tableFloor: this.#options.tableFloor(),
        };
        const grants: GrantedResponse[] = [];
        const grantedBy: string[] = [];
        const calls = acceptorIds.map(async (id) => {
            const response = await peers.call(id, "zone.acquire", request, { timeoutMs: timing.leaseRenewMs })
                .catch(() => undefined);
            if (response?.granted) {
                grants.push(response);
                grantedBy.push(id);
            }
            else {
                this.raiseFence(response?.highestFence ?? 0);
            }
        });
        // A holder doesn't wait for acceptors that are down once a majority has renewed its lease.
        await (isRenewal
            ? enoughOrAllSettled(calls, () => grants.length > acceptorIds.length / 2)
            : Promise.all(calls));
        const validUntilMs = sentAtMs + timing.leaseMs - LEASE_MARGIN_MS;
        const hasMajority = grants.length > acceptorIds.length / 2 && validUntilMs > monotonicMs();
        if (!hasMajority || signal.aborted) {
            // A minority of grants blocks other candidates, so they are released unless the lease is still valid.
            if (!this.isValid) {
                await this.#release(grantedBy, fence);
            }
            return;
        }
        for (const grant of grants) {
            this.#options.onTableFloor(grant.tableFloor);
        }
        this.#validUntilMs = validUntilMs;
        this.#fence = fence;
        this.raiseFence(fence);
        this.#handleAcquired({ isRenewal, wasValid, grants });
    }

    #handleAcquired(result: { isRenewal: boolean; wasValid: boolean; grants: GrantedResponse[]; }): void {
        if (result.isRenewal) {
            return;
        }
        const { context } = this.#options;
        const details = { zone: context.zone, fence: this.#fence };
        if (result.wasValid && this.#isHeld) {
            context.timeline.record("membership", "lease.fenceRaised", details);
            this.#options.onFenceRaised(this.#fence);
            return;
        }
        this.#markLost();
        this.#isHeld = true;
        this.#log.info(`acquired the lease of zone ${context.zone}`, { fence: this.#fence });
        context.timeline.record("membership", "lease.acquired", details);
        this.#options.onAcquired(this.#fence, this.#historyOf(result.grants));
    }

    #historyOf(grants: GrantedResponse[]): LeaseHistory {
        const { acceptorIds, timing } = this.#options;
        const longRunning = grants.filter((grant) => grant.upMs > timing.unfencedHandoverMs);
        const idleTimesMs = grants.map((grant) => grant.idleMs).filter((idleMs) => idleMs !== undefined);
        const isHistoryKnown = longRunning.length > acceptorIds.length / 2;
        return {
            formerHolderIds: isHistoryKnown
                ? [...new Set(grants.flatMap((grant) => grant.formerHolderIds))]
                : undefined,
            idleMs: idleTimesMs.length === 0 ? undefined : Math.min(...idleTimesMs),
        };
    }

    async #release(acceptorIds: string[], fence: number): Promise<void> {
        const { context, peers } = this.#options;
        const request = { zone: context.zone, fence, holderId: peers.daemonId };
        await Promise.allSettled(
            acceptorIds.map((id) => peers.call(id, "zone.release", request, { timeoutMs: 500 })),
        );
    }

    #markLost(): void {
        if (!this.#isHeld) {
            return;
        }
        this.#isHeld = false;
        const { context } = this.#options;
        this.#log.info(`lost the lease of zone ${context.zone}`, { fence: this.#fence });
        context.timeline.record("membership", "lease.lost", { zone: context.zone, fence: this.#fence });
        this.#options.onLost(this.#fence);
    }
}

/** Resolves when `isEnough` returns true after one of the calls, or when all have settled. */
const enoughOrAllSettled = (calls: Promise<void>[], isEnough: () => boolean): Promise<void> =>
    new Promise((resolve) => {
        for (const call of calls) {
            void call.then(() => {
                if (isEnough()) {
                    resolve();
                }
            });
        }
        void Promise.all(calls).then(() => resolve());
    });
