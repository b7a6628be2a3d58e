import { monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type {
    FleetView,
    GroupTarget,
    GroupUsage,
    Peers,
    PlacementRequest,
    PlacementResponse,
} from "@greengage/protocol";
import { bestPlacement, type GroupLoad, type PlacementInput } from "./placement.ts";

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

    /**
     * Chooses the group with the shortest predicted time to the first token, and counts the request there if the prediction
     * is within `limitMs`.
     */
    place(
        input: Omit<PlacementInput, "groups">,
        groups: readonly GroupTarget[],
        usage: ReadonlyMap<number, GroupUsage>,
        { limitMs, placeMs: slotOccupancyMs }: Pick<PlacementRequest, "limitMs" | "placeMs">,
        nowMs: number,
    ): PlacementResponse {
        const loads = groups.map((group) =>
            this.#loadOf(group, usage.get(group.epoch), slotOccupancyMs, nowMs)
        );
        const placement = bestPlacement({ ...input, groups: loads });
        const index = groups.findIndex(({ groupName }) => groupName === placement?.groupName);
        const group = groups[index];
        if (placement === undefined || group === undefined) {
            return {};
        }
        const { firstTokenMs } = placement;
        if (firstTokenMs <= limitMs) {
            this.#recentPlacementsAt(group.epoch, nowMs).push({
                atMs: nowMs,
                promptTokens: input.promptTokens,
            });
        }
        return { epoch: group.epoch, firstTokenMs, runningCount: loads[index]?.runningCount };
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

export interface PlacementServiceOptions {
    peers: Peers;
    view: () => FleetView | undefined;
    routing: () => RoutingTable | undefined;
    usage: () => GroupUsage[];
}

/** Handles placement requests of entry daemons on a control daemon. */
export class PlacementService {
    readonly #options: PlacementServiceOptions;
    readonly #placer = new RequestPlacer();
    #usageCache = { byEpoch: new Map<number, GroupUsage>(), atMs: -Infinity };

    constructor(options: PlacementServiceOptions) {
        this.#options = options;
        options.peers.handle("place.choose", (request) => this.#choose(request));
    }

    #choose(request: PlacementRequest): PlacementResponse {
        const { service, model, promptTokens, zone, offsetMs, limitMs, avoidedEpochs } = request;
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
