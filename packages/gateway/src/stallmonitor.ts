import { type Context, monotonicMs } from "@greengage/base";
import type { GroupSuspicion } from "@greengage/protocol";
import { PathVerdict, type ServerPaths } from "@greengage/routing";
import type { GroupState, GroupStates, StallStatus, SuspicionDetails } from "./groupstates.ts";

/** A lasting suspicion is reported again, as the first report may be lost. */
const REPORT_INTERVAL_MS = 500;
/** Interval between checks of the path to a silent group. */
const PATH_CHECK_INTERVAL_MS = 250;

export interface StallMonitorOptions {
    context: Context;
    groups: GroupStates;
    paths: ServerPaths;
    /** Reports a suspected group to the controller. Resolves to whether the controller clears the suspicion. */
    onSuspicion: (suspicion: GroupSuspicion) => Promise<boolean>;
}

/** Tells silent groups from lost paths: moves their streams, and reports the groups to the controller. */
export class StallMonitor {
    readonly #options: StallMonitorOptions;
    readonly #pathCheckedAtMs = new WeakMap<GroupState, number>();
    readonly #reportedEarlyAtMs = new WeakMap<GroupState, number>();

    constructor(options: StallMonitorOptions) {
        this.#options = options;
    }

    /** Checks the groups that have requests in flight. */
    check(nowMs: number): void {
        for (const group of this.#options.groups.allIncludingWithdrawn()) {
            if (group.quietRequests(nowMs).length > 0 && this.#isDue(this.#pathCheckedAtMs, group, nowMs)) {
                void this.#checkPath(group);
            }
            this.#checkStall(group, nowMs);
            this.#repeatSuspicion(group, nowMs);
        }
    }

    /** Marks a group as suspected and reports it to the controller. */
    suspect(group: GroupState, details: SuspicionDetails): void {
        const { groupName, epoch } = group.target;
        const { reason, hasRunningStream, culpritId } = details;
        const fields = { group: groupName, epoch, reason, hasRunningStream, culprit: culpritId };
        this.#options.context.decisions.record("group.suspected", fields);
        this.#options.context.metrics.count("gateway.suspicions");
        this.#reportSuspicion(group, details, monotonicMs());
    }

    #checkStall(group: GroupState, nowMs: number): void {
        const status = group.checkStall(nowMs);
        const { isOverdue, isSuspect, mustFailOver, silentMs, hasRunningStream } = status;
        const reason = `no progress for ${Math.round(silentMs)} ms`;
        if (isSuspect && !group.isSuspected(nowMs)) {
            this.suspect(group, { reason, hasRunningStream });
        }
        else if (isOverdue && !group.isSuspected(nowMs)) {
            this.#reportEarly(group, status, nowMs);
        }
        const requests = [...group.inFlight];
        if (mustFailOver) {
            requests.forEach((request) => request.failOver(`the group made ${reason}`));
        }
        requests.filter((request) => group.isHanging(request, nowMs)).forEach((request) =>
            request.failOver("the request makes no progress")
        );
    }

    /** Moves the silent streams of a group to another path if their own one is lost. */
    async #checkPath(group: GroupState): Promise<void> {
        const { headId, headAddress } = group.target;
        const verdict = await this.#options.paths.verify({ serverId: headId, address: headAddress });
        if (verdict === PathVerdict.Lost) {
            group.quietRequests(monotonicMs()).forEach((request) =>
                request.losePath?.("the path to the server is lost")
            );
        }
        else if (verdict === PathVerdict.ServerEnded) {
            group.recordHeadEnded();
        }
    }

    /** Has the controller look for members that have ended, without suspecting the group. */
    #reportEarly(group: GroupState, { silentMs, hasRunningStream }: StallStatus, nowMs: number): void {
        if (!this.#isDue(this.#reportedEarlyAtMs, group, nowMs, REPORT_INTERVAL_MS)) {
            return;
        }
        const { groupName, epoch } = group.target;
        const reason = `no progress for ${Math.round(silentMs)} ms`;
        this.#options.context.decisions.record("group.silent", { group: groupName, epoch, reason });
        const details = { reason, hasRunningStream, isEarly: true };
        void this.#options.onSuspicion({ ...details, groupName, epoch });
    }

    #isDue(
        times: WeakMap<GroupState, number>,
        group: GroupState,
        nowMs: number,
        intervalMs = PATH_CHECK_INTERVAL_MS,
    ): boolean {
        const isDue = nowMs - (times.get(group) ?? -Infinity) >= intervalMs;
        if (isDue) {
            times.set(group, nowMs);
        }
        return isDue;
    }

    /** Reports a suspicion again until the group makes progress, the controller clears it or the group is withdrawn. */
    #repeatSuspicion(group: GroupState, nowMs: number): void {
        const { suspicion } = group;
        if (suspicion !== undefined && nowMs - suspicion.reportedAtMs >= REPORT_INTERVAL_MS) {
            this.#reportSuspicion(group, suspicion.details, nowMs);
        }
    }

    #reportSuspicion(group: GroupState, details: SuspicionDetails, nowMs: number): void {
        const { groupName, epoch } = group.target;
        group.suspect(details, nowMs);
        void this.#options.onSuspicion({ ...details, groupName, epoch }).then((isCleared) => {
            if (isCleared) {
                group.clearSuspicion();
            }
        });
    }
}
