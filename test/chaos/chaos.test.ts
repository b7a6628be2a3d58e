import { planFaults, runChaos } from "@greengage/bench";
import test from "ava";

const targets = {
    daemonIds: ["a-1", "b-1", "c-1"],
    voterIds: ["a-1", "b-1", "c-1"],
    zones: ["a", "b", "c"],
    domains: ["a-rack"],
    vmIds: ["vm-1", "vm-2"],
    ledgerIds: ["ledger-1"],
};

// Guards against runs that can't be reproduced from their seed.
test("the same seed gives the same fault plan", (t) => {
    t.deepEqual(planFaults(7, 120_000, targets), planFaults(7, 120_000, targets));
    t.notDeepEqual(planFaults(7, 120_000, targets), planFaults(8, 120_000, targets));
});

// Guards against violations of the invariants P1 to P8 under combined process and link failures.
for (const seed of [11, 12]) {
    test.serial(`no invariant is violated under the faults of seed ${seed}`, async (t) => {
        t.timeout(240_000);
        const result = await runChaos({ seed, durationS: 20, onMessage: (line) => t.log(line) });
        t.is(result.violations, 0);
        t.true(result.requests > 100);
        t.true(result.actions > 20);
        t.true(result.faults >= 4);
    });
}
