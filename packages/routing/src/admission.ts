import { type GreengageError, Lifecycle, monotonicMs } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { GroupView } from "@greengage/protocol";
import type { Cancellation } from "./cancellation.ts";
import { ExchangeError, type FailureKind, noCapacity } from "./failures.ts";
import { FairQueue, type Flow } from "./fairqueue.ts";
import type { GroupLoads } from "./grouploads.ts";
import type { GroupSelector } from "./groupselector.ts";

/** The queue is polled because a group's suspicion expires without a change event of the directory. */
const POLL_INTERVAL_MS = 100;
const MAX_WAITING_PER_ORGANISATION = 1_000;

/** Maximum waiting times in the queue. */
export interface QueueLimits {
    /** Longest wait while groups are serving but have no free slot. Default: 10000. */
    fullMs: number;
    /** Longest wait while no group is serving; covers a group repair with cached weights. Default: 5000. */
    noGroupMs: number;
}

export const DEFAULT_QUEUE_LIMITS: QueueLimits = { fullMs: 10_000, noGroupMs: 5_000 };

export type AdmissionDirectory = Pick<
    GroupDirectory,
    "servingGroups" | "daemonCount" | "onChange" | "allGroups"
>;

export interface AdmissionOptions {
    directory: AdmissionDirectory;
    loads: GroupLoads;
    selector: GroupSelector;
    limits: QueueLimits;
    /** Fair queueing between organisations; false serves requests in order of arrival. Default: true. */
    isFair?: boolean;
}

export interface SlotRequest {
    flow: Flow;
    model: string;
    prefixKey: number | undefined;
    /** `groupId/generation` of groups that failed this request; used only when no other group is serving. */
    excluded: ReadonlySet<string>;
    /** A resumed stream goes ahead of the organisation's other requests: its caller is waiting mid-response. */
    isResumed: boolean;
    deadlineAtMs: number;
}

/** A request slot of a group. Calls of `release` after the first one have no effect. */
export interface Slot {
    group: GroupView;
    release(): void;
}

interface Waiter {
    request: SlotRequest;
    resolve: (slot: Slot) => void;
}

export const generationKey = (group: GroupView): string => `${group.groupId}/${group.generation}`;

/** Allocates group slots to requests: immediately while slots are free, otherwise through the fair queue. */
export class GroupAdmission {
    readonly #options: AdmissionOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #queues = new Map<string, FairQueue<Waiter>>();

    constructor(options: AdmissionOptions) {
        this.#options = options;
        const stopListening = options.directory.onChange(() => this.#onDirectoryChange());
        this.#lifecycle.onClose(() => void stopListening());
        this.#lifecycle.every(POLL_INTERVAL_MS, () => this.#dispatchAll(), () => undefined);
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Number of requests waiting for a slot, over all models. */
    get waitingCount(): number {
        return [...this.#queues.values()].reduce((sum, queue) => sum + queue.length, 0);
    }

    /** Resolves with a slot. Throws `no-capacity`, `cancelled` or `timeout`, all with verdict `notRun`. */
    acquire(request: SlotRequest, cancellation: Cancellation): Promise<Slot> {
        const queue = this.#queueOf(request.model);
        this.#rejectEarly(queue, request);
        return new Promise((resolve, reject) => {
            const waiter: Waiter = {
                request,
                resolve: (slot) => {
                    clearTimeout(timer);
                    resolve(slot);
                },
            };
            const rejectWaiter = (error: Error): void => {
                clearTimeout(timer);
                queue.remove(request.flow.organisation, waiter);
                reject(error);
            };
            const waitMs = this.#maxWaitMs(request);
            const timer = setTimeout(() => rejectWaiter(this.#rejection(queue, request)), waitMs);
            queue.add(request.flow, waiter, request.isResumed);
            this.#dispatchWaiting(request.model, queue);
            cancellation.setListener((kind) => rejectWaiter(cancelledInQueue(kind)));
        });
    }

    #maxWaitMs(request: SlotRequest): number {
        const { directory, limits } = this.#options;
        const isServed = directory.servingGroups(request.model).length > 0;
        return Math.min(isServed ? limits.fullMs : limits.noGroupMs, request.deadlineAtMs - monotonicMs());
    }

    /** Rejects a request up front if the queue is full or the expected wait exceeds the request's maximum wait. */
    #rejectEarly(queue: FairQueue<Waiter>, request: SlotRequest): void {
        if (request.isResumed) {
            return;
        }
        const { slotCount, freeCount } = this.#capacityOf(request.model);
        const isQueueFull = queue.waitingCountOf(request.flow.organisation) >= MAX_WAITING_PER_ORGANISATION;
        const exceedsMaxWait = slotCount > 0 && freeCount === 0
            && queue.expectedWaitMs(request.flow, slotCount) > this.#maxWaitMs(request);
        if (isQueueFull || exceedsMaxWait) {
            throw this.#rejection(queue, request);
        }
    }

    #rejection(queue: FairQueue<Waiter>, request: SlotRequest): GreengageError {
        const { slotCount } = this.#capacityOf(request.model);
        const waitMs = slotCount > 0
            ? Math.max(queue.meanSlotMs, queue.expectedWaitMs(request.flow, slotCount))
            : this.#options.limits.noGroupMs;
        const reason = slotCount > 0 ? "have no free slot" : "are not serving";
        return noCapacity(`the replica groups of model ${request.model} ${reason}`, waitMs);
    }

    /** This daemon's share of the slots of the model's groups. */
    #capacityOf(model: string): { slotCount: number; freeCount: number; } {
        let slotCount = 0;
        let freeCount = 0;
        for (const group of this.#options.directory.servingGroups(model)) {
            slotCount += this.#slotCountOf(group);
            freeCount += this.#freeSlotCountOf(group);
        }
        return { slotCount, freeCount };
    }

    #slotCountOf(group: GroupView): number {
        return Math.max(1, Math.floor(group.maxConcurrent / this.#options.directory.daemonCount(group.zone)));
    }

    #freeSlotCountOf(group: GroupView): number {
        return Math.max(0, this.#slotCountOf(group) - this.#options.loads.inFlight(group.groupId));
    }

    #queueOf(model: string): FairQueue<Waiter> {
        const queue = this.#queues.get(model)
            ?? new FairQueue<Waiter>({ isFair: this.#options.isFair, nowMs: monotonicMs });
        this.#queues.set(model, queue);
        return queue;
    }

    #onDirectoryChange(): void {
        const { directory, loads } = this.#options;
        loads.retain(new Set(directory.allGroups().map((group) => group.groupId)));
        this.#dispatchAll();
    }

    #dispatchAll(): void {
        for (const [model, queue] of this.#queues) {
            this.#dispatchWaiting(model, queue);
        }
    }

    #dispatchWaiting(model: string, queue: FairQueue<Waiter>): void {
        let hasStarted = queue.length > 0;
        while (hasStarted && queue.length > 0) {
            const { slotCount, freeCount } = this.#capacityOf(model);
            hasStarted = freeCount > 0
                && queue.startNext(slotCount, freeCount, (waiter) => this.#tryStart(model, queue, waiter));
        }
    }

    #tryStart(model: string, queue: FairQueue<Waiter>, waiter: Waiter): boolean {
        const { directory, selector, loads } = this.#options;
        const { request } = waiter;
        const serving = directory.servingGroups(model);
        const untried = serving.filter((group) => !request.excluded.has(generationKey(group)));
        const candidates = untried.length > 0 ? untried : serving;
        const free = candidates.filter((group) => this.#freeSlotCountOf(group) > 0);
        if (free.length === 0) {
            return false;
        }
        const group = selector.select(candidates, free, request.prefixKey);
        loads.begin(group.groupId);
        const startedAtMs = monotonicMs();
        let isReleased = false;
        waiter.resolve({
            group,
            release: () => {
                if (isReleased) {
                    return;
                }
                isReleased = true;
                loads.end(group.groupId);
                queue.finish(request.flow.organisation, monotonicMs() - startedAtMs);
                this.#dispatchWaiting(model, queue);
            },
        });
        return true;
    }
}

const cancelledInQueue = (kind: FailureKind): ExchangeError =>
    new ExchangeError(
        kind,
        "the request was cancelled or timed out while waiting for a replica group",
        false,
    );
