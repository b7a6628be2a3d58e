import { type Context, monotonicMs } from "@greengage/base";
import type { CrashId, ServedParts, Suspect, SuspectRecord, UnservedRequest } from "@greengage/protocol";
import {
    blameableIds,
    byEvidence,
    epochsByStage,
    explainsCrashes,
    isAmbiguous,
    isBlamed,
    isCoincidence,
    isNarrower,
    isPartBlamed,
    isQuarantined,
    isRequest,
    knownCrashId,
    type RequestStage,
    stageOf,
    type SuspectState,
} from "./blame.ts";

/** Time after which a part that has crashed no further group is no longer a suspect. */
const SUSPECT_TTL_MS = 10 * 60_000;
const QUARANTINE_TTL_MS = 24 * 3_600_000;
/** Time from the quarantine to the first trial. It doubles with each failed trial. */
export const FIRST_TRIAL_DELAY_MS = 60_000;
/** Delay for a part that can't be told from another one, so that it is cleared soon if the other one is the cause. */
export const AMBIGUOUS_TRIAL_DELAY_MS = 3_000;
const MAX_TRIAL_DELAY_MS = 3_600_000;
/** Time after which a trial without an outcome is repeated. */
export const TRIAL_TIMEOUT_MS = 3_000;
/** Limits what one request can add to the suspects. */
const MAX_BLAMED_PARTS = 32;
/** The suspects with the oldest crashes are dropped beyond this number. */
const MAX_SUSPECT_PARTS = 1_000;

/**
 * Decides which requests crash servers, and which prompt parts crash engines. A crash blames the requests that had not been
 * served, and the parts of those that had produced no event, since an engine crashes when it begins to answer. Any event of
 * a request clears its parts, so parts that sound requests share do not accumulate crashes; so does a complete response
 * for the request itself. A request is blamed before the parts that it shares with others.
 */
export class CulpritQuarantine {
    readonly #context: Context;
    readonly #suspects = new Map<string, SuspectState>();
    #version = 0;

    constructor(context: Context) {
        this.#context = context;
    }

    /** Incremented with each change. */
    get version(): number {
        return this.#version;
    }

    /** Records the crash of a group or server with the requests that it hadn't served. */
    recordCrash(
        service: string,
        epoch: CrashId,
        requests: readonly UnservedRequest[],
        nowMs: number,
    ): void {
        const quarantined = new Set(
            [...this.#suspects].filter(([, suspect]) => isQuarantined(suspect)).map(([key]) => key),
        );
        for (const request of requests) {
            const partIds = blameableIds(request);
            const causes = partIds.filter((partId) => quarantined.has(keyOf(service, partId)));
            // The narrowest culprits are blamed even if a caller names very many parts.
            for (const partId of (causes.length > 0 ? causes : partIds).slice(-MAX_BLAMED_PARTS)) {
                const position = request.partIds.indexOf(partId);
                const suspect = this.#suspectOf({ service, partId, position }, nowMs);
                this.#blame(suspect, epoch, stageOf(request), nowMs);
            }
        }
        this.update(nowMs);
    }

    /** Clears culprits of requests that have been served since the first crash. */
    recordServed({ service, partIds, ageMs, isComplete = false }: ServedParts, nowMs: number): void {
        for (const partId of partIds) {
            const key = keyOf(service, partId);
            const suspect = this.#suspects.get(key);
            if (suspect === undefined) {
                continue;
            }
            if (nowMs - ageMs >= suspect.firstCrashAtMs) {
                if (isComplete || suspect.streamingEpochs.size === 0) {
                    this.#clear(key, "a request with it was served");
                }
                else {
                    this.#forgetEarlyCrashes(suspect);
                }
            }
            else if (!suspect.wasServedBefore) {
                this.#markServedBefore(suspect, nowMs);
            }
        }
    }

    /** Grants one request with a quarantined part if a trial is due. */
    grantTrial(service: string, partId: string, nowMs: number): boolean {
        const suspect = this.#suspects.get(keyOf(service, partId));
        if (suspect?.nextTrialAtMs === undefined || nowMs < suspect.nextTrialAtMs) {
            return false;
        }
        suspect.nextTrialAtMs = nowMs + TRIAL_TIMEOUT_MS;
        suspect.isOnTrial = true;
        this.#version += 1;
        this.#record("part.trial", suspect, {});
        return true;
    }

    /** Lifts the quarantine of a part on an operator's order. Returns whether the part was known. */
    lift(service: string, partId: string): boolean {
        return this.#clear(keyOf(service, partId), "lifted by an operator");
    }

    /** Quarantines parts whose exoneration time has passed, and drops outdated ones. */
    update(nowMs: number): void {
        for (const [key, suspect] of this.#suspects) {
            const ttlMs = isQuarantined(suspect) ? QUARANTINE_TTL_MS : SUSPECT_TTL_MS;
            if (nowMs - suspect.lastCrashAtMs > ttlMs) {
                this.#clear(key, "no crash since");
            }
        }
        this.#dropExplained();
        this.#quarantineBlamed(nowMs);
        this.#dropExplained();
        const { metrics } = this.#context;
        const quarantinedCount = [...this.#suspects.values()].filter(isQuarantined).length;
        metrics.gauge("fleet.quarantined_parts", quarantinedCount);
        metrics.gauge("fleet.suspect_parts", this.#suspects.size);
    }

    #quarantineBlamed(nowMs: number): void {
        const suspects = (): SuspectState[] => [...this.#suspects.values()];
        const initial = suspects();
        const blamed = initial.filter((suspect) =>
            !isQuarantined(suspect) && isBlamed(suspect, initial, nowMs)
        )
            .sort(byEvidence);
        for (const suspect of blamed) {
            const others = suspects();
            // More requests share the wider culprit, so the narrower one is taken for the cause of common crashes. A part that
            // has crashed servers with one request only waits until that request is quarantined or cleared.
            const isExplained = others.some((other) =>
                (isQuarantined(other) || isRequest(other)) && isNarrower(other, suspect)
                && explainsCrashes(other, suspect)
            );
            // The quarantine of a former one in this loop may have explained its crashes.
            if (isExplained || !others.includes(suspect) || !isBlamed(suspect, others, nowMs)) {
                continue;
            }
            suspect.isAmbiguous = isAmbiguous(suspect, others);
            suspect.nextTrialAtMs = nowMs + trialDelayMs(suspect);
            this.#version += 1;
            this.#record("part.quarantined", suspect, { isAmbiguous: suspect.isAmbiguous });
            if (!suspect.isAmbiguous) {
                this.#dropExplained();
            }
        }
    }

    /** Forgets crashes under a culprit in quarantine, which blame no request beside it. */
    #dropExplained(): void {
        const explained = new Set(
            [...this.#suspects.values()].filter(isQuarantined).flatMap((
                { crashedEpochs },
            ) => [...crashedEpochs]),
        );
        for (const [key, suspect] of this.#suspects) {
            const isBeside = isRequest(suspect) && !isQuarantined(suspect);
            const epochs = isBeside ? [...suspect.crashedEpochs].filter((epoch) => explained.has(epoch)) : [];
            if (epochs.length === suspect.crashedEpochs.size) {
                this.#clear(key, "its crashes have another cause");
                continue;
            }
            for (const epoch of epochs) {
                suspect.crashedEpochs.delete(epoch);
                suspect.answeringEpochs.delete(epoch);
                suspect.streamingEpochs.delete(epoch);
                this.#version += 1;
            }
        }
    }

    /** Parts that entry daemons must reject or watch. */
    view(nowMs: number): Suspect[] {
        return [...this.#suspects.values()].map((suspect) => ({
            service: suspect.service,
            partId: suspect.partId,
            isQuarantined: isQuarantined(suspect),
            isTrialDue: suspect.nextTrialAtMs !== undefined && nowMs >= suspect.nextTrialAtMs,
            trialDelayMs: trialDelayMs(suspect),
        }));
    }

    records(nowMs: number): SuspectRecord[] {
        return [...this.#suspects.values()].map((suspect) => ({
            service: suspect.service,
            partId: suspect.partId,
            position: suspect.position,
            crashedEpochs: [...suspect.crashedEpochs],
            answeringEpochs: [...suspect.answeringEpochs],
            ...(suspect.streamingEpochs.size === 0
                ? {}
                : { streamingEpochs: [...suspect.streamingEpochs] }),
            firstCrashAgeMs: Math.round(nowMs - suspect.firstCrashAtMs),
            lastCrashAgeMs: Math.round(nowMs - suspect.lastCrashAtMs),
            wasServedBefore: suspect.wasServedBefore,
            failedTrialCount: suspect.failedTrialCount,
            isAmbiguous: suspect.isAmbiguous,
            ...(suspect.nextTrialAtMs === undefined
                ? {}
                : { nextTrialMs: Math.max(0, Math.round(suspect.nextTrialAtMs - nowMs)) }),
        }));
    }

    /** Replaces the state with the records of the previous leader. */
    restore(records: readonly SuspectRecord[], nowMs: number): void {
        this.#suspects.clear();
        for (const record of records) {
            this.#suspects.set(keyOf(record.service, record.partId), {
                service: record.service,
                partId: record.partId,
                position: record.position,
                crashedEpochs: new Set(record.crashedEpochs),
                answeringEpochs: new Set(record.answeringEpochs),
                streamingEpochs: new Set(record.streamingEpochs),
                firstCrashAtMs: nowMs - record.firstCrashAgeMs,
                lastCrashAtMs: nowMs - record.lastCrashAgeMs,
                wasServedBefore: record.wasServedBefore,
                nextTrialAtMs: record.nextTrialMs === undefined ? undefined : nowMs + record.nextTrialMs,
                isOnTrial: false,
                failedTrialCount: record.failedTrialCount,
                isAmbiguous: record.isAmbiguous,
            });
        }
        this.#version += 1;
    }

    #blame(suspect: SuspectState, crashId: CrashId, stage: RequestStage, nowMs: number): void {
        const epoch = knownCrashId(suspect, crashId);
        const epochs = epochsByStage[stage](suspect);
        if (epochs.has(epoch)) {
            return;
        }
        if (suspect.isOnTrial) {
            suspect.isOnTrial = false;
            suspect.failedTrialCount += 1;
            suspect.nextTrialAtMs = nowMs + trialDelayMs(suspect);
        }
        epochs.add(epoch);
        suspect.crashedEpochs.add(epoch);
        suspect.lastCrashAtMs = nowMs;
        this.#version += 1;
        this.#record("part.suspected", suspect, { epoch, stage });
    }

    /** An event clears a request of the crashes before its first event, but not of those in the middle of its events. */
    #forgetEarlyCrashes(suspect: SuspectState): void {
        if (suspect.crashedEpochs.size > suspect.streamingEpochs.size) {
            suspect.crashedEpochs = new Set(suspect.streamingEpochs);
            suspect.answeringEpochs.clear();
            this.#version += 1;
        }
    }

    /** A culprit that was served before needs more evidence, so this can lift its quarantine. */
    #markServedBefore(suspect: SuspectState, nowMs: number): void {
        suspect.wasServedBefore = true;
        this.#version += 1;
        const isReleased = isCoincidence(suspect) || (!isRequest(suspect) && !isPartBlamed(suspect, nowMs));
        if (isQuarantined(suspect) && isReleased) {
            suspect.nextTrialAtMs = undefined;
            this.#record("part.released", suspect, { reason: "it was served before the first crash" });
        }
    }

    #suspectOf(
        { service, partId, position }: Pick<SuspectState, "service" | "partId" | "position">,
        nowMs: number,
    ): SuspectState {
        const key = keyOf(service, partId);
        const known = this.#suspects.get(key);
        if (known !== undefined) {
            return known;
        }
        this.#dropOldest();
        const suspect: SuspectState = {
            service,
            partId,
            position,
            crashedEpochs: new Set(),
            answeringEpochs: new Set(),
            streamingEpochs: new Set(),
            firstCrashAtMs: nowMs,
            lastCrashAtMs: nowMs,
            wasServedBefore: false,
            nextTrialAtMs: undefined,
            isOnTrial: false,
            failedTrialCount: 0,
            isAmbiguous: false,
        };
        this.#suspects.set(key, suspect);
        return suspect;
    }

    /** Makes room for one more suspect. Quarantined parts are kept as long as there are others. */
    #dropOldest(): void {
        if (this.#suspects.size < MAX_SUSPECT_PARTS) {
            return;
        }
        const [oldest] = [...this.#suspects].sort(([, a], [, b]) =>
            Number(isQuarantined(a)) - Number(isQuarantined(b)) || a.lastCrashAtMs - b.lastCrashAtMs
        );
        if (oldest !== undefined) {
            this.#clear(oldest[0], "too many suspect parts");
        }
    }

    #clear(key: string, reason: string): boolean {
        const suspect = this.#suspects.get(key);
        if (suspect === undefined) {
            return false;
        }
        this.#suspects.delete(key);
        this.#version += 1;
        this.#record("part.cleared", suspect, { reason });
        return true;
    }

    #record(event: string, suspect: SuspectState, fields: Record<string, string | number | boolean>): void {
        this.#context.decisions.record(event, {
            service: suspect.service,
            part: suspect.partId,
            position: suspect.position,
            crashes: suspect.crashedEpochs.size,
            answering: suspect.answeringEpochs.size,
            wasServedBefore: suspect.wasServedBefore,
            ageMs: Math.round(monotonicMs() - suspect.firstCrashAtMs),
            isQuarantined: isQuarantined(suspect),
            failedTrials: suspect.failedTrialCount,
            ...fields,
        });
    }
}

const keyOf = (service: string, partId: string): string => `${service}\n${partId}`;

const trialDelayMs = ({ failedTrialCount, isAmbiguous }: SuspectState): number =>
    isAmbiguous && failedTrialCount === 0
        ? AMBIGUOUS_TRIAL_DELAY_MS
        : Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * 2 ** failedTrialCount);
