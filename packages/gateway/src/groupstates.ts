import type { FleetView, GroupSuspicion, GroupTarget, GroupUsage } from "@greengage/protocol";
import type { GroupLoad } from "./placement.ts";
import type { ReportedLoad } from "./types.ts";

/** Weight of the newest request in the mean time that a request holds its place. */
const PLACE_WEIGHT = 0.05;
/** Before any request has ended. */
const FIRST_PLACE_MS = 1_200;
/** Own requests in flight that a report of the engine does not yet contain are counted on top for this long. */
const REPORT_LIFE_MS = 2_000;
/** What the other daemons have in flight counts for this long after they have told it. */
const OTHERS_LIFE_MS = 1_000;
/** An answer that is newer than this tells the load better than what the daemons have told. */
const NEW_REPORT_MS = 300;
/** A running stream writes an event in each pass, which takes up to 0.2 s with a full batch and long prompts. */
const STALL_MS = 450;
/** Without a running stream, silence may be a queue in the engine that the prediction has missed. */
const FIRST_EVENT_STALL_MS = 700;
/** Streams are moved after this silence of their group: callers leave after two seconds. */
const MOVE_MS = 700;
/** A suspected group is left out until it makes progress or the controller clears it, or for this long. */
const SUSPECT_MS = 5_000;
/** A group that a request failed on is left out for a short time, unless another request makes progress there. */
const AVOID_MS = 500;

/** What is told of a group that may be lost. */
export type SuspicionDetails = Omit<GroupSuspicion, "groupName" | "epoch">;

/** One own request at a group. */
export interface GroupUse {
    promptTokens: number;
    sentAtMs: number;
    /** Predicted time of the first event. */
    expectedAtMs: number;
    /** Time of the last event; undefined before the first one. */
    eventAtMs?: number;
    /** Ends the exchange, so that the request goes on elsewhere. */
    move: (reason: string) => void;
}

/** A single request that makes no progress for this long is moved, though its group goes on: its answer hangs. */
const HANG_MS = 1_000;

/** Whether a request makes no progress though it should. */
export const isHanging = ({ eventAtMs, expectedAtMs }: GroupUse, nowMs: number): boolean =>
    nowMs - (eventAtMs ?? expectedAtMs) > HANG_MS;

/** State of one group at this daemon. */
export class GroupState {
    readonly target: GroupTarget;
    readonly uses = new Set<GroupUse>();
    #reported: { load: ReportedLoad; atMs: number; } | undefined;
    #others: { usage: GroupUsage; atMs: number; } | undefined;
    #sentSinceReport = 0;
    #endedSinceReport = 0;
    #pendingPromptTokens = 0;
    #placeMs = FIRST_PLACE_MS;
    #progressAtMs = -Infinity;
    #avoidUntilMs = -Infinity;
    #suspicion: { details: SuspicionDetails; sinceMs: number; toldAtMs: number; } | undefined;

    constructor(target: GroupTarget) {
        this.target = target;
    }

    add(use: GroupUse): void {
        this.uses.add(use);
        this.#sentSinceReport += 1;
        this.#pendingPromptTokens += use.promptTokens;
    }

    /** Notes an event of one request. */
    progress(use: GroupUse, nowMs: number): void {
        if (use.eventAtMs === undefined) {
            this.#pendingPromptTokens -= use.promptTokens;
        }
        use.eventAtMs = nowMs;
        this.#progressAtMs = nowMs;
        this.clear();
        this.#avoidUntilMs = -Infinity;
    }

    end(use: GroupUse, isComplete: boolean, nowMs: number): void {
        if (!this.uses.delete(use)) {
            return;
        }
        this.#endedSinceReport += 1;
        if (use.eventAtMs === undefined) {
            this.#pendingPromptTokens -= use.promptTokens;
        }
        if (isComplete) {
            this.#placeMs += PLACE_WEIGHT * (nowMs - use.sentAtMs - this.#placeMs);
        }
    }

    report(load: ReportedLoad, nowMs: number): void {
        this.#reported = { load, atMs: nowMs };
        this.#sentSinceReport = 0;
        this.#endedSinceReport = 0;
    }

    /** What this daemon has in flight here; undefined without anything to tell. */
    usage(nowMs: number): GroupUsage | undefined {
        const progressAgeMs = Math.round(nowMs - this.#progressAtMs);
        const hasProgress = progressAgeMs < OTHERS_LIFE_MS;
        if (this.uses.size === 0 && !hasProgress) {
            return undefined;
        }
        return {
            epoch: this.target.epoch,
            inFlightCount: this.uses.size,
            pendingPromptTokens: this.#pendingPromptTokens,
            ...(hasProgress ? { progressAgeMs } : {}),
        };
    }

    /** Takes what all other daemons have in flight here. */
    takeOthers(usage: GroupUsage, nowMs: number): void {
        this.#others = { usage, atMs: nowMs };
    }

    avoid(nowMs: number): void {
        this.#avoidUntilMs = nowMs + AVOID_MS;
    }

    isUsable(nowMs: number): boolean {
        return !this.isSuspected(nowMs) && nowMs >= this.#avoidUntilMs;
    }

    isSuspected(nowMs: number): boolean {
        if (this.#suspicion !== undefined && nowMs - this.#suspicion.sinceMs >= SUSPECT_MS) {
            this.#suspicion = undefined;
        }
        return this.#suspicion !== undefined;
    }

    /** Mean time that a request held its place here. */
    get placeMs(): number {
        return this.#placeMs;
    }

    /** What the controller has been told of this group, and when. */
    get suspicion(): { details: SuspicionDetails; toldAtMs: number; } | undefined {
        return this.#suspicion;
    }

    suspect(details: SuspicionDetails, nowMs: number): void {
        this.#suspicion = { details, sinceMs: this.#suspicion?.sinceMs ?? nowMs, toldAtMs: nowMs };
    }

    clear(): void {
        this.#suspicion = undefined;
    }

    load(nowMs: number): GroupLoad {
        const { groupName, zone } = this.target;
        const own = this.uses.size;
        const reported = this.#reported;
        const others = this.#freshOthers(nowMs);
        const reportLifeMs = others === undefined ? REPORT_LIFE_MS : NEW_REPORT_MS;
        const total = reported !== undefined && nowMs - reported.atMs < reportLifeMs
            ? reported.load.runningCount + reported.load.waitingCount + this.#sentSinceReport
                - this.#endedSinceReport
            : 0;
        return {
            groupName,
            zone,
            runningCount: Math.max(own + (others?.inFlightCount ?? 0), total),
            waitingCount: 0,
            pendingPromptTokens: Math.max(0, this.#pendingPromptTokens)
                + (others?.pendingPromptTokens ?? 0),
            placeMs: this.#placeMs,
            isShared: others !== undefined,
        };
    }

    #freshOthers(nowMs: number): GroupUsage | undefined {
        const others = this.#others;
        return others !== undefined && nowMs - others.atMs < OTHERS_LIFE_MS ? others.usage : undefined;
    }

    /** Time of the last event of a stream of another daemon, as far as that is known. */
    get #othersProgressAtMs(): number {
        const { usage, atMs } = this.#others ?? {};
        return usage?.progressAgeMs === undefined || atMs === undefined
            ? -Infinity
            : atMs - usage.progressAgeMs;
    }

    /** How long the group has made no progress though it should, and whether its streams are to be moved. */
    stall(nowMs: number): Stall {
        const uses = [...this.uses];
        const running = uses.filter((use) => use.eventAtMs !== undefined);
        if (running.length > 0) {
            const silentMs = nowMs - Math.max(...running.map((use) => use.eventAtMs ?? 0));
            return {
                silentMs,
                isSuspect: silentMs > STALL_MS,
                mustMove: silentMs > MOVE_MS,
                hasRunningStream: true,
            };
        }
        const expectedAtMs = Math.min(...uses.map((use) => use.expectedAtMs));
        // Streams of other daemons show that the requests of this one are only queued.
        const progressAtMs = Math.max(this.#progressAtMs, this.#othersProgressAtMs);
        const silentMs = uses.length === 0 ? 0 : nowMs - Math.max(expectedAtMs, progressAtMs);
        const isSuspect = silentMs > FIRST_EVENT_STALL_MS;
        return { silentMs, isSuspect, mustMove: isSuspect, hasRunningStream: false };
    }
}

/** Mean time that a request of one model holds its place. */
export const meanPlaceMs = (states: readonly GroupState[]): number =>
    states.length === 0
        ? FIRST_PLACE_MS
        : states.reduce((sum, state) => sum + state.placeMs, 0) / states.length;

/** Whether a group makes progress. */
export interface Stall {
    silentMs: number;
    isSuspect: boolean;
    mustMove: boolean;
    hasRunningStream: boolean;
}

/** All groups of the last view. */
export class GroupStates {
    readonly #states = new Map<string, GroupState>();
    /** Groups that take no new requests but still have streams. */
    readonly #withdrawn = new Set<GroupState>();

    /** Takes a new view. Groups that it lacks take no new requests; their streams go on. */
    take(view: FleetView): void {
        const names = new Set(view.groups.map((group) => group.groupName));
        for (const [name, state] of this.#states) {
            if (!names.has(name)) {
                this.#states.delete(name);
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

    /** All groups of the last view, and those before that still have streams. */
    inUse(): GroupState[] {
        for (const state of this.#withdrawn) {
            if (state.uses.size === 0) {
                this.#withdrawn.delete(state);
            }
        }
        return [...this.#states.values(), ...this.#withdrawn];
    }

    usage(nowMs: number): GroupUsage[] {
        return this.all().map((state) => state.usage(nowMs)).filter((usage) => usage !== undefined);
    }

    /** Takes what the other daemons have in flight. A group that they don't name has nothing of theirs. */
    takeOthers(others: readonly GroupUsage[], nowMs: number): void {
        const byEpoch = new Map(others.map((usage) => [usage.epoch, usage]));
        for (const state of this.#states.values()) {
            const { epoch } = state.target;
            const none = { epoch, inFlightCount: 0, pendingPromptTokens: 0 };
            state.takeOthers(byEpoch.get(epoch) ?? none, nowMs);
        }
    }

    ofModel(service: string, model: string): GroupState[] {
        return this.all().filter(({ target }) => target.service === service && target.model === model);
    }
}
