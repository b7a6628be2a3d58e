import {
    type Context,
    ErrorCode,
    GreengageError,
    Lifecycle,
    messageOf,
    monotonicMs,
    sleep,
    Verdict,
} from "@greengage/base";
import type { Organisation } from "@greengage/configuration";
import {
    type CrashId,
    type GroupTarget,
    isRequestCulprit,
    requestCulpritId,
    type Suspect,
    type UnservedRequest,
} from "@greengage/protocol";
import { fingerprintOf } from "@greengage/routing";
import { type CrashLeader, CrashOutcome, CrashReports, REPORT_DELAY_MS } from "./crashreports.ts";
import type { CallerRequest, PromptPart } from "./types.ts";

/** Time for which a part counts as harmless after a request with it has produced an event. */
const SERVED_TTL_MS = 10 * 60_000;
/** Shorter time for a part that the leader suspects. */
const SUSPECT_SERVED_TTL_MS = 2_000;
/** Parts served longest ago are dropped beyond this number. */
const MAX_SERVED_PARTS = 20_000;
/** Requests answered longest ago are dropped beyond this number; popular ones stay. */
const MAX_COMPLETED_REQUESTS = 10_000;
/** Requests that crashed servers longest ago are dropped beyond this number. */
const MAX_CRASHED_REQUESTS = 1_000;
/** Crashes after which this daemon rejects a request by itself while no leader accepts its reports. */
const UNREPORTED_CRASH_LIMIT = 2;
/** Time after the last of these crashes, in which a leader is found or this daemon is cut off for long. */
const UNREPORTED_TTL_MS = 10_000;
/** Longest wait of a response for the report of its crash, so that the caller's next request finds it known. */
const REPORT_WAIT_MS = 100;

/**
 * Prompt parts that requests share. The last part belongs to the request itself or to its session, and so isn't included.
 */
export const sharedPartIds = (parts: readonly PromptPart[]): string[] =>
    parts.slice(0, -1).map(({ id }) => id);

/** Culprits of a request, widest first: its shared prompt parts, then its content. */
export const culpritIdsOf = (request: CallerRequest, organisation: Organisation | undefined): string[] => {
    const { host, method, target, body, generation } = request;
    const fingerprint = fingerprintOf({
        scope: host,
        organisation: organisation?.name,
        method,
        target,
        body,
    });
    return [...sharedPartIds(generation?.parts ?? []), requestCulpritId(fingerprint)];
};

/** Crashes under a request of this daemon that has not been served since. */
interface CrashedRequest {
    crashIds: Set<CrashId>;
    /** Whether no leader has accepted the report of a crash. */
    isUnreported: boolean;
    lastCrashAtMs: number;
}

/** A culprit with a service, as reported to the leader once it has been served. */
interface ServedCulprit {
    service: string;
    partId: string;
    isComplete: boolean;
}

/** This daemon's knowledge of requests and prompt parts that crash servers. Reports crashes and successes to the leader. */
export class CrashSuspects {
    readonly #context: Context;
    readonly #leader: CrashLeader;
    readonly #lifecycle = new Lifecycle();
    readonly #crashReports: CrashReports;
    /** Time at which a request with the part last produced an event, in order of that time. */
    readonly #servedAtMs = new Map<string, number>();
    /** Time at which a request last had a complete response, in order of that time. */
    readonly #completedAtMs = new Map<string, number>();
    /** In order of their last crashes. */
    readonly #crashedRequests = new Map<string, CrashedRequest>();
    #suspects = new Map<string, Suspect>();
    /** Suspects of which a success was reported since they were listed, by `reportKeyOf`. */
    readonly #reportedKeys = new Set<string>();
    #pendingServed: ServedCulprit[] = [];
    #servedTimer: NodeJS.Timeout | undefined;

    constructor(context: Context, leader: CrashLeader) {
        this.#context = context;
        this.#leader = leader;
        this.#crashReports = new CrashReports(context, leader, this.#lifecycle);
    }

    close(): Promise<void> {
        clearTimeout(this.#servedTimer);
        return this.#lifecycle.close();
    }

    /** Reports the latest crashes to a new leader. */
    onNewLeader(): void {
        // What the new leader doesn't list may be unknown to it, and not cleared.
        this.#suspects.clear();
        this.#lifecycle.run(() => this.#crashReports.repeatAll(), (error) => {
            this.#context.decisions.record("part.reportFailed", { reason: messageOf(error) });
        });
    }

    setSuspects(suspects: readonly Suspect[]): void {
        const former = this.#suspects;
        this.#suspects = new Map(
            suspects.map((suspect) => [keyOf(suspect.service, suspect.partId), suspect]),
        );
        this.#reportedKeys.clear();
        for (const [key, { service, partId }] of former) {
            if (!this.#suspects.has(key)) {
                this.#crashReports.forget(service, partId);
            }
        }
        for (const [key, { service, partId }] of this.#suspects) {
            if (former.has(key)) {
                continue;
            }
            const completedAtMs = this.#completedAtMs.get(key);
            if (completedAtMs !== undefined) {
                this.#servedAtMs.set(key, completedAtMs);
                this.#reportServed({ service, partId, isComplete: true });
            }
            else if (this.#wasServedWithin(key, SERVED_TTL_MS, monotonicMs())) {
                this.#reportServed({ service, partId, isComplete: false });
            }
        }
    }

    /**
     * Throws an error that rejects the request if one of its culprits is quarantined, unless the leader grants a trial.
     * Resolves to whether the request is a trial.
     */
    async admit(service: string, culpritIds: readonly string[]): Promise<boolean> {
        const quarantined = this.#quarantined(service, culpritIds);
        const [suspect] = quarantined;
        if (suspect === undefined) {
            return false;
        }
        if (quarantined.length === 1 && suspect.isTrialDue && await this.#requestTrial(suspect)) {
            return true;
        }
        this.#context.metrics.count("gateway.quarantined");
        const culprit = isRequestCulprit(suspect.partId) ? suspect.partId : `prompt part ${suspect.partId}`;
        throw new GreengageError(`${culprit} is quarantined because it crashes servers`, {
            code: ErrorCode.Quarantined,
            verdict: Verdict.NotRun,
            retryAfterMs: suspect.trialDelayMs,
        });
    }

    hasQuarantined(service: string, culpritIds: readonly string[]): boolean {
        return this.#quarantined(service, culpritIds).length > 0;
    }

    /** Records that a request with these culprits has produced its first event. */
    recordServed(service: string, culpritIds: readonly string[], nowMs: number): void {
        for (const partId of culpritIds) {
            const key = keyOf(service, partId);
            // The content of most requests is never seen again.
            if (!isRequestCulprit(partId) || this.#isSuspect(key)) {
                this.#servedAtMs.delete(key);
                this.#servedAtMs.set(key, nowMs);
            }
            if (this.#suspects.has(key)) {
                this.#reportServed({ service, partId, isComplete: false });
            }
        }
        dropFirst(this.#servedAtMs, MAX_SERVED_PARTS);
    }

    /** Records that the response to a request was complete. */
    recordComplete(service: string, culpritIds: readonly string[], nowMs: number): void {
        for (const partId of culpritIds.filter(isRequestCulprit)) {
            const key = keyOf(service, partId);
            this.#completedAtMs.delete(key);
            this.#completedAtMs.set(key, nowMs);
            if (this.#isSuspect(key)) {
                this.#crashedRequests.delete(key);
                this.#crashReports.forget(service, partId);
                this.#servedAtMs.set(key, nowMs);
                this.#reportServed({ service, partId, isComplete: true });
            }
        }
        dropFirst(this.#completedAtMs, MAX_COMPLETED_REQUESTS);
    }

    /**
     * Reports that a group's connection failed before a request was complete. Resolves to whether the request may be sent to
     * another group: not if the engine had begun to answer it without an event and crashed, unless all its parts have been
     * served recently and the request itself has crashed no other server.
     */
    async mayRepeatAfterFailure(
        service: string,
        { groupName, epoch }: GroupTarget,
        request: UnservedRequest,
    ): Promise<boolean> {
        const nowMs = monotonicMs();
        const isCleared = request.partIds.every((partId) => {
            const key = keyOf(service, partId);
            return isRequestCulprit(partId)
                ? !this.#isSuspect(key)
                : this.#wasServedWithin(
                    key,
                    this.#suspects.has(key) ? SUSPECT_SERVED_TTL_MS : SERVED_TTL_MS,
                    nowMs,
                );
        });
        const hasCrashed = this.#recordCrash(
            service,
            epoch,
            request,
            () => this.#crashReports.reportGroup({ service, groupName, epoch, requests: [request] }),
        );
        return request.hasEvents === true || !request.hasHead || isCleared || !await hasCrashed;
    }

    /**
     * Reports that the connection to a server of a plain service failed before a request was answered. Resolves to whether the
     * request may be sent to another server: not if this one has crashed and it was known to have crashed another one.
     */
    async recordServerFailure(service: string, serverId: string, request: UnservedRequest): Promise<boolean> {
        const wasSuspect = request.partIds.some((partId) =>
            isRequestCulprit(partId) && this.#isSuspect(keyOf(service, partId))
        );
        const reported = this.#recordCrash(
            service,
            serverId,
            request,
            () => this.#crashReports.reportServer({ service, serverId, requests: [request] }),
        );
        const hasCrashed = await Promise.race([reported, sleep(REPORT_WAIT_MS).then(() => true)]);
        return request.hasEvents === true || !hasCrashed || !wasSuspect;
    }

    /** Resolves to whether the server has crashed; also true while that is unknown. */
    async #recordCrash(
        service: string,
        crashId: CrashId,
        { partIds }: UnservedRequest,
        report: () => Promise<CrashOutcome>,
    ): Promise<boolean> {
        const outcome = await report();
        if (outcome === CrashOutcome.Alive) {
            return false;
        }
        for (const key of partIds.filter(isRequestCulprit).map((partId) => keyOf(service, partId))) {
            const known = this.#crashedRequests.get(key);
            this.#crashedRequests.delete(key);
            this.#crashedRequests.set(key, {
                crashIds: new Set([...known?.crashIds ?? [], crashId]),
                isUnreported: outcome === CrashOutcome.Unknown,
                lastCrashAtMs: monotonicMs(),
            });
        }
        dropFirst(this.#crashedRequests, MAX_CRASHED_REQUESTS);
        return true;
    }

    #quarantined(service: string, culpritIds: readonly string[]): Suspect[] {
        return culpritIds.flatMap((partId) => {
            const key = keyOf(service, partId);
            const listed = this.#suspects.get(key);
            if (listed?.isQuarantined) {
                return [listed];
            }
            return this.#isQuarantinedHere(key)
                ? [{
                    service,
                    partId,
                    isQuarantined: true,
                    isTrialDue: false,
                    trialDelayMs: UNREPORTED_TTL_MS,
                }]
                : [];
        });
    }

    #isQuarantinedHere(key: string): boolean {
        const crashed = this.#crashedRequests.get(key);
        return crashed !== undefined && crashed.isUnreported
            && crashed.crashIds.size >= UNREPORTED_CRASH_LIMIT
            && monotonicMs() - crashed.lastCrashAtMs < UNREPORTED_TTL_MS;
    }

    #isSuspect(key: string): boolean {
        return this.#suspects.has(key) || this.#crashedRequests.has(key);
    }

    #wasServedWithin(key: string, ttlMs: number, nowMs: number): boolean {
        return nowMs - (this.#servedAtMs.get(key) ?? -Infinity) < ttlMs;
    }

    #reportServed(culprit: ServedCulprit): void {
        const reportKey = reportKeyOf(culprit);
        if (this.#reportedKeys.has(reportKey)) {
            return;
        }
        this.#reportedKeys.add(reportKey);
        this.#pendingServed.push(culprit);
        this.#servedTimer ??= setTimeout(() => void this.#sendServed(), REPORT_DELAY_MS);
    }

    async #sendServed(): Promise<void> {
        this.#servedTimer = undefined;
        const nowMs = monotonicMs();
        const culprits = this.#pendingServed;
        this.#pendingServed = [];
        const served = culprits.map(({ service, partId, isComplete }) => ({
            service,
            partIds: [partId],
            ageMs: Math.round(nowMs - (this.#servedAtMs.get(keyOf(service, partId)) ?? nowMs)),
            ...(isComplete ? { isComplete } : {}),
        }));
        if (await this.#crashReports.send({ crashes: [], served }) === undefined) {
            // The next success is reported again.
            culprits.forEach((culprit) => this.#reportedKeys.delete(reportKeyOf(culprit)));
        }
    }

    async #requestTrial({ service, partId }: Suspect): Promise<boolean> {
        try {
            return await this.#leader.requestTrial(service, partId);
        }
        catch (error) {
            this.#context.decisions.record("part.trialLost", { part: partId, reason: messageOf(error) });
            return false;
        }
    }
}

const keyOf = (service: string, partId: string): string => `${service}\n${partId}`;

const reportKeyOf = ({ service, partId, isComplete }: ServedCulprit): string =>
    `${keyOf(service, partId)}\n${isComplete}`;

/** Drops entries in insertion order beyond a number. */
const dropFirst = (map: Map<string, unknown>, maxSize: number): void => {
    for (const key of map.keys()) {
        if (map.size <= maxSize) {
            return;
        }
        map.delete(key);
    }
};
