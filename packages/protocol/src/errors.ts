import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { RelayRefusal } from "./relay.ts";

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

/** A peer has not opened a connection to a backend server; no byte has reached the server. */
export class RelayError extends GreengageError {
    readonly refusal: RelayRefusal;

    constructor(refusal: RelayRefusal, message: string, cause?: unknown) {
        super(message, { code: ErrorCode.Unavailable, verdict: Verdict.NotRun, cause });
        this.refusal = refusal;
    }
}
