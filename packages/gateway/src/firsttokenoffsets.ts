/** Change of an offset with one request that was slower or faster than it. */
const STEP_MS = 10;
/** Part of the requests that should be faster than the offset says: most of those that found no queue. */
const FASTER_SHARE = 0.3;

/**
 * How much later the first tokens of a model come than the figures of its engines say. Engines tell their steps and their
 * prefill rate, but neither the time until a request is scheduled nor the tokens of the first event. A low quantile is
 * taken, so that queues don't count as a property of the engines.
 */
export class FirstTokenOffsets {
    readonly #offsetsMs = new Map<string, number>();

    /** The offset of a model of a service; 0 before any request. */
    get(service: string, model: string): number {
        return this.#offsetsMs.get(keyOf(service, model)) ?? 0;
    }

    /** Notes the time to a first token, and what the figures said. At most half of `targetMs` is put down to the engine. */
    note(
        service: string,
        model: string,
        times: { actualMs: number; figuresMs: number; targetMs: number; },
    ): void {
        const differenceMs = times.actualMs - times.figuresMs;
        const key = keyOf(service, model);
        const known = this.#offsetsMs.get(key);
        const stepMs = differenceMs > (known ?? 0) ? STEP_MS * FASTER_SHARE : STEP_MS * (FASTER_SHARE - 1);
        const offsetMs = known === undefined ? differenceMs : known + stepMs;
        this.#offsetsMs.set(key, Math.max(0, Math.min(offsetMs, times.targetMs / 2)));
    }
}

const keyOf = (service: string, model: string): string => `${service}\n${model}`;
