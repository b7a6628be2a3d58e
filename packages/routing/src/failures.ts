import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** Kinds of failure of an exchange with a backend server. */
export const FailureKind = {
    /** The connection could not be opened; no byte was written. */
    Unreachable: "unreachable",
    /** The grant expired, or the deadline for sending passed, before the write. */
    NotAllowed: "notAllowed",
    /** The engine belongs to another generation of the group and did not run the request. */
    OtherGeneration: "otherGeneration",
    /** The response carries the id of another request. */
    WrongId: "wrongId",
    /** The status of the response says that the backend server failed or is overloaded. */
    BadStatus: "badStatus",
    /** The backend server rejected the request as invalid. */
    Rejected: "rejected",
    /** The connection broke after the request was written. */
    Broken: "broken",
    /** The stream ended without its end marker. */
    NoEndMarker: "noEndMarker",
    /** No token within the time limit. */
    Stalled: "stalled",
    Cancelled: "cancelled",
    Deadline: "deadline",
} as const;

export type FailureKind = typeof FailureKind[keyof typeof FailureKind];

/** Error code, verdict and follow-up actions for one kind of failure. */
export interface FailureRule {
    code: ErrorCode;
    /** Verdict if the request has been written; otherwise it is always `notRun`. */
    verdict: Verdict;
    /** Whether an idempotent request may be sent again. */
    isRetryable: boolean;
    /** How long the group is excluded from selection. */
    suspicionMs: number;
}

// About the time that the controller of a group needs to detect a missing member.
const SUSPICION_MS = 2_000;
// The next renewal of the grant brings the group's current generation.
const OTHER_GENERATION_SUSPICION_MS = 500;

const { BackendFailed, BadRequest, Cancelled, Timeout } = ErrorCode;
const { NotRun, MayHaveRun } = Verdict;

export const failureRules: Record<FailureKind, FailureRule> = {
    unreachable: { code: BackendFailed, verdict: NotRun, isRetryable: true, suspicionMs: SUSPICION_MS },
    notAllowed: { code: ErrorCode.NoCapacity, verdict: NotRun, isRetryable: true, suspicionMs: 0 },
    otherGeneration: {
        code: BackendFailed,
        verdict: NotRun,
        isRetryable: true,
        suspicionMs: OTHER_GENERATION_SUSPICION_MS,
    },
    wrongId: { code: BackendFailed, verdict: MayHaveRun, isRetryable: true, suspicionMs: SUSPICION_MS },
    badStatus: { code: BackendFailed, verdict: MayHaveRun, isRetryable: true, suspicionMs: 0 },
    rejected: { code: BadRequest, verdict: MayHaveRun, isRetryable: false, suspicionMs: 0 },
    broken: { code: BackendFailed, verdict: MayHaveRun, isRetryable: true, suspicionMs: SUSPICION_MS },
    noEndMarker: { code: BackendFailed, verdict: MayHaveRun, isRetryable: true, suspicionMs: SUSPICION_MS },
    stalled: { code: Timeout, verdict: MayHaveRun, isRetryable: true, suspicionMs: SUSPICION_MS },
    cancelled: { code: Cancelled, verdict: MayHaveRun, isRetryable: false, suspicionMs: 0 },
    deadline: { code: Timeout, verdict: MayHaveRun, isRetryable: false, suspicionMs: 0 },
};

/** Failure of one exchange. Its verdict covers only this exchange, not earlier attempts. */
export class ExchangeError extends GreengageError {
    readonly kind: FailureKind;

    constructor(kind: FailureKind, message: string, hasWritten: boolean, cause?: unknown) {
        const rule = failureRules[kind];
        super(message, { code: rule.code, verdict: hasWritten ? rule.verdict : NotRun, cause });
        this.kind = kind;
    }

    get rule(): FailureRule {
        return failureRules[this.kind];
    }
}

/** Error for a request that no backend server can accept at the moment. */
export const noCapacity = (message: string, retryAfterMs: number): GreengageError =>
    new GreengageError(message, { code: ErrorCode.NoCapacity, verdict: NotRun, retryAfterMs });
