import { ServiceRetryBudgets } from "@greengage/gateway";
import test from "ava";

const LIMITS = { share: 0.2, slack: 300 };
const DAEMON_COUNT = 60;
const REQUESTS_PER_DAEMON = 50;

// Guards against exceeding the shared budget when a fault affects all daemons at the same time.
test("the total retries of all daemons stay within the budget of a service", (t) => {
    const daemons = Array.from({ length: DAEMON_COUNT }, () => {
        const budgets = new ServiceRetryBudgets(LIMITS);
        budgets.setDaemonCount(DAEMON_COUNT);
        return budgets.forService("llm");
    });
    let retryCount = 0;
    for (const budget of daemons) {
        for (let index = 0; index < REQUESTS_PER_DAEMON; index += 1) {
            budget.countRequest(0);
        }
        while (budget.takeRetry(0)) {
            retryCount += 1;
        }
    }
    const limit = LIMITS.share * DAEMON_COUNT * REQUESTS_PER_DAEMON + LIMITS.slack;
    t.true(retryCount <= limit);
    t.true(retryCount >= 0.6 * limit, "most of the budget is usable");
});

// Guards against a service that exhausts the retry budget of another one.
test("each service has its own retry budget", (t) => {
    const budgets = new ServiceRetryBudgets({ share: 0, slack: 1 });
    t.true(budgets.forService("llm").takeRetry(0));
    t.false(budgets.forService("llm").takeRetry(0));
    t.true(budgets.forService("ledger").takeRetry(0));
});

// Guards against a budget that is reset whenever the number of daemons changes.
test("used retries stay counted when the number of daemons changes", (t) => {
    const budgets = new ServiceRetryBudgets({ share: 0, slack: 5 });
    const budget = budgets.forService("llm");
    for (let index = 0; index < 4; index += 1) {
        t.true(budget.takeRetry(0));
    }
    budgets.setDaemonCount(2);
    t.false(budgets.forService("llm").takeRetry(0));
});
