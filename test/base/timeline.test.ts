import { type Context, createContext, mergeTimelines, Timeline } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { type PeerAddress, PeerNetwork } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";

const HOUR_MS = 3_600_000;

const contextOf = (daemonId: string, aheadMs: number): Context => ({
    ...createContext({ daemonId, zone: "zone-a" }),
    timeline: new Timeline({ daemonId, nowMs: () => Date.now() + aheadMs }),
});

const startPeer = async (
    t: ExecutionContext,
    context: Context,
    addresses: PeerAddress[],
): Promise<PeerNetwork> => {
    const own = addresses.find((address) => address.daemonId === context.daemonId);
    const peers = new PeerNetwork({ context, listen: own as PeerAddress, addresses, key: "peer-key" });
    await peers.start();
    t.teardown(() => peers.close());
    return peers;
};

// Guards against a time line that shows an effect before its cause when clocks are wrong.
for (const aheadMs of [HOUR_MS, -HOUR_MS]) {
    test(`a cause sorts before its effect when clocks differ by ${aheadMs} ms`, async (t) => {
        const ports = await freePorts(2);
        const addresses = ["a-1", "a-2"].map((daemonId, index) => ({
            daemonId,
            zone: "zone-a",
            host: "127.0.0.1",
            port: ports[index] ?? 0,
        }));
        const first = contextOf("a-1", aheadMs);
        const second = contextOf("a-2", 0);
        const caller = await startPeer(t, first, addresses);
        const called = await startPeer(t, second, addresses);
        called.handle("operator.forward", () => {
            second.timeline.record("test", "effect");
            return { status: 200, body: {} };
        });
        first.timeline.record("test", "cause");
        await caller.call("a-2", "operator.forward", { method: "GET", path: "status" });
        first.timeline.record("test", "answer");
        const events = mergeTimelines([second.timeline.events(), first.timeline.events()]);
        t.deepEqual(events.map((event) => event.kind), ["cause", "effect", "answer"]);
    });
}
