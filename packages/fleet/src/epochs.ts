/** Size of the epoch range of one term, so that epochs of a later term exceed those of all earlier terms. */
const EPOCHS_PER_TERM = 1_000_000;
/**
 * Starts of the ranges from which epochs are issued. Servers whose epoch exceeds the first range, because a former version
 * raised epochs above any reported one, need a higher range. Former versions accept the second range, but not the third.
 */
const RANGE_STARTS = [0, 2 ** 47, 2 ** 49] as const;
/** Upper bound of the epochs of all ranges. */
export const MAX_EPOCH = 2 ** 50;

/** Issues the epochs of groups. What servers report selects the range of an epoch, but never its position there. */
export class EpochIssuer {
    #term = 0;
    #count = 0;

    startTerm(term: number): void {
        this.#term = term;
        this.#count = 0;
    }

    /** Returns an epoch that wasn't issued before, above those that the members have joined or may still join. */
    next(memberEpochs: readonly number[]): number {
        this.#count += 1;
        const position = this.#term * EPOCHS_PER_TERM + this.#count;
        const highestEpoch = Math.max(0, ...memberEpochs);
        return position + (RANGE_STARTS.find((start) => position + start > highestEpoch) ?? 0);
    }

    /** Whether this version may have issued the epoch in this term or an earlier one. */
    mayHaveIssued(epoch: number): boolean {
        return RANGE_STARTS.some((start) =>
            epoch >= start && epoch < start + (this.#term + 1) * EPOCHS_PER_TERM
        );
    }
}
