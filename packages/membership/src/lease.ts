import { type Context, Lifecycle, type Log, LogPart, monotonicMs, Random, sleep } from "@greengage/base";
import type { Peers } from "@greengage/protocol";
import { LEASE_MARGIN_MS, type MembershipTiming } from "./timing.ts";

export interface ZoneLeaseOptions {
    context: Context;
    peers: Peers;
    acceptorIds: string[];
    timing: MembershipTiming;
    /** Highest fencing token that a backend server of the zone has reported. */
    highestReportedFence: () => number;
    tableFloor: () => number;
    onTableFloor: (tableFloor: number) => void;
    onAcquired: (fence: number) => void;
    onLost: (fence: number) => void;
}

/** Acquires and renews this daemon's lease of its zone. At most one daemon of a zone holds it. */
export class ZoneLease {
    readonly #options: ZoneLeaseOptions;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #random = new Random();
    #fence = 0;
    #highestSeenFence = 0;
    #validUntilMs = 0;
    #isHeld = false;

    constructor(options: ZoneLeaseOptions) {
        this.#options = options;
        this.#log = options.context.logs(LogPart.Membership);
    }

    start(): void {
        this.#lifecycle.run((signal) => this.#renewForever(signal), (error) => {
            throw error;
        });
    }

    /** Releases the lease, so that a successor can start at once. */
    async close(): Promise<void> {
        const wasHeld = this.isValid;
        this.#setHeld(false);
        this.#validUntilMs = 0;
        await this.#lifecycle.close();
        if (!wasHeld) {
            return;
        }
        const { context, peers, acceptorIds } = this.#options;
        const request = { zone: context.zone, fence: this.#fence, holderId: peers.daemonId };
        await Promise.allSettled(
            acceptorIds.map((id) => peers.call(id, "zone.release", request, { timeoutMs: 500 })),
        );
    }

    get fence(): number {
        return this.#fence;
    }

    /** Whether the lease holds at this moment. Check it in the same step as the write that relies on it. */
    get isValid(): boolean {
        return this.#isHeld && monotonicMs() < this.#validUntilMs;
    }

    get remainingMs(): number {
        return this.isValid ? this.#validUntilMs - monotonicMs() : 0;
    }

    /** A backend server refused an order: acquire again with a fencing token above `fence`. */
    raiseFence(fence: number): void {
        this.#highestSeenFence = Math.max(this.#highestSeenFence, fence);
    }

    async #renewForever(signal: AbortSignal): Promise<void> {
        const { timing } = this.#options;
        while (!signal.aborted) {
            await this.#acquireOnce();
            if (this.#isHeld && !this.isValid) {
                this.#setHeld(false);
            }
            await sleep(
                this.#random.jitter(this.#isHeld ? timing.leaseRenewMs : timing.leaseRenewMs / 2),
                signal,
            );
        }
    }

    async #acquireOnce(): Promise<void> {
        const { context, peers, acceptorIds, timing } = this.#options;
        this.#highestSeenFence = Math.max(this.#highestSeenFence, this.#options.highestReportedFence());
        const renews = this.isValid && this.#fence >= this.#highestSeenFence;
        const fence = renews ? this.#fence : Math.max(this.#highestSeenFence, this.#fence) + 1;
        const sentAtMs = monotonicMs();
        const request = {
            zone: context.zone,
            fence,
            holderId: peers.daemonId,
            leaseMs: timing.leaseMs,
            tableFloor: this.#options.tableFloor(),
        };
        const responses = await Promise.all(
            acceptorIds.map((id) =>
                peers.call(id, "zone.acquire", request, { timeoutMs: timing.leaseRenewMs }).catch(() =>
                    undefined
                )
            ),
        );
        let grantedCount = 0;
        for (const response of responses) {
            if (response?.granted) {
                grantedCount += 1;
                this.#options.onTableFloor(response.tableFloor);
            }
            else if (response !== undefined) {
                this.#highestSeenFence = Math.max(this.#highestSeenFence, response.highestFence);
            }
        }
        if (grantedCount <= acceptorIds.length / 2) {
            await this.#giveUpMinority(responses, fence);
            return;
        }
        this.#validUntilMs = sentAtMs + timing.leaseMs - LEASE_MARGIN_MS;
        this.#fence = fence;
        this.#highestSeenFence = Math.max(this.#highestSeenFence, fence);
        if (!renews) {
            this.#setHeld(false);
            this.#setHeld(true);
        }
    }

    /** A minority of grants blocks other candidates; they are given back unless they renew a valid lease. */
    async #giveUpMinority(responses: ({ granted: boolean; } | undefined)[], fence: number): Promise<void> {
        const { context, peers, acceptorIds } = this.#options;
        if (this.isValid) {
            return;
        }
        const granted = acceptorIds.filter((_, index) => responses[index]?.granted);
        const request = { zone: context.zone, fence, holderId: peers.daemonId };
        await Promise.allSettled(
            granted.map((id) => peers.call(id, "zone.release", request, { timeoutMs: 500 })),
        );
    }

    #setHeld(isHeld: boolean): void {
        if (isHeld === this.#isHeld) {
            return;
        }
        this.#isHeld = isHeld;
        const { context } = this.#options;
        if (isHeld) {
            this.#log.info(`acquired the lease of zone ${context.zone}`, { fence: this.#fence });
            context.timeline.record("membership", "lease.acquired", {
                zone: context.zone,
                fence: this.#fence,
            });
            this.#options.onAcquired(this.#fence);
            return;
        }
        this.#log.info(`lost the lease of zone ${context.zone}`, { fence: this.#fence });
        context.timeline.record("membership", "lease.lost", { zone: context.zone, fence: this.#fence });
        this.#options.onLost(this.#fence);
    }
}
