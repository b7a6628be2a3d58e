import { monotonicMs } from "@greengage/base";
import type { GroupSuspicion } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import type { EngineProbeResult } from "./orders.ts";
import type { GroupTermination } from "./termination.ts";
import { MIN_PROBE_INTERVAL_MS, SLOW_PACE_THRESHOLD, SUSPICIONS_BEFORE_RECREATION } from "./timing.ts";

/** What the probes of a group's members say, by member. */
export interface MemberProbe {
    serverId: string;
    probe: EngineProbeResult;
}

/** What to do about a suspected group. */
export const SuspicionVerdict = {
    /** Nothing can be said: most members are silent, so it is this daemon that is cut off. */
    Unknown: "unknown",
    /** A member is lost and the head answers. */
    MemberLost: "memberLost",
    HeadEnded: "headEnded",
    /** The head is silent and the others answer. */
    HeadSilent: "headSilent",
    /** A member is slow. */
    Slow: "slow",
    /** All members answer at their usual pace. */
    Healthy: "healthy",
} as const;

export type SuspicionVerdict = typeof SuspicionVerdict[keyof typeof SuspicionVerdict];

/**
 * Judges a group that stands still by the probes of its members, head first. Answers a member that goes dark: its
 * reports are missed only after seconds, while the streams of its group stop at once.
 */
export const evaluateProbes = (results: readonly MemberProbe[]): SuspicionVerdict => {
    const [head, ...others] = results;
    const silentCount = results.filter(({ probe }) => probe.kind === "silent").length;
    if (head === undefined || silentCount * 2 > results.length) {
        return SuspicionVerdict.Unknown;
    }
    if (head.probe.kind === "ended") {
        return SuspicionVerdict.HeadEnded;
    }
    if (head.probe.kind === "silent") {
        return SuspicionVerdict.HeadSilent;
    }
    if (others.some(({ probe }) => probe.kind !== "answered")) {
        return SuspicionVerdict.MemberLost;
    }
    const isSlow = results.some(({ probe }) =>
        probe.kind === "answered" && probe.pace >= SLOW_PACE_THRESHOLD
    );
    return isSlow ? SuspicionVerdict.Slow : SuspicionVerdict.Healthy;
};

/** Phases in which a group has streams. */
const streamingPhases: readonly GroupPhase[] = [GroupPhase.Open, GroupPhase.Closing];

const lossVerdicts: readonly SuspicionVerdict[] = [
    SuspicionVerdict.MemberLost,
    SuspicionVerdict.HeadEnded,
    SuspicionVerdict.HeadSilent,
];

interface CheckResult {
    group: ManagedGroup;
    results: readonly MemberProbe[];
    nowMs: number;
    suspicion: GroupSuspicion;
}

/** Checks the groups that entry daemons have seen stand still. */
export class SuspicionHandler {
    readonly #state: FleetState;
    readonly #termination: GroupTermination;
    readonly #activeChecks = new WeakMap<ManagedGroup, Promise<boolean>>();

    constructor(state: FleetState, termination: GroupTermination) {
        this.#state = state;
        this.#termination = termination;
    }

    /** Checks a group, unless that is under way. Returns whether it is in order. */
    async handle(suspicion: GroupSuspicion): Promise<boolean> {
        const group = this.#state.groups.get(suspicion.groupName);
        const nowMs = monotonicMs();
        if (
            group === undefined || !streamingPhases.includes(group.phase) || group.epoch !== suspicion.epoch
        ) {
            return false;
        }
        if (nowMs - group.lastProbedAtMs >= MIN_PROBE_INTERVAL_MS) {
            group.lastProbedAtMs = nowMs;
            this.#activeChecks.set(group, this.#probeAndHandle(group, suspicion));
        }
        return await this.#activeChecks.get(group) ?? false;
    }

    async #probeAndHandle(group: ManagedGroup, suspicion: GroupSuspicion): Promise<boolean> {
        const { registry, orders, context } = this.#state;
        const results = await Promise.all(group.memberIds.map(async (serverId): Promise<MemberProbe> => {
            const server = registry.get(serverId);
            return {
                serverId,
                probe: server === undefined ? { kind: "silent" } : await orders.probe(server.report),
            };
        }));
        if (!this.#state.mayAct() || !streamingPhases.includes(group.phase)) {
            return false;
        }
        const verdict = evaluateProbes(results);
        const failed = results.filter(({ probe }) => probe.kind !== "answered").map(({ serverId }) =>
            serverId
        );
        context.decisions.record("group.suspected", {
            group: group.groupName,
            epoch: group.epoch,
            reason: suspicion.reason,
            verdict,
            failed,
        });
        const nowMs = monotonicMs();
        if (verdict !== SuspicionVerdict.Unknown) {
            failed.forEach((serverId) => this.#state.lastFaultAtMs.set(serverId, nowMs));
        }
        // A group that closes ends anyway; only a loss makes that urgent.
        if (group.phase === GroupPhase.Open || lossVerdicts.includes(verdict)) {
            this.#verdictHandlers[verdict]({ group, results, nowMs, suspicion });
        }
        return verdict === SuspicionVerdict.Healthy;
    }

    readonly #verdictHandlers: Record<SuspicionVerdict, (finding: CheckResult) => void> = {
        [SuspicionVerdict.Unknown]: () => undefined,
        [SuspicionVerdict.MemberLost]: ({ group, nowMs }) =>
            this.#termination.beginLeaving(group, "a member is lost", nowMs),
        [SuspicionVerdict.HeadEnded]: ({ group, nowMs }) => this.#markHeadEnded(group, nowMs),
        [SuspicionVerdict.HeadSilent]: ({ group, nowMs }) =>
            this.#termination.beginDissolving(group, "the head is silent", nowMs),
        [SuspicionVerdict.Slow]: (finding) => this.#replaceSlowMembers(finding),
        [SuspicionVerdict.Healthy]: (finding) => this.#countUnexplainedSuspicion(finding),
    };

    #markHeadEnded(group: ManagedGroup, nowMs: number): void {
        const headId = headIdOf(group);
        this.#state.registry.markEnded(headId, group.bornMs.get(headId), nowMs);
        this.#state.wakeSignal.notify();
    }

    #replaceSlowMembers({ group, results, nowMs }: CheckResult): void {
        for (const { serverId, probe } of results) {
            if (probe.kind === "answered" && probe.pace >= SLOW_PACE_THRESHOLD) {
                this.#state.lastFaultAtMs.set(serverId, nowMs + SLOW_VM_COOLDOWN_MS);
            }
        }
        this.#termination.beginClosing(group, "a member is slow", nowMs);
    }

    #countUnexplainedSuspicion({ group, nowMs, suspicion }: CheckResult): void {
        if (!suspicion.hasRunningStream) {
            return;
        }
        group.suspicionCount += 1;
        if (group.suspicionCount >= SUSPICIONS_BEFORE_RECREATION) {
            this.#termination.beginLeaving(group, "it stands still though every member answers", nowMs);
        }
    }
}

/** A slow VM stays out of groups for this long; slowness lasts seconds. */
const SLOW_VM_COOLDOWN_MS = 6_000;
