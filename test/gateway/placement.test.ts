import { createContext } from "@greengage/base";
import { UsageTable } from "@greengage/fleet";
import { Controllers, PlacementClient, type RequestPlacement } from "@greengage/gateway";
import type { PlacementRequest } from "@greengage/protocol";
import test from "ava";

const requestOf = (model: string): PlacementRequest => ({
    service: "llm",
    model,
    promptTokens: 100,
    zone: "z",
    offsetMs: 0,
    limitMs: 300,
    placeMs: 1_200,
    avoidedEpochs: [],
});

const context = createContext({ daemonId: "e", zone: "z" });
const usageOf = (
    inFlightCount: number,
): { epoch: number; inFlightCount: number; pendingPromptTokens: number; } => ({
    epoch: 7,
    inFlightCount,
    pendingPromptTokens: 100 * inFlightCount,
});

const createClient = (controllerIds: string[], requestPlacement: RequestPlacement): PlacementClient => {
    const controllers = new Controllers(context);
    controllers.setIds(controllerIds);
    return new PlacementClient(controllers, requestPlacement, () => Promise.reject(new Error("not asked")));
};

// Guards against entry daemons that ask different control daemons about one model, which then allocate the same slots twice.
test("all entry daemons ask the same control daemon for a model", async (t) => {
    const asked = new Set<string>();
    for (const order of [["c1", "c2", "c3"], ["c3", "c1", "c2"]]) {
        const client = createClient(order, (id) => {
            asked.add(id);
            return Promise.resolve({ epoch: 1, firstTokenMs: 10 });
        });
        t.is((await client.place(requestOf("large")))?.epoch, 1);
    }
    t.is(asked.size, 1);
});

// Guards against a series of requests that each wait for a frozen control daemon.
test("a control daemon that does not answer is skipped, and the next one is asked", async (t) => {
    const asked: string[] = [];
    const client = createClient(["c1", "c2"], (id) => {
        asked.push(id);
        return asked.length === 1 ? Promise.reject(new Error("no answer")) : Promise.resolve({ epoch: 2 });
    });
    t.is(await client.place(requestOf("large")), undefined);
    t.is((await client.place(requestOf("large")))?.epoch, 2);
    t.is(new Set(asked).size, 2);
});

test("remote usage is the sum over all entry daemons except the one that asks", (t) => {
    const board = new UsageTable();
    board.setEntryUsage("e1", [{ ...usageOf(2), progressAgeMs: 300 }], 0);
    board.setEntryUsage("e2", [{ ...usageOf(3), progressAgeMs: 40 }], 0);
    board.setControllerUsage("c2", [usageOf(10)], 0);
    t.deepEqual(board.totalExcept("e1", 100), [{ ...usageOf(13), progressAgeMs: 140 }]);
    t.deepEqual(board.ownTotal(100).map(({ inFlightCount }) => inFlightCount), [5]);
    t.deepEqual(board.total(100).map(({ inFlightCount }) => inFlightCount), [15]);
});

// Guards against slots that stay occupied by a daemon that has ended.
test("usage reported by a daemon that has ended expires", (t) => {
    const board = new UsageTable();
    board.setEntryUsage("e1", [usageOf(2)], 0);
    board.setEntryUsage("e2", [usageOf(3)], 900);
    t.deepEqual(board.total(1_500), [usageOf(3)]);
});
