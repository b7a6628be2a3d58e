import { TableState } from "@greengage/table";
import test from "ava";
import type { DaemonRecord } from "../../packages/membership/src/daemonregistry.ts";
import { LimitExchange } from "../../packages/membership/src/limitexchange.ts";

const createDaemonRecord = (daemonId: string, requestsPerS: number): DaemonRecord => ({
    daemonId,
    zone: "a",
    renewedAtMs: performance.now(),
    viewVersion: undefined,
    inFlight: undefined,
    demand: [{ organisation: "vatulele", requestsPerS, concurrent: 1 }],
});

const createTable = (): TableState => {
    const table = new TableState();
    const columns = { requestsPerS: 1_000, maxConcurrent: 1_000 };
    const changes = [{ kind: "organisation", name: "vatulele", baseVersion: 0, columns }];
    table.apply(1, { type: "table.edit", editId: "e1", operator: "x", atMs: 1, changes } as never);
    return table;
};

// Guards against requests that are rejected far below the limit, because the first daemon to renew lost the whole share
// that its zone was about to transfer.
test("an outgoing share is deducted from all daemons of the zone in proportion to their demand", (t) => {
    const exchange = new LimitExchange({ zone: "a", zones: ["a", "b"], table: createTable() });
    const daemons = [createDaemonRecord("a-1", 10), createDaemonRecord("a-2", 10)];
    exchange.applyMessage({ zone: "b", demand: [], transfers: [] });
    exchange.step(daemons);
    const before = daemons.map(({ daemonId }) =>
        exchange.issueShares(daemonId, daemons)[0]?.requestsPerS ?? 0
    );

    const demand = [{ organisation: "vatulele", requestsPerS: 200, concurrent: 20 }];
    exchange.applyMessage({ zone: "b", demand, transfers: [] });
    const now = performance.now.bind(performance);
    performance.now = () => now() + 600;
    t.teardown(() => void (performance.now = now));
    exchange.step(daemons);
    const firstAfter = exchange.issueShares("a-1", daemons)[0]?.requestsPerS ?? 0;
    const secondAfter = exchange.issueShares("a-2", daemons)[0]?.requestsPerS ?? 0;
    t.true(firstAfter < (before[0] ?? 0), `${firstAfter} is not below ${before[0]}`);
    t.is(firstAfter, secondAfter);
});
