import { createContext } from "@greengage/base";
import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { createEntryMetricsListener } from "../../platform/metricslistener.ts";

// Guards against operators who can't see through which daemons a daemon with lost paths serves.
test("operators see a daemon's lost servers and the peers that it may use", async (t) => {
    const context = createContext({ daemonId: "a", zone: "z" });
    const listener = createEntryMetricsListener(context, {
        gateway: undefined as never,
        relayStatus: () => ({
            zone: "z",
            relayedCount: 2,
            mayRelay: true,
            lostServerIds: ["s1"],
            relayRevision: 7,
            candidates: [{ daemonId: "b", zone: "y", relayedCount: 3, lostServerIds: [] }],
        }),
    });
    const server = createServer(listener).listen(0, "127.0.0.1");
    t.teardown(() => server.close());
    await once(server, "listening");
    const { body } = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/relays`);
    t.deepEqual(await body.json(), {
        relayed: 2,
        may_relay: true,
        lost: ["s1"],
        relays: [{ daemon: "b", zone: "y", relayed: 3, lost: [] }],
    });
});
