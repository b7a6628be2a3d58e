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
import type {
    GroupCrash,
    GroupTarget,
    PartReport,
    PartReportResponse,
    SuspectPart,
    UnservedRequest,
} from "@greengage/protocol";
import type { PromptPart } from "./types.ts";

/** Time for which a part counts as harmless after a request with it has produced an event. */
const SERVED_TTL_MS = 10 * 60_000;
/** Shorter time for a part that the leader suspects. */
const SUSPECT_SERVED_TTL_MS = 2_000;
/** Parts served longest ago are dropped beyond this number. */
const MAX_SERVED_PARTS = 20_000;
/** Reports are collected for this long, as a crash ends several requests at once. */
const REPORT_DELAY_MS = 5;
/** Interval at which a report without an answer is sent again. */
const REPORT_RETRY_MS = 250;
const REPORT_LIFETIME_MS = 5_000;

/** Connection to the leader for observations about prompt parts. */
export interface PartLeader {
    /** Resolves with undefined if no leader has accepted the report. */
    report(report: PartReport): Promise<PartReportResponse | undefined>;
    /** Asks for permission to send one request with a quarantined part. */
    requestTrial(service: string, partId: string): Promise<boolean>;
}

/**
 * Prompt parts that requests share. The last part belongs to the request itself or to its session, and so isn't included.
 */
export const sharedPartIds = (parts: readonly PromptPart[]): string[] =>
    parts.slice(0, -1).map(({ id }) => id);

/** This daemon's knowledge of prompt parts that crash engines. Reports crashes and successes to the leader. */
export class PromptParts {
    readonly #context: Context;
    readonly #leader: PartLeader;
    readonly #lifecycle = new Lifecycle();
    /** Time at which a request with the part last produced an event, in order of that time. */
    readonly #servedAtMs = new Map<string, number>();
    #suspects = new Map<string, SuspectPart>();
    /** Suspects of which a success was reported since they were listed. */
    readonly #reportedKeys = new Set<string>();
    #pendingServed: SuspectPart[] = [];
    #pendingCrashes = new Map<number, { crash: GroupCrash; result: Promise<boolean>; }>();
    #servedTimer: NodeJS.Timeout | undefined;

    constructor(context: Context, leader: PartLeader) {
        this.#context = context;
        this.#leader = leader;
    }

    close(): Promise<void> {
        clearTimeout(this.#servedTimer);
        return this.#lifecycle.close();
    }

    setSuspects(suspects: readonly SuspectPart[]): void {
        const former = this.#suspects;
        this.#suspects = new Map(
            suspects.map((suspect) => [keyOf(suspect.service, suspect.partId), suspect]),
        );
        this.#reportedKeys.clear();
        for (const [key, suspect] of this.#suspects) {
            if (!former.has(key) && this.#wasServedWithin(key, SERVED_TTL_MS, monotonicMs())) {
                this.#reportServed(key, suspect);
            }
        }
    }

    /**
     * Throws an error that rejects the request if one of its parts is quarantined, unless the leader grants a trial.
     * Resolves to whether the request is a trial.
     */
    async admit(service: string, partIds: readonly string[]): Promise<boolean> {
        const quarantined = this.#quarantined(service, partIds);
        const [suspect] = quarantined;
        if (suspect === undefined) {
            return false;
        }
        if (quarantined.length === 1 && suspect.isTrialDue && await this.#requestTrial(suspect)) {
            return true;
        }
        this.#context.metrics.count("gateway.quarantined");
        throw new GreengageError(`prompt part ${suspect.partId} is quarantined because it crashes engines`, {
            code: ErrorCode.Quarantined,
            verdict: Verdict.NotRun,
            retryAfterMs: suspect.trialDelayMs,
        });
    }

    hasQuarantined(service: string, partIds: readonly string[]): boolean {
        return this.#quarantined(service, partIds).length > 0;
    }

    /** Records that a request with these parts has produced its first event. */
    recordServed(service: string, partIds: readonly string[], nowMs: number): void {
        for (const partId of partIds) {
            const key = keyOf(service, partId);
            this.#servedAtMs.delete(key);
            this.#servedAtMs.set(key, nowMs);
            const suspect = this.#suspects.get(key);
            if (suspect !== undefined && !this.#reportedKeys.has(key)) {
                this.#reportServed(key, suspect);
            }
        }
        for (const key of this.#servedAtMs.keys()) {
            if (this.#servedAtMs.size <= MAX_SERVED_PARTS) {
                break;
            }
            this.#servedAtMs.delete(key);
        }
    }

    /**
     * Reports that a group's connection failed before a request with these parts had produced an event. Resolves to
     * whether the request may be sent to another group: not if the engine had begun to answer it and crashed, unless
     * all its parts have been served recently.
     */
    async mayRepeatAfterFailure(
        service: string,
        { groupName, epoch }: GroupTarget,
        request: UnservedRequest,
    ): Promise<boolean> {
        if (request.partIds.length === 0) {
            return true;
        }
        const nowMs = monotonicMs();
        const isCleared = request.partIds.every((partId) => {
            const key = keyOf(service, partId);
            return this.#wasServedWithin(
                key,
                this.#suspects.has(key) ? SUSPECT_SERVED_TTL_MS : SERVED_TTL_MS,
                nowMs,
            );
        });
        const hasCrashed = this.#reportCrash({ service, groupName, epoch, requests: [request] });
        return !request.hasHead || isCleared || !await hasCrashed;
    }

    #quarantined(service: string, partIds: readonly string[]): SuspectPart[] {
        return partIds.map((partId) => this.#suspects.get(keyOf(service, partId)))
            .filter((suspect) => suspect !== undefined).filter(({ isQuarantined }) => isQuarantined);
    }

    #wasServedWithin(key: string, ttlMs: number, nowMs: number): boolean {
        return nowMs - (this.#servedAtMs.get(key) ?? -Infinity) < ttlMs;
    }

    /** Resolves to whether the group has crashed; also true while that is unknown. */
    #reportCrash(crash: GroupCrash): Promise<boolean> {
        const pending = this.#pendingCrashes.get(crash.epoch);
        if (pending !== undefined) {
            pending.crash.requests.push(...crash.requests);
            return pending.result;
        }
        const result = this.#sendCrash(crash);
        this.#pendingCrashes.set(crash.epoch, { crash, result });
        return result;
    }

    async #sendCrash(crash: GroupCrash): Promise<boolean> {
        await sleep(REPORT_DELAY_MS);
        this.#pendingCrashes.delete(crash.epoch);
        const response = await this.#send({ crashes: [crash], served: [] });
        if (response === undefined) {
            this.#lifecycle.run((signal) => this.#resend(crash, signal), (error) => {
                this.#context.decisions.record("part.reportFailed", { reason: messageOf(error) });
            });
            return true;
        }
        return response.crashedEpochs.includes(crash.epoch);
    }

    async #resend(crash: GroupCrash, signal: AbortSignal): Promise<void> {
        const untilMs = monotonicMs() + REPORT_LIFETIME_MS;
        while (monotonicMs() < untilMs && !signal.aborted) {
            await sleep(REPORT_RETRY_MS, signal);
            if (await this.#send({ crashes: [crash], served: [] }) !== undefined) {
                return;
            }
        }
        const { groupName, epoch, requests } = crash;
        const parts = requests.flatMap(({ partIds }) => partIds);
        this.#context.decisions.record("part.reportLost", { group: groupName, epoch, parts });
    }

    #reportServed(key: string, suspect: SuspectPart): void {
        this.#reportedKeys.add(key);
        this.#pendingServed.push(suspect);
        this.#servedTimer ??= setTimeout(() => void this.#sendServed(), REPORT_DELAY_MS);
    }

    async #sendServed(): Promise<void> {
        this.#servedTimer = undefined;
        const nowMs = monotonicMs();
        const suspects = this.#pendingServed;
        this.#pendingServed = [];
        const served = suspects.map(({ service, partId }) => ({
            service,
            partIds: [partId],
            ageMs: Math.round(nowMs - (this.#servedAtMs.get(keyOf(service, partId)) ?? nowMs)),
        }));
        if (await this.#send({ crashes: [], served }) === undefined) {
            // The next success with the part is reported again.
            suspects.forEach(({ service, partId }) => this.#reportedKeys.delete(keyOf(service, partId)));
        }
    }

    async #send(report: PartReport): Promise<PartReportResponse | undefined> {
        try {
            return await this.#leader.report(report);
        }
        catch (error) {
            this.#context.decisions.record("part.reportFailed", { reason: messageOf(error) });
            return undefined;
        }
    }

    async #requestTrial({ service, partId }: SuspectPart): Promise<boolean> {
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
