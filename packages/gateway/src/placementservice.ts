import { type Context, monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type {
    FleetView,
    GroupTarget,
    GroupUsage,
    LimitPermitRequest,
    LimitPermitResponse,
    Peers,
    PlacementRequest,
    PlacementResponse,
} from "@greengage/protocol";
import { rendezvousIds, type ServerLimitTable, ServerPermits } from "@greengage/routing";
import { permitOf } from "./controllers.ts";
import { bestPlacement, type GroupLoad, type Placement, type PlacementInput } from "./placement.ts";

/**
 * Mean age of usage reports: half a period until the entry daemons send them, and half a period until the control daemons
 * exchange them. Placements made since then are added, and requests ended since then are estimated.
 */
const MEAN_USAGE_AGE_MS = 180;
/** Lifetime of cached usage sums, which is short compared with the age of the reports in them. */
const USAGE_CACHE_MS = 20;

interface RecentPlacement {
    atMs: number;
    promptTokens: number;
}

/**
 * Chooses groups for the requests of all entry daemons. With many daemons and few groups, each daemon sees too few responses
 * of a group to know its load, and daemons that decide on the same reports overload the best group together. Usage reports
 * are some tenths of a second old, so placements made since then are added to them.
 */
export class RequestPlacer {
    readonly #recentPlacements = new Map<number, RecentPlacement[]>();
    readonly #permits: ServerPermits | undefined;

    /** `permits`: those of group heads that name a limit; without it all groups take any number of requests. */
    constructor(permits?: ServerPermits) {
        this.#permits = permits;
    }

    /**
     * Chooses the group with the shortest predicted time to the first token, and counts the request there if the prediction
     * is within `limitMs`. A request waits for a permit of a limited group only if no other group is within `limitMs`.
     */
    place(
        input: Omit<PlacementInput, "groups">,
        groups: readonly GroupTarget[],
        usage: ReadonlyMap<number, GroupUsage>,
        { limitMs, placeMs: slotOccupancyMs, priority = 0 }: Pick<
            PlacementRequest,
            "limitMs" | "placeMs" | "priority"
        >,
        nowMs: number,
    ): PlacementResponse {
        const candidates = groups.map((group) => ({
            group,
            permit: permitOf(group, priority),
        })).flatMap(({ group, permit }) => {
            const startDelayMs = this.#permits === undefined ? 0 : this.#permits.delayMs(permit, nowMs);
            const load = this.#loadOf(group, usage.get(group.epoch), slotOccupancyMs, nowMs);
            return startDelayMs === undefined ? [] : [{ group, permit, load: { ...load, startDelayMs } }];
        });
        const bestOf = (loads: readonly GroupLoad[]): Placement | undefined =>
            bestPlacement({ ...input, groups: loads });
        const loads = candidates.map(({ load }) => load);
        const immediate = bestOf(loads.filter(({ startDelayMs }) => startDelayMs === 0));
        const placement = immediate !== undefined && immediate.firstTokenMs <= limitMs
            ? immediate
            : bestOf(loads);
        const chosen = candidates.find(({ group }) => group.groupName === placement?.groupName);
        if (placement === undefined || chosen === undefined) {
            return this.#rejectLimited(groups, priority, nowMs);
        }
        const { group, permit, load } = chosen;
        const { firstTokenMs } = placement;
        if (firstTokenMs <= limitMs) {
            this.#permits?.take(permit, nowMs);
            this.#recentPlacementsAt(group.epoch, nowMs).push({
                atMs: nowMs,
                promptTokens: input.promptTokens,
            });
        }
        else if (load.startDelayMs > 0) {
            this.#permits?.reject(permit, nowMs);
        }
        return {
            epoch: group.epoch,
            firstTokenMs,
            runningCount: load.runningCount,
            ...(load.startDelayMs > 0 ? { startDelayMs: load.startDelayMs } : {}),
        };
    }

    /** Response if no group has a permit for the request; `retryAfterMs` is the time until the first one has. */
    #rejectLimited(groups: readonly GroupTarget[], priority: number, nowMs: number): PlacementResponse {
        const waits = groups.map((group) => {
            const permit = permitOf(group, priority);
            return { permit, waitMs: this.#permits?.nextPermitMs(permit, nowMs) ?? 0 };
        }).sort((a, b) => a.waitMs - b.waitMs);
        const [first] = waits;
        if (first === undefined) {
            return {};
        }
        this.#permits?.reject(first.permit, nowMs);
        return { retryAfterMs: first.waitMs };
    }

    /** Drops the state of all other groups. */
    retain(epochs: ReadonlySet<number>): void {
        for (const epoch of this.#recentPlacements.keys()) {
            if (!epochs.has(epoch)) {
                this.#recentPlacements.delete(epoch);
            }
        }
    }

    #loadOf(
        { groupName, zone, epoch }: GroupTarget,
        usage: GroupUsage | undefined,
        slotOccupancyMs: number,
        nowMs: number,
    ): GroupLoad {
        const recentPlacements = this.#recentPlacementsAt(epoch, nowMs);
        const recentTokens = recentPlacements.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
        const reportedCount = usage?.inFlightCount ?? 0;
        const endedCount = reportedCount * Math.min(1, MEAN_USAGE_AGE_MS / slotOccupancyMs);
        return {
            groupName,
            zone,
            runningCount: Math.max(0, reportedCount + recentPlacements.length - endedCount),
            waitingCount: 0,
            pendingPromptTokens: (usage?.pendingPromptTokens ?? 0) + recentTokens,
            slotOccupancyMs,
            includesRemoteUsage: true,
        };
    }

    #recentPlacementsAt(epoch: number, nowMs: number): RecentPlacement[] {
        const recentPlacements = (this.#recentPlacements.get(epoch) ?? []).filter(({ atMs }) =>
            nowMs - atMs < MEAN_USAGE_AGE_MS
        );
        this.#recentPlacements.set(epoch, recentPlacements);
        return recentPlacements;
    }
}

/**
 * Part of the limits of servers that a control daemon hands out. The first one in the order of a placement key that is connected
 * to the majority hands out all of it. The others together never exceed half of it: they serve entry daemons that can't
 * reach the first one, and don't know whether others do.
 */
export const limitShareOf = (
    daemonId: string,
    placementKey: string,
    { controllerIds, connectedIds }: { controllerIds: readonly string[]; connectedIds: ReadonlySet<string>; },
): number => {
    const others = controllerIds.filter((id) => id !== daemonId);
    const connected = controllerIds.filter((id) => id === daemonId || connectedIds.has(id));
    const isMajority = 2 * connected.length > controllerIds.length;
    const isFirst = rendezvousIds(connected, placementKey)[0] === daemonId;
    return others.length === 0 || (isMajority && isFirst) ? 1 : SUBSTITUTES_SHARE / others.length;
};

/** Part of a limit that all control daemons but the first one may hand out together. */
const SUBSTITUTES_SHARE = 0.5;

export interface PlacementServiceOptions {
    context: Context;
    peers: Peers;
    limits: ServerLimitTable;
    view: () => FleetView | undefined;
    routing: () => RoutingTable | undefined;
    usage: () => GroupUsage[];
    /** Other control daemons from which this one has received a message recently. */
    connectedIds: () => ReadonlySet<string>;
}

/** Handles placement requests, and requests for permits of limited servers, of entry daemons on a control daemon. */
export class PlacementService {
    readonly permits: ServerPermits;
    readonly #options: PlacementServiceOptions;
    readonly #placer: RequestPlacer;
    #usageCache = { byEpoch: new Map<number, GroupUsage>(), atMs: -Infinity };

    constructor(options: PlacementServiceOptions) {
        this.#options = options;
        const { context, limits, peers, view, connectedIds } = options;
        this.permits = new ServerPermits({
            context,
            limits,
            share: (placementKey) =>
                limitShareOf(context.daemonId, placementKey, {
                    controllerIds: view()?.controllers.map(({ daemonId }) => daemonId) ?? [],
                    connectedIds: connectedIds(),
                }),
        });
        this.#placer = new RequestPlacer(this.permits);
        peers.handle("place.choose", (request) => this.#choose(request));
        peers.handle("limit.acquire", (request) => this.#acquire(request));
    }

    #acquire({ limits, maxDelayMs, ...query }: LimitPermitRequest): LimitPermitResponse {
        const nowMs = monotonicMs();
        this.#options.limits.merge(limits, nowMs);
        return this.permits.acquire(query, maxDelayMs, nowMs);
    }

    #choose(request: PlacementRequest): PlacementResponse {
        const { service, model, promptTokens, zone, offsetMs, limitMs, avoidedEpochs, limits = [] } = request;
        const profile = this.#options.routing()?.service(service)?.engine;
        const modelSpec = profile?.models.find(({ name }) => name === model);
        if (profile === undefined || modelSpec === undefined) {
            return {};
        }
        const groups =
            this.#options.view()?.groups.filter((group) =>
                group.service === service && group.model === model && !avoidedEpochs.includes(group.epoch)
            ) ?? [];
        const nowMs = monotonicMs();
        this.#options.limits.merge(limits, nowMs);
        const input = { profile, model: modelSpec, promptTokens, zone, offsetMs, targetMs: limitMs };
        return this.#placer.place(input, groups, this.#usageByEpoch(nowMs), request, nowMs);
    }

    /** Usage reported by all daemons, cached for `USAGE_CACHE_MS`. */
    #usageByEpoch(nowMs: number): ReadonlyMap<number, GroupUsage> {
        if (nowMs - this.#usageCache.atMs > USAGE_CACHE_MS) {
            const byEpoch = new Map(this.#options.usage().map((usage) => [usage.epoch, usage]));
            this.#usageCache = { byEpoch, atMs: nowMs };
            this.#placer.retain(new Set(this.#options.view()?.groups.map(({ epoch }) => epoch)));
        }
        return this.#usageCache.byEpoch;
    }
}
