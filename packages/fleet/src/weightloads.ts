import type { FleetState } from "./controller.ts";
import { LoadRateLimiter } from "./loadratelimiter.ts";
import type { ModelService } from "./plannerinputs.ts";

/** Loads from the weight store: those that run, and how many may begin. */
export class WeightLoads {
    readonly #state: FleetState;
    readonly #limiters = new Map<string, LoadRateLimiter>();
    /** Loads that run, by VM, with the time by which they must have ended. */
    readonly #running = new Map<string, { model: string; deadlineMs: number; }>();

    constructor(state: FleetState) {
        this.#state = state;
    }

    /** Loads of a service that may begin now. */
    availableLoads({ name, engine }: ModelService, nowMs: number): number {
        for (const [serverId, { model, deadlineMs }] of this.#running) {
            const isStaged = this.#state.registry.get(serverId)?.report.stagedModels.includes(model) ?? true;
            if (isStaged || nowMs > deadlineMs) {
                this.#running.delete(serverId);
            }
        }
        const { loadsPerS, loadsAtOnce } = engine;
        const { hasDemand } = this.#state;
        return this.#limiterOf(name).availableLoads(
            loadsPerS,
            loadsAtOnce,
            hasDemand,
            this.#running.size,
            nowMs,
        );
    }

    /** Counts a load that begins on a VM and has ended by `deadlineMs`. */
    recordStart(
        service: string,
        load: { serverId: string; model: string; deadlineMs: number; },
        nowMs: number,
    ): void {
        this.#limiterOf(service).recordStarts(1, nowMs);
        this.#running.set(load.serverId, { model: load.model, deadlineMs: load.deadlineMs });
    }

    /** Whether a VM loads weights that its host doesn't hold yet. */
    isLoading(serverId: string, stagedModels: readonly string[]): boolean {
        const load = this.#running.get(serverId);
        return load !== undefined && !stagedModels.includes(load.model);
    }

    #limiterOf(service: string): LoadRateLimiter {
        const limiter = this.#limiters.get(service) ?? new LoadRateLimiter();
        this.#limiters.set(service, limiter);
        return limiter;
    }
}
