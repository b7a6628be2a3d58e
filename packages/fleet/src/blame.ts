import { type CrashId, isRequestCulprit, type UnservedRequest } from "@greengage/protocol";

interface QuarantineRule {
    /** Crashes that a culprit needs. */
    crashes: number;
    /** Minimum time since the first crash, in which any request with the culprit can clear it. */
    exonerationMs: number;
}

/** For a part that no request was served with before, and crashes in which the engine had begun the response. */
export const ANSWERING_RULE: QuarantineRule = { crashes: 2, exonerationMs: 400 };
/** For all other parts and crashes: a queued request may have been beside the cause. */
export const WAITING_RULE: QuarantineRule = { crashes: 5, exonerationMs: 2_500 };
/** For the content of a request that no other request shares all crashes with. */
export const ONLY_REQUEST_RULE: QuarantineRule = { crashes: 2, exonerationMs: 0 };
/** For the content of a request with crashes that other requests share, or in the middle of its events. */
export const SHARED_REQUEST_RULE: QuarantineRule = { crashes: 3, exonerationMs: 400 };
/**
 * Crashes that all happen within this time have another common cause, such as the loss of a zone, if their culprit was served
 * before.
 */
export const COINCIDENCE_MS = 100;
/** Crashes that more requests share have another cause, such as a faulty release of the servers. */
export const MAX_RIVALS = 4;
/** Time after a crash in which the reports of all daemons about it arrive. */
export const REPORT_SETTLE_MS = 50;

/** Possible cause of crashes, with the crashes that blame it. Times are monotonic. */
export interface SuspectState {
    service: string;
    partId: string;
    position: number;
    crashedEpochs: Set<CrashId>;
    answeringEpochs: Set<CrashId>;
    streamingEpochs: Set<CrashId>;
    firstCrashAtMs: number;
    lastCrashAtMs: number;
    wasServedBefore: boolean;
    /** Time of the next trial; undefined if the part is not quarantined. */
    nextTrialAtMs: number | undefined;
    /** Whether a trial was granted and neither a crash nor a success has been reported since. */
    isOnTrial: boolean;
    failedTrialCount: number;
    isAmbiguous: boolean;
}

export const isQuarantined = ({ nextTrialAtMs }: SuspectState): boolean => nextTrialAtMs !== undefined;

export const isRequest = ({ partId }: SuspectState): boolean => isRequestCulprit(partId);

/** Whether fewer requests share `culprit` than `other`. Two requests share nothing. */
export const isNarrower = (culprit: SuspectState, other: SuspectState): boolean =>
    !isRequest(other) && (isRequest(culprit) || culprit.position > other.position);

/** How far a request had come when its server crashed. */
export const RequestStage = {
    Queued: "queued",
    /** The server had begun its response, without an event. */
    Answering: "answering",
    Streaming: "streaming",
} as const;

export type RequestStage = typeof RequestStage[keyof typeof RequestStage];

export const stageOf = ({ hasHead, hasEvents = false }: UnservedRequest): RequestStage => {
    if (hasEvents) {
        return RequestStage.Streaming;
    }
    return hasHead ? RequestStage.Answering : RequestStage.Queued;
};

export const epochsByStage: Record<RequestStage, (suspect: SuspectState) => Set<CrashId>> = {
    [RequestStage.Queued]: ({ crashedEpochs }) => crashedEpochs,
    [RequestStage.Answering]: ({ answeringEpochs }) => answeringEpochs,
    [RequestStage.Streaming]: ({ streamingEpochs }) => streamingEpochs,
};

/** The crash under a culprit that `crashId` stands for: one that names no start time of its server is of the known one. */
export const knownCrashId = ({ crashedEpochs }: SuspectState, crashId: CrashId): CrashId =>
    [...crashedEpochs].find((known) => typeof known === "string" && known.startsWith(`${crashId}/`))
        ?? crashId;

/** Culprits that a crash can blame: events have cleared the prompt parts. */
export const blameableIds = ({ partIds, hasEvents = false }: UnservedRequest): string[] =>
    hasEvents ? partIds.filter(isRequestCulprit) : partIds;

const meets = (rule: QuarantineRule, crashes: number, ageMs: number): boolean =>
    crashes >= rule.crashes && ageMs >= rule.exonerationMs;

export const isPartBlamed = (
    { answeringEpochs, crashedEpochs, firstCrashAtMs, wasServedBefore }: SuspectState,
    nowMs: number,
): boolean => {
    const ageMs = nowMs - firstCrashAtMs;
    return (!wasServedBefore && meets(ANSWERING_RULE, answeringEpochs.size, ageMs))
        || meets(WAITING_RULE, crashedEpochs.size, ageMs);
};

/** Weight of the evidence of a crash against a request; 0 if it was not in progress there. */
const evidenceOf = (
    { answeringEpochs, crashedEpochs, streamingEpochs }: SuspectState,
    epoch: CrashId,
): number => {
    if (answeringEpochs.has(epoch)) {
        return 3;
    }
    if (streamingEpochs.has(epoch)) {
        return 1;
    }
    return crashedEpochs.has(epoch) ? 2 : 0;
};

/** Whether `other` was in all crashes that blame `suspect`. */
export const explainsCrashes = (other: SuspectState, suspect: SuspectState): boolean => {
    const epochs = suspect.answeringEpochs.size > 0 ? suspect.answeringEpochs : suspect.crashedEpochs;
    return other.service === suspect.service && [...epochs].every((epoch) => other.crashedEpochs.has(epoch));
};

/** Number of other requests that have these crashes with evidence as strong. */
const countRivals = (
    suspect: SuspectState,
    epochs: readonly CrashId[],
    suspects: readonly SuspectState[],
): number =>
    suspects.filter((other) =>
        other !== suspect && isRequest(other)
        && epochs.every((epoch) => evidenceOf(other, epoch) >= evidenceOf(suspect, epoch))
    ).length;

/**
 * Whether a request crashes servers: two crashes suffice if no other request shares them with evidence as strong, as callers
 * rarely send the same content to two servers that crash.
 */
const isRequestBlamed = (
    suspect: SuspectState,
    suspects: readonly SuspectState[],
    nowMs: number,
): boolean => {
    const { crashedEpochs, streamingEpochs, firstCrashAtMs, lastCrashAtMs } = suspect;
    if (crashedEpochs.size < ONLY_REQUEST_RULE.crashes || nowMs - lastCrashAtMs < REPORT_SETTLE_MS) {
        return false;
    }
    const unserved = [...crashedEpochs].filter((epoch) => !streamingEpochs.has(epoch));
    const ageMs = nowMs - firstCrashAtMs;
    return (meets(ONLY_REQUEST_RULE, unserved.length, ageMs)
        && countRivals(suspect, unserved, suspects) === 0)
        || (meets(SHARED_REQUEST_RULE, crashedEpochs.size, ageMs)
            && countRivals(suspect, [...crashedEpochs], suspects) <= MAX_RIVALS);
};

/** Whether the crashes so far say nothing about a culprit that was served before. */
export const isCoincidence = ({ firstCrashAtMs, lastCrashAtMs, wasServedBefore }: SuspectState): boolean =>
    wasServedBefore && lastCrashAtMs - firstCrashAtMs < COINCIDENCE_MS;

/** Whether a culprit crashes servers, as far as the crashes so far show. */
export const isBlamed = (suspect: SuspectState, suspects: readonly SuspectState[], nowMs: number): boolean =>
    !isCoincidence(suspect)
    && (isRequest(suspect) ? isRequestBlamed(suspect, suspects, nowMs) : isPartBlamed(suspect, nowMs));

/** Whether a culprit can't be told from another one of its kind. */
export const isAmbiguous = (suspect: SuspectState, suspects: readonly SuspectState[]): boolean =>
    isRequest(suspect)
        ? countRivals(suspect, [...suspect.crashedEpochs], suspects) > 0
        : suspects.some((other) =>
            other !== suspect && !isRequest(other) && !other.wasServedBefore
            && explainsCrashes(other, suspect)
        );

/** Sorts the strongest evidence first: requests before parts, narrower parts before wider ones. */
export const byEvidence = (a: SuspectState, b: SuspectState): number =>
    Number(isRequest(b)) - Number(isRequest(a))
    || (isRequest(a) ? b.answeringEpochs.size - a.answeringEpochs.size : b.position - a.position);
