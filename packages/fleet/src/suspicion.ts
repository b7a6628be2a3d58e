import { monotonicMs } from "@greengage/base";
import type { GroupSuspicion } from "@greengage/protocol";
import type { FleetState } from "./controller.ts";
import { GroupPhase, headIdOf, type ManagedGroup } from "./group.ts";
import type { EngineProbeResult } from "./orders.ts";
import type { GroupTermination } from "./termination.ts";
import { MIN_PROBE_INTERVAL_MS, SLOW_PACE_THRESHOLD, SUSPICIONS_BEFORE_RECREATION } from "./timing.ts";

/** Probe result of one member of a group. */
export interface MemberProbe {
    serverId: string;
    probe: EngineProbeResult;
}

/** Conclusion from the probes of a suspected group. */
export const SuspicionVerdict = {
    /** Inconclusive: most members are unresponsive, so this daemon itself is probably partitioned. */
    Unknown: "unknown",
    /** A member is lost and the head responds. */
    MemberLost: "memberLost",
    HeadEnded: "headEnded",
    /** The head is unresponsive and at least half of the members respond or have ended. */
    HeadSilent: "headSilent",
    /** A member is slow. */
    Slow: "slow",
    /** All members respond and none is slow. */
    Healthy: "healthy",
} as const;

export type SuspicionVerdict = typeof SuspicionVerdict[keyof typeof SuspicionVerdict];

/**
 * Diagnoses a stalled group from the probes of its members, given in rank order. Probing detects an unresponsive member
 * early: its missing reports are noticed only after seconds, whereas its group's streams stall immediately.
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

/**
 * Diagnoses a group that may only be silent for a moment: a probe without an answer is then no evidence, in contrast to one that
 * shows that the process has ended or is unreachable.
 */
export const evaluateEarlyProbes = (results: readonly MemberProbe[]): SuspicionVerdict => {
    const verdict = evaluateProbes(results);
    const failed = verdict === SuspicionVerdict.HeadSilent ? results.slice(0, 1) : results;
    const hasEnded = failed.some(({ probe }) =>
        probe.kind === "ended" || (probe.kind === "silent" && probe.isUnreachable === true)
    );
    return lossVerdicts.includes(verdict) && !hasEnded ? SuspicionVerdict.Unknown : verdict;
};

/** Phases in which a group may have streams. */
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

/** Probes the groups that entry daemons suspect and handles the faults found. */
export class SuspicionHandler {
    readonly #state: FleetState;
    readonly #termination: GroupTermination;
    readonly #activeChecks = new WeakMap<ManagedGroup, Promise<boolean>>();

    constructor(state: FleetState, termination: GroupTermination) {
        this.#state = state;
        this.#termination = termination;
    }

    /** Probes a group, or awaits its latest check if that began recently. Returns whether the group is healthy. */
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
        const { context } = this.#state;
        const isEarly = suspicion.isEarly === true;
        const results = await Promise.all(
            group.memberIds.map(async (serverId): Promise<MemberProbe> => ({
                serverId,
                probe: await this.#probe(serverId, isEarly),
            })),
        );
        if (!this.#state.mayAct() || !streamingPhases.includes(group.phase)) {
            return false;
        }
        const verdict = isEarly ? evaluateEarlyProbes(results) : evaluateProbes(results);
        const failed = results.filter(({ probe }) => probe.kind !== "answered").map(({ serverId }) =>
            serverId
        );
        const isSilent = isEarly && !lossVerdicts.includes(verdict);
        context.decisions.record(isSilent ? "group.silent" : "group.suspected", {
            group: group.groupName,
            epoch: group.epoch,
            reason: suspicion.reason,
            isEarly,
            verdict,
            failed,
        });
        const nowMs = monotonicMs();
        if (verdict !== SuspicionVerdict.Unknown) {
            failed.forEach((serverId) => this.#state.lastFaultAtMs.set(serverId, nowMs));
        }
        // A closing group ends anyway, so only a loss requires action.
        if ((group.phase === GroupPhase.Open && !isEarly) || lossVerdicts.includes(verdict)) {
            this.#verdictHandlers[verdict]({ group, results, nowMs, suspicion });
        }
        return verdict === SuspicionVerdict.Healthy;
    }

    /** Probes a member, and with `checksConnection` also whether it accepts connections. */
    async #probe(serverId: string, checksConnection: boolean): Promise<EngineProbeResult> {
        const { registry, orders } = this.#state;
        const server = registry.get(serverId);
        if (server === undefined) {
            return { kind: "silent" };
        }
        const [probe, isReachable] = await Promise.all([
            orders.probe(server.report),
            checksConnection ? orders.acceptsConnections(server.report) : true,
        ]);
        return probe.kind === "silent" ? { ...probe, isUnreachable: !isReachable } : probe;
    }

    readonly #verdictHandlers: Record<SuspicionVerdict, (result: CheckResult) => void> = {
        [SuspicionVerdict.Unknown]: () => undefined,
        [SuspicionVerdict.MemberLost]: ({ group, nowMs }) =>
            this.#termination.beginLeaving(group, "a member is lost", nowMs),
        [SuspicionVerdict.HeadEnded]: ({ group, nowMs }) => this.#markHeadEnded(group, nowMs),
        [SuspicionVerdict.HeadSilent]: ({ group, nowMs }) =>
            this.#termination.beginDissolving(group, "the head is unresponsive", nowMs),
        [SuspicionVerdict.Slow]: (result) => this.#replaceSlowMembers(result),
        [SuspicionVerdict.Healthy]: (result) => this.#countUnexplainedSuspicion(result),
    };

    #markHeadEnded(group: ManagedGroup, nowMs: number): void {
        const headId = headIdOf(group);
        this.#state.registry.recordEnded(headId, group.bornMs.get(headId) ?? NaN, nowMs);
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
            this.#termination.beginLeaving(
                group,
                "it makes no progress although every member responds",
                nowMs,
            );
        }
    }
}

/** Additional cooldown before a slow VM joins a group again; slow phases last seconds. */
const SLOW_VM_COOLDOWN_MS = 6_000;
