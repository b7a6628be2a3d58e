import { type Context, Lifecycle, type Log, LogPart, messageOf, monotonicMs } from "@greengage/base";
import { type WebSocket, WebSocketServer } from "ws";
import { PeerConnection } from "./connection.ts";
import { PeerUnreachableError, RelayError } from "./errors.ts";
import { dial, MAX_FRAME_BYTES, receiveHello } from "./handshake.ts";
import type { Calls, CallType, Hello, Notices, NoticeType } from "./messages.ts";
import type { CallHandler, CallOptions, NoticeHandler, PeerAddress, Peers } from "./peers.ts";
import { RelayRefusal, type RelayRequest } from "./relay.ts";
import type { RelayStream } from "./relaystream.ts";
import { type RelayHandler, RelayTunnels } from "./relaytunnel.ts";

const DEFAULT_CALL_TIMEOUT_MS = 2_000;
// Calls fail immediately for this long after a failed attempt, so that not every call to a dead peer tries to connect.
const RECONNECT_DELAY_MS = 200;

export interface PeerNetworkOptions {
    context: Context;
    /** Address at which this daemon accepts connections from its peers. */
    listen: { host: string; port: number; };
    addresses: PeerAddress[];
    /** Looks up a daemon that is not in `addresses`, for clusters without a fixed list of daemons. Default: none. */
    resolve?: (daemonId: string) => PeerAddress | undefined;
    /** Secret key that all daemons share. */
    key: string;
}

/** Counters of the traffic with the other daemons. */
export interface PeerTraffic {
    sentFrames: number;
    receivedFrames: number;
    sentBytes: number;
    receivedBytes: number;
}

/** WebSocket connections to the other daemons. The connection to a peer is opened by the first message to it. */
export class PeerNetwork implements Peers {
    readonly daemonId: string;
    readonly addresses: readonly PeerAddress[];
    readonly #options: PeerNetworkOptions;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #callHandlers = new Map<CallType, CallHandler<CallType>>();
    readonly #noticeHandlers = new Map<NoticeType, NoticeHandler<NoticeType>>();
    readonly #connectionAttempts = new Map<string, Promise<PeerConnection>>();
    readonly #outgoingConnections = new Map<string, PeerConnection>();
    readonly #incomingConnections = new Map<string, PeerConnection>();
    readonly #tunnels: RelayTunnels;
    readonly #traffic: PeerTraffic = { sentFrames: 0, receivedFrames: 0, sentBytes: 0, receivedBytes: 0 };

    constructor(options: PeerNetworkOptions) {
        this.#options = options;
        this.daemonId = options.context.daemonId;
        this.addresses = options.addresses.filter((address) => address.daemonId !== this.daemonId);
        this.#log = options.context.logs(LogPart.Peer);
        this.#tunnels = new RelayTunnels(options);
    }

    /** Traffic since the start. Frame counters include calls and notices only, byte counters all frames. */
    get traffic(): PeerTraffic {
        return { ...this.#traffic };
    }

    /** Starts to accept connections. Throws if the address is in use. */
    async start(): Promise<void> {
        const server = new WebSocketServer({ ...this.#options.listen, maxPayload: MAX_FRAME_BYTES });
        server.on("connection", (socket) => this.#accept(socket));
        await new Promise<void>((resolve, reject) => {
            server.once("listening", resolve);
            server.once("error", reject);
        });
        this.#lifecycle.onClose(() =>
            new Promise<void>((resolve) => {
                for (const client of server.clients) {
                    client.terminate();
                }
                server.close(() => resolve());
            })
        );
    }

    async close(): Promise<void> {
        for (const connection of this.#outgoingConnections.values()) {
            connection.close();
        }
        this.#tunnels.close();
        await this.#lifecycle.close();
    }

    async call<T extends CallType>(
        daemonId: string,
        type: T,
        request: Calls[T]["request"],
        options: CallOptions = {},
    ): Promise<Calls[T]["response"]> {
        if (daemonId === this.daemonId) {
            return await this.#dispatch(type, request, daemonId) as Calls[T]["response"];
        }
        const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
        const startedAtMs = monotonicMs();
        const connection = this.#outgoingConnections.get(daemonId)
            ?? await this.#connectWithin(daemonId, timeoutMs);
        this.#traffic.sentFrames += 1;
        const remainingMs = Math.max(1, timeoutMs - (monotonicMs() - startedAtMs));
        return await connection.call(type, request, remainingMs) as Calls[T]["response"];
    }

    /** Connects, or throws after `timeoutMs`. The attempt continues after that, for later calls. */
    #connectWithin(daemonId: string, timeoutMs: number): Promise<PeerConnection> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                reject(
                    new PeerUnreachableError(
                        daemonId,
                        new Error(`connection not established within ${timeoutMs} ms`),
                    ),
                );
            }, timeoutMs);
            this.#getOrConnect(daemonId).then(resolve, reject).finally(() => clearTimeout(timer));
        });
    }

    notify<T extends NoticeType>(daemonId: string, type: T, notice: Notices[T]): void {
        if (daemonId === this.daemonId) {
            this.#noticeHandlers.get(type)?.(notice, daemonId);
            return;
        }
        this.#traffic.sentFrames += 1;
        const openConnection = this.#outgoingConnections.get(daemonId)
            ?? this.#incomingConnections.get(daemonId);
        if (openConnection?.isOpen) {
            openConnection.notify(type, notice);
            return;
        }
        this.#getOrConnect(daemonId).then(
            (connection) => connection.notify(type, notice),
            () => undefined,
        );
    }

    handle<T extends CallType>(type: T, handler: CallHandler<T>): void {
        this.#callHandlers.set(type, handler as unknown as CallHandler<CallType>);
    }

    handleNotice<T extends NoticeType>(type: T, handler: NoticeHandler<T>): void {
        this.#noticeHandlers.set(type, handler as unknown as NoticeHandler<NoticeType>);
    }

    /**
     * Opens a connection to a backend server through a peer, on a connection of its own. Rejects with `RelayError` after
     * `timeoutMs` at the latest; no byte has reached the server then.
     */
    async openRelay(daemonId: string, request: RelayRequest, timeoutMs: number): Promise<RelayStream> {
        const address = this.#addressOf(daemonId);
        if (address === undefined) {
            throw new RelayError(RelayRefusal.PeerUnreachable, UNKNOWN_ADDRESS);
        }
        return await this.#tunnels.open(address, request, timeoutMs);
    }

    /** Registers the handler that opens connections to backend servers for peers, in place of an earlier one. */
    handleRelays(handler: RelayHandler): void {
        this.#tunnels.handle(handler);
    }

    async #dispatch(type: CallType, request: unknown, from: string): Promise<unknown> {
        const handler = this.#callHandlers.get(type);
        if (handler === undefined) {
            throw new Error(`no handler registered for ${type}`);
        }
        return await handler(request as Calls[CallType]["request"], from);
    }

    readonly #frameHandlers = {
        countBytes: (direction: "sentBytes" | "receivedBytes", sizeBytes: number): void => {
            this.#traffic[direction] += sizeBytes;
        },
        handleCall: (type: CallType, request: unknown, from: string): Promise<unknown> => {
            this.#traffic.receivedFrames += 1;
            return this.#dispatch(type, request, from);
        },
        handleNotice: (type: NoticeType, notice: unknown, from: string): void => {
            this.#traffic.receivedFrames += 1;
            try {
                this.#noticeHandlers.get(type)?.(notice as Notices[NoticeType], from);
            }
            catch (error) {
                this.#options.context.decisions.record("peer.noticeFailed", {
                    type,
                    from,
                    reason: messageOf(error),
                });
            }
        },
        handleInvalidFrame: (from: string, error: unknown): void => {
            this.#options.context.decisions.record("peer.invalidFrame", { from, reason: messageOf(error) });
        },
    };

    #getOrConnect(daemonId: string): Promise<PeerConnection> {
        const existing = this.#connectionAttempts.get(daemonId);
        if (existing !== undefined) {
            return existing;
        }
        const address = this.#addressOf(daemonId);
        if (address === undefined) {
            return Promise.reject(new PeerUnreachableError(daemonId, new Error(UNKNOWN_ADDRESS)));
        }
        const attempt = this.#connect(address);
        this.#connectionAttempts.set(daemonId, attempt);
        attempt.then(
            (connection) => this.#outgoingConnections.set(daemonId, connection),
            () => setTimeout(() => this.#connectionAttempts.delete(daemonId), RECONNECT_DELAY_MS).unref(),
        );
        return attempt;
    }

    #addressOf(daemonId: string): PeerAddress | undefined {
        return this.addresses.find((candidate) => candidate.daemonId === daemonId)
            ?? this.#options.resolve?.(daemonId);
    }

    async #connect(address: PeerAddress): Promise<PeerConnection> {
        const { socket, opened } = dial(address, this.#options);
        socket.once("close", () => {
            this.#connectionAttempts.delete(address.daemonId);
            this.#outgoingConnections.delete(address.daemonId);
        });
        await opened;
        return this.#createConnection(address.daemonId, socket);
    }

    #accept(socket: WebSocket): void {
        socket.on("error", (error) => this.#log.debug("connection failed", { reason: messageOf(error) }));
        receiveHello(socket, this.#options, (hello) => {
            if (hello === undefined) {
                this.#log.warn(
                    "rejected a connection whose hello is invalid or doesn't prove the shared key",
                );
                socket.terminate();
                return;
            }
            this.#serve(socket, hello);
        });
    }

    #serve(socket: WebSocket, hello: Hello): void {
        if (hello.relay !== undefined) {
            void this.#tunnels.accept(socket, hello.relay, hello.daemonId);
            return;
        }
        const connection = this.#createConnection(hello.daemonId, socket);
        this.#incomingConnections.set(hello.daemonId, connection);
        socket.once("close", () => {
            if (this.#incomingConnections.get(hello.daemonId) === connection) {
                this.#incomingConnections.delete(hello.daemonId);
            }
        });
    }

    #createConnection(peerId: string, socket: WebSocket): PeerConnection {
        return new PeerConnection(peerId, socket, this.#frameHandlers, this.#options.context.timeline);
    }
}

const UNKNOWN_ADDRESS = "address of the daemon is unknown";
