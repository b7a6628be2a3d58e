import { createContext } from "@greengage/base";
import { CrashSuspects } from "@greengage/gateway";
import { requestCulpritId } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";

const SERVICE = "ledger";
const REQUEST = { partIds: [requestCulpritId("f1")], hasHead: false };

const createParts = (t: ExecutionContext, { confirms }: { confirms: boolean; }): CrashSuspects => {
    const parts = new CrashSuspects(createContext({ daemonId: "d1", zone: "z" }), {
        report: async ({ serverCrashes = [] }) => ({
            isAccepted: true,
            crashedEpochs: [],
            crashedServerIds: confirms ? serverCrashes.map(({ serverId }) => serverId) : [],
        }),
        requestTrial: async () => false,
    });
    t.teardown(() => parts.close());
    return parts;
};

// Guards against a request that goes on to a third server after two have crashed under it.
test("a request may be repeated after the first server that crashes under it, but not after the second", async (t) => {
    const parts = createParts(t, { confirms: true });
    t.true(await parts.recordServerFailure(SERVICE, "s1", REQUEST));
    t.false(await parts.recordServerFailure(SERVICE, "s2", REQUEST));
    const other = { partIds: [requestCulpritId("f2")], hasHead: false };
    t.true(await parts.recordServerFailure(SERVICE, "s3", other));
    t.true(await parts.recordServerFailure(SERVICE, "s4", { ...REQUEST, hasEvents: true }));
});

test("a request may be repeated as often as its connection fails and no server has crashed", async (t) => {
    const parts = createParts(t, { confirms: false });
    for (const serverId of ["s1", "s2", "s3"]) {
        t.true(await parts.recordServerFailure(SERVICE, serverId, REQUEST));
    }
});
