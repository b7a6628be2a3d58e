import { LimitStatement } from "@greengage/routing";
import type { AttemptOutcome } from "./attempt.ts";

/** Whether a server that limits requests, pauses or leaves didn't get or take the request, which is no failure of the server. */
export const isOrderlyRejection = (outcome: AttemptOutcome): boolean =>
    isTurnedAway(outcome)
    || (outcome.kind === "notRun" && outcome.head?.limit.statement === LimitStatement.Limited);

/** Whether the request was withheld from the server, or met one that pauses or leaves. It then doesn't count as an attempt. */
export const isTurnedAway = (outcome: AttemptOutcome): boolean =>
    (outcome.kind === "notRun" && (outcome.isWithheld === true || outcome.head?.isLeaving === true))
    || (outcome.kind !== "failed" && outcome.head?.pause?.pauseMs !== undefined);

/** Rejections by servers that pause or leave may come from many servers, but not without end. */
const MAX_EXTRA_ATTEMPTS = 16;

/** A path may be lost again while a request goes on over the other one. */
export const MAX_LOST_PATHS = 3;

/** Attempts at one request that are allowed beyond those of its route, as servers have not run it, or had nothing left to run. */
export class ExtraAttempts {
    #count = 0;
    #lostPathCount = 0;

    get count(): number {
        return this.#count + this.#lostPathCount;
    }

    get mayLosePath(): boolean {
        return this.#lostPathCount < MAX_LOST_PATHS;
    }

    /** Records that an attempt has failed only because its path was lost. */
    recordLostPath(): void {
        this.#lostPathCount = Math.min(MAX_LOST_PATHS, this.#lostPathCount + 1);
    }

    /**
     * A rejection grants one more attempt, and so does an end of a stream that needs confirmation; each rejection by a server
     * that pauses or leaves grants another one.
     */
    record(outcome: AttemptOutcome): void {
        const grantsOne = outcome.kind === "notRun"
            || (outcome.kind === "failed" && outcome.isUnconfirmedEnd === true);
        this.#count = isTurnedAway(outcome)
            ? Math.min(MAX_EXTRA_ATTEMPTS, this.#count + 1)
            : Math.max(this.#count, Number(grantsOne));
    }
}
