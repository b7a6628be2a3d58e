import { messageOf } from "@greengage/base";
import type { Duplex } from "node:stream";
import type { RawData, WebSocket } from "ws";
import { decode, encode } from "./codec.ts";
import { PeerUnreachableError, RelayError } from "./errors.ts";
import { dial, type HandshakeOptions } from "./handshake.ts";
import type { RelayAnswer } from "./messages.ts";
import type { PeerAddress } from "./peers.ts";
import { RelayRefusal, type RelayRequest } from "./relay.ts";
import { splice } from "./relaysplice.ts";
import { RelayStream } from "./relaystream.ts";

/** Opens the connection to a backend server for a peer, or rejects with `RelayError`. */
export type RelayHandler = (request: RelayRequest, from: string) => Promise<Duplex>;

/** Connections to backend servers through peers, and those that this daemon relays. Each has a WebSocket of its own. */
export class RelayTunnels {
    readonly #options: HandshakeOptions;
    readonly #sockets = new Set<WebSocket>();
    #handler: RelayHandler | undefined;

    constructor(options: HandshakeOptions) {
        this.#options = options;
    }

    handle(handler: RelayHandler): void {
        this.#handler = handler;
    }

    /** Closes all connections in both directions, as failed. */
    close(): void {
        for (const socket of this.#sockets) {
            socket.terminate();
        }
    }

    /** Opens a connection to a server through a peer. Rejects with `RelayError`; no byte has reached the server then. */
    async open(address: PeerAddress, request: RelayRequest, timeoutMs: number): Promise<RelayStream> {
        const { socket, opened } = dial(address, this.#options, request, timeoutMs);
        this.#track(socket);
        const timer = setTimeout(() => socket.terminate(), timeoutMs);
        try {
            await opened;
            return await receiveAnswer(socket, address.daemonId);
        }
        catch (error) {
            socket.terminate();
            throw error instanceof RelayError
                ? error
                : new RelayError(RelayRefusal.PeerUnreachable, messageOf(error), error);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Answers a hello with `relay`, and relays the bytes of the connection if one was opened. */
    async accept(socket: WebSocket, request: RelayRequest, from: string): Promise<void> {
        this.#track(socket);
        try {
            const server = await this.#openServer(request, from);
            if (socket.readyState !== socket.OPEN) {
                server.destroy();
                return;
            }
            send(socket, { isOpen: true });
            splice(new RelayStream(socket), server);
        }
        catch (error) {
            const refusal = error instanceof RelayError ? error.refusal : RelayRefusal.PeerUnreachable;
            send(socket, { isOpen: false, refusal, reason: messageOf(error) });
            socket.close();
        }
    }

    async #openServer(request: RelayRequest, from: string): Promise<Duplex> {
        if (this.#handler === undefined) {
            throw new RelayError(RelayRefusal.UnknownServer, "this daemon relays no connections");
        }
        return await this.#handler(request, from);
    }

    #track(socket: WebSocket): void {
        this.#sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => this.#sockets.delete(socket));
    }
}

/** Resolves to the stream once the peer has opened the connection to the server. */
const receiveAnswer = (socket: WebSocket, peerId: string): Promise<RelayStream> =>
    new Promise((resolve, reject) => {
        socket.once("close", () => reject(new PeerUnreachableError(peerId)));
        socket.once("message", (data: RawData) => {
            try {
                const answer = decode(data as Buffer) as RelayAnswer;
                if (answer.isOpen) {
                    // At once, as the server's bytes may follow in the same tick.
                    resolve(new RelayStream(socket));
                }
                else {
                    reject(new RelayError(answer.refusal, answer.reason));
                }
            }
            catch (error) {
                reject(error instanceof Error ? error : new Error(String(error)));
            }
        });
    });

const send = (socket: WebSocket, answer: RelayAnswer): void => socket.send(encode(answer), () => undefined);
