import { type Context, Lifecycle, type Log, LogPart, messageOf, monotonicMs } from "@greengage/base";
import { type RawData, WebSocket, WebSocketServer } from "ws";
import { decode, encode } from "./codec.ts";
import { isProofValid, newNonce, PeerConnection, proofOf } from "./connection.ts";
import { PeerUnreachableError } from "./errors.ts";
import {
    type Calls,
    type CallType,
    type Hello,
    type Notices,
    type NoticeType,
    PROTOCOL_VERSION,
} from "./messages.ts";
import type { CallHandler, CallOptions, NoticeHandler, PeerAddress, Peers } from "./peers.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CALL_TIMEOUT_MS = 2_000;
// After a failed attempt, calls fail at once for this long, so that a dead peer costs no connection attempt per call.
const RECONNECT_DELAY_MS = 200;
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

export interface PeerNetworkOptions {
    context: Context;
    /** Address at which this daemon takes connections of its peers. */
    listen: { host: string; port: number; };
    addresses: PeerAddress[];
    /** Address of a daemon that is not in `addresses`, where daemons come and go. Default: none. */
    resolve?: (daemonId: string) => PeerAddress | undefined;
    /** Shared secret of all daemons. */
    key: string;
}

/** Traffic with the other daemons. */
export interface PeerTraffic {
    sentFrames: number;
    receivedFrames: number;
    sentBytes: number;
    receivedBytes: number;
}

/** Connections to the other daemons over WebSocket: one is opened per peer when it is first called. */
export class PeerNetwork implements Peers {
    readonly daemonId: string;
    readonly addresses: readonly PeerAddress[];
    readonly #options: PeerNetworkOptions;
    readonly #log: Log;
    readonly #lifecycle = new Lifecycle();
    readonly #callHandlers = new Map<CallType, CallHandler<CallType>>();
    readonly #noticeHandlers = new Map<NoticeType, NoticeHandler<NoticeType>>();
    readonly #outgoing = new Map<string, Promise<PeerConnection>>();
    readonly #openOutgoing = new Map<string, PeerConnection>();
    readonly #incoming = new Map<string, PeerConnection>();
    readonly #traffic: PeerTraffic = { sentFrames: 0, receivedFrames: 0, sentBytes: 0, receivedBytes: 0 };

    constructor(options: PeerNetworkOptions) {
        this.#options = options;
        this.daemonId = options.context.daemonId;
        this.addresses = options.addresses.filter((address) => address.daemonId !== this.daemonId);
        this.#log = options.context.logs(LogPart.Peer);
    }

    /** Calls and notices, and the bytes of all frames, since the start. */
    get traffic(): PeerTraffic {
        return { ...this.#traffic };
    }

    /** Starts to accept connections. Throws when the address is taken. */
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
        for (const connection of this.#openOutgoing.values()) {
            connection.close();
        }
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
        const connection = this.#openOutgoing.get(daemonId)
            ?? await this.#connectWithin(daemonId, timeoutMs);
        this.#traffic.sentFrames += 1;
        const leftMs = Math.max(1, timeoutMs - (monotonicMs() - startedAtMs));
        return await connection.call(type, request, leftMs) as Calls[T]["response"];
    }

    /** Waits for a connection within the time of a call. The attempt goes on for later calls. */
    #connectWithin(daemonId: string, timeoutMs: number): Promise<PeerConnection> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                reject(new PeerUnreachableError(daemonId, new Error(`not connected within ${timeoutMs} ms`)));
            }, timeoutMs);
            this.#connectTo(daemonId).then(resolve, reject).finally(() => clearTimeout(timer));
        });
    }

    notify<T extends NoticeType>(daemonId: string, type: T, notice: Notices[T]): void {
        if (daemonId === this.daemonId) {
            this.#noticeHandlers.get(type)?.(notice, daemonId);
            return;
        }
        this.#traffic.sentFrames += 1;
        const open = this.#openOutgoing.get(daemonId) ?? this.#incoming.get(daemonId);
        if (open?.isOpen) {
            open.notify(type, notice);
            return;
        }
        this.#connectTo(daemonId).then(
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

    async #dispatch(type: CallType, request: unknown, from: string): Promise<unknown> {
        const handler = this.#callHandlers.get(type);
        if (handler === undefined) {
            throw new Error(`no handler for ${type}`);
        }
        return await handler(request as Calls[CallType]["request"], from);
    }

    readonly #frameHandlers = {
        countBytes: (direction: "sentBytes" | "receivedBytes", sizeBytes: number): void => {
            this.#traffic[direction] += sizeBytes;
        },
        call: (type: CallType, request: unknown, from: string): Promise<unknown> => {
            this.#traffic.receivedFrames += 1;
            return this.#dispatch(type, request, from);
        },
        notice: (type: NoticeType, notice: unknown, from: string): void => {
            this.#traffic.receivedFrames += 1;
            this.#noticeHandlers.get(type)?.(notice as Notices[NoticeType], from);
        },
    };

    #connectTo(daemonId: string): Promise<PeerConnection> {
        const existing = this.#outgoing.get(daemonId);
        if (existing !== undefined) {
            return existing;
        }
        const address = this.addresses.find((candidate) => candidate.daemonId === daemonId)
            ?? this.#options.resolve?.(daemonId);
        if (address === undefined) {
            return Promise.reject(new PeerUnreachableError(daemonId, new Error("its address is not known")));
        }
        const attempt = this.#open(address);
        this.#outgoing.set(daemonId, attempt);
        attempt.then(
            (connection) => this.#openOutgoing.set(daemonId, connection),
            () => setTimeout(() => this.#outgoing.delete(daemonId), RECONNECT_DELAY_MS).unref(),
        );
        return attempt;
    }

    #open(address: PeerAddress): Promise<PeerConnection> {
        return new Promise((resolve, reject) => {
            const socket = new WebSocket(`ws://${address.host}:${address.port}`, {
                handshakeTimeout: CONNECT_TIMEOUT_MS,
                perMessageDeflate: false,
                maxPayload: MAX_FRAME_BYTES,
            });
            const timer = setTimeout(() => socket.terminate(), CONNECT_TIMEOUT_MS);
            socket.once("error", (error) => reject(new PeerUnreachableError(address.daemonId, error)));
            socket.once("close", () => {
                clearTimeout(timer);
                this.#outgoing.delete(address.daemonId);
                this.#openOutgoing.delete(address.daemonId);
                reject(new PeerUnreachableError(address.daemonId));
            });
            socket.once("message", (nonce: RawData) => {
                clearTimeout(timer);
                const proof = proofOf(this.#options.key, nonce as Buffer, this.daemonId, address.daemonId);
                const hello: Hello = {
                    protocolVersion: PROTOCOL_VERSION,
                    daemonId: this.daemonId,
                    zone: this.#options.context.zone,
                    targetId: address.daemonId,
                    proof,
                };
                socket.send(encode(hello));
                resolve(this.#wrap(address.daemonId, socket));
            });
        });
    }

    #accept(socket: WebSocket): void {
        const nonce = newNonce();
        const timer = setTimeout(() => socket.terminate(), CONNECT_TIMEOUT_MS);
        socket.on("error", (error) => this.#log.debug("connection failed", { reason: messageOf(error) }));
        socket.once("close", () => clearTimeout(timer));
        socket.once("message", (data: RawData) => {
            clearTimeout(timer);
            const hello = this.#readHello(data as Buffer, nonce);
            if (hello === undefined) {
                this.#log.warn("refused a connection without a valid proof of the peers' key");
                socket.terminate();
                return;
            }
            const connection = this.#wrap(hello.daemonId, socket);
            this.#incoming.set(hello.daemonId, connection);
            socket.once("close", () => {
                if (this.#incoming.get(hello.daemonId) === connection) {
                    this.#incoming.delete(hello.daemonId);
                }
            });
        });
        socket.send(nonce);
    }

    #wrap(peerId: string, socket: WebSocket): PeerConnection {
        return new PeerConnection(peerId, socket, this.#frameHandlers, this.#options.context.timeline);
    }

    #readHello(data: Buffer, nonce: Uint8Array): Hello | undefined {
        try {
            const hello = decode(data) as Hello;
            const accepted = hello.protocolVersion === PROTOCOL_VERSION
                && hello.targetId === this.daemonId
                && isProofValid(this.#options.key, nonce, hello);
            return accepted ? hello : undefined;
        }
        catch {
            return undefined;
        }
    }
}
