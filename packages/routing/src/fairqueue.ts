/** An organisation that sent a request within this time counts in the fair shares. */
const ACTIVE_WINDOW_MS = 60_000;
/** Share of the slots that organisations above their fair share must leave free. */
const RESERVED_SLOT_SHARE = 0.125;
/** Assumed mean slot time until the first requests have ended. */
const INITIAL_SLOT_MS = 1_000;
const SLOT_MS_SMOOTHING = 0.1;

/** Requests of one organisation, which the queue schedules as one flow. */
export interface Flow {
    organisation: string;
    weight: number;
    /** Strict priority class; lower numbers go first. */
    priority: number;
}

interface FlowState<Item> extends Flow {
    /** Slot time used so far divided by the weight, as in weighted fair queueing. */
    virtualTimeMs: number;
    inFlight: number;
    waiting: Item[];
    activeAtMs: number;
}

export interface FairQueueOptions {
    /** False serves requests in order of arrival, which benchmarks use as baseline. Default: true. */
    isFair?: boolean;
    nowMs: () => number;
}

/**
 * Weighted fair queue for the slots of one model. Serves organisations by priority class, and within a class by weight.
 * Organisations above their fair share leave some slots free, so that requests of the others start without waiting.
 */
export class FairQueue<Item> {
    readonly #options: FairQueueOptions;
    readonly #flows = new Map<string, FlowState<Item>>();
    readonly #arrivals: { flow: FlowState<Item>; item: Item; }[] = [];
    #virtualTimeMs = 0;
    #meanSlotMs = INITIAL_SLOT_MS;
    #waitingCount = 0;

    constructor(options: FairQueueOptions) {
        this.#options = options;
    }

    get length(): number {
        return this.#waitingCount;
    }

    /** Moving average of the time that a request occupies its slot. */
    get meanSlotMs(): number {
        return this.#meanSlotMs;
    }

    add(flow: Flow, item: Item, atFront = false): void {
        const state = this.#activate(flow);
        if (state.waiting.length === 0 && state.inFlight === 0) {
            // An idle organisation must not accumulate credit.
            state.virtualTimeMs = Math.max(state.virtualTimeMs, this.#virtualTimeMs);
        }
        const waiting = state.waiting;
        waiting.splice(atFront ? 0 : waiting.length, 0, item);
        this.#arrivals.splice(atFront ? 0 : this.#arrivals.length, 0, { flow: state, item });
        this.#waitingCount += 1;
    }

    remove(organisation: string, item: Item): void {
        const state = this.#flows.get(organisation);
        const index = state?.waiting.indexOf(item) ?? -1;
        if (index < 0) {
            return;
        }
        state?.waiting.splice(index, 1);
        this.#arrivals.splice(this.#arrivals.findIndex((arrival) => arrival.item === item), 1);
        this.#waitingCount -= 1;
    }

    /**
     * Starts the next waiting request, if any, when `freeCount` of `slotCount` slots are free. `start` allocates a slot for
     * an item or returns false if no group is suitable. Returns whether a request was started.
     */
    startNext(slotCount: number, freeCount: number, start: (item: Item) => boolean): boolean {
        if (this.#options.isFair === false) {
            return this.#arrivals.some(({ flow, item }) => this.#tryStart(flow, item, start));
        }
        const waiting = [...this.#flows.values()].filter((flow) => flow.waiting.length > 0);
        waiting.sort((a, b) => a.priority - b.priority || a.virtualTimeMs - b.virtualTimeMs);
        for (const flow of waiting) {
            if (this.#mustLeaveReserve(flow, slotCount, freeCount)) {
                continue;
            }
            if (flow.waiting.some((item) => this.#tryStart(flow, item, start))) {
                return true;
            }
        }
        return false;
    }

    /** Ends a request that `startNext` started and that occupied its slot for `durationMs`. */
    finish(organisation: string, durationMs: number): void {
        const state = this.#flows.get(organisation);
        if (state !== undefined) {
            state.inFlight -= 1;
            state.virtualTimeMs += durationMs / state.weight;
        }
        this.#meanSlotMs += SLOT_MS_SMOOTHING * (durationMs - this.#meanSlotMs);
    }

    /** Expected wait of one more request of this organisation. */
    expectedWaitMs(flow: Flow, slotCount: number): number {
        const state = this.#activate(flow);
        const slots = Math.max(1, this.#fairShare(state, slotCount));
        return Math.floor((state.waiting.length + 1) / slots) * this.#meanSlotMs;
    }

    waitingCountOf(organisation: string): number {
        return this.#flows.get(organisation)?.waiting.length ?? 0;
    }

    #tryStart(flow: FlowState<Item>, item: Item, start: (item: Item) => boolean): boolean {
        if (!start(item)) {
            return false;
        }
        this.remove(flow.organisation, item);
        this.#virtualTimeMs = Math.max(this.#virtualTimeMs, flow.virtualTimeMs);
        flow.inFlight += 1;
        return true;
    }

    #mustLeaveReserve(flow: FlowState<Item>, slotCount: number, freeCount: number): boolean {
        if (flow.inFlight + 1 <= Math.max(1, this.#fairShare(flow, slotCount))) {
            return false;
        }
        const reserve = Math.min(slotCount - 1, Math.ceil(slotCount * RESERVED_SLOT_SHARE));
        return freeCount <= reserve;
    }

    /** Slots due to the organisation by weight among the active organisations of its own and more urgent classes. */
    #fairShare(flow: FlowState<Item>, slotCount: number): number {
        let totalWeight = 0;
        for (const other of this.#flows.values()) {
            totalWeight += other.priority <= flow.priority ? other.weight : 0;
        }
        return slotCount * flow.weight / totalWeight;
    }

    #activate(flow: Flow): FlowState<Item> {
        const nowMs = this.#options.nowMs();
        for (const [organisation, state] of this.#flows) {
            const isIdle = state.waiting.length === 0 && state.inFlight === 0;
            if (isIdle && nowMs - state.activeAtMs > ACTIVE_WINDOW_MS) {
                this.#flows.delete(organisation);
            }
        }
        const state = this.#flows.get(flow.organisation)
            ?? { ...flow, virtualTimeMs: this.#virtualTimeMs, inFlight: 0, waiting: [], activeAtMs: nowMs };
        Object.assign(state, flow, { activeAtMs: nowMs });
        this.#flows.set(flow.organisation, state);
        return state;
    }
}
