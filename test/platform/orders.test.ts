import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { OrderOutcome } from "@greengage/fleet";
import test, { type ExecutionContext } from "ava";
import { HttpEngineOrders } from "../../platform/orders.ts";
import { reportOf } from "../fleet/fixtures.ts";
import { PlatformEngine } from "./engine.ts";

const group = { groupName: "g", epoch: 3 };

const createOrders = (t: ExecutionContext): HttpEngineOrders => {
    const orders = new HttpEngineOrders(createContext({ daemonId: "c", zone: "z" }));
    t.teardown(() => orders.destroy());
    return orders;
};

// Guards against reassigning the members of a head that still serves behind a partition that refuses connections.
test("a refused connection does not prove that a process has ended", async (t) => {
    const [port] = await freePorts(1);
    const server = reportOf("e1", { address: `127.0.0.1:${port}` });
    const orders = createOrders(t);
    t.is(await orders.leave(server, group), OrderOutcome.Unknown);
    t.deepEqual(await orders.probe(server), { kind: "silent" });
});

test("an engine executes orders for its group, and refuses orders for the former engine at its address", async (t) => {
    const engine = await PlatformEngine.start(t, {
        id: "e1",
        service: "llm",
        domain: "d",
        control: "127.0.0.1:1",
    });
    const server = reportOf("e1", { address: engine.address });
    const orders = createOrders(t);
    t.is(await orders.join(server, { ...group, model: "m", memberIds: ["e1"] }), OrderOutcome.Accepted);
    t.is(
        await orders.join(server, { ...group, epoch: 2, model: "m", memberIds: ["e1"] }),
        OrderOutcome.Refused,
    );
    t.is(await orders.leave(server, group), OrderOutcome.Accepted);
    t.is(await orders.open(server, group), OrderOutcome.Refused);
    const formerServer = { ...server, serverId: "e0" };
    t.is(await orders.leave(formerServer, group), OrderOutcome.WrongServer);
    t.deepEqual(await orders.probe(formerServer), { kind: "ended" });
});
