import { RetryBudget } from "@greengage/routing";

/** Bound on the attempts beyond the first to one service within ten seconds, over all daemons. */
export interface RetryLimits {
    /** Per request. */
    share: number;
    /** On top of the share. */
    slack: number;
}

/** Part of the common budget that daemons use: they count requests at different moments. */
const USED_SHARE = 0.8;

/** This daemon's part of the retry budget of each service. */
export class ServiceBudgets {
    readonly #limits: RetryLimits;
    readonly #budgets = new Map<string, RetryBudget>();
    #daemonCount = 1;

    constructor(limits: RetryLimits) {
        this.#limits = limits;
    }

    of(service: string): RetryBudget {
        const budget = this.#budgets.get(service)
            ?? new RetryBudget({ share: USED_SHARE * this.#limits.share, minimum: 0, extra: this.#extra() });
        this.#budgets.set(service, budget);
        return budget;
    }

    /** Shares the slack out among this many daemons. What was used so far stays counted. */
    setDaemonCount(count: number): void {
        this.#daemonCount = Math.max(1, count);
        for (const budget of this.#budgets.values()) {
            budget.setExtra(this.#extra());
        }
    }

    #extra(): number {
        return Math.max(1, USED_SHARE * this.#limits.slack / this.#daemonCount);
    }
}
