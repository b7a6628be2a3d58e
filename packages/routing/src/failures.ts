import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** Ways in which an exchange with a backend server can fail. */
export const FailureKind = {
    /** No connection; no byte was written. */
    Unreachable: "unreachable",
    /** The grant ended, or the time to send passed, before the write. */
    NotAllowed: "notAllowed",
    /** The engine has another generation of the group and did not run the request. */
    OtherGeneration: "otherGeneration",
    /** The answer carries the id of another request. */
    WrongId: "wrongId",
    /** The backend server answered with a status that says it failed or is overloaded. */
    BadStatus: "badStatus",
    /** The backend server rejects the request itself. */
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

/** What a failure means for the request and for its group. */
export interface FailureRule {
    code: ErrorCode;
    /** Verdict once the request has been written; before that it is always `notRun`. */
    verdict: Verdict;
    /** Whether an idempotent request may be sent again. */
    isRetried: boolean;
    /** How long the group is kept out of the choice. */
    suspectMs: number;
}

// A group whose connection failed stays out for about the time in which its controller notices a missing member.
const SUSPECT_MS = 2_000;
// A group with another generation is named correctly by the next renewal of the grant.
const OTHER_GENERATION_SUSPECT_MS = 500;

const { BackendFailed, BadRequest, Cancelled, Timeout } = ErrorCode;
const { NotRun, MayHaveRun } = Verdict;

export const failureRules: Record<FailureKind, FailureRule> = {
    unreachable: { code: BackendFailed, verdict: NotRun, isRetried: true, suspectMs: SUSPECT_MS },
    notAllowed: { code: ErrorCode.NoCapacity, verdict: NotRun, isRetried: true, suspectMs: 0 },
    otherGeneration: {
        code: BackendFailed,
        verdict: NotRun,
        isRetried: true,
        suspectMs: OTHER_GENERATION_SUSPECT_MS,
    },
    wrongId: { code: BackendFailed, verdict: MayHaveRun, isRetried: true, suspectMs: SUSPECT_MS },
    badStatus: { code: BackendFailed, verdict: MayHaveRun, isRetried: true, suspectMs: 0 },
    rejected: { code: BadRequest, verdict: MayHaveRun, isRetried: false, suspectMs: 0 },
    broken: { code: BackendFailed, verdict: MayHaveRun, isRetried: true, suspectMs: SUSPECT_MS },
    noEndMarker: { code: BackendFailed, verdict: MayHaveRun, isRetried: true, suspectMs: SUSPECT_MS },
    stalled: { code: Timeout, verdict: MayHaveRun, isRetried: true, suspectMs: SUSPECT_MS },
    cancelled: { code: Cancelled, verdict: MayHaveRun, isRetried: false, suspectMs: 0 },
    deadline: { code: Timeout, verdict: MayHaveRun, isRetried: false, suspectMs: 0 },
};

/** Failure of one exchange. The verdict covers this exchange alone. */
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

/** No backend server can take the request now. */
export const noCapacity = (message: string, retryAfterMs: number): GreengageError =>
    new GreengageError(message, { code: ErrorCode.NoCapacity, verdict: NotRun, retryAfterMs });
