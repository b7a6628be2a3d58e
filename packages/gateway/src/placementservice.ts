import { monotonicMs } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type {
    FleetView,
    GroupTarget,
    GroupUsage,
    Peers,
    PlaceAnswer,
    PlaceRequest,
} from "@greengage/protocol";
import { bestPlace, type GroupLoad, type PlacementInput } from "./placement.ts";

/**
 * Mean age of what daemons have told: half a period until they tell it, and half a period until the control daemons have
 * told each other. Places that were given since count on top, and requests that have ended since are estimated.
 */
const USAGE_REPORT_AGE_MS = 180;
/** Sums are used for this long, which is short beside the age of what they contain. */
const USAGE_SUM_LIFE_MS = 20;

interface Grant {
    atMs: number;
    promptTokens: number;
}

/**
 * Chooses the groups for the requests of all entry daemons. Answers many daemons before few groups: each daemon alone
 * sees few answers of a group, and daemons that decide on the same reports fill the best group together. What they have told
 * is some tenths of a second old, so the places that were given since count on top.
 */
export class Placer {
    readonly #grants = new Map<number, Grant[]>();

    /** Chooses the group with the shortest predicted time to the first token, and takes a place there if it is in time. */
    place(
        input: Omit<PlacementInput, "groups">,
        groups: readonly GroupTarget[],
        usage: ReadonlyMap<number, GroupUsage>,
        { limitMs, placeMs }: Pick<PlaceRequest, "limitMs" | "placeMs">,
        nowMs: number,
    ): PlaceAnswer {
        const loads = groups.map((group) => this.#loadOf(group, usage.get(group.epoch), placeMs, nowMs));
        const place = bestPlace({ ...input, groups: loads });
        const index = groups.findIndex(({ groupName }) => groupName === place?.groupName);
        const group = groups[index];
        if (place === undefined || group === undefined) {
            return {};
        }
        const { firstTokenMs } = place;
        if (firstTokenMs <= limitMs) {
            this.#grantsOf(group.epoch, nowMs).push({ atMs: nowMs, promptTokens: input.promptTokens });
        }
        return { epoch: group.epoch, firstTokenMs, runningCount: loads[index]?.runningCount };
    }

    /** Forgets groups that are gone. */
    retain(epochs: ReadonlySet<number>): void {
        for (const epoch of this.#grants.keys()) {
            if (!epochs.has(epoch)) {
                this.#grants.delete(epoch);
            }
        }
    }

    #loadOf(
        { groupName, zone, epoch }: GroupTarget,
        usage: GroupUsage | undefined,
        placeMs: number,
        nowMs: number,
    ): GroupLoad {
        const grants = this.#grantsOf(epoch, nowMs);
        const grantedTokens = grants.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
        const told = usage?.inFlightCount ?? 0;
        const endedCount = told * Math.min(1, USAGE_REPORT_AGE_MS / placeMs);
        return {
            groupName,
            zone,
            runningCount: Math.max(0, told + grants.length - endedCount),
            waitingCount: 0,
            pendingPromptTokens: (usage?.pendingPromptTokens ?? 0) + grantedTokens,
            placeMs,
            isShared: true,
        };
    }

    #grantsOf(epoch: number, nowMs: number): Grant[] {
        const grants = (this.#grants.get(epoch) ?? []).filter(({ atMs }) =>
            nowMs - atMs < USAGE_REPORT_AGE_MS
        );
        this.#grants.set(epoch, grants);
        return grants;
    }
}

export interface PlacementServiceOptions {
    peers: Peers;
    view: () => FleetView | undefined;
    routing: () => RoutingTable | undefined;
    usage: () => GroupUsage[];
}

/** Answers the entry daemons that ask a control daemon for places. */
export class PlacementService {
    readonly #options: PlacementServiceOptions;
    readonly #placer = new Placer();
    #usage = { byEpoch: new Map<number, GroupUsage>(), atMs: -Infinity };

    constructor(options: PlacementServiceOptions) {
        this.#options = options;
        options.peers.handle("place.choose", (request) => this.#choose(request));
    }

    #choose(request: PlaceRequest): PlaceAnswer {
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
        return this.#placer.place(input, groups, this.#usageAt(nowMs), request, nowMs);
    }

    /** What daemons have told, summed up at most once in a short time. */
    #usageAt(nowMs: number): ReadonlyMap<number, GroupUsage> {
        if (nowMs - this.#usage.atMs > USAGE_SUM_LIFE_MS) {
            const byEpoch = new Map(this.#options.usage().map((usage) => [usage.epoch, usage]));
            this.#usage = { byEpoch, atMs: nowMs };
            this.#placer.retain(new Set(this.#options.view()?.groups.map(({ epoch }) => epoch)));
        }
        return this.#usage.byEpoch;
    }
}
