import { FailureKind } from "@greengage/routing";
import type { AttemptOutcome } from "./attempt.ts";

/**
 * Recognises event streams that end without an event. Streams have no end marker, so a faulty group's empty stream can't be
 * told from the end of a stream whose events have all been delivered, unless another group confirms it.
 */
export class EmptyStreams {
    readonly #groupNames = new Set<string>();

    /** Returns the outcome, or a failure if it is the first group's success without an event. */
    check(groupName: string, outcome: AttemptOutcome): AttemptOutcome {
        if (outcome.kind !== "complete" || !outcome.isEmptyStream) {
            return outcome;
        }
        this.#groupNames.add(groupName);
        return this.#groupNames.size > 1
            ? outcome
            : {
                kind: "failed",
                reason: "the stream ended without an event",
                failure: FailureKind.BadStatus,
                isUnconfirmedEnd: true,
            };
    }
}
