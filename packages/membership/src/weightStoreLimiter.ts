import { monotonicMs } from "@greengage/base";

/** A VM that must read weights which it doesn't have cached. */
export interface LoadRequest {
    vmId: string;
    groupId: string;
    /** Priority of the model; 0 is the most urgent. */
    priority: number;
    /** Groups of the model that serve. */
    servingGroupCount: number;
    /** Members of the group that aren't ready. */
    notReadyCount: number;
    /** Monotonic time since which the group has waited. */
    waitingSinceMs: number;
}

export interface WeightStoreOptions {
    /** VMs that may read weights at once. Default: 8. */
    maxLoads?: number;
    /** A load that takes longer no longer counts. Default: 600000. */
    loadLimitMs?: number;
}

/** Admits loads to the weight store: a limited number at once, the most urgent groups first. */
export class WeightStoreLimiter {
    readonly #maxLoads: number;
    readonly #loadLimitMs: number;
    readonly #running = new Map<string, number>();

    constructor(options: WeightStoreOptions = {}) {
        this.#maxLoads = options.maxLoads ?? 8;
        this.#loadLimitMs = options.loadLimitMs ?? 600_000;
    }

    get runningCount(): number {
        return this.#running.size;
    }

    /** Ends the loads of VMs for which `isLoading` is false. */
    releaseFinished(isLoading: (vmId: string) => boolean): void {
        const oldestMs = monotonicMs() - this.#loadLimitMs;
        for (const [vmId, startedAtMs] of this.#running) {
            if (startedAtMs < oldestMs || !isLoading(vmId)) {
                this.#running.delete(vmId);
            }
        }
    }

    /** VMs whose load may start now, or has started. */
    admit(requests: LoadRequest[]): Set<string> {
        const waiting = requests.filter((request) => !this.#running.has(request.vmId)).sort(compareUrgency);
        for (const request of waiting.slice(0, Math.max(0, this.#maxLoads - this.#running.size))) {
            this.#running.set(request.vmId, monotonicMs());
        }
        return new Set(this.#running.keys());
    }

    clear(): void {
        this.#running.clear();
    }
}

/** A group that is complete sooner helps sooner, so loads of one group stay together. */
const compareUrgency = (a: LoadRequest, b: LoadRequest): number =>
    a.priority - b.priority
    || Math.min(a.servingGroupCount, 1) - Math.min(b.servingGroupCount, 1)
    || a.notReadyCount - b.notReadyCount
    || a.waitingSinceMs - b.waitingSinceMs
    || a.groupId.localeCompare(b.groupId);
