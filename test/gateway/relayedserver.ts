import { freePorts } from "@greengage/faults";
import type { Relays } from "@greengage/routing";
import type { ExecutionContext } from "ava";
import { startRelay } from "../protocol/relayfixtures.ts";

/** Starts a peer that relays all connections to `server`, which the gateway doesn't reach at the address returned. */
export const relayTo = async (
    t: ExecutionContext,
    server: { address: string; },
): Promise<{ address: string; relays: Relays; }> => {
    const { requester } = await startRelay(t);
    const [port = 0] = await freePorts(1);
    return {
        address: `127.0.0.1:${port}`,
        relays: {
            candidates: () => [{ daemonId: "relay", zone: "z", relayedCount: 0, lostServerIds: [] }],
            open: (daemonId, request, timeoutMs) =>
                requester.openRelay(daemonId, { ...request, address: server.address }, timeoutMs),
        },
    };
};
