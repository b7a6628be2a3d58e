import type { Context } from "@greengage/base";
import { type PeerAddress, PeerNetwork } from "@greengage/protocol";

/** Id that encodes a daemon's address: `host:port` of the protocol between daemons. */
export const peerIdOf = (host: string, port: number): string => `${host}:${port}`;

/** Decodes an id made by `peerIdOf`. Returns undefined for any other id. */
export const addressOfPeer = (daemonId: string): PeerAddress | undefined => {
    const colonIndex = daemonId.lastIndexOf(":");
    const port = Number(daemonId.slice(colonIndex + 1));
    if (colonIndex <= 0 || !Number.isInteger(port)) {
        return undefined;
    }
    return { daemonId, zone: "", host: daemonId.slice(0, colonIndex), port };
};

/** Creates a peer network that derives addresses from daemon ids, so that it needs no address list. */
export const createPeerNetwork = (
    { context, listen, peerKey }: {
        context: Context;
        listen: { host: string; port: number; };
        peerKey: string;
    },
): PeerNetwork => new PeerNetwork({ context, listen, addresses: [], key: peerKey, resolve: addressOfPeer });
