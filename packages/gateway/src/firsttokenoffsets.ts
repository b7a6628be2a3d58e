/** Scale of the adjustment of an offset by one observation. */
const ADJUSTMENT_STEP_MS = 10;
/** Share of requests that are faster than the offset: mostly those that met no queue. */
const TRACKED_QUANTILE = 0.3;

/**
 * Tracks by how much the time to the first token of a model exceeds the prediction from its engine profile. A profile
 * contains step times and the prefill rate, but neither the scheduling delay nor the number of tokens in the first event.
 * Tracks a low quantile, so that queueing delays are not attributed to the engine.
 */
export class FirstTokenOffsets {
    readonly #offsetsMs = new Map<string, number>();

    /** The current offset in milliseconds; 0 before the first observation. */
    get(service: string, model: string): number {
        return this.#offsetsMs.get(keyOf(service, model)) ?? 0;
    }

    /**
     * Records a measured time to the first token and the time predicted from the profile. The offset is capped at half of
     * `targetMs`.
     */
    record(
        service: string,
        model: string,
        times: { measuredMs: number; predictedMs: number; targetMs: number; },
    ): void {
        const differenceMs = times.measuredMs - times.predictedMs;
        const key = keyOf(service, model);
        const currentMs = this.#offsetsMs.get(key);
        const stepMs = differenceMs > (currentMs ?? 0)
            ? ADJUSTMENT_STEP_MS * TRACKED_QUANTILE
            : ADJUSTMENT_STEP_MS * (TRACKED_QUANTILE - 1);
        const offsetMs = currentMs === undefined ? differenceMs : currentMs + stepMs;
        this.#offsetsMs.set(key, Math.max(0, Math.min(offsetMs, times.targetMs / 2)));
    }
}

const keyOf = (service: string, model: string): string => `${service}\n${model}`;
