import { monotonicMs } from "@greengage/base";
import { type GroupRef, OrderOutcome } from "./orders.ts";
import type { ServerRegistry } from "./registry.ts";
import { SERVER_EXPIRY_MS } from "./timing.ts";

/** Process of a backend server, and the group that it was ordered to join. */
export interface JoinTarget extends GroupRef {
    serverId: string;
    bornMs: number;
}

interface UnansweredJoin extends JoinTarget {
    sinceMs: number;
    expiresAtMs: number;
}

type KnownServers = Pick<ServerRegistry, "getIncarnation" | "hasEnded" | "recordCarriedOut">;

/**
 * Orders to join without an answer. A server may carry out such an order at any later time, even after it has left the group,
 * until it has carried out a join of a higher epoch or has ended.
 */
export class UnansweredJoins {
    readonly #registry: KnownServers;
    /** By server id. */
    readonly #joins = new Map<string, UnansweredJoin[]>();
    #version = 0;

    constructor(registry: KnownServers) {
        this.#registry = registry;
    }

    /** Incremented when a server begins or ceases to have an order without an answer for a group. */
    get version(): number {
        return this.#version;
    }

    /** Sends an order, which counts as unanswered from before it is sent until its answer arrives. */
    async track(target: JoinTarget, send: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
        this.#version += this.has(target.serverId, target) ? 0 : 1;
        const join = this.#add(target, Infinity);
        const outcome = await send();
        if (outcome !== OrderOutcome.Unknown) {
            this.#retain(target.serverId, (other) => other !== join);
            this.#version += this.has(target.serverId, target) ? 0 : 1;
        }
        if (outcome === OrderOutcome.Accepted) {
            this.#registry.recordCarriedOut(target.serverId, target.bornMs, target.epoch);
        }
        return outcome;
    }

    /** Assumes until `expiresAtMs` that an order of a former leader has got no answer. */
    assume(target: JoinTarget, expiresAtMs: number): void {
        this.#add(target, expiresAtMs);
    }

    has(serverId: string, { groupName, epoch }: GroupRef): boolean {
        return this.#of(serverId).some((join) => join.groupName === groupName && join.epoch === epoch);
    }

    groupNamesOf(serverId: string): string[] {
        return this.#of(serverId).map(({ groupName }) => groupName);
    }

    /** Highest epoch that the server has joined or may still join; 0 if there is none. */
    highestEpochOf(serverId: string): number {
        return Math.max(0, ...this.#of(serverId).map(({ epoch }) => epoch));
    }

    /** Removes the orders that can't be carried out any more. */
    expire(nowMs: number): void {
        for (const serverId of this.#joins.keys()) {
            this.#retain(serverId, (join) => this.#mayBeCarriedOut(join, nowMs));
        }
    }

    #add(target: JoinTarget, expiresAtMs: number): UnansweredJoin {
        const join = { ...target, sinceMs: monotonicMs(), expiresAtMs };
        this.#joins.set(target.serverId, [...this.#joins.get(target.serverId) ?? [], join]);
        return join;
    }

    #retain(serverId: string, isRetained: (join: UnansweredJoin) => boolean): void {
        const remaining = this.#joins.get(serverId)?.filter(isRetained) ?? [];
        if (remaining.length > 0) {
            this.#joins.set(serverId, remaining);
        }
        else {
            this.#joins.delete(serverId);
        }
    }

    #of(serverId: string): UnansweredJoin[] {
        const nowMs = monotonicMs();
        return this.#joins.get(serverId)?.filter((join) => this.#mayBeCarriedOut(join, nowMs)) ?? [];
    }

    #mayBeCarriedOut(
        { serverId, bornMs, epoch, sinceMs, expiresAtMs }: UnansweredJoin,
        nowMs: number,
    ): boolean {
        const server = this.#registry.getIncarnation(serverId, bornMs);
        const isGone = server === undefined && nowMs - sinceMs > SERVER_EXPIRY_MS;
        return nowMs <= expiresAtMs && !isGone && epoch >= (server?.highestEpoch ?? 0)
            && !this.#registry.hasEnded(serverId, bornMs);
    }
}
