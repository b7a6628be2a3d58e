import { RetryBudget } from "@greengage/routing";

/** Limits on the retries to one service within ten seconds, over all daemons. */
export interface RetryLimits {
    /** Retries per request. */
    share: number;
    /** Retries on top of `share`. */
    slack: number;
}

/** Daemons use only part of the shared budget, as their counting windows are not aligned. */
const USABLE_BUDGET_SHARE = 0.8;

/** This daemon's share of the retry budget of each service. */
export class ServiceRetryBudgets {
    readonly #limits: RetryLimits;
    readonly #budgets = new Map<string, RetryBudget>();
    #daemonCount = 1;

    constructor(limits: RetryLimits) {
        this.#limits = limits;
    }

    forService(service: string): RetryBudget {
        const budget = this.#budgets.get(service)
            ?? new RetryBudget({
                share: USABLE_BUDGET_SHARE * this.#limits.share,
                minimum: 0,
                slack: this.#slackPerDaemon(),
            });
        this.#budgets.set(service, budget);
        return budget;
    }

    /** Divides the slack among this many daemons. Retries used so far stay counted. */
    setDaemonCount(count: number): void {
        this.#daemonCount = Math.max(1, count);
        for (const budget of this.#budgets.values()) {
            budget.setSlack(this.#slackPerDaemon());
        }
    }

    #slackPerDaemon(): number {
        return Math.max(1, USABLE_BUDGET_SHARE * this.#limits.slack / this.#daemonCount);
    }
}
