import { ErrorCode, GreengageError, Verdict } from "@greengage/base";

/** There was no connection to the peer, so the call wasn't sent. */
export class PeerUnreachableError extends GreengageError {
    constructor(daemonId: string, cause?: unknown) {
        super(`no connection to daemon ${daemonId}`, {
            code: ErrorCode.Unavailable,
            verdict: Verdict.NotRun,
            cause,
        });
    }
}

/** The call was sent, but no response arrived in time. */
export class PeerTimeoutError extends GreengageError {
    constructor(daemonId: string, type: string, timeoutMs: number) {
        super(`daemon ${daemonId} did not answer ${type} within ${timeoutMs} ms`, {
            code: ErrorCode.Timeout,
            verdict: Verdict.MayHaveRun,
        });
    }
}

/** The peer responded that its handler failed. */
export class PeerCallError extends GreengageError {
    constructor(daemonId: string, type: string, message: string) {
        super(`daemon ${daemonId} failed to handle ${type}: ${message}`, {
            code: ErrorCode.Internal,
            verdict: Verdict.MayHaveRun,
        });
    }
}
