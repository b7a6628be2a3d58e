import type { ExecutionContext } from "ava";
import test from "ava";
import { request } from "undici";
import { type EngineFleet, PlatformEngine } from "./engine.ts";
import { callUntil } from "./fixtures.ts";
import type { Order } from "./groupmember.ts";

const startEngines = async (
    t: ExecutionContext,
    ids: string[],
): Promise<
    {
        engines: PlatformEngine[];
        violatedRules: string[];
        send: (engine: PlatformEngine, order: Order) => Promise<number>;
    }
> => {
    const violatedRules: string[] = [];
    const fleet: EngineFleet = {
        engines: new Map(),
        modelSizes: { m: 2 },
        onRun: () => undefined,
        onViolation: (rule) => violatedRules.push(rule),
    };
    const control = "127.0.0.1:1";
    const engines = await Promise.all(
        ids.map((id) => PlatformEngine.start(t, { id, service: "llm", domain: "d0", control, fleet })),
    );
    const send = async (engine: PlatformEngine, order: Order): Promise<number> => {
        const { statusCode, body } = await request(`http://${engine.address}/greengageridge/order`, {
            method: "POST",
            body: JSON.stringify(order),
        });
        await body.dump();
        return statusCode;
    };
    return { engines, violatedRules, send };
};

const joinOrder = (group: string, epoch: number, members: string[]): Order => ({
    operation: "join",
    group,
    epoch,
    model: "m",
    members,
});

// Guards against soak runs that miss violations because the stand-ins accept orders that the platform's engines penalise.
test("joining another group under a serving head is a violation, and joining after the head has left is not", async (t) => {
    const { engines: [a, b], violatedRules, send } = await startEngines(t, ["a", "b"]);
    if (a === undefined || b === undefined) {
        throw new Error("two engines are needed");
    }
    for (const engine of [a, b]) {
        t.is(await send(engine, joinOrder("g1", 1, ["a", "b"])), 202);
    }
    while (await send(a, { operation: "open", group: "g1", epoch: 1 }) === 409) {
        // Retries until the join has completed, some milliseconds later.
    }
    t.is(await send(b, joinOrder("g2", 2, ["b", "c"])), 202);
    t.deepEqual(violatedRules, ["TWO"]);
    t.is(await send(a, { operation: "leave", group: "g1", epoch: 1 }), 200);
    t.is(await send(a, joinOrder("g3", 3, ["a", "b"])), 202);
    t.is(await send(b, joinOrder("g3", 3, ["a", "b"])), 202);
    t.deepEqual(violatedRules, ["TWO"]);
});

test("a request in a group with a member that was never ready is a violation", async (t) => {
    const { engines: [a, b], violatedRules, send } = await startEngines(t, ["a", "b"]);
    if (a === undefined || b === undefined) {
        throw new Error("two engines are needed");
    }
    await send(a, joinOrder("g1", 1, ["a", "b"]));
    while (await send(a, { operation: "open", group: "g1", epoch: 1 }) === 409) {
        // Retries until the join has completed, some milliseconds later.
    }
    // The member joins, but doesn't become ready before the request.
    b.member.loadMs = 60_000;
    await send(b, joinOrder("g1", 1, ["a", "b"]));
    await callUntil(200, `http://${a.address}/x`, { method: "POST", body: "text 1" });
    t.deepEqual(violatedRules, ["PARTIAL"]);
});
