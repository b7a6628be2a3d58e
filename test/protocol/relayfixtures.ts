import { createContext } from "@greengage/base";
import { freePorts } from "@greengage/faults";
import { PeerNetwork, type RelayHandler, type RelayRequest, type RelayStream } from "@greengage/protocol";
import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export const HOST = "127.0.0.1";
export const KEY = "key";
/** Generous, since test machines can be busy. */
export const OPEN_TIMEOUT_MS = 10_000;

/** Opens the server's connection without any check. */
export const connectDirectly: RelayHandler = async ({ address }) => {
    const [host = "", port] = address.split(":");
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    await once(socket, "connect");
    return socket;
};

export interface RelayFixture {
    requester: PeerNetwork;
    relay: PeerNetwork;
    relayPort: number;
    /** Opens a connection to the server through the relay. */
    open(): Promise<RelayStream>;
    request: RelayRequest;
    /** Connections that the server has accepted, in their order. */
    serverSockets: Socket[];
}

export interface RelayFixtureOptions {
    handler?: RelayHandler;
    onServerConnection?: (socket: Socket) => void;
}

const startNetwork = async (
    t: ExecutionContext,
    daemonId: string,
    port: number,
    relayPort: number,
): Promise<PeerNetwork> => {
    const network = new PeerNetwork({
        context: createContext({ daemonId, zone: "z" }),
        listen: { host: HOST, port },
        addresses: [{ daemonId: "relay", zone: "z", host: HOST, port: relayPort }],
        key: KEY,
    });
    await network.start();
    t.teardown(() => network.close());
    return network;
};

/** Starts two daemons' networks and a server, to which daemon `relay` opens connections for daemon `requester`. */
export const startRelay = async (
    t: ExecutionContext,
    { handler = connectDirectly, onServerConnection = () => undefined }: RelayFixtureOptions = {},
): Promise<RelayFixture> => {
    const serverSockets: Socket[] = [];
    const server = createServer({ allowHalfOpen: true }, (socket) => {
        serverSockets.push(socket);
        socket.on("error", () => undefined);
        onServerConnection(socket);
    });
    server.listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        serverSockets.forEach((socket) => socket.destroy());
    });
    const [port = 0, relayPort = 0] = await freePorts(2);
    const relay = await startNetwork(t, "relay", relayPort, relayPort);
    relay.handleRelays(handler);
    const requester = await startNetwork(t, "requester", port, relayPort);
    const request = { serverId: "s", address: `${HOST}:${(server.address() as AddressInfo).port}` };
    return {
        requester,
        relay,
        relayPort,
        request,
        serverSockets,
        open: () => requester.openRelay("relay", request, OPEN_TIMEOUT_MS),
    };
};

/** How a stream ended, with the bytes before. */
export interface StreamOutcome {
    bytes: Buffer;
    isRegularEnd: boolean;
    error: Error | undefined;
}

/** Reads a stream until it ends or fails. */
export const readStream = (stream: RelayStream): Promise<StreamOutcome> =>
    new Promise((resolve) => {
        const chunks: Buffer[] = [];
        stream.on("data", (chunk: Buffer) => chunks.push(chunk));
        const finish = (isRegularEnd: boolean, error?: Error): void =>
            resolve({ bytes: Buffer.concat(chunks), isRegularEnd, error });
        stream.once("end", () => finish(true));
        stream.once("error", (error) => finish(false, error));
        stream.once("close", () => finish(false));
    });
