import type { FleetState } from "./controller.ts";
import { LoadRateLimiter } from "./loadratelimiter.ts";
import type { ModelService } from "./plannerinputs.ts";

/** Tracks running loads from the weight store and limits new ones. */
export class WeightLoads {
    readonly #state: FleetState;
    readonly #limiters = new Map<string, LoadRateLimiter>();
    /** Running loads by server id, each with the time after which it is no longer counted. */
    readonly #running = new Map<string, { model: string; deadlineMs: number; }>();

    constructor(state: FleetState) {
        this.#state = state;
    }

    /** Number of loads of a service that may start now. */
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

    /** Records a load that starts on a VM and is counted until `deadlineMs` at the latest. */
    recordStart(
        service: string,
        load: { serverId: string; model: string; deadlineMs: number; },
        nowMs: number,
    ): void {
        this.#limiterOf(service).recordStarts(1, nowMs);
        this.#running.set(load.serverId, { model: load.model, deadlineMs: load.deadlineMs });
    }

    /** Whether a VM is loading weights that are not yet staged on its host. */
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
