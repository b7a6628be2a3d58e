import { type Context, createContext, mergeTimelines, Timeline } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { type PeerAddress, PeerNetwork } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";

const HOUR_MS = 3_600_000;

const createContextWithClockOffset = (daemonId: string, clockOffsetMs: number): Context => ({
    ...createContext({ daemonId, zone: "zone-a" }),
    timeline: new Timeline({ daemonId, nowMs: () => Date.now() + clockOffsetMs }),
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

// Guards against a merged timeline that lists an effect before its cause when wall clocks differ.
for (const clockOffsetMs of [HOUR_MS, -HOUR_MS]) {
    test(`a cause sorts before its effect when wall clocks differ by ${clockOffsetMs} ms`, async (t) => {
        const ports = await freePorts(2);
        const addresses = ["a-1", "a-2"].map((daemonId, index) => ({
            daemonId,
            zone: "zone-a",
            host: "127.0.0.1",
            port: ports[index] ?? 0,
        }));
        const callerContext = createContextWithClockOffset("a-1", clockOffsetMs);
        const calleeContext = createContextWithClockOffset("a-2", 0);
        const caller = await startPeer(t, callerContext, addresses);
        const callee = await startPeer(t, calleeContext, addresses);
        callee.handle("operator.forward", () => {
            calleeContext.timeline.record("test", "effect");
            return { status: 200, body: {} };
        });
        callerContext.timeline.record("test", "cause");
        await caller.call("a-2", "operator.forward", { method: "GET", path: "status" });
        callerContext.timeline.record("test", "answer");
        const events = mergeTimelines([calleeContext.timeline.events(), callerContext.timeline.events()]);
        t.deepEqual(events.map((event) => event.kind), ["cause", "effect", "answer"]);
    });
}
