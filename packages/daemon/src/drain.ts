import {
    type Context,
    ErrorCode,
    GreengageError,
    Invariant,
    type Log,
    LogPart,
    monotonicMs,
    sleep,
    Verdict,
} from "@greengage/base";
import { type Admission, type DaemonDrains, DrainState } from "@greengage/http";

interface DaemonDrainOptions {
    context: Context;
    admission: Admission;
    /** Finishes the requests in progress on all APIs and resolves to the number of those that are not finished. */
    finishRequests: (limitMs: number) => Promise<number>;
    graceMs: number;
    limitMs: number;
}

/** Drains a daemon without interrupting requests in flight. */
export class DaemonDrain implements DaemonDrains {
    readonly #options: DaemonDrainOptions;
    readonly #log: Log;
    #state: DrainState = DrainState.Serving;
    #isStopping = false;
    #drainCancellation = new AbortController();
    #drainCompleted: Promise<void> = Promise.resolve();

    constructor(options: DaemonDrainOptions) {
        this.#options = options;
        this.#log = options.context.logs(LogPart.Daemon);
    }

    get state(): DrainState {
        return this.#state;
    }

    /** Makes the readiness check fail at once; new requests are rejected after the grace period. */
    drain(): void {
        if (this.#state !== DrainState.Serving) {
            return;
        }
        this.#drainCancellation = new AbortController();
        this.#setState(DrainState.Draining);
        this.#drainCompleted = this.#runDrain(this.#drainCancellation.signal);
    }

    undrain(): void {
        if (this.#isStopping) {
            throw new GreengageError("the daemon is shutting down and can't be undrained", {
                code: ErrorCode.Conflict,
                verdict: Verdict.NotRun,
            });
        }
        if (this.#state === DrainState.Serving) {
            return;
        }
        this.#drainCancellation.abort();
        this.#options.admission.open();
        this.#setState(DrainState.Serving);
    }

    /**
     * Drains, waits for callers' requests, and then for the requests on the other APIs. Returns whether all of them
     * finished within the limit.
     */
    async drainAndWait(): Promise<boolean> {
        const { admission, context, finishRequests, graceMs, limitMs } = this.#options;
        const limitAtMs = monotonicMs() + graceMs + limitMs;
        admission.interruptsAtMs = limitAtMs;
        this.#isStopping = true;
        this.drain();
        const timeoutCancellation = new AbortController();
        await Promise.race([this.#drainCompleted, sleep(graceMs + limitMs, timeoutCancellation.signal)]);
        timeoutCancellation.abort();
        const unfinishedCount = await finishRequests(Math.max(0, limitAtMs - monotonicMs()));
        context.invariants.check(
            Invariant.ShutdownCutsNothing,
            unfinishedCount === 0,
            () => `the daemon stops with ${unfinishedCount} requests in flight after ${limitMs} ms`,
        );
        return unfinishedCount === 0;
    }

    async #runDrain(signal: AbortSignal): Promise<void> {
        await sleep(this.#options.graceMs, signal);
        if (signal.aborted) {
            return;
        }
        this.#options.admission.close();
        await this.#options.admission.waitUntilIdle();
        if (!signal.aborted) {
            this.#setState(DrainState.Drained);
        }
    }

    #setState(state: DrainState): void {
        this.#state = state;
        this.#options.admission.closesConnections = state !== DrainState.Serving;
        const inFlight = this.#options.admission.inFlight;
        this.#log.info(`daemon is ${state}`, { inFlight });
        this.#options.context.timeline.record("daemon", `daemon.${state}`, { inFlight });
    }
}
