import type { PeerAddress } from "@greengage/protocol";

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
