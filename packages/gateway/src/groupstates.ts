import type { FleetView, GroupSuspicion, GroupTarget, GroupUsage } from "@greengage/protocol";
import type { GroupLoad } from "./placement.ts";
import type { ReportedLoad } from "./types.ts";

/** Weight of the latest request in the moving average of the slot occupancy. */
const SLOT_OCCUPANCY_SMOOTHING = 0.05;
/** Assumed slot occupancy until the first request has ended. */
const INITIAL_SLOT_OCCUPANCY_MS = 1_200;
/** Lifetime of an engine's load report, to which own requests sent or ended since are added or subtracted. */
const LOAD_REPORT_LIFETIME_MS = 2_000;
/** Lifetime of the usage reported by other daemons. */
const REMOTE_USAGE_LIFETIME_MS = 1_000;
/** With usage reports of other daemons, an engine's load report is more accurate only while it is this recent. */
const SHORT_LOAD_REPORT_LIFETIME_MS = 300;
/** A running stream emits an event in each engine pass, which takes up to 0.2 s with a full batch and long prompts. */
const QUIET_MS = 250;
/** Silence after which the controller is asked to look for members that have ended. */
const OVERDUE_MS = 450;
/** Silence after which streams fail over if others go on, or if the group or its head has ended. */
const FAILOVER_MS = 700;
/** Sound engines may be silent for up to 1.5 s; callers leave after two seconds. */
const SILENCE_LIMIT_MS = 1_600;
/** Events of others this long after the last event of a stream show that the stream has missed some. */
const MISSED_EVENTS_MS = 300;
/** Maximum time that a suspected group is excluded; progress or the controller can clear the suspicion earlier. */
const SUSPICION_LIFETIME_MS = 5_000;
/** Time that a group is excluded after a failed request, unless another request makes progress there. */
const AVOIDANCE_MS = 500;

/** Details of a suspicion that are reported to the controller. */
export type SuspicionDetails = Omit<GroupSuspicion, "groupName" | "epoch">;

/** A request of this daemon in flight at a group. */
export interface InFlightRequest {
    promptTokens: number;
    sentAtMs: number;
    /** Predicted time of the first event. */
    expectedAtMs: number;
    /** Time of the last event; undefined before the first one. */
    lastEventAtMs?: number;
    /** Aborts the exchange, so that the request fails over to another group. */
    failOver: (reason: string) => void;
    /** Whether the request has been written to a direct connection. Default: true. */
    isOnDirectPath?: () => boolean;
    /** Aborts the exchange, so that the request goes on over another path, also at the same group. */
    losePath?: (reason: string) => void;
}

/** A single request without progress for this long fails over if other requests of its group make progress. */
const HANG_MS = 1_000;

/** This daemon's view of one group: own and remote load, progress and suspicion. */
export class GroupState {
    readonly target: GroupTarget;
    readonly inFlight = new Set<InFlightRequest>();
    #reportedLoad: { load: ReportedLoad; atMs: number; } | undefined;
    #remoteUsage: { usage: GroupUsage; atMs: number; } | undefined;
    #sentSinceReport = 0;
    #endedSinceReport = 0;
    #pendingPromptTokens = 0;
    #slotOccupancyMs = INITIAL_SLOT_OCCUPANCY_MS;
    #lastEventAtMs = -Infinity;
    #avoidUntilMs = -Infinity;
    #isWithdrawn = false;
    #hasHeadEnded = false;
    #suspicion: { details: SuspicionDetails; sinceMs: number; reportedAtMs: number; } | undefined;

    constructor(target: GroupTarget) {
        this.target = target;
    }

    add(request: InFlightRequest): void {
        this.inFlight.add(request);
        this.#sentSinceReport += 1;
        this.#pendingPromptTokens += request.promptTokens;
    }

    /** Records an event of a request's stream. */
    recordProgress(request: InFlightRequest, nowMs: number): void {
        if (request.lastEventAtMs === undefined) {
            this.#pendingPromptTokens -= request.promptTokens;
        }
        request.lastEventAtMs = nowMs;
        this.#lastEventAtMs = nowMs;
        this.#hasHeadEnded = false;
        this.clearSuspicion();
        this.#avoidUntilMs = -Infinity;
    }

    /** Records that the group is no longer in the fleet view. */
    withdraw(): void {
        this.#isWithdrawn = true;
    }

    /** Records that the head accepts no connection on any path. */
    recordHeadEnded(): void {
        this.#hasHeadEnded = true;
    }

    /**
     * Requests on direct connections without an event for a while; none if others on direct connections have events. Their
     * connections may have lost their path.
     */
    quietRequests(nowMs: number): InFlightRequest[] {
        const direct = [...this.inFlight].filter(({ isOnDirectPath }) => isOnDirectPath?.() ?? true);
        const isProgressing = direct.some(({ lastEventAtMs = -Infinity }) =>
            nowMs - lastEventAtMs <= QUIET_MS
        );
        return isProgressing
            ? []
            : direct.filter(({ lastEventAtMs, sentAtMs }) => nowMs - (lastEventAtMs ?? sentAtMs) > QUIET_MS);
    }

    /** Whether a request is overdue for its next event, more so if others of the group have had events since its last one. */
    isHanging({ lastEventAtMs, expectedAtMs }: InFlightRequest, nowMs: number): boolean {
        const sinceMs = lastEventAtMs ?? expectedAtMs;
        return nowMs - sinceMs > (this.#hasProgressAfter(sinceMs) ? HANG_MS : SILENCE_LIMIT_MS);
    }

    end(request: InFlightRequest, isComplete: boolean, nowMs: number): void {
        if (!this.inFlight.delete(request)) {
            return;
        }
        this.#endedSinceReport += 1;
        if (request.lastEventAtMs === undefined) {
            this.#pendingPromptTokens -= request.promptTokens;
        }
        if (isComplete) {
            this.#slotOccupancyMs += SLOT_OCCUPANCY_SMOOTHING
                * (nowMs - request.sentAtMs - this.#slotOccupancyMs);
        }
    }

    recordLoad(load: ReportedLoad, nowMs: number): void {
        this.#reportedLoad = { load, atMs: nowMs };
        this.#sentSinceReport = 0;
        this.#endedSinceReport = 0;
    }

    /** In-flight usage by this daemon; undefined if there is none and no recent progress. */
    usage(nowMs: number): GroupUsage | undefined {
        const progressAgeMs = Math.round(nowMs - this.#lastEventAtMs);
        const hasProgress = progressAgeMs < REMOTE_USAGE_LIFETIME_MS;
        if (this.inFlight.size === 0 && !hasProgress) {
            return undefined;
        }
        return {
            epoch: this.target.epoch,
            inFlightCount: this.inFlight.size,
            pendingPromptTokens: this.#pendingPromptTokens,
            ...(hasProgress ? { progressAgeMs } : {}),
        };
    }

    /** Sets the in-flight usage by all other daemons. */
    setRemoteUsage(usage: GroupUsage, nowMs: number): void {
        this.#remoteUsage = { usage, atMs: nowMs };
    }

    avoid(nowMs: number): void {
        this.#avoidUntilMs = nowMs + AVOIDANCE_MS;
    }

    isUsable(nowMs: number): boolean {
        return !this.isSuspected(nowMs) && nowMs >= this.#avoidUntilMs;
    }

    isSuspected(nowMs: number): boolean {
        if (this.#suspicion !== undefined && nowMs - this.#suspicion.sinceMs >= SUSPICION_LIFETIME_MS) {
            this.#suspicion = undefined;
        }
        return this.#suspicion !== undefined;
    }

    /** Moving average of the time that a request occupies its slot. */
    get slotOccupancyMs(): number {
        return this.#slotOccupancyMs;
    }

    /** Suspicion last reported to the controller, and the time of that report. */
    get suspicion(): { details: SuspicionDetails; reportedAtMs: number; } | undefined {
        return this.#suspicion;
    }

    suspect(details: SuspicionDetails, nowMs: number): void {
        this.#suspicion = { details, sinceMs: this.#suspicion?.sinceMs ?? nowMs, reportedAtMs: nowMs };
    }

    clearSuspicion(): void {
        this.#suspicion = undefined;
    }

    load(nowMs: number): GroupLoad {
        const { groupName, zone } = this.target;
        const ownCount = this.inFlight.size;
        const reported = this.#reportedLoad;
        const remoteUsage = this.#freshRemoteUsage(nowMs);
        const reportLifetimeMs = remoteUsage === undefined
            ? LOAD_REPORT_LIFETIME_MS
            : SHORT_LOAD_REPORT_LIFETIME_MS;
        const reportedCount = reported !== undefined && nowMs - reported.atMs < reportLifetimeMs
            ? reported.load.runningCount + reported.load.waitingCount + this.#sentSinceReport
                - this.#endedSinceReport
            : 0;
        return {
            groupName,
            zone,
            runningCount: Math.max(ownCount + (remoteUsage?.inFlightCount ?? 0), reportedCount),
            waitingCount: 0,
            pendingPromptTokens: Math.max(0, this.#pendingPromptTokens)
                + (remoteUsage?.pendingPromptTokens ?? 0),
            slotOccupancyMs: this.#slotOccupancyMs,
            includesRemoteUsage: remoteUsage !== undefined,
        };
    }

    #freshRemoteUsage(nowMs: number): GroupUsage | undefined {
        const remoteUsage = this.#remoteUsage;
        return remoteUsage !== undefined && nowMs - remoteUsage.atMs < REMOTE_USAGE_LIFETIME_MS
            ? remoteUsage.usage
            : undefined;
    }

    /** Time of the last known event of a stream of another daemon. */
    get #remoteProgressAtMs(): number {
        const { usage, atMs } = this.#remoteUsage ?? {};
        return usage?.progressAgeMs === undefined || atMs === undefined
            ? -Infinity
            : atMs - usage.progressAgeMs;
    }

    #hasProgressAfter(sinceMs: number): boolean {
        return Math.max(this.#lastEventAtMs, this.#remoteProgressAtMs) - sinceMs > MISSED_EVENTS_MS;
    }

    /** Checks how long the group has made no progress although an event was due. */
    checkStall(nowMs: number): StallStatus {
        const requests = [...this.inFlight];
        const running = requests.filter((request) => request.lastEventAtMs !== undefined);
        const hasRunningStream = running.length > 0;
        const dueSinceMs = hasRunningStream
            ? Math.max(...running.map((request) => request.lastEventAtMs ?? 0))
            : Math.min(...requests.map((request) => request.expectedAtMs));
        // Progress of other daemons' streams shows that the group is running.
        const progressAtMs = Math.max(this.#lastEventAtMs, this.#remoteProgressAtMs);
        const silentMs = requests.length === 0 ? 0 : nowMs - Math.max(dueSinceMs, progressAtMs);
        const hasMissedEvents = hasRunningStream && this.#hasProgressAfter(dueSinceMs);
        const limitMs = this.#isWithdrawn || this.#hasHeadEnded ? FAILOVER_MS : SILENCE_LIMIT_MS;
        const isSuspect = silentMs > limitMs;
        return {
            silentMs,
            isOverdue: silentMs > OVERDUE_MS,
            isSuspect,
            mustFailOver: isSuspect || (hasMissedEvents && nowMs - dueSinceMs > FAILOVER_MS),
            hasRunningStream,
        };
    }
}

/** Mean slot occupancy over the groups of one model. */
export const meanSlotOccupancyMs = (states: readonly GroupState[]): number =>
    states.length === 0
        ? INITIAL_SLOT_OCCUPANCY_MS
        : states.reduce((sum, state) => sum + state.slotOccupancyMs, 0) / states.length;

/** Result of a stall check. */
export interface StallStatus {
    /** Time for which no daemon is known to have had an event although one was due. */
    silentMs: number;
    /** Whether the controller should look for members that have ended. */
    isOverdue: boolean;
    isSuspect: boolean;
    /** Whether the group's streams should fail over, which doesn't imply that the group is suspect. */
    mustFailOver: boolean;
    hasRunningStream: boolean;
}

/** States of all groups of the latest fleet view. */
export class GroupStates {
    readonly #states = new Map<string, GroupState>();
    /** Groups no longer in the view, which get no new requests but still have streams. */
    readonly #withdrawn = new Set<GroupState>();

    /** Applies a new fleet view. Groups missing from it get no new requests, but their streams continue. */
    applyView(view: FleetView): void {
        const names = new Set(view.groups.map((group) => group.groupName));
        for (const [name, state] of this.#states) {
            if (!names.has(name)) {
                this.#states.delete(name);
                state.withdraw();
                this.#withdrawn.add(state);
            }
        }
        for (const target of view.groups) {
            if (!this.#states.has(target.groupName)) {
                this.#states.set(target.groupName, new GroupState(target));
            }
        }
    }

    get(groupName: string): GroupState | undefined {
        return this.#states.get(groupName);
    }

    all(): GroupState[] {
        return [...this.#states.values()];
    }

    /** All groups of the latest view and withdrawn groups that still have streams. */
    allIncludingWithdrawn(): GroupState[] {
        for (const state of this.#withdrawn) {
            if (state.inFlight.size === 0) {
                this.#withdrawn.delete(state);
            }
        }
        return [...this.#states.values(), ...this.#withdrawn];
    }

    /** Whether another group of the same model is usable. */
    hasAlternative(group: GroupState, nowMs: number): boolean {
        const { service, model } = group.target;
        return this.ofModel(service, model).some((other) => other !== group && other.isUsable(nowMs));
    }

    usage(nowMs: number): GroupUsage[] {
        return this.all().map((state) => state.usage(nowMs)).filter((usage) => usage !== undefined);
    }

    /** Sets the in-flight usage by all other daemons. Groups that it does not contain are unused by them. */
    setRemoteUsage(remoteUsage: readonly GroupUsage[], nowMs: number): void {
        const byEpoch = new Map(remoteUsage.map((usage) => [usage.epoch, usage]));
        for (const state of this.#states.values()) {
            const { epoch } = state.target;
            const none = { epoch, inFlightCount: 0, pendingPromptTokens: 0 };
            state.setRemoteUsage(byEpoch.get(epoch) ?? none, nowMs);
        }
    }

    ofModel(service: string, model: string): GroupState[] {
        return this.all().filter(({ target }) => target.service === service && target.model === model);
    }
}
