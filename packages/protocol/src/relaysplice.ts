import { confirmEnd } from "@greengage/base";
import type { Duplex } from "node:stream";
import { type RelayStream, RelayStreamError } from "./relaystream.ts";

/**
 * Passes bytes between a peer and a backend server until either side closes, with back-pressure. The peer gets a regular end
 * only if the server has ended the connection regularly. `server` must allow half-open connections.
 */
export const splice = (peer: RelayStream, server: Duplex): void => {
    const fail = (): void => peer.fail(new RelayStreamError("the connection to the server failed"));
    server.pipe(peer, { end: false });
    peer.pipe(server);
    server.once("end", () => confirmEnd(server, () => peer.end()));
    server.on("error", fail);
    server.once("close", () => {
        if (!peer.writableEnded) {
            fail();
        }
    });
    peer.on("error", () => undefined);
    peer.once("close", () => server.destroy());
};
