/** An organisation that asked within this time counts when the slots are shared out. */
const ACTIVE_MS = 60_000;
/** Share of the slots that an organisation above its fair share leaves free for the others. */
const RESERVE_SHARE = 0.125;
/** Time that a request holds its slot, until the first ones have ended. */
const FIRST_ESTIMATE_MS = 1_000;
const ESTIMATE_WEIGHT = 0.1;

export interface Party {
    organisation: string;
    weight: number;
    /** The lower number goes first, strictly. */
    priority: number;
}

interface PartyState<Item> extends Party {
    /** Slot time used so far, divided by the weight. */
    virtualMs: number;
    inFlight: number;
    waiting: Item[];
    usedAtMs: number;
}

export interface FairQueueOptions {
    /** False serves requests in the order of arrival; the baseline of the measurement. Default: true. */
    isFair?: boolean;
    nowMs: () => number;
}

/**
 * Shares the slots of one model between organisations: by priority class, and within a class by weight.
 * An organisation above its fair share leaves some slots free, so that others start without a wait.
 */
export class FairQueue<Item> {
    readonly #options: FairQueueOptions;
    readonly #parties = new Map<string, PartyState<Item>>();
    readonly #arrivals: { party: PartyState<Item>; item: Item; }[] = [];
    #virtualMs = 0;
    #estimateMs = FIRST_ESTIMATE_MS;
    #waitingCount = 0;

    constructor(options: FairQueueOptions) {
        this.#options = options;
    }

    get length(): number {
        return this.#waitingCount;
    }

    /** Mean time that a request holds its slot. */
    get slotMs(): number {
        return this.#estimateMs;
    }

    add(party: Party, item: Item, isFirst = false): void {
        const state = this.#touch(party);
        if (state.waiting.length === 0 && state.inFlight === 0) {
            // Time without requests earns no credit.
            state.virtualMs = Math.max(state.virtualMs, this.#virtualMs);
        }
        const list = state.waiting;
        list.splice(isFirst ? 0 : list.length, 0, item);
        this.#arrivals.splice(isFirst ? 0 : this.#arrivals.length, 0, { party: state, item });
        this.#waitingCount += 1;
    }

    remove(organisation: string, item: Item): void {
        const state = this.#parties.get(organisation);
        const index = state?.waiting.indexOf(item) ?? -1;
        if (index < 0) {
            return;
        }
        state?.waiting.splice(index, 1);
        this.#arrivals.splice(this.#arrivals.findIndex((arrival) => arrival.item === item), 1);
        this.#waitingCount -= 1;
    }

    /**
     * The waiting request that starts next, or undefined. `start` takes the slot for the item,
     * or returns false when no group suits it. `freeCount` slots of `slotCount` are free.
     */
    next(slotCount: number, freeCount: number, start: (item: Item) => boolean): boolean {
        if (this.#options.isFair === false) {
            return this.#arrivals.some(({ party, item }) => this.#tryStart(party, item, start));
        }
        const waiting = [...this.#parties.values()].filter((party) => party.waiting.length > 0);
        waiting.sort((a, b) => a.priority - b.priority || a.virtualMs - b.virtualMs);
        for (const party of waiting) {
            if (this.#isHeldBack(party, slotCount, freeCount)) {
                continue;
            }
            if (party.waiting.some((item) => this.#tryStart(party, item, start))) {
                return true;
            }
        }
        return false;
    }

    /** Ends a request that `next` started `heldMs` ago. */
    finish(organisation: string, heldMs: number): void {
        const state = this.#parties.get(organisation);
        if (state !== undefined) {
            state.inFlight -= 1;
            state.virtualMs += heldMs / state.weight;
        }
        this.#estimateMs += ESTIMATE_WEIGHT * (heldMs - this.#estimateMs);
    }

    /** Expected wait of a further request of this organisation. */
    expectedWaitMs(party: Party, slotCount: number): number {
        const state = this.#touch(party);
        const slots = Math.max(1, this.#fairSlots(state, slotCount));
        return Math.floor((state.waiting.length + 1) / slots) * this.#estimateMs;
    }

    waitingOf(organisation: string): number {
        return this.#parties.get(organisation)?.waiting.length ?? 0;
    }

    #tryStart(party: PartyState<Item>, item: Item, start: (item: Item) => boolean): boolean {
        if (!start(item)) {
            return false;
        }
        this.remove(party.organisation, item);
        this.#virtualMs = Math.max(this.#virtualMs, party.virtualMs);
        party.inFlight += 1;
        return true;
    }

    #isHeldBack(party: PartyState<Item>, slotCount: number, freeCount: number): boolean {
        if (party.inFlight + 1 <= Math.max(1, this.#fairSlots(party, slotCount))) {
            return false;
        }
        const reserve = Math.min(slotCount - 1, Math.ceil(slotCount * RESERVE_SHARE));
        return freeCount <= reserve;
    }

    /** Slots by weight among the active organisations of the same and of more urgent classes. */
    #fairSlots(party: PartyState<Item>, slotCount: number): number {
        let totalWeight = 0;
        for (const other of this.#parties.values()) {
            totalWeight += other.priority <= party.priority ? other.weight : 0;
        }
        return slotCount * party.weight / totalWeight;
    }

    #touch(party: Party): PartyState<Item> {
        const nowMs = this.#options.nowMs();
        for (const [organisation, state] of this.#parties) {
            const isIdle = state.waiting.length === 0 && state.inFlight === 0;
            if (isIdle && nowMs - state.usedAtMs > ACTIVE_MS) {
                this.#parties.delete(organisation);
            }
        }
        const state = this.#parties.get(party.organisation)
            ?? { ...party, virtualMs: this.#virtualMs, inFlight: 0, waiting: [], usedAtMs: nowMs };
        Object.assign(state, party, { usedAtMs: nowMs });
        this.#parties.set(party.organisation, state);
        return state;
    }
}
