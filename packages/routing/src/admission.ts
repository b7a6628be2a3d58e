import { type GreengageError, Lifecycle, monotonicMs } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { GroupView } from "@greengage/protocol";
import type { Cancellation } from "./cancellation.ts";
import { ExchangeError, type FailureKind, noCapacity } from "./failures.ts";
import { FairQueue, type Party } from "./fairqueue.ts";
import type { GroupLoads } from "./grouploads.ts";
import type { GroupSelector } from "./groupselector.ts";

/** Suspected groups come back without a change of the directory. */
const PUMP_MS = 100;
const MAX_WAITING_PER_ORGANISATION = 1_000;

/** Time limits of the queue. */
export interface QueueLimits {
    /** Longest wait while groups serve but are full. Default: 10000. */
    fullMs: number;
    /** Longest wait while no group serves: enough for a repair with cached weights. Default: 5000. */
    noGroupMs: number;
}

export const DEFAULT_QUEUE_LIMITS: QueueLimits = { fullMs: 10_000, noGroupMs: 5_000 };

export type DirectoryPart = Pick<
    GroupDirectory,
    "servingGroups" | "daemonCount" | "onChange" | "allGroups"
>;

export interface AdmissionOptions {
    directory: DirectoryPart;
    loads: GroupLoads;
    chooser: GroupSelector;
    limits: QueueLimits;
    /** False serves requests in the order of arrival. Default: true. */
    isFair?: boolean;
}

export interface SlotRequest {
    party: Party;
    model: string;
    prefixKey: number | undefined;
    /** `groupId/generation` of groups that failed for this request; chosen only when no other group serves. */
    excluded: ReadonlySet<string>;
    /** Goes before the organisation's other requests: its caller waits in the middle of an answer. */
    isResumed: boolean;
    deadlineAtMs: number;
}

/** A place at a group. Released exactly once. */
export interface Slot {
    group: GroupView;
    release(): void;
}

interface Waiter {
    request: SlotRequest;
    resolve: (slot: Slot) => void;
}

export const generationKey = (group: GroupView): string => `${group.groupId}/${group.generation}`;

/** Gives requests places at groups: at once while there is room, otherwise through the fair queue. */
export class GroupAdmission {
    readonly #options: AdmissionOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #queues = new Map<string, FairQueue<Waiter>>();

    constructor(options: AdmissionOptions) {
        this.#options = options;
        const stopListening = options.directory.onChange(() => this.#onDirectoryChange());
        this.#lifecycle.onClose(() => void stopListening());
        this.#lifecycle.every(PUMP_MS, () => this.#pumpAll(), () => undefined);
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Requests that wait for a place, over all models. */
    get waitingCount(): number {
        return [...this.#queues.values()].reduce((sum, queue) => sum + queue.length, 0);
    }

    /** Resolves with a place. Throws `no-capacity`, `cancelled` or `timeout`, all with verdict `notRun`. */
    acquire(request: SlotRequest, cancellation: Cancellation): Promise<Slot> {
        const queue = this.#queue(request.model);
        this.#shedEarly(queue, request);
        return new Promise((resolve, reject) => {
            const waiter: Waiter = {
                request,
                resolve: (slot) => {
                    clearTimeout(timer);
                    resolve(slot);
                },
            };
            const leave = (error: Error): void => {
                clearTimeout(timer);
                queue.remove(request.party.organisation, waiter);
                reject(error);
            };
            const waitMs = this.#longestWaitMs(request);
            const timer = setTimeout(() => leave(this.#shed(queue, request)), waitMs);
            queue.add(request.party, waiter, request.isResumed);
            this.#pump(request.model, queue);
            cancellation.listen((kind) => leave(endedInQueue(kind)));
        });
    }

    #longestWaitMs(request: SlotRequest): number {
        const { directory, limits } = this.#options;
        const isServed = directory.servingGroups(request.model).length > 0;
        return Math.min(isServed ? limits.fullMs : limits.noGroupMs, request.deadlineAtMs - monotonicMs());
    }

    /** Refuses a request that would wait in vain, before any work on it. */
    #shedEarly(queue: FairQueue<Waiter>, request: SlotRequest): void {
        if (request.isResumed) {
            return;
        }
        const { slotCount, freeCount } = this.#slots(request.model);
        const isQueueFull = queue.waitingOf(request.party.organisation) >= MAX_WAITING_PER_ORGANISATION;
        const isTooLate = slotCount > 0 && freeCount === 0
            && queue.expectedWaitMs(request.party, slotCount) > this.#longestWaitMs(request);
        if (isQueueFull || isTooLate) {
            throw this.#shed(queue, request);
        }
    }

    #shed(queue: FairQueue<Waiter>, request: SlotRequest): GreengageError {
        const { slotCount } = this.#slots(request.model);
        const waitMs = slotCount > 0
            ? Math.max(queue.slotMs, queue.expectedWaitMs(request.party, slotCount))
            : this.#options.limits.noGroupMs;
        const reason = slotCount > 0 ? "are full" : "do not serve now";
        return noCapacity(`the replica groups of model ${request.model} ${reason}`, waitMs);
    }

    /** This daemon's part of the capacity of the model's groups. */
    #slots(model: string): { slotCount: number; freeCount: number; } {
        let slotCount = 0;
        let freeCount = 0;
        for (const group of this.#options.directory.servingGroups(model)) {
            slotCount += this.#shareOf(group);
            freeCount += this.#room(group);
        }
        return { slotCount, freeCount };
    }

    #shareOf(group: GroupView): number {
        return Math.max(1, Math.floor(group.maxConcurrent / this.#options.directory.daemonCount(group.zone)));
    }

    #room(group: GroupView): number {
        return Math.max(0, this.#shareOf(group) - this.#options.loads.inFlight(group.groupId));
    }

    #queue(model: string): FairQueue<Waiter> {
        const queue = this.#queues.get(model)
            ?? new FairQueue<Waiter>({ isFair: this.#options.isFair, nowMs: monotonicMs });
        this.#queues.set(model, queue);
        return queue;
    }

    #onDirectoryChange(): void {
        const { directory, loads } = this.#options;
        loads.retain(new Set(directory.allGroups().map((group) => group.groupId)));
        this.#pumpAll();
    }

    #pumpAll(): void {
        for (const [model, queue] of this.#queues) {
            this.#pump(model, queue);
        }
    }

    #pump(model: string, queue: FairQueue<Waiter>): void {
        let isStarted = queue.length > 0;
        while (isStarted && queue.length > 0) {
            const { slotCount, freeCount } = this.#slots(model);
            isStarted = freeCount > 0
                && queue.next(slotCount, freeCount, (waiter) => this.#start(model, queue, waiter));
        }
    }

    #start(model: string, queue: FairQueue<Waiter>, waiter: Waiter): boolean {
        const { directory, chooser, loads } = this.#options;
        const { request } = waiter;
        const serving = directory.servingGroups(model);
        const untried = serving.filter((group) => !request.excluded.has(generationKey(group)));
        const suited = untried.length > 0 ? untried : serving;
        const free = suited.filter((group) => this.#room(group) > 0);
        if (free.length === 0) {
            return false;
        }
        const group = chooser.select(suited, free, request.prefixKey);
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
                queue.finish(request.party.organisation, monotonicMs() - startedAtMs);
                this.#pump(model, queue);
            },
        });
        return true;
    }
}

const endedInQueue = (kind: FailureKind): ExchangeError =>
    new ExchangeError(kind, "the request ended while it waited for a replica group", false);
