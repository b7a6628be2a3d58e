import { monotonicMs } from "@greengage/base";

/** Load of a VM that doesn't have the weights cached. */
export interface LoadRequest {
    vmId: string;
    groupId: string;
    /** Priority of the model; 0 is the most urgent. */
    priority: number;
    /** Number of groups of the model that serve. */
    servingGroupCount: number;
    /** Number of members of the group that aren't ready. */
    notReadyCount: number;
    /** Monotonic time since which the group has waited. */
    waitingSinceMs: number;
}

export interface WeightStoreOptions {
    /** Number of VMs that may read weights at the same time. Default: 8. */
    maxLoads?: number;
    /** Time after which a load no longer counts as running. Default: 600000. */
    loadLimitMs?: number;
}

/** Limits the number of VMs that read from the weight store at the same time. The most urgent groups come first. */
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

    /** Removes loads that have run too long or for which `isLoading` is false. */
    releaseFinished(isLoading: (vmId: string) => boolean): void {
        const oldestMs = monotonicMs() - this.#loadLimitMs;
        for (const [vmId, startedAtMs] of this.#running) {
            if (startedAtMs < oldestMs || !isLoading(vmId)) {
                this.#running.delete(vmId);
            }
        }
    }

    /** Admits the most urgent requests. Returns all VMs whose load may start now or is running. */
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

/** Groups with fewer members left come first, so that loads of one group stay together and it serves sooner. */
const compareUrgency = (a: LoadRequest, b: LoadRequest): number =>
    a.priority - b.priority
    || Math.min(a.servingGroupCount, 1) - Math.min(b.servingGroupCount, 1)
    || a.notReadyCount - b.notReadyCount
    || a.waitingSinceMs - b.waitingSinceMs
    || a.groupId.localeCompare(b.groupId);
