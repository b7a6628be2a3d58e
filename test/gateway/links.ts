import { RelayError, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import type { Relays } from "@greengage/routing";
import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";

/** What happens to the open connections of a link that refuses new ones. */
export const CutKind = {
    Reset: "reset",
    /** They stay open, but carry no more bytes. */
    Silent: "silent",
    /** They live on. */
    Kept: "kept",
} as const;

export type CutKind = typeof CutKind[keyof typeof CutKind];

/** A TCP link to a server that can be cut. While it is cut, new connections are refused. */
export interface Link {
    /** Address of the near end. */
    address: string;
    cut(kind: CutKind): Promise<void>;
    restore(): Promise<void>;
}

const addressParts = (address: string): { host: string; port: number; } => {
    const [host = "", port = ""] = address.split(":");
    return { host, port: Number(port) };
};

/** Starts a link to `address`. */
export const startLink = async (t: ExecutionContext, { address }: { address: string; }): Promise<Link> => {
    const sockets = new Set<Socket>();
    let isSilent = false;
    const forward = (from: Socket, to: Socket): void => {
        sockets.add(from);
        from.on("data", (chunk) => isSilent || to.write(chunk));
        from.on("end", () => isSilent || to.end());
        from.on("error", () => isSilent || to.resetAndDestroy());
        from.on("close", () => {
            sockets.delete(from);
            if (!isSilent) {
                to.destroySoon();
            }
        });
    };
    const onConnection = (near: Socket): void => {
        const far = connect({ ...addressParts(address), allowHalfOpen: true });
        forward(near, far);
        forward(far, near);
    };
    const listen = async (port: number): Promise<Server> => {
        const server = createServer({ allowHalfOpen: true, noDelay: true }, onConnection);
        server.listen(port, "127.0.0.1");
        await once(server, "listening");
        return server;
    };
    let listener = await listen(0);
    const { port } = listener.address() as AddressInfo;
    t.teardown(() => {
        isSilent = true;
        listener.close();
        sockets.forEach((socket) => socket.destroy());
    });
    return {
        address: `127.0.0.1:${port}`,
        cut: async (kind) => {
            listener.close();
            isSilent = kind === CutKind.Silent;
            if (kind === CutKind.Reset) {
                sockets.forEach((socket) => socket.resetAndDestroy());
            }
            await Promise.resolve();
        },
        restore: async () => {
            isSilent = false;
            listener = await listen(port);
        },
    };
};

export interface FakeRelays extends Relays {
    /** Requests to relay, in order. */
    requests: (RelayRequest & { daemonId: string; })[];
    /** Refuses all requests if set. */
    refusal: RelayRefusal | undefined;
    /** Number of connections that break right after they have opened. */
    brokenCount: number;
}

/** Peers with their own addresses for the servers, by the direct address of each server. */
export const createRelays = (peers: Record<string, Record<string, { address: string; }>>): FakeRelays => {
    const relays: FakeRelays = {
        requests: [],
        refusal: undefined,
        brokenCount: 0,
        candidates: () =>
            Object.keys(peers).map((daemonId) => ({
                daemonId,
                zone: "z",
                relayedCount: 0,
                lostServerIds: [],
            })),
        open: async (daemonId, request) => {
            relays.requests.push({ ...request, daemonId });
            const target = peers[daemonId]?.[request.address];
            if (relays.refusal !== undefined || target === undefined) {
                throw new RelayError(relays.refusal ?? RelayRefusal.UnknownServer, "refused by the test");
            }
            const stream = await open(target.address);
            if (relays.brokenCount > 0) {
                relays.brokenCount -= 1;
                stream.on("error", () => undefined).destroy(new Error("broken by the test"));
            }
            return stream;
        },
    };
    return relays;
};

const open = async (address: string): Promise<Duplex> => {
    const socket = connect({ ...addressParts(address), allowHalfOpen: true });
    try {
        await once(socket, "connect");
    }
    catch (error) {
        throw new RelayError(RelayRefusal.ServerUnreachable, "the server can't be reached", error);
    }
    return socket;
};
