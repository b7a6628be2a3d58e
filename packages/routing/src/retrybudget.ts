const SLOT_MS = 1_000;
const SLOTS = 10;

export interface RetryBudgetOptions {
    /** Retries per request. Default: 0.1. */
    share?: number;
    /** Retries within 10 s that are always allowed. Default: 10. */
    minimum?: number;
    /** Retries within 10 s on top of the share. Default: 0. */
    extra?: number;
}

/** Bounds the retries of a daemon within the last 10 s, so that a fault does not multiply the load. */
export class RetryBudget {
    readonly #share: number;
    readonly #minimum: number;
    #extra: number;
    readonly #slots = Array.from({ length: SLOTS }, () => ({ index: -1, requests: 0, retries: 0 }));

    constructor(options: RetryBudgetOptions = {}) {
        this.#share = options.share ?? 0.1;
        this.#minimum = options.minimum ?? 10;
        this.#extra = options.extra ?? 0;
    }

    setExtra(extra: number): void {
        this.#extra = extra;
    }

    countRequest(nowMs: number): void {
        this.#slot(nowMs).requests += 1;
    }

    /** Takes one retry. Returns false when the budget is spent. */
    takeRetry(nowMs: number): boolean {
        const oldest = Math.floor(nowMs / SLOT_MS) - SLOTS;
        const recent = this.#slots.filter((slot) => slot.index > oldest);
        const requests = recent.reduce((sum, slot) => sum + slot.requests, 0);
        const retries = recent.reduce((sum, slot) => sum + slot.retries, 0);
        if (retries >= Math.max(this.#minimum, requests * this.#share + this.#extra)) {
            return false;
        }
        this.#slot(nowMs).retries += 1;
        return true;
    }

    #slot(nowMs: number): { index: number; requests: number; retries: number; } {
        const index = Math.floor(nowMs / SLOT_MS);
        const slot = this.#slots[index % SLOTS] as { index: number; requests: number; retries: number; };
        if (slot.index !== index) {
            Object.assign(slot, { index, requests: 0, retries: 0 });
        }
        return slot;
    }
}
