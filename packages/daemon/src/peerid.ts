import type { Context } from "@greengage/base";
import { type PeerAddress, PeerNetwork } from "@greengage/protocol";

/** Id of a daemon that is found by its address: `host:port` of its inner protocol. */
export const peerIdOf = (host: string, port: number): string => `${host}:${port}`;

/** Address of a daemon whose id was made by `peerIdOf`; undefined for any other id. */
export const addressOfPeer = (daemonId: string): PeerAddress | undefined => {
    const portAt = daemonId.lastIndexOf(":");
    const port = Number(daemonId.slice(portAt + 1));
    if (portAt <= 0 || !Number.isInteger(port)) {
        return undefined;
    }
    return { daemonId, zone: "", host: daemonId.slice(0, portAt), port };
};

/** Peers that are found by their ids, so that no table of addresses is needed. */
export const createPeerNetwork = (
    { context, listen, peerKey }: {
        context: Context;
        listen: { host: string; port: number; };
        peerKey: string;
    },
): PeerNetwork => new PeerNetwork({ context, listen, addresses: [], key: peerKey, resolve: addressOfPeer });
