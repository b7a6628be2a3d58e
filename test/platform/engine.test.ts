import type { ExecutionContext } from "ava";
import test from "ava";
import { request } from "undici";
import { type EngineFleet, PlatformEngine } from "./engine.ts";
import { callUntil } from "./fixtures.ts";
import type { Order } from "./member.ts";

const startEngines = async (
    t: ExecutionContext,
    ids: string[],
): Promise<
    {
        engines: PlatformEngine[];
        rules: string[];
        send: (engine: PlatformEngine, order: Order) => Promise<number>;
    }
> => {
    const rules: string[] = [];
    const fleet: EngineFleet = {
        engines: new Map(),
        modelSizes: { m: 2 },
        onRun: () => undefined,
        onViolation: (rule) => rules.push(rule),
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
    return { engines, rules, send };
};

const joinOf = (group: string, epoch: number, members: string[]): Order => ({
    operation: "join",
    group,
    epoch,
    model: "m",
    members,
});

// Guards against a soak that finds nothing because its stand-ins accept what the engines of the platform punish.
test("a join under a serving head is noted, and one after the head has left is not", async (t) => {
    const { engines: [a, b], rules, send } = await startEngines(t, ["a", "b"]);
    if (a === undefined || b === undefined) {
        throw new Error("two engines are needed");
    }
    for (const engine of [a, b]) {
        t.is(await send(engine, joinOf("g1", 1, ["a", "b"])), 202);
    }
    while (await send(a, { operation: "open", group: "g1", epoch: 1 }) === 409) {
        // The join takes some milliseconds.
    }
    t.is(await send(b, joinOf("g2", 2, ["b", "c"])), 202);
    t.deepEqual(rules, ["TWO"]);
    t.is(await send(a, { operation: "leave", group: "g1", epoch: 1 }), 200);
    t.is(await send(a, joinOf("g3", 3, ["a", "b"])), 202);
    t.is(await send(b, joinOf("g3", 3, ["a", "b"])), 202);
    t.deepEqual(rules, ["TWO"]);
});

test("a request in a group with a member that was never ready is noted", async (t) => {
    const { engines: [a, b], rules, send } = await startEngines(t, ["a", "b"]);
    if (a === undefined || b === undefined) {
        throw new Error("two engines are needed");
    }
    await send(a, joinOf("g1", 1, ["a", "b"]));
    while (await send(a, { operation: "open", group: "g1", epoch: 1 }) === 409) {
        // The join takes some milliseconds.
    }
    await send(b, joinOf("g1", 1, ["a", "b"]));
    await callUntil(200, `http://${a.address}/x`, { method: "POST", body: "text 1" });
    t.deepEqual(rules, ["PARTIAL"]);
});
