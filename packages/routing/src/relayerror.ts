import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { RelayRefusal } from "@greengage/protocol";

/** A peer has not opened a connection to a backend server; no byte has reached the server. */
export class RelayError extends GreengageError {
    readonly refusal: RelayRefusal;

    constructor(refusal: RelayRefusal, message: string, cause?: unknown) {
        super(message, { code: ErrorCode.Unavailable, verdict: Verdict.NotRun, cause });
        this.refusal = refusal;
    }
}
